package pomeloforward

import (
	"bytes"
	"encoding/binary"
	"net/http"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelolink"
	"github.com/pomelorelay/pomelorelay/pomeloplace"
	"github.com/pomelorelay/pomelorelay/pomelotable"
)

// call is the state of one caller's request.
type call struct {
	h         *Handler
	w         http.ResponseWriter
	r         *http.Request
	arrivedAt time.Time
	fields    pomelorelay.CallerFields
	table     *pomelotable.Table
	route     *pomelorelay.Route
	account   pomelorelay.AccountID
	// accountPriority replaces the route's priority unless it is nil.
	accountPriority *int
	service         pomelorelay.ServiceID
	body            *bytes.Buffer
	// bodyReserved is the number of bytes reserved for the body.
	bodyReserved int64
	// fingerprints holds the request's fingerprint, which identifies its repetitions under other request IDs and at other routers, and then those
	// of the prompt parts that other requests may share. It is empty until the body was read.
	fingerprints []pomelorelay.Fingerprint
	// readAt is when the body had been read.
	readAt time.Time
	// deadline is the earliest of the caller's deadline, the end of the route's timeout and that of defaultTimeout.
	deadline time.Time
	// answerStarted is set once the head of an answer was written to the caller. keepAnswer then lets the attempt outlast FinalAnswers.
	answerStarted bool
	keepAnswer    func() bool
	// resetsCaller is set while the caller's connection would be reset if it closed.
	resetsCaller bool
	// mayHaveRun is set during an attempt, and stays set after an attempt that the upstream may have run.
	mayHaveRun bool
	// runs counts the failed attempts that an upstream may have run, refused those that an upstream refused without running, and unreached those
	// that reached no upstream.
	runs, refused, unreached int
	avoid                    []pomelorelay.UpstreamID
	// brokeBefore tells for each of the fingerprints whether a connection is known to have broken under it before the last attempt began; suspect
	// is set if an upstream had crashed under one of them.
	brokeBefore []bool
	suspect     bool
	// sentAt is when the last attempt began, lastedLong whether its answer went on for harmlessAfter.
	sentAt     time.Time
	lastedLong bool
	// retryDenied is set if the request was not retried because the service's retry budget was spent.
	retryDenied bool
	// lastEvent is the number of the last stream event that the caller has received.
	lastEvent    uint64
	hasLastEvent bool
	// version is the software version of the upstream that sent the first event of this answer, if versionFixed is set.
	version      pomelorelay.SoftwareVersion
	versionFixed bool
	// answerBeganAt is when the answer began; decision is the last placement decision.
	answerBeganAt time.Time
	lastEventAt   time.Time
	longestPause  time.Duration
	// held are the events that are forwarded once another one follows them.
	held []byte
	// eventsRead is the number of stream events that the upstream of the last attempt sent.
	eventsRead int
	decision   pomeloplace.Decision
	// connection is the upstream connection that carried the last attempt.
	connection pomelolink.ConnectionUse
	// carriers are the upstream connections of all attempts.
	carriers pomelolink.Carriers
	// load is what the upstream of the last attempt announced, until it is recorded.
	load   AnnouncedLoad
	status int
}

func newCall(h *Handler, w http.ResponseWriter, r *http.Request) *call {
	return &call{h: h, w: w, r: r, arrivedAt: h.cfg.Clock.Now(), fields: h.cfg.Wire.ParseCallerFields(r.Header)}
}

// prepare looks up the route, the account and the service, reads the body and computes the fingerprint. On failure nothing has run.
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
	if c.service, ok = c.table.PickService(route, c.firstAttempt()); !ok {
		return pomelorelay.NewError(pomelorelay.CodeNoUpstream, "the route has no service", nil)
	}
	if c.fields.LastEventInvalid && route.Kind == pomelorelay.RouteStream && route.Resumable {
		return pomelorelay.NewError(pomelorelay.CodeBadRequest, "the last event is not one number", nil)
	}
	c.setDeadline()
	c.lastEvent, c.hasLastEvent = c.fields.LastEvent, c.fields.HasLastEvent
	if err := c.readBody(); err != nil {
		return err
	}
	c.readAt = c.h.cfg.Clock.Now()
	u := c.r.URL
	request := pomelorelay.FingerprintOf([]byte(c.account), []byte(c.r.Method), []byte(c.r.Host), []byte(u.EscapedPath()), []byte(u.RawQuery), c.bodyBytes())
	c.fingerprints = append([]pomelorelay.Fingerprint{request}, sharedParts(c.fields.PromptParts)...)
	c.brokeBefore = make([]bool, len(c.fingerprints))
	return nil
}

// sharedParts returns the fingerprints of all prompt parts but the last one, which belongs to the request or its session.
func sharedParts(parts []pomelorelay.PromptPart) []pomelorelay.Fingerprint {
	var list []pomelorelay.Fingerprint
	for _, part := range parts[:min(max(len(parts)-1, 0), pomelorelay.MaxSharedParts)] {
		list = append(list, pomelorelay.PartFingerprintOf(binary.BigEndian.AppendUint64(nil, part.Hash)))
	}
	return list
}

// firstAttempt returns the RequestID of the caller's attempt that received the first event of a resumed stream, if the caller names it, and else that of
// the request, so that a resumed stream goes to the service that began it.
func (c *call) firstAttempt() string {
	if c.fields.HasLastEvent && c.fields.Resumes != "" {
		return c.fields.Resumes
	}
	return c.fields.RequestID
}

func (c *call) authenticate() error {
	account, ok := c.table.Account(c.fields.APIKey)
	if ok {
		c.account, c.accountPriority = account.Name, account.Priority
		return nil
	}
	if c.route.Public || len(c.table.Config().Accounts) == 0 {
		return nil
	}
	return pomelorelay.NewError(pomelorelay.CodeUnauthorised, "", nil)
}

// priority returns the priority of the request's account, or else of its route.
func (c *call) priority() int {
	if c.accountPriority != nil {
		return *c.accountPriority
	}
	return c.route.Priority
}

// defaultTimeout bounds the time of a request for which neither the caller nor the route sets a shorter timeout.
const defaultTimeout = time.Minute

func (c *call) setDeadline() {
	wait := defaultTimeout
	if c.fields.Timeout > 0 {
		wait = min(wait, c.fields.Timeout)
	}
	if c.route.Timeout > 0 {
		wait = min(wait, c.route.Timeout)
	}
	c.deadline = c.arrivedAt.Add(wait)
	// A caller that does not read would otherwise block the handler and hold its buffers for ever.
	_ = http.NewResponseController(c.w).SetWriteDeadline(c.deadline.Add(writeGrace))
}

// repeatable reports whether a request that may have run may be sent again.
func (c *call) repeatable() bool {
	return c.route.Kind == pomelorelay.RouteIdempotent || (c.route.Kind == pomelorelay.RouteStream && c.route.Resumable)
}

func (c *call) timeLeft() time.Duration { return c.deadline.Sub(c.h.cfg.Clock.Now()) }
