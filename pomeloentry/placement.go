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
func (p placement) Place(ctx context.Context, w pomeloforward.PlacementRequest) (pomeloforward.Reservation, pomeloplace.Decision, error) {
	request := &placementRequested{ctx: ctx, work: w, answer: make(chan pomeloplace.Decision, 1)}
	select {
	case p.e.events <- request:
	case <-ctx.Done():
		return nil, pomeloplace.Decision{}, ctx.Err()
	}
	// The control goroutine answers within microseconds or finds ctx done. Waiting for ctx here could leave a run that is never ended.
	d := <-request.answer
	if d.Run == nil {
		return nil, d, ctx.Err()
	}
	return reservation{e: p.e, run: d.Run, work: w}, d, nil
}

// placementRequested is posted by a request that needs an upstream.
type placementRequested struct {
	ctx    context.Context
	work   pomeloforward.PlacementRequest
	answer chan pomeloplace.Decision
}

func (r *placementRequested) apply(c *control, now time.Time) {
	if r.ctx.Err() != nil {
		r.answer <- pomeloplace.Decision{}
		return
	}
	r.answer <- c.place(now, r.work)
}

// reservation implements pomeloforward.Reservation.
type reservation struct {
	e    *Router
	run  *pomeloplace.Run
	work pomeloforward.PlacementRequest
}

// AnswerBegan records the start of the answer.
func (t reservation) AnswerBegan() { t.e.post(&answerBegan{t.run}) }

// Done records the result of the run.
func (t reservation) Done(r pomeloplace.Result) { t.e.post(&runEnded{t.run, t.work, r}) }

type answerBegan struct{ run *pomeloplace.Run }

func (b *answerBegan) apply(c *control, now time.Time) { c.placer.RecordAnswerStart(now, b.run) }

type runEnded struct {
	run    *pomeloplace.Run
	work   pomeloforward.PlacementRequest
	result pomeloplace.Result
}

// apply ends a run. The cost of a request that did not run is returned to its account: otherwise, while upstreams are down, an
// account whose requests hit them first would use up its share without service and get its other requests refused.
func (e *runEnded) apply(c *control, now time.Time) {
	c.placer.RecordEnd(now, e.run, e.result)
	if e.result.NotRun() && e.work.Cost > 0 && e.work.Account != "" && !e.work.Charged {
		c.shares.Refund(e.work.Account, e.work.Cost)
	}
}

// refusedUnread is posted when a full router has refused a request before reading it.
type refusedUnread struct {
	account pomelorelay.AccountID
	cost    pomelorelay.Cost
}

func (r *refusedUnread) apply(c *control, _ time.Time) { c.shares.RecordRequest(r.account, r.cost) }
