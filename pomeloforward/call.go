package pomeloforward

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloplace"
	"github.com/pomelorelay/pomelorelay/pomelotable"
)

// call is one caller's request on its way through the router.
type call struct {
	h       *Handler
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Time
	fields  pomelorelay.CallerFields
	table   *pomelotable.Table
	route   *pomelorelay.Route
	account pomelorelay.AccountID
	service pomelorelay.ServiceID
	body    *bytes.Buffer
	// deadline is the end of the caller's wait or of the route's timeout.
	deadline time.Time
	// answering is set once a byte of an answer went to the caller.
	answering bool
	// ran is set while and after an attempt whose request may have run.
	ran bool
	// runs, refused and unreached count the attempts by what became of them.
	runs, refused, unreached int
	avoid                    []pomelorelay.UpstreamID
	// lastEvent is the number of the last event that the caller has.
	lastEvent    uint64
	hasLastEvent bool
	// first is when the answer began; decision is the last placement.
	first        time.Time
	lastAt       time.Time
	longestPause time.Duration
	decision     pomeloplace.Decision
	status       int
}

func newCall(h *Handler, w http.ResponseWriter, r *http.Request) *call {
	return &call{h: h, w: w, r: r, arrived: h.cfg.Clock.Now(), fields: h.cfg.Wire.ParseCallerFields(r.Header)}
}

// prepare finds out what the request is; it fails with a refusal, and nothing has run then.
func (c *call) prepare() error {
	c.table = c.h.cfg.Tables.Current()
	if c.table == nil {
		return pomelorelay.NewError(pomelorelay.CodeNotReady, "", nil)
	}
	route, ok := c.table.Route(c.r.Host, c.r.URL.EscapedPath())
	if !ok {
		return pomelorelay.NewError(pomelorelay.CodeUnknownPath, "", nil)
	}
	c.route = route
	if err := c.authenticate(); err != nil {
		return err
	}
	if c.service, ok = c.table.PickService(route, c.fields.ID); !ok {
		return pomelorelay.NewError(pomelorelay.CodeNoUpstream, "the route has no service", nil)
	}
	c.bound()
	c.lastEvent, c.hasLastEvent = c.fields.LastEvent, c.fields.HasLastEvent
	return c.readBody()
}

func (c *call) authenticate() error {
	account, ok := c.table.Account(c.fields.APIKey)
	if ok {
		c.account = account.Name
		return nil
	}
	if c.route.Public || len(c.table.Config().Accounts) == 0 {
		return nil
	}
	return pomelorelay.NewError(pomelorelay.CodeUnauthorised, "", nil)
}

// defaultWait bounds a request whose caller and route both say nothing.
const defaultWait = time.Minute

func (c *call) bound() {
	wait := defaultWait
	if c.fields.Timeout > 0 {
		wait = min(wait, c.fields.Timeout)
	}
	if c.route.Timeout > 0 {
		wait = min(wait, c.route.Timeout)
	}
	c.deadline = c.arrived.Add(wait)
	// A caller that does not read would hold the handler and its buffers for ever.
	_ = http.NewResponseController(c.w).SetWriteDeadline(c.deadline.Add(writeSlack))
}

func (c *call) readBody() error {
	limit := int64(c.table.Limits().BodyBytes)
	if limit > 0 && c.r.ContentLength > limit {
		return pomelorelay.NewError(pomelorelay.CodeTooLarge, "", nil)
	}
	if c.r.ContentLength == 0 {
		return nil
	}
	c.body = c.h.buffers.Body()
	var body io.Reader = c.r.Body
	if limit > 0 {
		body = http.MaxBytesReader(c.w, c.r.Body, limit)
	}
	_, err := c.body.ReadFrom(body)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return pomelorelay.NewError(pomelorelay.CodeTooLarge, "", nil)
	}
	if err != nil {
		return pomelorelay.NewError(pomelorelay.CodeBadRequest, "the body ended early", err)
	}
	return nil
}

func (c *call) bytes() []byte {
	if c.body == nil {
		return nil
	}
	return c.body.Bytes()
}

// release gives the body's memory back.
func (c *call) release() {
	if c.body != nil {
		c.h.buffers.PutBody(c.body)
		c.body = nil
	}
}

// repeatable reports whether a request that may have run may be sent again.
func (c *call) repeatable() bool {
	return c.route.Kind == pomelorelay.RouteIdempotent || (c.route.Kind == pomelorelay.RouteStream && c.route.Resumable)
}

func (c *call) left() time.Duration { return c.deadline.Sub(c.h.cfg.Clock.Now()) }
