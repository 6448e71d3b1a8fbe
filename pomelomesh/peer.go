package pomelomesh

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// budgetRetryDelay is the wait before messages delayed by the byte budget are retried.
const budgetRetryDelay = 50 * time.Millisecond

// peer holds the queue and the links of another router. A single goroutine dials and writes, so that Send never blocks.
type peer struct {
	m    *Mesh
	node pomelorelay.NodeID
	wake chan struct{}
	stop chan struct{}

	mu          sync.Mutex
	info        pomelorelay.Peer
	listed      bool
	incarnation pomelorelay.Incarnation
	queue       queue
	links       []*link
	sendLink    *link
	receiveLink *link
	backoff     time.Duration
	dialAfter   time.Time
	jitter      *rand.Rand
}

func newPeer(m *Mesh, node pomelorelay.NodeID) *peer {
	p := &peer{m: m, node: node, wake: make(chan struct{}, 1), stop: make(chan struct{})}
	p.info.Node = node
	p.queue.limits = m.cfg.Queue
	seed := m.cfg.Seed ^ uint64(m.cfg.Self.Incarnation)
	p.jitter = rand.New(rand.NewPCG(seed, uint64(len(m.peers))))
	m.running.Go(func() { p.run() })
	return p
}

func (p *peer) setListed(info pomelorelay.Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listed && p.info.Addr != info.Addr {
		p.backoff = 0
		p.dialAfter = time.Time{}
	}
	p.info = info
	p.listed = true
}

func (p *peer) setUnlisted() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listed = false
}

func (p *peer) send(item *queuedMessage) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.listed && len(p.links) == 0 {
		return pomelorelay.NewError(pomelorelay.CodeMeshUnknownPeer, string(p.node), nil)
	}
	coalesced, ok := p.queue.add(item)
	if !ok {
		p.m.counters.queueFull.Add(1)
		return pomelorelay.NewError(pomelorelay.CodeMeshQueueFull, string(p.node), nil)
	}
	if coalesced {
		p.m.counters.coalesced.Add(1)
	}
	p.wakeWriter()
	return nil
}

func (p *peer) wakeWriter() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// run writes queued messages, dialling when there is no link, until the peer is removed.
func (p *peer) run() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-p.m.ctx.Done():
			return
		case <-p.stop:
			return
		case <-p.wake:
		case <-timer.C:
		}
		timer.Reset(p.serve(time.Now()))
	}
}

// serve sends what is due and returns how long to wait before the next call.
func (p *peer) serve(now time.Time) time.Duration {
	p.sendKeepalives()
	l, wait := p.pickLink(now)
	if wait > 0 {
		return wait
	}
	if l == nil {
		p.dial()
		return 0
	}
	return p.flush(l)
}

// sendKeepalives sends the pings and acknowledgements that are due.
func (p *peer) sendKeepalives() {
	now := p.m.steady()
	p.mu.Lock()
	links := slices.Clone(p.links)
	p.mu.Unlock()
	for _, l := range links {
		l.sendKeepalive(now)
	}
}

// pickLink returns the link to write on, nil if a link must be dialled, or the time to wait when there is nothing to
// send or dialling must back off. It returns the same link while that link is open, because messages on two links could
// be reordered.
func (p *peer) pickLink(now time.Time) (*link, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.queue.count == 0 {
		return nil, time.Hour
	}
	if p.sendLink == nil && len(p.links) > 0 {
		p.sendLink = p.links[0]
	}
	if p.sendLink != nil {
		return p.sendLink, 0
	}
	if !p.listed {
		p.m.counters.lost.Add(uint64(p.queue.clear()))
		return nil, time.Hour
	}
	if now.Before(p.dialAfter) {
		return nil, p.dialAfter.Sub(now)
	}
	return nil, 0
}

// flush writes batches until the queue is empty or the byte budget is exhausted, and returns the time until the next flush.
func (p *peer) flush(l *link) time.Duration {
	class := p.m.budgets[l.class]
	for {
		now := time.Now()
		p.mu.Lock()
		frame := p.queue.appendBatch(p.m.frameHeader(), func(u pomelorelay.Urgency) float64 { return class.room(now, u) })
		left := p.queue.count
		p.mu.Unlock()
		if len(frame) == len(p.m.frameHeader()) {
			return p.waitAfterFlush(left)
		}
		class.charge(len(frame) + frameOverhead)
		if !l.writeFrame(frame, true) {
			return budgetRetryDelay
		}
	}
}

func (p *peer) waitAfterFlush(left int) time.Duration {
	if left == 0 {
		return time.Hour
	}
	p.m.counters.delayed.Add(1)
	p.m.logOverBudget(time.Now())
	return budgetRetryDelay
}

// attach adds a link after the exchange of hellos; it returns false if a later incarnation of the router is known.
func (p *peer) attach(l *link, incarnation pomelorelay.Incarnation) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if incarnation < p.incarnation {
		return false
	}
	if incarnation > p.incarnation {
		for _, old := range p.links {
			old.cancel()
		}
	}
	p.incarnation = incarnation
	p.links = append(p.links, l)
	p.backoff = 0
	p.dialAfter = time.Time{}
	p.m.counters.links.Add(1)
	p.wakeWriter()
	return true
}

// detach removes a closed link; if messages were being sent on it, the queue is dropped.
func (p *peer) detach(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := slices.Index(p.links, l)
	if at < 0 {
		return
	}
	p.links = slices.Delete(p.links, at, at+1)
	p.m.counters.links.Add(-1)
	if p.receiveLink == l {
		p.receiveLink = nil
	}
	if p.sendLink == l {
		p.sendLink = nil
		p.m.counters.lost.Add(uint64(p.queue.clear()))
	}
}

// accept reports whether a message received on the link may be delivered. A peer switches to another link only after
// the previous link broke at the peer's end. A message that still arrives on the previous link after that is out of
// order.
func (p *peer) accept(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.superseded || l.incarnation < p.incarnation {
		return false
	}
	if p.receiveLink != l {
		if p.receiveLink != nil {
			p.receiveLink.superseded = true
		}
		p.receiveLink = l
	}
	return true
}

// check closes expired links, wakes the writer for due keepalives and reports whether the peer can be removed.
func (p *peer) check() bool {
	now := p.m.steady()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		if l.expired(now, l.class == pomelorelay.LinkSameDomain && (l == p.sendLink || len(p.links) == 1)) {
			l.cancel()
		}
		if l.keepaliveDue(now) {
			p.wakeWriter()
		}
	}
	if p.listed || len(p.links) > 0 {
		return false
	}
	close(p.stop)
	return true
}

// backOff doubles the jittered delay before the next connection attempt and drops the queued messages.
func (p *peer) backOff(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.m.cfg.Timing
	p.backoff = min(max(2*p.backoff, t.BackoffMin), t.BackoffMax)
	p.dialAfter = now.Add(p.backoff/2 + time.Duration(p.jitter.Int64N(int64(p.backoff))))
	p.m.counters.lost.Add(uint64(p.queue.clear()))
}
