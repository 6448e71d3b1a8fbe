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

// The states of a waiting request. The goroutine that changes the state from waiterWaiting, by compare-and-swap, decides how the wait ends.
const (
	waiterWaiting int32 = iota
	waiterAnswered
	waiterWithdrawn
)

// maxSkipsPerGrant limits how many queued requests are skipped to find one that has not failed at the upstream of a granted slot.
const maxSkipsPerGrant = 16

// maxSkipsPerRequest limits how often one request is skipped because it has failed at the upstream of a granted slot.
const maxSkipsPerRequest = 3

// stallCheckInterval is how often a waiting request checks whether the control goroutine, which assigns slots to requests, is stalled.
const stallCheckInterval = 100 * time.Millisecond

// waiter is a request that waits for a slot.
type waiter struct {
	request pomeloroute.AdmitRequest
	id      pomelorelay.RequestID
	state   atomic.Int32
	// skips counts the granted slots for which this request was skipped; only the control goroutine uses it.
	skips  int
	answer chan admitResult
}

type admitResult struct {
	ticket *ticket
	err    error
}

// admission implements pomeloroute.Admission by posting events to the control goroutine.
type admission struct{ n *Node }

// Admit waits until the control goroutine assigns a slot; while that goroutine is stalled, Admit may take one from bypassSlots instead. It
// fails when the queue refuses the request, when WaitUntil has passed or when ctx is done.
func (a admission) Admit(ctx context.Context, r pomeloroute.AdmitRequest) (pomeloroute.Ticket, error) {
	w := &waiter{request: r, id: pomelorelay.RequestID(a.n.lastAttemptID.Add(1)), answer: make(chan admitResult, 1)}
	a.n.mail.post(requestQueued{w})
	waitTimer := time.NewTimer(time.Until(r.WaitUntil))
	defer waitTimer.Stop()
	stallTicker := time.NewTicker(stallCheckInterval)
	defer stallTicker.Stop()
	lastCheck := time.Now()
	for {
		select {
		case got := <-w.answer:
			return got.unwrap()
		case <-ctx.Done():
			return a.withdraw(w, pomelorelay.CodeCallerGone)
		case <-waitTimer.C:
			return a.withdraw(w, waitEndCode(r))
		case <-stallTicker.C:
			// After the whole process was paused, the control goroutine's heartbeat is old although that goroutine is not stalled.
			// Bypassing it then could send the request to an upstream that started leaving during the pause.
			paused := time.Since(lastCheck) > stallThreshold
			lastCheck = time.Now()
			if paused {
				continue
			}
			if t := a.n.bypass.ticket(a.n, w); t != nil {
				return t, nil
			}
		}
	}
}

// waitEndCode returns CodeQueueWaitOver for a wait that reached its service's limit, CodeDeadlinePassed for one that reached the caller's deadline.
func waitEndCode(r pomeloroute.AdmitRequest) pomelorelay.ResultCode {
	if r.WaitUntil.Before(r.Deadline) {
		return pomelorelay.CodeQueueWaitOver
	}
	return pomelorelay.CodeDeadlinePassed
}

// withdraw ends the wait with the given code; if the request was granted a slot or refused concurrently, it returns that result instead.
func (a admission) withdraw(w *waiter, code pomelorelay.ResultCode) (pomeloroute.Ticket, error) {
	if !w.state.CompareAndSwap(waiterWaiting, waiterWithdrawn) {
		got := <-w.answer
		return got.unwrap()
	}
	a.n.mail.post(requestWithdrawn{w})
	e := pomelorelay.NewError(code, "", nil)
	e.Ran = pomelorelay.RanNo
	e.RetryAfter = a.n.status.Load().retryAfter(w.request.Pool)
	return nil, e
}

func (r admitResult) unwrap() (pomeloroute.Ticket, error) {
	if r.err != nil {
		return nil, r.err
	}
	return r.ticket, nil
}

// ticket is a slot that was granted to one attempt.
type ticket struct {
	n        *Node
	waiter   *waiter
	grant    pomelorelay.GrantID
	upstream *pomeloconfig.Upstream
	started  time.Time
	// plain is set for services that are not model engines; their requests cost the time in seconds for which they hold the slot.
	plain bool
	// accrued holds the float64 bits of the cost reported so far; the control goroutine reads it on each tick.
	accrued atomic.Uint64
	ended   atomic.Bool
}

// Upstream returns the upstream to send the attempt to.
func (t *ticket) Upstream() *pomeloconfig.Upstream { return t.upstream }

// Usable reports whether the upstream may get new work; it may not while it is being removed or evacuated.
func (t *ticket) Usable() bool { return t.n.isStaying(t.upstream.Name) }

// Progress stores the cost accrued so far.
func (t *ticket) Progress(cost pomelorelay.Cost) { t.accrued.Store(math.Float64bits(float64(cost))) }

// Done releases the slot; only the first call has an effect.
func (t *ticket) Done(r pomeloroute.Result) {
	if t.ended.Swap(true) {
		return
	}
	t.n.mail.post(attemptEnded{t, r})
}

func (t *ticket) cost(now time.Time) pomelorelay.Cost {
	accrued := pomelorelay.Cost(math.Float64frombits(t.accrued.Load()))
	if t.plain {
		return max(accrued, pomelorelay.Cost(now.Sub(t.started).Seconds()))
	}
	return accrued
}

// requestQueued is posted when a request starts to wait for a slot.
type requestQueued struct{ w *waiter }

func (e requestQueued) apply(c *control, now time.Time) {
	r := e.w.request
	err := c.queues.Push(now, pomelofair.Request{ID: e.w.id, Pool: r.Pool, Account: r.Account, Bytes: r.Bytes, Hint: r.CostHint})
	if err != nil {
		c.refuse(e.w, err)
		return
	}
	c.waiting[e.w.id] = e.w
	c.markChanged(r.Pool)
}

// requestWithdrawn is posted when a request stops waiting although it got no slot.
type requestWithdrawn struct{ w *waiter }

func (e requestWithdrawn) apply(c *control, now time.Time) {
	if c.waiting[e.w.id] == nil {
		return
	}
	delete(c.waiting, e.w.id)
	c.queues.Cancel(now, e.w.id)
	c.markChanged(e.w.request.Pool)
}

// attemptEnded is posted when an attempt ends and releases its slot.
type attemptEnded struct {
	t *ticket
	r pomeloroute.Result
}

func (e attemptEnded) apply(c *control, now time.Time) {
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
	c.settleGrant(now, e.t.grant, e.t.waiter.request.Pool, pomeloslot.GrantOutcome{State: state, FirstToken: e.r.FirstToken, TokenGap: e.r.TokenGap})
}

func (c *control) refuse(w *waiter, err error) {
	if w.state.CompareAndSwap(waiterWaiting, waiterAnswered) {
		w.answer <- admitResult{err: err}
	}
}

// receiveGrant handles the grant of a slot to this router: it assigns the slot to the first waiting request in fair-queue order, or returns
// it to its owner if it cannot be used.
func (c *control) receiveGrant(now time.Time, from pomelorelay.NodeID, g *pomelorelay.Grant) {
	usable := c.slotRequester.AcceptGrant(now, from, g)
	upstream, known := c.upstreams[g.Upstream]
	if !usable || !known || c.leaving[g.Upstream] || c.isStale(now) {
		c.settleGrant(now, g.ID, g.Pool, pomeloslot.GrantOutcome{State: pomelorelay.GrantReturned})
		return
	}
	w := c.nextWaiter(now, g)
	if w == nil {
		c.settleGrant(now, g.ID, g.Pool, pomeloslot.GrantOutcome{State: pomelorelay.GrantReturned})
		return
	}
	t := &ticket{n: c.n, waiter: w, grant: g.ID, upstream: upstream, started: now, plain: c.isPlain(upstream.Service)}
	c.running[w.id] = t
	c.settleGrant(now, g.ID, g.Pool, pomeloslot.GrantOutcome{State: pomelorelay.GrantUsed})
	w.answer <- admitResult{ticket: t}
}

// nextWaiter pops the next waiting request for a granted slot. Requests that have failed at the slot's upstream may be skipped and are then
// requeued; left at the head, they would block the requests behind them.
func (c *control) nextWaiter(now time.Time, g *pomelorelay.Grant) *waiter {
	c.skipped = c.skipped[:0]
	defer func() {
		for _, id := range c.skipped {
			c.queues.Requeue(now, id)
		}
	}()
	for {
		id, _, ok := c.queues.Pop(now, g.Pool)
		if !ok {
			return nil
		}
		w := c.waiting[id]
		if w != nil && len(c.skipped) < maxSkipsPerGrant && c.skip(w, g) {
			c.skipped = append(c.skipped, id)
			continue
		}
		delete(c.waiting, id)
		if w != nil && w.state.CompareAndSwap(waiterWaiting, waiterAnswered) {
			return w
		}
		c.queues.Finish(now, id, 0)
	}
}

func hasFailedAt(w *waiter, upstream pomelorelay.UpstreamID) bool {
	for _, id := range w.request.FailedUpstreams {
		if id == upstream {
			return true
		}
	}
	return false
}

// skip reports whether a request that has failed at the granted slot's upstream should wait for another upstream, and counts the skip. It
// returns true at most maxSkipsPerRequest times per request. Without the limit a request could wait until its deadline: the other upstreams
// may be in failure domains from which this router requests no slots while its own domain has idle slots.
func (c *control) skip(w *waiter, g *pomelorelay.Grant) bool {
	if w.skips >= maxSkipsPerRequest || !hasFailedAt(w, g.Upstream) || !c.hasAlternative(w, g.Pool) {
		return false
	}
	w.skips++
	return true
}

// hasAlternative reports whether the pool has an upstream that is not leaving and at which the request has not failed. Without this check,
// a request that has failed at every upstream would wait longer, up to its deadline, without finding a better one.
func (c *control) hasAlternative(w *waiter, pool pomelorelay.PoolID) bool {
	for id, u := range c.upstreams {
		if u.Pool() == pool && !c.leaving[id] && !hasFailedAt(w, id) {
			return true
		}
	}
	return false
}

// settleGrant reports to the slot's owner how a granted slot was used, together with the pool's current demand for slots.
func (c *control) settleGrant(now time.Time, id pomelorelay.GrantID, pool pomelorelay.PoolID, s pomeloslot.GrantOutcome) {
	head, waiting, ok := c.queues.Head(now, pool)
	if ok {
		s.Head, s.Waiting = head, waiting
	}
	c.outgoing = c.slotRequester.SettleGrant(now, id, s, c.outgoing)
}
