package pomeloroute

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloproblem"
)

// Header fields of the router's own.
const (
	headerRan       = "Ran"
	headerRequestID = "X-Request-Id"
	headerTimeout   = "X-Timeout"
	headerCostHint  = "X-Cost-Hint"
	headerKey       = "Idempotency-Key"
	headerReplayed  = "Idempotency-Replayed"
	headerLastEvent = "Last-Event-Id"
)

func codedError(err error) *pomelorelay.Error {
	var coded *pomelorelay.Error
	if errors.As(err, &coded) {
		return coded
	}
	return pomelorelay.NewError(pomelorelay.CodeInternal, err.Error(), nil)
}

// WriteProblem answers with an error's problem, telling the caller to come back after a second where it may and the error says nothing.
func WriteProblem(w http.ResponseWriter, err error) { writeProblem(w, err, defaultRetryAfter) }

func (h *Handler) writeProblem(w http.ResponseWriter, err error) {
	writeProblem(w, err, h.cfg.Options.RetryAfter)
}

// writeProblem answers with a problem; nothing may have been written to w before.
func writeProblem(w http.ResponseWriter, err error, comeBack time.Duration) {
	e := codedError(err)
	p := pomeloproblem.New(e)
	head := w.Header()
	head.Set("Content-Type", pomeloproblem.ContentType)
	head.Set(headerRan, string(p.Ran))
	head.Set("Cache-Control", "no-store")
	if after := retryAfter(e, p.Status, comeBack); after > 0 {
		head.Set("Retry-After", strconv.Itoa(after))
	}
	if p.Status == http.StatusUnauthorized {
		head.Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(p.Status)
	// A caller that is gone cannot be told; the server closes the connection.
	_, _ = w.Write(p.Encode())
}

// retryAfter returns whole seconds, rounded up: a caller that comes back too early is refused again.
func retryAfter(e *pomelorelay.Error, status int, comeBack time.Duration) int {
	wait := e.RetryAfter
	if wait <= 0 && isRetryable(status) {
		wait = comeBack
	}
	return int(math.Ceil(float64(wait) / float64(time.Second)))
}

func isRetryable(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusConflict, http.StatusBadGateway, http.StatusGatewayTimeout:
		return true
	}
	return false
}
