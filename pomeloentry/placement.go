package pomeloentry

import (
	"context"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloforward"
	"github.com/pomelorelay/pomelorelay/pomeloplace"
)

// event is an input of the control goroutine.
type event interface {
	apply(c *control, now time.Time)
}

// placement implements pomeloforward.Placement by posting events to the control goroutine.
type placement struct{ e *Router }

// Place returns a reservation or a refusal; it fails when ctx ends first.
func (p placement) Place(ctx context.Context, req pomeloforward.PlacementRequest) (pomeloforward.Reservation, pomeloplace.Decision, error) {
	ev := &placementRequested{ctx: ctx, request: req, answer: make(chan pomeloplace.Decision, 1)}
	select {
	case p.e.events <- ev:
	case <-ctx.Done():
		return nil, pomeloplace.Decision{}, ctx.Err()
	}
	// The control goroutine answers within microseconds or finds ctx done. Waiting for ctx here could leave a run that is never ended.
	d := <-ev.answer
	if d.Run == nil {
		return nil, d, ctx.Err()
	}
	return reservation{e: p.e, run: d.Run, request: req, version: d.Upstream.Version}, d, nil
}

// placementRequested is posted by a request that needs an upstream.
type placementRequested struct {
	ctx     context.Context
	request pomeloforward.PlacementRequest
	answer  chan pomeloplace.Decision
}

func (r *placementRequested) apply(c *control, now time.Time) {
	if r.ctx.Err() != nil {
		r.answer <- pomeloplace.Decision{}
		return
	}
	r.answer <- c.place(now, r.request)
}

// reservation implements pomeloforward.Reservation.
type reservation struct {
	e       *Router
	run     *pomeloplace.Run
	request pomeloforward.PlacementRequest
	version pomelorelay.SoftwareVersion
}

// AnswerBegan records the start of the answer.
func (r reservation) AnswerBegan() { r.e.post(&answerBegan{r.run, r.request.Stream, r.version}) }

// Done records the result of the run.
func (r reservation) Done(result pomeloplace.Result) { r.e.post(&runEnded{r.run, r.request, result}) }

type answerBegan struct {
	run     *pomeloplace.Run
	stream  pomeloforward.StreamProgress
	version pomelorelay.SoftwareVersion
}

func (b *answerBegan) apply(c *control, now time.Time) {
	c.placer.RecordAnswerStart(now, b.run)
	c.recordOrigin(now, b.stream, b.version)
}

type runEnded struct {
	run     *pomeloplace.Run
	request pomeloforward.PlacementRequest
	result  pomeloplace.Result
}

// apply ends a run. The cost of a request that did not run is returned to its account: otherwise, while upstreams are down, an
// account whose requests are sent to them would use up its share without being served, and its other requests would be refused.
func (e *runEnded) apply(c *control, now time.Time) {
	c.placer.RecordEnd(now, e.run, e.result)
	if e.result.Served() {
		c.recordServed(now, e.request.Fingerprint)
	}
	if e.result.NotRun() && e.request.Cost > 0 && e.request.Account != "" && !e.request.Charged {
		c.shares.Refund(e.request.Account, e.request.Cost)
	}
}

// refusedUnread is posted when a full router has refused a request before reading it.
type refusedUnread struct {
	account pomelorelay.AccountID
	cost    pomelorelay.Cost
}

func (r *refusedUnread) apply(c *control, _ time.Time) { c.shares.RecordRequest(r.account, r.cost) }
