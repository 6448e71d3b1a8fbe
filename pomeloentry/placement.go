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
type placement struct{ e *Router }

// Place returns a ticket or a refusal; it fails when ctx ends first.
func (p placement) Place(ctx context.Context, w pomeloforward.Work) (pomeloforward.Ticket, pomeloplace.Decision, error) {
	asked := &placeAsked{ctx: ctx, work: w, answer: make(chan pomeloplace.Decision, 1)}
	select {
	case p.e.events <- asked:
	case <-ctx.Done():
		return nil, pomeloplace.Decision{}, ctx.Err()
	}
	// The control goroutine answers within microseconds, or finds the request gone: waiting for ctx too would leave a run that
	// nobody ends.
	d := <-asked.answer
	if d.Run == nil {
		return nil, d, ctx.Err()
	}
	return ticket{e: p.e, run: d.Run, work: w}, d, nil
}

// placeAsked is posted by a request that wants a place.
type placeAsked struct {
	ctx    context.Context
	work   pomeloforward.Work
	answer chan pomeloplace.Decision
}

func (a *placeAsked) apply(c *control, now time.Time) {
	if a.ctx.Err() != nil {
		a.answer <- pomeloplace.Decision{}
		return
	}
	a.answer <- c.place(now, a.work)
}

// ticket implements pomeloforward.Ticket.
type ticket struct {
	e    *Router
	run  *pomeloplace.Run
	work pomeloforward.Work
}

// Begun notes that the answer began.
func (t ticket) Begun() { t.e.post(&begun{t.run}) }

// Ended notes how the run ended.
func (t ticket) Ended(r pomeloplace.Result) { t.e.post(&ended{t.run, t.work, r}) }

type begun struct{ run *pomeloplace.Run }

func (b *begun) apply(c *control, now time.Time) { c.placer.RecordAnswerStart(now, b.run) }

type ended struct {
	run    *pomeloplace.Run
	work   pomeloforward.Work
	result pomeloplace.Result
}

// apply ends a run. What surely did not run is given back to its account: while upstreams are down, an account whose requests find
// them first would use up its share by nothing, and see the rest refused.
func (d *ended) apply(c *control, now time.Time) {
	c.placer.RecordEnd(now, d.run, d.result)
	if d.result.NotRun() && d.work.Cost > 0 && d.work.Account != "" && !d.work.Charged {
		c.shares.Refund(d.work.Account, d.work.Cost)
	}
}

// refusedUnread is posted when a full router refused a request before it was read.
type refusedUnread struct {
	account pomelorelay.AccountID
	cost    pomelorelay.Cost
}

func (f *refusedUnread) apply(c *control, _ time.Time) { c.shares.RecordRequest(f.account, f.cost) }
