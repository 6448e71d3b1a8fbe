package pomeloentry

import (
	"context"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloforward"
	"github.com/pomelorelay/pomelorelay/pomelometric"
	"github.com/pomelorelay/pomelorelay/pomelooverload"
	"github.com/pomelorelay/pomelorelay/pomeloplace"
	"github.com/pomelorelay/pomelorelay/pomelostream"
)

// event is an input of the control goroutine.
type event interface {
	apply(c *control, now time.Time)
}

// placement implements pomeloforward.Placement by posting events to the control goroutine.
type placement struct{ e *Router }

// Place returns a reservation or a refusal; it fails when ctx ends first.
func (p placement) Place(ctx context.Context, req pomeloforward.PlacementRequest) (pomeloforward.Reservation, pomeloplace.Decision, error) {
	ev := &placementRequested{ctx: ctx, request: req, askedAt: p.e.steady(), answer: make(chan pomeloplace.Decision, 1)}
	select {
	case p.e.events <- ev:
	case <-ctx.Done():
		return nil, pomeloplace.Decision{}, ctx.Err()
	}
	// The control goroutine answers within microseconds, or once the versions were checked, or finds ctx done. Waiting for ctx here could leave a run that
	// is never ended.
	d := <-ev.answer
	if d.Run == nil {
		if d.Reason == pomeloplace.ReasonTooLate || d.Reason == pomeloplace.ReasonOverShare {
			// Callers that do not read their answers occupy slots that others wait for.
			p.e.callers.EvictStalled()
		}
		return nil, d, ctx.Err()
	}
	p.e.observeSent(ctx)
	return reservation{e: p.e, run: d.Run, request: req, upstream: d.Upstream}, d, nil
}

// observeSent records the time from the decision on a request to its sending, which follows its placement at once.
func (e *Router) observeSent(ctx context.Context) {
	if info := connOf(ctx); info != nil {
		e.metrics.ObserveStage(pomelometric.StageSend, time.Duration(e.steady()-info.decidedAt.Load()))
	}
}

// placementRequested is posted by a request that needs an upstream.
type placementRequested struct {
	ctx     context.Context
	request pomeloforward.PlacementRequest
	askedAt int64
	answer  chan pomeloplace.Decision
}

func (r *placementRequested) apply(c *control, now time.Time) {
	asked := c.e.steady()
	waited := time.Duration(asked - r.askedAt)
	c.e.overload.observe(asked, pomelooverload.StagePlace, waited)
	c.e.metrics.ObserveStage(pomelometric.StagePlace, waited)
	resume := c.resumeEvidence(now, time.Duration(r.askedAt), &r.request)
	if resume.Basis == pomelostream.BasisUnconfirmed && c.awaitVersionCheck(r) {
		return
	}
	c.decide(now, r)
}

// reservation implements pomeloforward.Reservation.
type reservation struct {
	e        *Router
	run      *pomeloplace.Run
	request  pomeloforward.PlacementRequest
	upstream pomelorelay.FleetUpstream
}

// AnswerBegan records the start of the answer and the load that the upstream announced in its header.
func (r reservation) AnswerBegan(load pomeloforward.AnnouncedLoad) { r.e.post(&answerBegan{r, load}) }

// StreamBegan records where a stream that may be resumed began.
func (r reservation) StreamBegan(confirmed bool) { r.e.post(&streamBegan{r, confirmed}) }

// AnswerLasts records that the answer has gone on for so long that its prompt does not crash upstreams.
func (r reservation) AnswerLasts() { r.e.post(&answerLasts{r}) }

// Done records the end of the run.
func (r reservation) Done(end pomeloforward.RunEnd) { r.e.post(&runEnded{r, end}) }

type answerBegan struct {
	reservation
	load pomeloforward.AnnouncedLoad
}

func (b *answerBegan) apply(c *control, now time.Time) {
	c.recordAnnounced(now, b.reservation, b.load)
	c.placer.RecordAnswerStart(now, b.run)
	c.recordSignOfLife(now, b.upstream.Process())
}

type streamBegan struct {
	reservation
	confirmed bool
}

func (b *streamBegan) apply(c *control, now time.Time) {
	c.recordOrigin(now, b.request.Stream, b.upstream, b.confirmed)
}

type answerLasts struct{ reservation }

func (l *answerLasts) apply(c *control, now time.Time) {
	c.recordSignOfLife(now, l.upstream.Process())
	c.recordAnswered(now, l.request.SharedParts...)
}

type runEnded struct {
	reservation
	end pomeloforward.RunEnd
}

// apply ends a run. The cost of a request that did not run is returned to its account: otherwise, while upstreams are down, an
// account whose requests are sent to them would use up its share without being served, and its other requests would be refused.
func (e *runEnded) apply(c *control, now time.Time) {
	c.recordAnnounced(now, e.reservation, e.end.Load)
	c.placer.RecordEvents(e.run, e.end.Events)
	c.placer.RecordEnd(now, e.run, e.end.Result)
	if e.end.Result.Served() && e.request.Account != "" {
		c.e.metrics.CountAccountServed(e.request.Account)
	}
	if e.end.Answered {
		c.recordSignOfLife(now, e.upstream.Process())
		c.recordAnswered(now, e.request.Fingerprint)
		c.recordAnswered(now, e.request.SharedParts...)
	}
	if e.end.Result.NotRun() && e.request.Cost > 0 && e.request.Account != "" && !e.request.Charged {
		c.shares.Refund(e.request.Account, e.request.Cost)
	}
}

// refusedUnread is posted when a full router has refused a request before reading it.
type refusedUnread struct {
	account pomelorelay.AccountID
	cost    pomelorelay.Cost
}

func (r *refusedUnread) apply(c *control, _ time.Time) {
	c.shares.RecordRequest(r.account, r.cost)
	if r.account != "" {
		c.e.metrics.CountAccountRequests(r.account, 1)
		c.e.metrics.CountAccountRefused(r.account, reasonUnread, 1)
	}
}
