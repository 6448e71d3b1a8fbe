package pomeloroute

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloconfig"
	"github.com/pomelorelay/pomelorelay/pomelolink"

	"github.com/cespare/xxhash/v2"
)

// run processes a call: it checks for a quarantine, claims the idempotency key if there is one, and makes attempts.
func (c *call) run() error {
	if err := c.h.cfg.Suspects.CheckQuarantine(c.fingerprint, c.sharedParts); err != nil {
		return err
	}
	c.h.budget(c.service.Name).Earn(c.service.RetryBudget)
	if c.key == "" {
		return c.attempts()
	}
	if err := c.takeClaim(); err != nil {
		return err
	}
	if !c.claimed {
		c.replayOutcome()
		return nil
	}
	defer c.settleClaim()
	return c.attempts()
}

// maxUnsentAttempts limits the number of attempts of one request that were not sent because the upstream could not be reached.
const maxUnsentAttempts = 10

// attempts sends the request until it is answered or must not be retried.
func (c *call) attempts() error {
	sent, unsent := 0, 0
	for {
		f := c.attempt()
		if f == nil {
			return nil
		}
		if f.Outcome == pomelolink.OutcomeNotSent {
			unsent++
		} else {
			sent++
		}
		if sent >= c.h.cfg.Options.MaxAttempts || unsent >= maxUnsentAttempts || !c.mayRetry(f) || !c.spendRetry(f) {
			return c.correctRan(f.Err)
		}
	}
}

// spendRetry reports whether a retry is allowed and takes it from the retry budget unless it is free. Retries of unsent attempts are free:
// such attempts load no upstream, and one restart causes several within milliseconds. Retries after a crash are free too: one crash fails
// all requests of the upstream, whose retries would use up the budget; quarantine limits repeated crashes, and slot owners grant no slots
// of a crashed upstream.
func (c *call) spendRetry(f *pomelolink.Failure) bool {
	free := f.Outcome == pomelolink.OutcomeNotSent || f.Err.Code == pomelorelay.CodeUpstreamCrashed
	return free || c.h.budget(c.service.Name).Spend()
}

func (c *call) mayRetry(f *pomelolink.Failure) bool {
	if c.answerStarted || c.r.Context().Err() != nil || c.h.cfg.FinalAnswers.Err() != nil || !c.h.cfg.Clock.Now().Before(c.deadline) {
		return false
	}
	switch f.Outcome {
	case pomelolink.OutcomeNotSent, pomelolink.OutcomeRefusedNotRun:
		return true
	case pomelolink.OutcomeTruncated, pomelolink.OutcomeUnknown:
		return c.repeatable()
	}
	return false
}

// correctRan replaces RanNo in the last attempt's error with RanUnknown if an earlier attempt may have run.
func (c *call) correctRan(e *pomelorelay.Error) error {
	if e.Code == pomelorelay.CodeStopLate && e.Ran == pomelorelay.RanNo {
		e = pomelorelay.NewError(pomelorelay.CodeStopping, "", e)
	}
	if !c.mayHaveRun || e.Ran != pomelorelay.RanNo {
		return e
	}
	changed := *e
	changed.Ran = pomelorelay.RanUnknown
	return &changed
}

// attempt waits for a slot and sends the request once.
func (c *call) attempt() *pomelolink.Failure {
	ticket, f := c.admitAttempt()
	if f != nil {
		return f
	}
	ctx, cancel := c.context()
	defer cancel()
	result := Result{Outcome: pomelolink.OutcomeNotSent}
	defer func() { ticket.Done(result) }()
	run := c.suspectRun(ticket)
	if err := c.h.cfg.Suspects.AwaitPermission(ctx, run); err != nil {
		return admissionFailure(ctx, err)
	}
	if !ticket.Usable() {
		// A request suspected of crashing upstreams may have waited for seconds. If its upstream has started leaving in that time, the
		// request would be cut off when the host stops.
		return pomelolink.NewFailure(pomelolink.OutcomeNotSent, pomelorelay.CodeUpstreamUnreached, nil)
	}
	// The request is marked as possibly run before it is sent, so that the mark remains if send panics; it is corrected once the outcome is
	// known.
	before := c.mayHaveRun
	c.mayHaveRun = true
	result.Outcome = pomelolink.OutcomeUnknown
	f, result = c.send(ctx, ticket, run)
	c.mayHaveRun = before || result.Outcome == pomelolink.OutcomeTruncated || result.Outcome == pomelolink.OutcomeUnknown
	if f != nil {
		c.failedUpstreams = append(c.failedUpstreams, run.Upstream)
	}
	return c.abortStartedAnswer(f)
}

// send performs and measures an attempt that was granted a slot and permitted to run.
func (c *call) send(ctx context.Context, ticket Ticket, run SuspectRun) (f *pomelolink.Failure, result Result) {
	m := newMeter(c, ticket)
	ended := false
	defer func() {
		if !ended {
			m.stop()
			c.h.cfg.Suspects.AttemptEnded(run, false)
		}
	}()
	c.h.cfg.Suspects.AttemptStarted(run)
	f = c.exchange(ctx, ticket, m)
	ended = true
	result = m.stop()
	c.reportRun(ctx, ticket, run, f)
	result.Outcome = pomelolink.OutcomeComplete
	if f != nil {
		result.Outcome = f.Outcome
		result.Code = f.Err.Code
	}
	return f, result
}

// abortStartedAnswer ends a call that failed after its answer had started: it closes the caller's connection unless an error
// event was sent.
func (c *call) abortStartedAnswer(f *pomelolink.Failure) *pomelolink.Failure {
	if f == nil || !c.answerStarted {
		return f
	}
	if !c.errorEventSent {
		panic(http.ErrAbortHandler)
	}
	return nil
}

// reportRun reports to Suspects how the attempt ended. An upstream counts as crashed only if the connection broke and the upstream takes no
// new ones.
func (c *call) reportRun(ctx context.Context, ticket Ticket, run SuspectRun, f *pomelolink.Failure) {
	crashed := f != nil && f.ConnectionBroken && c.h.client.DropsConnections(ctx, ticket.Upstream().Address)
	if !crashed {
		if c.answerStatus >= http.StatusMultipleChoices {
			// An upstream may answer with an error before it reads the prompt.
			run.SharedParts = nil
		}
		c.h.cfg.Suspects.AttemptEnded(run, f == nil && c.answerStatus < http.StatusInternalServerError)
		return
	}
	c.suspect = true
	f.Err = pomelorelay.NewError(pomelorelay.CodeUpstreamCrashed, "", f.Err)
	c.h.cfg.Logger.Log(pomelorelay.EventUpstreamCrashed, pomelorelay.Field{Key: "Upstream", Value: run.Upstream}, pomelorelay.Field{Key: "Request", Value: c.wireID})
	c.h.cfg.Suspects.UpstreamCrashed(run)
}

func (c *call) suspectRun(ticket Ticket) SuspectRun {
	return SuspectRun{
		KnownSuspect:  c.suspect,
		Request:       c.id,
		Fingerprint:   c.fingerprint,
		SharedParts:   c.sharedParts,
		Upstream:      ticket.Upstream().Name,
		QuarantineFor: c.service.QuarantineFor,
	}
}

func (c *call) admitAttempt() (Ticket, *pomelolink.Failure) {
	ctx, cancel := c.untilFinalAnswers(context.WithDeadline(c.r.Context(), c.deadline))
	defer cancel()
	head := c.bytes()
	if len(head) > maxPrefixBytes {
		head = head[:maxPrefixBytes]
	}
	ticket, err := c.h.cfg.Admission.Admit(ctx, AdmitRequest{
		Request:         c.id,
		Account:         c.account,
		Service:         c.service.Name,
		Pool:            c.pool(),
		Fingerprint:     c.fingerprint,
		PrefixHash:      xxhash.Sum64(head),
		CostHint:        c.hint,
		Bytes:           pomelorelay.Bytes(len(c.bytes())),
		Deadline:        c.deadline,
		WaitUntil:       c.waitUntil,
		FailedUpstreams: c.failedUpstreams,
	})
	if err != nil {
		return nil, admissionFailure(ctx, err)
	}
	return ticket, nil
}

// admissionFailure converts an error that occurred before anything was sent into a failure that is not retried.
func admissionFailure(ctx context.Context, err error) *pomelolink.Failure {
	var coded, cause *pomelorelay.Error
	switch {
	case errors.As(context.Cause(ctx), &cause):
		coded = pomelorelay.NewError(pomelorelay.CodeStopping, "", err)
	case errors.As(err, &coded):
	case errors.Is(ctx.Err(), context.Canceled):
		coded = pomelorelay.NewError(pomelorelay.CodeCancelled, "", err)
	case ctx.Err() != nil:
		coded = pomelorelay.NewError(pomelorelay.CodeDeadlinePassed, "", err)
	default:
		coded = codedError(err)
	}
	return &pomelolink.Failure{Err: coded}
}

// exchange sends the request to the ticket's upstream and forwards the answer.
func (c *call) exchange(ctx context.Context, ticket Ticket, m *meter) *pomelolink.Failure {
	up := ticket.Upstream()
	req, err := c.request(up)
	if err != nil {
		return pomelolink.NewFailure(pomelolink.OutcomeNotSent, pomelorelay.CodeBadRequest, err)
	}
	x, f := c.h.client.Open(ctx, pomelolink.UpstreamRequest{Addr: up.Address, Request: req, Size: len(c.bytes()), NewConnection: !c.repeatable(), Carriers: &c.carriers})
	if f != nil {
		return f
	}
	defer func() { x.Close() }()
	if !pomelolink.IsEventStream(x.Response) {
		return c.forwardPlain(x, m)
	}
	s := newStream(ctx, c, x, m, up)
	defer s.release()
	f = s.forward()
	x = s.x
	return f
}

// request builds the request to an upstream. GetBody is not set, so that no transport could send the request again.
func (c *call) request(up *pomeloconfig.Upstream) (*http.Request, error) {
	path, err := url.PathUnescape(c.path)
	if err != nil {
		return nil, err
	}
	host := c.r.Host
	if host == "" {
		host = up.Address.String()
	}
	head := upstreamHeader(c.r.Header)
	head.Set(headerRequestID, c.wireID)
	left := c.deadline.Sub(c.h.cfg.Clock.Now())
	head.Set(headerTimeout, max(left, 0).Round(time.Millisecond).String())
	req := &http.Request{
		Method:        c.r.Method,
		URL:           &url.URL{Scheme: "http", Host: host, Path: path, RawPath: c.path, RawQuery: c.r.URL.RawQuery},
		Host:          host,
		Header:        head,
		Body:          c.bodyReader(),
		ContentLength: int64(len(c.bytes())),
	}
	if len(c.r.Trailer) > 0 {
		req.Trailer = c.r.Trailer
		req.ContentLength = -1
	}
	return req, nil
}
