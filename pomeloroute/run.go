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

// run takes a call through its claim and its attempts.
func (c *call) run() error {
	if err := c.h.cfg.Suspects.Refuse(c.fingerprint); err != nil {
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
		c.replay()
		return nil
	}
	defer c.settle()
	return c.attempts()
}

// maxUnsent bounds the attempts of one request at upstreams that could not be reached.
const maxUnsent = 10

// attempts sends the request until it is answered or must not be sent again.
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
		if sent >= c.h.cfg.Options.MaxAttempts || unsent >= maxUnsent || !c.mayRetry(f) || !c.affords(f) {
			return c.truthful(f.Err)
		}
	}
}

// affords spends the retry budget for an attempt that reached an upstream which lives. One that reached none costs nobody anything,
// and while an upstream restarts there are several within milliseconds. A crash makes all that ran there try again at once, and the
// request that caused it too: paid from the budget, the ones that ran beside it would get an error because of its retries. Its slot
// owner stops granting a crashed upstream, and the suspects' part bounds how often one request crashes others.
func (c *call) affords(f *pomelolink.Failure) bool {
	free := f.Outcome == pomelolink.OutcomeNotSent || f.Err.Code == pomelorelay.CodeUpstreamCrashed
	return free || c.h.budget(c.service.Name).Spend()
}

func (c *call) mayRetry(f *pomelolink.Failure) bool {
	if c.answering || c.r.Context().Err() != nil || !c.h.cfg.Clock.Now().Before(c.deadline) {
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

// truthful keeps the last attempt's "not run" from being said of a request whose earlier attempt may have run.
func (c *call) truthful(e *pomelorelay.Error) error {
	if !c.mayHaveRun || e.Ran != pomelorelay.RanNo {
		return e
	}
	changed := *e
	changed.Ran = pomelorelay.RanUnknown
	return &changed
}

// attempt waits for a slot and sends the request once.
func (c *call) attempt() *pomelolink.Failure {
	ctx, cancel := c.context()
	defer cancel()
	ticket, f := c.admit()
	if f != nil {
		return f
	}
	result := Result{Outcome: pomelolink.OutcomeNotSent}
	defer func() { ticket.Done(result) }()
	run := c.suspectRun(ticket)
	if err := c.h.cfg.Suspects.Check(ctx, run); err != nil {
		return refusal(ctx, err)
	}
	if !ticket.Usable() {
		// A suspect may wait seconds for its turn; sent to an upstream that leaves meanwhile it would end with the host.
		return pomelolink.NewFailure(pomelolink.OutcomeNotSent, pomelorelay.CodeUpstreamUnreached, nil)
	}
	// Until the outcome is known the request counts as one that may have run, also when a defect ends this function.
	before := c.mayHaveRun
	c.mayHaveRun = true
	result.Outcome = pomelolink.OutcomeUnknown
	f, result = c.send(ctx, ticket, run)
	c.mayHaveRun = before || result.Outcome == pomelolink.OutcomeTruncated || result.Outcome == pomelolink.OutcomeUnknown
	if f != nil {
		c.avoid = append(c.avoid, run.Upstream)
	}
	return c.afterAnswer(f)
}

// send carries out an attempt that has its slot and its turn, and measures it.
func (c *call) send(ctx context.Context, ticket Ticket, run SuspectRun) (f *pomelolink.Failure, result Result) {
	m := newMeter(c, ticket)
	ended := false
	defer func() {
		if !ended {
			m.end()
			c.h.cfg.Suspects.Ended(run, false)
		}
	}()
	c.h.cfg.Suspects.Began(run)
	f = c.exchange(ctx, ticket, m)
	ended = true
	result = m.end()
	c.endRun(ctx, ticket, run, f)
	result.Outcome = pomelolink.OutcomeComplete
	if f != nil {
		result.Outcome = f.Outcome
		result.Code = f.Err.Code
	}
	return f, result
}

// afterAnswer ends a call whose answer had begun when it failed: a caller that was not told has its connection closed.
func (c *call) afterAnswer(f *pomelolink.Failure) *pomelolink.Failure {
	if f == nil || !c.answering {
		return f
	}
	if !c.told {
		panic(http.ErrAbortHandler)
	}
	return nil
}

// endRun tells the crash suspects' part how the attempt ended. Only an upstream that cut the connection and takes no
// other has crashed.
func (c *call) endRun(ctx context.Context, ticket Ticket, run SuspectRun, f *pomelolink.Failure) {
	crashed := f != nil && f.Cut && c.h.links.Refuses(ctx, ticket.Upstream().Address)
	if !crashed {
		c.h.cfg.Suspects.Ended(run, f == nil)
		return
	}
	c.suspect = true
	f.Err = pomelorelay.NewError(pomelorelay.CodeUpstreamCrashed, "", f.Err)
	c.h.cfg.Logger.Log(pomelorelay.EventUpstreamCrashed, pomelorelay.Field{Key: "Upstream", Value: run.Upstream}, pomelorelay.Field{Key: "Request", Value: c.wire})
	c.h.cfg.Suspects.Crashed(run)
}

func (c *call) suspectRun(ticket Ticket) SuspectRun {
	return SuspectRun{
		Known:         c.suspect,
		Request:       c.id,
		Fingerprint:   c.fingerprint,
		Upstream:      ticket.Upstream().Name,
		QuarantineFor: c.service.QuarantineFor,
	}
}

func (c *call) admit() (Ticket, *pomelolink.Failure) {
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	head := c.bytes()
	if len(head) > prefixBytes {
		head = head[:prefixBytes]
	}
	ticket, err := c.h.cfg.Admission.Admit(ctx, AdmitRequest{
		Request:     c.id,
		Account:     c.account,
		Service:     c.service.Name,
		Pool:        c.pool(),
		Fingerprint: c.fingerprint,
		Prefix:      xxhash.Sum64(head),
		Hint:        c.hint,
		Bytes:       pomelorelay.Bytes(len(c.bytes())),
		Deadline:    c.deadline,
		WaitUntil:   c.waitUntil,
		Avoid:       c.avoid,
	})
	if err != nil {
		return nil, refusal(ctx, err)
	}
	return ticket, nil
}

// refusal turns an error from before anything was sent into a failure that is not tried again.
func refusal(ctx context.Context, err error) *pomelolink.Failure {
	var coded *pomelorelay.Error
	switch {
	case errors.As(err, &coded):
	case errors.Is(ctx.Err(), context.Canceled):
		coded = pomelorelay.NewError(pomelorelay.CodeCancelled, "", err)
	case ctx.Err() != nil:
		coded = pomelorelay.NewError(pomelorelay.CodeDeadline, "", err)
	default:
		coded = asError(err)
	}
	return &pomelolink.Failure{Err: coded}
}

// exchange sends the request to the ticket's upstream and passes a whole answer on.
func (c *call) exchange(ctx context.Context, ticket Ticket, m *meter) *pomelolink.Failure {
	up := ticket.Upstream()
	req, err := c.request(up)
	if err != nil {
		return pomelolink.NewFailure(pomelolink.OutcomeNotSent, pomelorelay.CodeBadRequest, err)
	}
	x, f := c.h.links.Open(ctx, pomelolink.UpstreamRequest{Addr: up.Address, Request: req, Size: len(c.bytes()), Fresh: !c.repeatable()})
	if f != nil {
		return f
	}
	defer func() { x.Close() }()
	if !pomelolink.IsEventStream(x.Response) {
		return c.passPlain(x, m)
	}
	s := newStream(ctx, c, x, m, up)
	defer s.release()
	f = s.pass()
	x = s.x
	return f
}

// request builds the request to an upstream. It has no GetBody and never meets a transport that could use one.
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
	head.Set(headerRequestID, c.wire)
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
