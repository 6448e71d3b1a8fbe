package pomeloroute

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloconfig"
	"github.com/pomelorelay/pomelorelay/pomelolink"

	"github.com/gorilla/mux"
)

const (
	maxKeyBytes    = 255
	maxPrefixBytes = 512
)

// call is the state of one caller's request.
type call struct {
	h       *Handler
	w       http.ResponseWriter
	r       *http.Request
	account pomelorelay.AccountID
	service *pomeloconfig.Service
	id      pomelorelay.RequestID
	wireID  string
	path    string
	model   pomelorelay.ModelID
	hint    pomelorelay.Cost
	key     string
	body    *bytes.Buffer
	// bufferedBytes is the number of bytes that this call has added to Handler.buffered.
	bufferedBytes int64
	// deadline ends the call; waitUntil ends the wait for a slot.
	deadline    time.Time
	waitUntil   time.Time
	fingerprint pomelorelay.Fingerprint
	// sharedParts are the fingerprints of all messages but the last, which other requests may share.
	sharedParts []pomelorelay.Fingerprint
	claim       Claim
	claimed     bool
	// answerStarted is set once an answer's header was sent to the caller; after that there are no retries.
	answerStarted bool
	// keepAnswer lets the attempt outlast Config.FinalAnswers; nil before the first attempt.
	keepAnswer func() bool
	// answerStatus is the status of that answer.
	answerStatus int
	// errorEventSent is set once a broken stream was ended with an error event.
	errorEventSent bool
	suspect        bool
	// mayHaveRun is set during an attempt and stays set once an upstream may have run the request.
	mayHaveRun bool
	// outcome is the answer that is stored for retries with the same idempotency key; nil until the answer is complete.
	outcome         *pomelorelay.ClaimOutcome
	failedUpstreams []pomelorelay.UpstreamID
	// carriers are the upstream connections of all attempts.
	carriers pomelolink.Carriers
}

type modelRequest struct {
	Model    pomelorelay.ModelID `json:"model"`
	Messages []json.RawMessage   `json:"messages"`
}

func (h *Handler) newCall(w http.ResponseWriter, r *http.Request) (*call, error) {
	c := &call{h: h, w: w, r: r}
	if err := checkHeaderLimits(r.Header, h.cfg.Options); err != nil {
		return nil, err
	}
	if err := c.identify(); err != nil {
		return nil, err
	}
	if err := c.readFields(); err != nil {
		return nil, err
	}
	if err := c.readBody(); err != nil {
		c.release()
		return nil, err
	}
	if err := c.readModel(); err != nil {
		c.release()
		return nil, err
	}
	c.id = h.nextID()
	c.wireID = h.wireID(c.id)
	c.fingerprint = fingerprint(c.account, c.service.Name, c.bytes())
	return c, nil
}

func (c *call) identify() error {
	snapshot := c.h.cfg.ConfigSource.Current()
	if snapshot == nil {
		return pomelorelay.NewError(pomelorelay.CodeNotReady, "", nil)
	}
	var err error
	if c.account, err = authenticate(snapshot, c.r.Header); err != nil {
		return err
	}
	escaped := mux.Vars(c.r)["service"]
	name, err := url.PathUnescape(escaped)
	if err != nil {
		return pomelorelay.NewError(pomelorelay.CodeBadRequest, "the path cannot be read", err)
	}
	service, ok := snapshot.Service(pomelorelay.ServiceID(name))
	if !ok {
		return pomelorelay.NewError(pomelorelay.CodeUnknownPath, "", nil)
	}
	if !snapshot.MayCall(c.account, service.Name) {
		return pomelorelay.NewError(pomelorelay.CodeForbidden, "", nil)
	}
	c.service = service
	c.path = strings.TrimPrefix(c.r.URL.EscapedPath(), "/"+escaped)
	if c.path == "" {
		c.path = "/"
	}
	return nil
}

func (c *call) readFields() error {
	now := c.h.cfg.Clock.Now()
	wait, timeout := c.timeLimits()
	c.waitUntil = now.Add(wait)
	c.deadline = now.Add(wait + timeout)
	if text := c.r.Header.Get(headerTimeout); text != "" {
		given, err := time.ParseDuration(text)
		if err != nil || given <= 0 {
			return pomelorelay.NewError(pomelorelay.CodeBadRequest, "X-Timeout is not a duration above zero, such as 30s", nil)
		}
		c.deadline = earlierOf(c.deadline, now.Add(given))
		c.waitUntil = earlierOf(c.waitUntil, c.deadline)
	}
	if text := c.r.Header.Get(headerCostHint); text != "" {
		hint, err := strconv.ParseFloat(text, 64)
		if err != nil || !(hint >= 0) || hint > 1e12 {
			return pomelorelay.NewError(pomelorelay.CodeBadRequest, "X-Cost-Hint is not a number from 0 to 1e12", nil)
		}
		c.hint = pomelorelay.Cost(hint)
	}
	if c.service.Kind == pomeloconfig.ServiceModel && c.r.Header.Get(headerLastEvent) != "" {
		// The router resumes a stream at the engine that began it. Any other engine may continue it at another version of its software.
		return pomelorelay.NewError(pomelorelay.CodeBadRequest, "callers cannot resume a model's stream; send the request anew without Last-Event-ID", nil)
	}
	c.key = c.r.Header.Get(headerKey)
	if len(c.key) > maxKeyBytes {
		return pomelorelay.NewError(pomelorelay.CodeClaimKeyBounds, "", nil)
	}
	if c.key == "" && c.service.NonIdempotent && !c.service.KeyOptional {
		return pomelorelay.NewError(pomelorelay.CodeClaimKeyNeeded, "", nil)
	}
	return nil
}

func (c *call) timeLimits() (wait, timeout time.Duration) {
	wait, timeout = c.service.MaxWait, c.service.Timeout
	setDuration(&wait, c.h.cfg.Options.MaxWait)
	setDuration(&timeout, c.h.cfg.Options.Timeout)
	return wait, timeout
}

func earlierOf(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func (c *call) readBody() error {
	limit := int64(c.h.cfg.Options.MaxBody)
	if c.service.MaxBody > 0 {
		limit = min(limit, int64(c.service.MaxBody))
	}
	if c.r.ContentLength > limit {
		return pomelorelay.NewError(pomelorelay.CodeTooLarge, "", nil)
	}
	release := context.AfterFunc(c.h.cfg.FinalAnswers, func() {
		_ = http.NewResponseController(c.w).SetReadDeadline(time.Now())
	})
	defer release()
	c.body = c.h.buffers.Body()
	_, err := c.body.ReadFrom(&countedBody{c: c, r: http.MaxBytesReader(c.w, c.r.Body, limit)})
	if c.h.cfg.FinalAnswers.Err() != nil {
		return pomelorelay.NewError(pomelorelay.CodeStopping, "", err)
	}
	if errors.Is(err, errBodyMemoryFull) {
		return pomelorelay.NewError(pomelorelay.CodeBodiesFull, "", nil)
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return pomelorelay.NewError(pomelorelay.CodeTooLarge, "", nil)
	}
	if err != nil {
		return pomelorelay.NewError(pomelorelay.CodeBadRequest, "the body ended early", err)
	}
	return nil
}

func (c *call) readModel() error {
	if c.service.Kind != pomeloconfig.ServiceModel || len(c.bytes()) == 0 {
		return nil
	}
	var m modelRequest
	if err := json.Unmarshal(c.bytes(), &m); err != nil {
		return pomelorelay.NewError(pomelorelay.CodeBadRequest, "the body is not JSON with a model", err)
	}
	c.model, c.sharedParts = m.Model, sharedParts(m.Messages)
	if snapshot := c.h.cfg.ConfigSource.Current(); snapshot == nil || !snapshot.HasPool(c.pool()) {
		return pomelorelay.NewError(pomelorelay.CodeNoUpstream, "no upstream serves the model", nil)
	}
	return nil
}

func (c *call) pool() pomelorelay.PoolID { return pomelorelay.Pool(c.service.Name, c.model) }

func (c *call) bytes() []byte {
	if c.body == nil {
		return nil
	}
	return c.body.Bytes()
}

// release returns the buffer of the request body to the pool. Streams call it once the request is written, since they can run for minutes.
func (c *call) release() {
	if c.body == nil {
		return
	}
	c.h.buffers.PutBody(c.body)
	c.body = nil
	c.h.buffered.Add(-c.bufferedBytes)
	c.bufferedBytes = 0
}

// repeatable reports whether the request may be sent again after an attempt that may have run.
func (c *call) repeatable() bool { return !c.service.NonIdempotent && c.key == "" }

// fail reports an error to the caller: as a problem, or by closing the connection if an answer has started.
func (c *call) fail(err error) {
	if c.answerStarted {
		panic(http.ErrAbortHandler)
	}
	c.h.writeProblem(c.w, err)
}

// context returns the context of an attempt. A request with a claimed idempotency key continues when its caller disconnects, so that its
// outcome is stored for the caller's retry; any other request is cancelled at its upstream.
func (c *call) context() (context.Context, context.CancelFunc) {
	parent := c.r.Context()
	if c.claimed {
		parent = context.WithoutCancel(parent)
	}
	return c.untilFinalAnswers(context.WithDeadline(parent, c.deadline))
}

// untilFinalAnswers returns a context that also ends when requests must get their final answers, unless the answer has begun by then.
func (c *call) untilFinalAnswers(ctx context.Context, cancelParent context.CancelFunc) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	keep := context.AfterFunc(c.h.cfg.FinalAnswers, func() { cancel(pomelorelay.NewError(pomelorelay.CodeStopLate, "", nil)) })
	c.keepAnswer = keep
	return ctx, func() {
		keep()
		cancel(nil)
		cancelParent()
	}
}

func (c *call) bodyReader() io.ReadCloser {
	if len(c.bytes()) == 0 {
		return http.NoBody
	}
	return io.NopCloser(bytes.NewReader(c.bytes()))
}
