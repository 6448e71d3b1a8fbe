package pomeloforward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelolink"
	"github.com/pomelorelay/pomelorelay/pomeloplace"
)

// run sends the request until it is answered or must not be sent again.
func (c *call) run() {
	if err := c.fitsStop(); err != nil {
		c.refuse(err)
		return
	}
	if c.callerLeft() {
		c.abandon()
	}
	budget := c.h.budget(c.service)
	budget.Earn(budgetPart * c.h.cfg.RetryRatio)
	for {
		f := c.attempt()
		if f == nil {
			c.served()
			return
		}
		if !c.mayRetry(f) || (f.Outcome != pomelolink.OutcomeNotSent && !budget.Spend()) {
			c.fail(f)
			return
		}
		c.h.cfg.Meter.CountRetry(f.Err.Code)
		c.log(pomelorelay.EventRequestRetried, codeFields(f)...)
	}
}

// callerLeft reports whether the caller is known to have closed its connection.
func (c *call) callerLeft() bool {
	left := c.h.cfg.Left
	return left != nil && left(c.r)
}

// abandon ends a request whose caller left before it was sent.
func (c *call) abandon() {
	c.note(endingGone, pomelorelay.EventRequestGone)
	panic(http.ErrAbortHandler)
}

const (
	// streamTime is how long most streams take, and plainTime is the same for other requests. One that begins later before a planned stop
	// would be cut by it.
	streamTime = 5 * time.Second
	plainTime  = 700 * time.Millisecond
)

// fitsStop refuses a request that the process could not end before it stops.
func (c *call) fitsStop() error {
	stopsIn, stopping := c.h.cfg.Stopping.StopsIn()
	need := plainTime
	if c.route.Kind == pomelorelay.RouteStream {
		need = streamTime
	}
	if !stopping || stopsIn > need {
		return nil
	}
	e := pomelorelay.NewError(pomelorelay.CodeStopping, "", nil)
	// Another router takes it at once.
	e.RetryAfter = time.Millisecond
	return e
}

// mayRetry reports whether the request may be sent again after the failure.
func (c *call) mayRetry(f *pomelolink.Failure) bool {
	if c.decision.Reason != pomeloplace.ReasonNone || c.r.Context().Err() != nil || c.left() <= 0 {
		return false
	}
	switch f.Outcome {
	case pomelolink.OutcomeNotSent:
		return c.unreached < maxUnreached
	case pomelolink.OutcomeRefusedNotRun:
		return c.refused < maxRefused && c.runs < max(c.route.MaxAttempts, 1)
	case pomelolink.OutcomeCutShort, pomelolink.OutcomeUnknown:
		return c.repeatable() && c.runs < c.route.MaxAttempts
	}
	return false
}

// attempt finds a place for the request and sends it there once.
func (c *call) attempt() *pomelolink.Failure {
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline.Add(endSlack))
	defer cancel()
	ticket, f := c.place(ctx)
	if f != nil {
		return f
	}
	// Looked at as late as can be: on a processor that does not keep up, a second passes between the reading of a request and its place.
	if c.callerLeft() {
		ticket.Ended(pomeloplace.ResultNotSent)
		c.abandon()
	}
	up := c.decision.Upstream
	before := c.ran
	// Until the outcome is known the request counts as one that may have run, also when a defect ends this function.
	c.ran = true
	result := pomeloplace.ResultCancelled
	defer func() { ticket.Ended(result) }()
	f = c.exchange(ctx, up, ticket)
	result = resultOf(ctx, f)
	if f == nil {
		if c.route.MaxEventGap > 0 && c.longestPause > c.route.MaxEventGap {
			result = pomeloplace.ResultLongPause
		}
		return nil
	}
	if result == pomeloplace.ResultNotSent && c.callerLeft() {
		c.ran = before
		c.abandon()
	}
	c.avoid = append(c.avoid, up.ID)
	switch f.Outcome {
	case pomelolink.OutcomeNotSent:
		c.unreached++
		c.ran = before
	case pomelolink.OutcomeRefusedNotRun:
		c.refused++
		c.ran = before
	default:
		c.runs++
	}
	return f
}

// resultOf tells what an attempt says of its upstream. A caller that left says nothing of it.
func resultOf(ctx context.Context, f *pomelolink.Failure) pomeloplace.Result {
	switch {
	case f == nil:
		return pomeloplace.ResultCompleted
	case f.Outcome == pomelolink.OutcomeNotSent && (f.Err.Code == pomelorelay.CodeCancelled || errors.Is(ctx.Err(), context.Canceled)):
		return pomeloplace.ResultNotSent
	case errors.Is(ctx.Err(), context.Canceled):
		return pomeloplace.ResultCancelled
	case f.Outcome == pomelolink.OutcomeNotSent:
		return pomeloplace.ResultUnreachable
	case f.Outcome == pomelolink.OutcomeRefusedNotRun:
		return pomeloplace.ResultRefused
	}
	return pomeloplace.ResultFailed
}

func (c *call) place(ctx context.Context) (Ticket, *pomelolink.Failure) {
	ticket, d, err := c.h.cfg.Placement.Place(ctx, c.work())
	c.decision = d
	if err != nil {
		c.decision.Reason = pomeloplace.ReasonTooLate
		return nil, pomelolink.NewFailure(pomelolink.OutcomeNotSent, pomelorelay.CodeDeadline, err)
	}
	if d.Reason == pomeloplace.ReasonNone {
		return ticket, nil
	}
	f := pomelolink.NewFailure(pomelolink.OutcomeNotSent, reasonCodes[d.Reason], nil)
	f.Err.RetryAfter, f.Err.Detail = d.RetryAfter, string(d.Cause)
	return nil, f
}

// reasonCodes are the codes of the refusals of placements.
var reasonCodes = map[pomeloplace.Reason]pomelorelay.ResultCode{
	pomeloplace.ReasonNoUpstream: pomelorelay.CodeNoUpstream,
	pomeloplace.ReasonOverShare:      pomelorelay.CodeShareSpent,
	pomeloplace.ReasonTooLate:       pomelorelay.CodeUpstreamsBusy,
	pomeloplace.ReasonNoAllowedRegion:   pomelorelay.CodeNoCommonRegion,
	pomeloplace.ReasonNoUpstreamInRegion:     pomelorelay.CodeRegionUnavailable,
	pomeloplace.ReasonCold:       pomelorelay.CodeUpstreamsCold,
	pomeloplace.ReasonEvacuated:  pomelorelay.CodeEvacuated,
}

// generatedWeight is how much a generated token counts against one that is read, by the platform's word.
const generatedWeight = 2

// outputOf returns how many tokens a request probably makes its engine generate.
func outputOf(f pomelorelay.CallerFields) pomelorelay.Tokens {
	if f.OutputEstimate > 0 {
		return min(max(f.OutputEstimate, 1), max(f.MaxOutputTokens, 1))
	}
	return f.MaxOutputTokens
}

// costOf returns what a request counts towards its account's share.
func costOf(f pomelorelay.CallerFields) pomelorelay.Cost {
	return pomelorelay.Cost(f.PromptTokens + generatedWeight*outputOf(f))
}

func (c *call) work() Work {
	return Work{
		ID:      c.fields.ID,
		Route:   c.route.Name,
		Account: c.account,
		Cost:    costOf(c.fields),
		Again:   len(c.avoid) > 0,
		Charged: c.runs > 0,
		Place: pomeloplace.Request{
			Service: c.service,
			PromptTokens:  c.fields.PromptTokens,
			OutputTokens:  outputOf(c.fields),
			Parts:   c.fields.PromptParts,
			Target:  c.route.TargetLatency,
			MaxWait:    c.left(),
			Avoid:   c.avoid,
		},
	}
}

// exchange sends the request to an upstream and passes its answer on.
func (c *call) exchange(ctx context.Context, up pomelorelay.FleetUpstream, ticket Ticket) *pomelolink.Failure {
	x, f := c.h.links.Open(ctx, pomelolink.Sending{Addr: up.Addr, Request: c.request(up), Size: len(c.bytes()), Wanted: func() bool { return !c.callerLeft() }})
	if f != nil {
		return f
	}
	defer func() { x.Close() }()
	if f := c.checkHead(x); f != nil {
		return f
	}
	if c.route.Kind == pomelorelay.RouteStream && x.Response.StatusCode == http.StatusOK {
		return c.passStream(x, ticket)
	}
	ticket.Begun()
	if c.answering {
		// A stream that was to be taken up again got another answer than events; nothing of it can be passed on.
		return pomelolink.NewFailure(pomelolink.OutcomeCutShort, pomelorelay.CodeStreamBroken, nil)
	}
	return c.passPlain(x)
}

// request builds the request to an upstream: method, path, query and body as they came.
func (c *call) request(up pomelorelay.FleetUpstream) *http.Request {
	head := c.r.Header.Clone()
	pomelolink.RemoveHopHeaders(head)
	head.Del("Content-Length")
	head.Del("Expect")
	if _, ok := head["User-Agent"]; !ok {
		// An empty entry keeps net/http from adding a name of its own.
		head["User-Agent"] = []string{""}
	}
	c.h.cfg.Wire.SetUpstreamFields(head, pomelorelay.UpstreamFields{
		TimeLeft: c.left(), ExpectedUpstream: up.ID, Account: c.account, CopyFrom: c.decision.CopyFrom.Addr, LastEvent: c.lastEvent, HasLastEvent: c.hasLastEvent,
	})
	req := &http.Request{
		Method:        c.r.Method,
		URL:           &url.URL{Scheme: "http", Host: c.r.Host, Path: c.r.URL.Path, RawPath: c.r.URL.RawPath, RawQuery: c.r.URL.RawQuery, ForceQuery: c.r.URL.ForceQuery},
		Host:          c.r.Host,
		Header:        head,
		Body:          http.NoBody,
		ContentLength: int64(len(c.bytes())),
	}
	if len(c.bytes()) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(c.bytes()))
	}
	return req
}
