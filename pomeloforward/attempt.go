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

// run sends the request until it is answered or may not be retried.
func (c *call) run() {
	if f := c.stopFailure(); f != nil {
		c.fail(f)
		return
	}
	if c.callerGone() {
		c.abandon()
	}
	budget := c.h.retryBudget(c.service)
	budget.Earn(c.h.retryLimit().PerRequest())
	for {
		if remaining := c.h.cfg.Crashes.QuarantineRemaining(c.fingerprints); remaining > 0 {
			c.fail(quarantineFailure(remaining))
			return
		}
		f := c.attempt()
		if f == nil {
			c.endAnswer()
			c.logServed()
			return
		}
		if !c.mayRetry(f) {
			c.fail(f)
			return
		}
		if stopped := c.stopFailure(); stopped != nil {
			c.fail(stopped)
			return
		}
		if f.Outcome != pomelolink.OutcomeNotSent && !budget.Spend() {
			c.h.cfg.Meter.CountRetryDenied(c.service)
			c.retryDenied = true
			c.fail(f)
			return
		}
		c.h.cfg.Meter.CountRetry(c.service, f.Err.Code)
		c.log(pomelorelay.EventRequestRetried, c.appendConnection(codeFields(f))...)
	}
}

// quarantineFailure returns the failure of a request that is refused because it crashes upstreams.
func quarantineFailure(remaining time.Duration) *pomelolink.Failure {
	f := pomelolink.NewFailure(pomelolink.OutcomeNotSent, pomelorelay.CodeQuarantined, nil)
	f.Err.RetryAfter = remaining
	return f
}

// callerGone reports whether the caller is known to have closed its connection.
func (c *call) callerGone() bool {
	gone := c.h.cfg.CallerGone
	return gone != nil && gone(c.r)
}

// abandon ends a request whose caller disconnected before it was sent.
func (c *call) abandon() {
	c.logEnding(endingGone, pomelorelay.EventRequestGone)
	panic(http.ErrAbortHandler)
}

// mayRetry reports whether the request may be sent again after the failure.
func (c *call) mayRetry(f *pomelolink.Failure) bool {
	if c.decision.Reason != pomeloplace.ReasonNone || c.r.Context().Err() != nil || c.timeLeft() <= 0 || (c.mustEnd() && !c.answerStarted) {
		return false
	}
	switch f.Outcome {
	case pomelolink.OutcomeNotSent:
		return c.unreached < maxUnreached
	case pomelolink.OutcomeRefusedNotRun:
		return c.refused < maxRefused && c.runs < max(c.route.MaxAttempts, 1)
	case pomelolink.OutcomeTruncated, pomelolink.OutcomeUnknown:
		// A suspect whose connection breaks may have crashed another upstream, which is known only once the upstream has been checked.
		return c.repeatable() && c.runs < c.route.MaxAttempts && !(f.ConnectionBroken && c.suspect)
	}
	return false
}

// attempt reserves an upstream for the request and sends it there once.
func (c *call) attempt() *pomelolink.Failure {
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline.Add(answerGrace))
	defer cancel()
	if !c.answerStarted {
		c.keepAnswer = context.AfterFunc(c.h.cfg.Shutdown.FinalAnswers(), cancel)
		defer c.keepAnswer()
	}
	reservation, f := c.place(ctx)
	if f != nil {
		return f
	}
	// Checked as late as possible: on an overloaded processor, a second can pass between the reading of a request and its placement.
	if c.callerGone() {
		reservation.Done(RunEnd{Result: pomeloplace.ResultCancelledUnsent})
		c.abandon()
	}
	// The request may have waited for its slot until shortly before the end of a stop.
	if f := c.stopFailure(); f != nil {
		reservation.Done(RunEnd{Result: pomeloplace.ResultCancelledUnsent})
		return f
	}
	up := c.decision.Upstream
	c.checkSuspicion()
	ranBefore := c.mayHaveRun
	// Until the outcome is known the request counts as possibly run, even if this function panics.
	c.mayHaveRun = true
	end := RunEnd{Result: pomeloplace.ResultCancelled}
	defer func() {
		end.Load = c.takeLoad()
		reservation.Done(end)
	}()
	c.eventsRead = 0
	answer, f := c.exchange(ctx, up, reservation)
	end.Result, end.Events = c.resultOf(ctx, f), c.eventsRead
	if f == nil {
		end = c.answerEnd(answer)
		return nil
	}
	if end.Result == pomeloplace.ResultCancelledUnsent && c.callerGone() {
		c.mayHaveRun = ranBefore
		c.abandon()
	}
	c.noteStop(ctx, f)
	if f.ConnectionBroken {
		c.reportBrokenConnection(up)
	}
	c.avoid = append(c.avoid, up.ID)
	switch f.Outcome {
	case pomelolink.OutcomeNotSent:
		c.unreached++
		c.mayHaveRun = ranBefore
	case pomelolink.OutcomeRefusedNotRun:
		c.refused++
		c.mayHaveRun = ranBefore
	default:
		c.runs++
	}
	return f
}

// checkSuspicion notes what is known of crashes under the request's fingerprints before an attempt.
func (c *call) checkSuspicion() {
	c.sentAt, c.lastedLong, c.suspect = c.h.cfg.Clock.Now(), false, false
	for i, f := range c.fingerprints {
		c.suspect = c.suspect || c.h.cfg.Crashes.IsSuspect(f)
		c.brokeBefore[i] = c.brokeBefore[i] || c.h.cfg.Crashes.MayHaveCrashed(f)
	}
}

// answerEnd returns the end of an attempt whose complete answer was forwarded.
func (c *call) answerEnd(resp *http.Response) RunEnd {
	end := RunEnd{Result: c.answerResult(), Events: c.eventsRead}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return end
	}
	if pomelolink.EndsWithConnection(resp) {
		c.h.cfg.Crashes.AnswerMayBeCut(c.brokenRun(c.decision.Upstream))
		return end
	}
	end.Answered = true
	return end
}

// answerResult returns the result of an attempt whose complete answer was forwarded.
func (c *call) answerResult() pomeloplace.Result {
	switch {
	case c.status >= http.StatusInternalServerError:
		return pomeloplace.ResultErrorAnswer
	case c.route.MaxEventGap > 0 && c.longestPause > c.route.MaxEventGap:
		return pomeloplace.ResultLongPause
	}
	return pomeloplace.ResultCompleted
}

// reportBrokenConnection reports an attempt whose upstream may have crashed.
func (c *call) reportBrokenConnection(up pomelorelay.FleetUpstream) {
	run := c.brokenRun(up)
	for i := range c.brokeBefore {
		c.brokeBefore[i] = true
	}
	c.h.cfg.Meter.CountBrokenRun()
	c.h.cfg.Crashes.ConnectionBroke(run)
	c.h.crashChecks.check(brokenAttempt{run: run, upstream: up, request: c.fields.RequestID, fingerprints: c.fingerprints})
}

// brokenRun describes the last attempt as one during which the upstream may have crashed. An answer that has gone on for long clears the parts.
func (c *call) brokenRun(up pomelorelay.FleetUpstream) BrokenRun {
	now := c.h.cfg.Clock.Now()
	run := BrokenRun{SentAt: c.sentAt, EndedAt: now}
	for i, f := range c.fingerprints {
		if i > 0 && c.lastedLong {
			break
		}
		run.Crashes = append(run.Crashes, pomelorelay.RequestCrash{
			Fingerprint: f, Part: i > 0, Upstream: up.ID, StartUnixMilli: up.StartUnixMilli, UnixMilli: now.UnixMilli(),
			Runs: pomelorelay.RunBit(c.fingerprints[0]), Repeated: c.brokeBefore[i],
		})
	}
	return run
}

// resultOf returns the result of an attempt for its upstream. A caller's disconnect is not counted against the upstream, and neither is a stream of
// events that lasts until the deadline. An answer without events that goes on until then is.
func (c *call) resultOf(ctx context.Context, f *pomelolink.Failure) pomeloplace.Result {
	switch {
	case f == nil:
		return pomeloplace.ResultCompleted
	case f.Outcome == pomelolink.OutcomeNotSent && f.Err.Code == pomelorelay.CodeUpstreamReplaced:
		return pomeloplace.ResultReplaced
	case f.Outcome == pomelolink.OutcomeNotSent && (f.Err.Code == pomelorelay.CodeCancelled || errors.Is(ctx.Err(), context.Canceled)):
		return pomeloplace.ResultCancelledUnsent
	case f.Outcome == pomelolink.OutcomeTruncated && c.timeLeft() <= answerGrace:
		if c.eventsRead > 0 {
			return pomeloplace.ResultCancelled
		}
		return pomeloplace.ResultFailed
	case errors.Is(ctx.Err(), context.Canceled):
		return pomeloplace.ResultCancelled
	case f.Outcome == pomelolink.OutcomeNotSent:
		return pomeloplace.ResultUnreachable
	case f.Outcome == pomelolink.OutcomeRefusedNotRun:
		return pomeloplace.ResultRefused
	}
	return pomeloplace.ResultFailed
}

func (c *call) place(ctx context.Context) (Reservation, *pomelolink.Failure) {
	reservation, d, err := c.h.cfg.Placement.Place(ctx, c.placementRequest())
	c.decision = d
	if err != nil {
		if f := c.stopFailure(); f != nil {
			return nil, f
		}
		c.decision.Reason = pomeloplace.ReasonTooLate
		return nil, pomelolink.NewFailure(pomelolink.OutcomeNotSent, pomelorelay.CodeDeadlinePassed, err)
	}
	if d.Reason == pomeloplace.ReasonNone {
		return reservation, nil
	}
	f := pomelolink.NewFailure(pomelolink.OutcomeNotSent, reasonCodes[d.Reason], nil)
	f.Err.RetryAfter, f.Err.Detail = d.RetryAfter, string(d.Cause)
	return nil, f
}

// reasonCodes maps the reasons of refused placements to result codes.
var reasonCodes = map[pomeloplace.Reason]pomelorelay.ResultCode{
	pomeloplace.ReasonNoUpstream:         pomelorelay.CodeNoUpstream,
	pomeloplace.ReasonOverShare:          pomelorelay.CodeShareSpent,
	pomeloplace.ReasonTooLate:            pomelorelay.CodeUpstreamsBusy,
	pomeloplace.ReasonNoAllowedRegion:    pomelorelay.CodeNoCommonRegion,
	pomeloplace.ReasonNoUpstreamInRegion: pomelorelay.CodeRegionUnavailable,
	pomeloplace.ReasonCold:               pomelorelay.CodeUpstreamsCold,
	pomeloplace.ReasonEvacuated:          pomelorelay.CodeEvacuated,
	pomeloplace.ReasonVersionUnknown:     pomelorelay.CodeVersionUnknown,
	pomeloplace.ReasonVersionGone:        pomelorelay.CodeVersionGone,
	pomeloplace.ReasonTimeTooShort:       pomelorelay.CodeTimeTooShort,
}

// outputTokenWeight is the cost of a generated token relative to a prompt token, as the platform defines it.
const outputTokenWeight = 2

// expectedOutput returns the number of tokens that the engine will probably generate for a request.
func expectedOutput(f pomelorelay.CallerFields) pomelorelay.Tokens {
	if f.OutputEstimate > 0 {
		return min(max(f.OutputEstimate, 1), max(f.MaxOutputTokens, 1))
	}
	return f.MaxOutputTokens
}

// requestCost returns the cost of a request that counts towards its account's share.
func requestCost(f pomelorelay.CallerFields) pomelorelay.Cost {
	return pomelorelay.Cost(f.PromptTokens + outputTokenWeight*expectedOutput(f))
}

func (c *call) placementRequest() PlacementRequest {
	return PlacementRequest{
		ID:      c.fields.RequestID,
		Route:   c.route.Name,
		Account: c.account,

		Fingerprint: c.fingerprints[0],
		SharedParts: c.fingerprints[1:],

		Cost:    requestCost(c.fields),
		Retry:   len(c.avoid) > 0,
		Charged: c.runs > 0,
		Stream:  c.streamProgress(),
		Request: pomeloplace.Request{
			Service:      c.service,
			Route:        c.route.Name,
			PromptTokens: c.fields.PromptTokens,
			OutputTokens: expectedOutput(c.fields),
			Parts:        c.fields.PromptParts,
			Target:       c.route.TargetLatency,
			MaxWait:      c.timeLeft(),
			Priority:     c.priority(),
			Avoid:        c.avoid,
			Version:      c.version,
			VersionFixed: c.versionFixed,
			Resumable:    c.mayBeResumed(),
		},
	}
}

// resumeTimeLeft returns the time within which the caller may resume its stream by another request: until its own timeout, not the route's.
func (c *call) resumeTimeLeft() time.Duration {
	if c.fields.Timeout <= 0 {
		return c.timeLeft()
	}
	return min(c.fields.Timeout, defaultTimeout) - c.h.cfg.Clock.Now().Sub(c.arrivedAt)
}

// mayBeResumed reports whether the request is for a stream that may be resumed later, or for the rest of one.
func (c *call) mayBeResumed() bool {
	return c.route.Kind == pomelorelay.RouteStream && (c.route.Resumable || c.fields.HasLastEvent)
}

// streamProgress returns what the caller has received of a stream that may be resumed, also of one that began when its route was resumable.
func (c *call) streamProgress() StreamProgress {
	if !c.mayBeResumed() {
		return StreamProgress{}
	}
	origin := c.fields.RequestID
	if c.fields.HasLastEvent {
		origin = c.fields.Resumes
	}
	return StreamProgress{
		Resumable: c.route.Resumable, Resumed: c.fields.HasLastEvent, Origin: pomelorelay.FingerprintOf([]byte(origin)), OriginNamed: origin != "", TimeLeft: c.resumeTimeLeft(),
	}
}

// exchange sends the request to an upstream and forwards the answer, whose head it returns.
func (c *call) exchange(ctx context.Context, up pomelorelay.FleetUpstream, reservation Reservation) (*http.Response, *pomelolink.Failure) {
	x, f := c.h.links.Open(ctx, pomelolink.UpstreamRequest{
		Process: c.processCheck(up), Addr: up.Addr, Request: c.upstreamRequest(up), Size: len(c.bodyBytes()), Carriers: &c.carriers, AnswerBy: c.deadline,
		StillWanted: func() bool { return !c.callerGone() },
	})
	if f != nil {
		c.connection = f.Connection
		if f.Refusal != nil {
			c.noteLoad(c.h.cfg.Wire.ParseAnswerFields(f.Refusal))
		}
		return nil, f
	}
	c.connection = x.Connection
	defer func() { x.Close() }()
	if f := c.checkHead(x); f != nil {
		return nil, f
	}
	if c.route.Kind == pomelorelay.RouteStream && x.Response.StatusCode == http.StatusOK {
		return x.Response, c.forwardStream(x, reservation)
	}
	reservation.AnswerBegan(c.takeLoad())
	if c.answerStarted {
		// The upstream of a resumed stream answered without events, which cannot continue the stream.
		return nil, pomelolink.NewFailure(pomelolink.OutcomeTruncated, pomelorelay.CodeStreamBroken, nil)
	}
	return x.Response, c.forwardPlain(x)
}

// processCheck returns the check that a stream which may be resumed begins or continues at the process that is registered with its version; nil for other
// requests. An upstream that starts again under its ID and address may have another version, and its new registration may be news to this router.
func (c *call) processCheck(up pomelorelay.FleetUpstream) *pomelolink.ProcessCheck {
	if !c.mayBeResumed() {
		return nil
	}
	return c.process(up)
}

// process returns the check of the process that is registered as an upstream; nil if its start time is not known.
func (c *call) process(up pomelorelay.FleetUpstream) *pomelolink.ProcessCheck {
	if up.StartUnixMilli == 0 {
		return nil
	}
	return &pomelolink.ProcessCheck{StartUnixMilli: up.StartUnixMilli, Path: c.h.cfg.Wire.ReportPath(), Parse: c.h.cfg.Wire.ParseReport}
}

// upstreamRequest builds the request to an upstream; method, path, query and body are unchanged.
func (c *call) upstreamRequest(up pomelorelay.FleetUpstream) *http.Request {
	head := c.r.Header.Clone()
	pomelolink.RemoveHopHeaders(head)
	head.Del("Content-Length")
	head.Del("Expect")
	if _, ok := head["User-Agent"]; !ok {
		// An empty entry keeps net/http from adding its own User-Agent.
		head["User-Agent"] = []string{""}
	}
	c.h.cfg.Wire.SetUpstreamFields(head, pomelorelay.UpstreamFields{
		TimeLeft: c.timeLeft(), ExpectedUpstream: up.ID, Account: c.account, CopyFrom: c.decision.CopyFrom.Addr, LastEvent: c.lastEvent, HasLastEvent: c.hasLastEvent,
	})
	req := &http.Request{
		Method:        c.r.Method,
		URL:           &url.URL{Scheme: "http", Host: c.r.Host, Path: c.r.URL.Path, RawPath: c.r.URL.RawPath, RawQuery: c.r.URL.RawQuery, ForceQuery: c.r.URL.ForceQuery},
		Host:          c.r.Host,
		Header:        head,
		Body:          http.NoBody,
		ContentLength: int64(len(c.bodyBytes())),
	}
	if len(c.bodyBytes()) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(c.bodyBytes()))
	}
	return req
}
