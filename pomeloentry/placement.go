package pomeloentry

import (
	"context"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloforward"
	"github.com/pomelorelay/pomelorelay/pomeloplace"
)

// event is something that the control goroutine takes in.
type event interface {
	apply(c *control, now time.Time)
}

// placement implements pomeloforward.Placement by events to the control goroutine.
type placement struct{ e *Entry }

// Place returns a ticket or a refusal; it fails when ctx ends first.
func (p placement) Place(ctx context.Context, w pomeloforward.PlacementRequest) (pomeloforward.Reservation, pomeloplace.Decision, error) {
	request := &placementRequested{ctx: ctx, work: w, answer: make(chan pomeloplace.Decision, 1)}
	select {
	case p.e.events <- request:
	case <-ctx.Done():
		return nil, pomeloplace.Decision{}, ctx.Err()
	}
	// The control goroutine answers within microseconds, or finds the request gone: waiting for ctx too would leave a run that
	// nobody ends.
	d := <-request.answer
	if d.Run == nil {
		return nil, d, ctx.Err()
	}
	return reservation{e: p.e, run: d.Run, work: w}, d, nil
}

// placementRequested is posted by a request that wants a place.
type placementRequested struct {
	ctx    context.Context
	work   pomeloforward.PlacementRequest
	answer chan pomeloplace.Decision
}

func (a *placementRequested) apply(c *control, now time.Time) {
	if a.ctx.Err() != nil {
		a.answer <- pomeloplace.Decision{}
		return
	}
	a.answer <- c.place(now, a.work)
}

// reservation implements pomeloforward.Ticket.
type reservation struct {
	e    *Entry
	run  *pomeloplace.Run
	work pomeloforward.PlacementRequest
}

// AnswerBegan notes that the answer began.
func (t reservation) AnswerBegan() { t.e.post(&answerBegan{t.run}) }

// Done notes how the run ended.
func (t reservation) Done(r pomeloplace.Result) { t.e.post(&runEnded{t.run, t.work, r}) }

type answerBegan struct{ run *pomeloplace.Run }

func (b *answerBegan) apply(c *control, now time.Time) { c.placer.Begun(now, b.run) }

type runEnded struct {
	run    *pomeloplace.Run
	work   pomeloforward.PlacementRequest
	result pomeloplace.Result
}

// apply ends a run. What surely did not run is given back to its account: while upstreams are down, an account whose requests find
// them first would use up its share by nothing, and see the rest refused.
func (d *runEnded) apply(c *control, now time.Time) {
	c.placer.Ended(now, d.run, d.result)
	if d.result.NotRun() && d.work.Cost > 0 && d.work.Account != "" && !d.work.Charged {
		c.shares.Returned(d.work.Account, d.work.Cost)
	}
}

// refusedUnread is posted when a full router refused a request before it was read.
type refusedUnread struct {
	account pomelorelay.AccountID
	cost    pomelorelay.Cost
}

func (f *refusedUnread) apply(c *control, _ time.Time) { c.shares.Asked(f.account, f.cost) }
