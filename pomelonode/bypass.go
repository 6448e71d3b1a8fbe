package pomelonode

import (
	"sync"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloconfig"
	"github.com/pomelorelay/pomelorelay/pomeloroute"
)

// stallThreshold is how long the control goroutine may be silent before requests use the spare slots.
const stallThreshold = 250 * time.Millisecond

// bypassSlots lets a few requests through to each upstream while the control goroutine is stalled. Without it every caller of
// the router would wait for as long as the stall lasts, though upstreams are idle; with it at most one request per router and
// upstream runs that no owner knows of, which the upstream's reported load makes up for.
type bypassSlots struct {
	mu   sync.Mutex
	busy map[pomelorelay.UpstreamID]bool
}

// ticket returns a spare slot when the control goroutine is stalled and one is free.
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
	n.log(pomelorelay.EventControlStall, pomelorelay.Field{Key: "Upstream", Value: string(upstream.Name)})
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

// bypassTicket is a slot used while the control goroutine was stalled; its cost is charged when that runs again.
type bypassTicket struct {
	n        *Node
	waiter   *waiter
	upstream *pomeloconfig.Upstream
	once     sync.Once
}

// Upstream returns where the attempt goes.
func (t *bypassTicket) Upstream() *pomeloconfig.Upstream { return t.upstream }

// Usable reports whether the upstream stays.
func (t *bypassTicket) Usable() bool { return t.n.isStaying(t.upstream.Name) }

// Progress is not followed: nobody could charge it now.
func (t *bypassTicket) Progress(pomelorelay.Cost) {}

// Done frees the slot and leaves the cost to be charged.
func (t *bypassTicket) Done(r pomeloroute.Result) {
	t.once.Do(func() {
		t.n.bypass.free(t.upstream.Name)
		t.n.mail.post(bypassEnded{t.waiter, r.Cost})
	})
}

// bypassEnded is posted when a request that ran on a spare slot ended.
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
