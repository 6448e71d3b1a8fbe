package pomeloentry

import (
	"context"
	"time"

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
	return ticket{e: p.e, run: d.Run}, d, nil
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
	e   *Entry
	run *pomeloplace.Run
}

// Begun notes that the answer began.
func (t ticket) Begun() { t.e.post(&begun{t.run}) }

// Ended notes how the run ended.
func (t ticket) Ended(r pomeloplace.Result) { t.e.post(&ended{t.run, r}) }

type begun struct{ run *pomeloplace.Run }

func (b *begun) apply(c *control, now time.Time) { c.placer.Begun(now, b.run) }

type ended struct {
	run    *pomeloplace.Run
	result pomeloplace.Result
}

func (d *ended) apply(c *control, now time.Time) { c.placer.Ended(now, d.run, d.result) }
