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

// Header fields that the router defines or interprets.
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

// WriteProblem writes an error as an RFC 9457 problem. A retryable status gets a Retry-After of 1 s unless the error has a RetryAfter of
// its own.
func WriteProblem(w http.ResponseWriter, err error) { writeProblem(w, err, defaultRetryAfter) }

func (h *Handler) writeProblem(w http.ResponseWriter, err error) {
	writeProblem(w, err, h.cfg.Options.RetryAfter)
}

// writeProblem writes an error as an RFC 9457 problem; nothing may have been written to w before.
func writeProblem(w http.ResponseWriter, err error, fallback time.Duration) {
	e := codedError(err)
	p := pomeloproblem.New(e)
	head := w.Header()
	head.Set("Content-Type", pomeloproblem.ContentType)
	head.Set(headerRan, string(p.Ran))
	head.Set("Cache-Control", "no-store")
	if after := retryAfter(e, p.Status, fallback); after > 0 {
		head.Set("Retry-After", strconv.Itoa(after))
	}
	if p.Status == http.StatusUnauthorized {
		head.Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(p.Status)
	// A write error means that the caller has disconnected; the server closes the connection.
	_, _ = w.Write(p.Encode())
}

// retryAfter returns the Retry-After value in seconds, rounded up because a caller that retries too early is refused again.
func retryAfter(e *pomelorelay.Error, status int, fallback time.Duration) int {
	wait := e.RetryAfter
	if wait <= 0 && isRetryable(status) {
		wait = fallback
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
