package pomelonode

import (
	"sync"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloconfig"
	"github.com/pomelorelay/pomelorelay/pomeloroute"
)

// stallThreshold is the age of the control goroutine's heartbeat above which that goroutine counts as stalled and requests bypass it.
const stallThreshold = 250 * time.Millisecond

// bypassSlots admits one request at a time to each upstream of the router's failure domain while the control goroutine is stalled. Without
// this bypass, all callers would wait until the stall ends, even if upstreams are idle. The owners of the upstreams' slots do not count
// these requests (at most one per router and upstream), but the loads that the upstreams report include them.
type bypassSlots struct {
	mu   sync.Mutex
	busy map[pomelorelay.UpstreamID]bool
}

// ticket returns a slot for the request if the control goroutine is stalled and a slot is free, else nil.
func (s *bypassSlots) ticket(n *Node, w *waiter) pomeloroute.Ticket {
	if !n.isControlStalled() {
		return nil
	}
	upstream := s.take(n, w)
	if upstream == nil {
		return nil
	}
	if !w.state.CompareAndSwap(waiterWaiting, waiterWithdrawn) {
		s.free(upstream.Name)
		return nil
	}
	n.log(pomelorelay.EventControlStalled, pomelorelay.Field{Key: "Upstream", Value: string(upstream.Name)})
	return &bypassTicket{n: n, waiter: w, upstream: upstream}
}

func (s *bypassSlots) take(n *Node, w *waiter) *pomeloconfig.Upstream {
	view := n.traffic.Load()
	if view == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range view.pools[w.request.Pool] {
		if s.busy[u.Name] || !n.isStaying(u.Name) || hasFailedAt(w, u.Name) || u.FailureDomain != n.self.Domain {
			continue
		}
		s.busy[u.Name] = true
		return u
	}
	return nil
}

func (s *bypassSlots) free(id pomelorelay.UpstreamID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.busy, id)
}

// bypassTicket is a slot granted without the control goroutine; its cost is charged once that goroutine runs again.
type bypassTicket struct {
	n        *Node
	waiter   *waiter
	upstream *pomeloconfig.Upstream
	once     sync.Once
}

// Upstream returns the upstream to send the attempt to.
func (t *bypassTicket) Upstream() *pomeloconfig.Upstream { return t.upstream }

// Usable reports whether the upstream may get new work; it may not while it is being removed or evacuated.
func (t *bypassTicket) Usable() bool { return t.n.isStaying(t.upstream.Name) }

// Progress does nothing, since a stalled control goroutine cannot charge the cost.
func (t *bypassTicket) Progress(pomelorelay.Cost) {}

// Done releases the slot and posts its cost to the control goroutine; only the first call has an effect.
func (t *bypassTicket) Done(r pomeloroute.Result) {
	t.once.Do(func() {
		t.n.bypass.free(t.upstream.Name)
		t.n.mail.post(bypassEnded{t.waiter, r.Cost})
	})
}

// bypassEnded is posted when a request that bypassed the control goroutine ends.
type bypassEnded struct {
	w    *waiter
	cost pomelorelay.Cost
}

func (e bypassEnded) apply(c *control, now time.Time) {
	delete(c.waiting, e.w.id)
	c.queues.Cancel(now, e.w.id)
	c.queues.Charge(now, e.w.request.Pool, e.w.request.Account, e.cost)
	c.markChanged(e.w.request.Pool)
}
