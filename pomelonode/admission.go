package pomelonode

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloconfig"
	"github.com/pomelorelay/pomelorelay/pomelofair"
	"github.com/pomelorelay/pomelorelay/pomelolink"
	"github.com/pomelorelay/pomelorelay/pomeloroute"
	"github.com/pomelorelay/pomelorelay/pomeloslot"
)

// The states of a waiter: whoever moves it on from waiting decides for the request.
const (
	waiterWaits int32 = iota
	waiterGranted
	waiterLeft
)

// maxPassed bounds the requests that one grant passes over.
const maxPassed = 16

// maxPasses is how often a request is passed over for upstreams at which it failed.
const maxPasses = 3

// stallCheck is how often a waiting request looks whether the control goroutine still runs.
const stallCheck = 100 * time.Millisecond

// waiter is a request that waits for a slot.
type waiter struct {
	request pomeloroute.AdmitRequest
	id      pomelorelay.RequestID
	state   atomic.Int32
	// passes counts how often the request was passed over; only the control goroutine uses it.
	passes int
	answer chan admitted
}

type admitted struct {
	ticket *ticket
	err    error
}

// admission implements pomeloroute.Admission by events to the control goroutine.
type admission struct{ n *Node }

// Admit waits for a grant; it fails with the refusal of the queue, or when the wait is over.
func (a admission) Admit(ctx context.Context, r pomeloroute.AdmitRequest) (pomeloroute.Ticket, error) {
	w := &waiter{request: r, id: pomelorelay.RequestID(a.n.lastAttempt.Add(1)), answer: make(chan admitted, 1)}
	a.n.mail.post(arrived{w})
	over := time.NewTimer(time.Until(r.WaitUntil))
	defer over.Stop()
	check := time.NewTicker(stallCheck)
	defer check.Stop()
	checked := time.Now()
	for {
		select {
		case got := <-w.answer:
			return got.result()
		case <-ctx.Done():
			return a.leave(w, pomelorelay.CodeCallerGone)
		case <-over.C:
			return a.leave(w, waitCode(r))
		case <-check.C:
			// A process that was halted finds its control goroutine silent for as long; that is no stall, and what it knows of
			// its upstreams is old. Without this look at the own clock it would send to some that left meanwhile.
			halted := time.Since(checked) > stallAfter
			checked = time.Now()
			if halted {
				continue
			}
			if t := a.n.spare.ticket(a.n, w); t != nil {
				return t, nil
			}
		}
	}
}

// waitCode tells a wait that reached its service's bound from one that reached the caller's deadline.
func waitCode(r pomeloroute.AdmitRequest) pomelorelay.ResultCode {
	if r.WaitUntil.Before(r.Deadline) {
		return pomelorelay.CodeQueueWait
	}
	return pomelorelay.CodeDeadline
}

// leave gives the wait up; a grant that came at the same moment is used or given back by whoever moved the state.
func (a admission) leave(w *waiter, code pomelorelay.ResultCode) (pomeloroute.Ticket, error) {
	if !w.state.CompareAndSwap(waiterWaits, waiterLeft) {
		got := <-w.answer
		return got.result()
	}
	a.n.mail.post(departed{w})
	e := pomelorelay.NewError(code, "", nil)
	e.Ran = pomelorelay.RanNo
	e.RetryAfter = a.n.status.Load().retryAfter(w.request.Pool)
	return nil, e
}

func (g admitted) result() (pomeloroute.Ticket, error) {
	if g.err != nil {
		return nil, g.err
	}
	return g.ticket, nil
}

// ticket is a granted slot.
type ticket struct {
	n        *Node
	waiter   *waiter
	grant    pomelorelay.GrantID
	upstream *pomeloconfig.Upstream
	started  time.Time
	// plain requests accrue the time that they hold the slot.
	plain bool
	// accrued holds the bits of the cost reported so far; the control goroutine reads it on its ticks.
	accrued atomic.Uint64
	ended   atomic.Bool
}

// Upstream returns where the attempt goes.
func (t *ticket) Upstream() *pomeloconfig.Upstream { return t.upstream }

// Usable reports whether the upstream stays.
func (t *ticket) Usable() bool { return t.n.stays(t.upstream.Name) }

// Progress notes the cost accrued so far.
func (t *ticket) Progress(cost pomelorelay.Cost) { t.accrued.Store(math.Float64bits(float64(cost))) }

// Done ends the slot.
func (t *ticket) Done(r pomeloroute.Result) {
	if t.ended.Swap(true) {
		return
	}
	t.n.mail.post(ended{t, r})
}

func (t *ticket) cost(now time.Time) pomelorelay.Cost {
	accrued := pomelorelay.Cost(math.Float64frombits(t.accrued.Load()))
	if t.plain {
		return max(accrued, pomelorelay.Cost(now.Sub(t.started).Seconds()))
	}
	return accrued
}

// arrived is posted when a request begins to wait.
type arrived struct{ w *waiter }

func (e arrived) apply(c *control, now time.Time) {
	r := e.w.request
	err := c.queues.Push(now, pomelofair.Request{ID: e.w.id, Pool: r.Pool, Account: r.Account, Bytes: r.Bytes, Hint: r.Hint})
	if err != nil {
		c.refuse(e.w, err)
		return
	}
	c.waiting[e.w.id] = e.w
	c.touch(r.Pool)
}

// departed is posted when a request no longer waits.
type departed struct{ w *waiter }

func (e departed) apply(c *control, now time.Time) {
	if c.waiting[e.w.id] == nil {
		return
	}
	delete(c.waiting, e.w.id)
	c.queues.Cancel(now, e.w.id)
	c.touch(e.w.request.Pool)
}

// ended is posted when a granted request gives its slot back.
type ended struct {
	t *ticket
	r pomeloroute.Result
}

func (e ended) apply(c *control, now time.Time) {
	delete(c.running, e.t.waiter.id)
	c.queues.Finish(now, e.t.waiter.id, max(e.r.Cost, e.t.cost(now)))
	state := pomelorelay.GrantFinished
	switch e.r.Outcome {
	case pomelolink.OutcomeNotSent:
		state = pomelorelay.GrantReturned
		if e.r.Code == pomelorelay.CodeUpstreamUnreached {
			state = pomelorelay.GrantUpstreamUnreachable
		}
	case pomelolink.OutcomeTruncated, pomelolink.OutcomeUnknown:
		state = pomelorelay.GrantFailed
	}
	c.settle(now, e.t.grant, e.t.waiter.request.Pool, pomeloslot.Settlement{State: state, FirstToken: e.r.FirstToken, TokenGap: e.r.TokenGap})
}

func (c *control) refuse(w *waiter, err error) {
	if w.state.CompareAndSwap(waiterWaits, waiterGranted) {
		w.answer <- admitted{err: err}
	}
}

// granted takes an owner's grant and gives it to the account that has had the least.
func (c *control) granted(now time.Time, from pomelorelay.NodeID, g *pomelorelay.Grant) {
	usable := c.asker.AcceptGrant(now, from, g)
	upstream, known := c.upstreams[g.Upstream]
	if !usable || !known || c.left[g.Upstream] || c.unsure(now) {
		c.settle(now, g.ID, g.Pool, pomeloslot.Settlement{State: pomelorelay.GrantReturned})
		return
	}
	w := c.next(now, g)
	if w == nil {
		c.settle(now, g.ID, g.Pool, pomeloslot.Settlement{State: pomelorelay.GrantReturned})
		return
	}
	t := &ticket{n: c.n, waiter: w, grant: g.ID, upstream: upstream, started: now, plain: c.plain(upstream.Service)}
	c.running[w.id] = t
	c.settle(now, g.ID, g.Pool, pomeloslot.Settlement{State: pomelorelay.GrantUsed})
	w.answer <- admitted{ticket: t}
}

// next pops the first request that still waits and has not failed at the upstream before. Those that have are passed over and
// put back: a request that stayed at the head would keep every other from the grant.
func (c *control) next(now time.Time, g *pomelorelay.Grant) *waiter {
	c.passed = c.passed[:0]
	defer func() {
		for _, id := range c.passed {
			c.queues.Requeue(now, id)
		}
	}()
	for {
		id, _, ok := c.queues.Pop(now, g.Pool)
		if !ok {
			return nil
		}
		w := c.waiting[id]
		if w != nil && len(c.passed) < maxPassed && c.passOver(w, g) {
			c.passed = append(c.passed, id)
			continue
		}
		delete(c.waiting, id)
		if w != nil && w.state.CompareAndSwap(waiterWaits, waiterGranted) {
			return w
		}
		c.queues.Finish(now, id, 0)
	}
}

func avoids(w *waiter, upstream pomelorelay.UpstreamID) bool {
	for _, id := range w.request.Avoid {
		if id == upstream {
			return true
		}
	}
	return false
}

// passOver reports whether a request is to wait for another upstream than the grant's. It is passed over a few times only: the
// other upstreams may be in failure domains where this router's demand does not go while its own has idle slots, and the request
// would wait until its deadline beside an idle upstream.
func (c *control) passOver(w *waiter, g *pomelorelay.Grant) bool {
	if w.passes >= maxPasses || !avoids(w, g.Upstream) || !c.elsewhere(w, g.Pool) {
		return false
	}
	w.passes++
	return true
}

// elsewhere reports whether the pool has an upstream that stays and at which the request has not failed. Without this check a
// request that failed once at each of them would wait until its deadline.
func (c *control) elsewhere(w *waiter, pool pomelorelay.PoolID) bool {
	for id, u := range c.upstreams {
		if u.Pool() == pool && !c.left[id] && !avoids(w, id) {
			return true
		}
	}
	return false
}

// settle tells an owner what became of its grant, with the pool's fresh demand.
func (c *control) settle(now time.Time, id pomelorelay.GrantID, pool pomelorelay.PoolID, s pomeloslot.Settlement) {
	head, waiting, ok := c.queues.Head(now, pool)
	if ok {
		s.Head, s.Waiting = head, waiting
	}
	c.out = c.asker.SettleGrant(now, id, s, c.out)
}
