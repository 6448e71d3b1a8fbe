package pomelomesh

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// retryBudget is the wait before messages that the byte budget held back are tried again.
const retryBudget = 50 * time.Millisecond

// peer is one other router: its queue and its links. One goroutine dials and writes, so that Send never blocks.
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
	sending     *link
	receiving   *link
	backoff     time.Duration
	dialAfter   time.Time
	jitter      *rand.Rand
}

func newPeer(m *Mesh, node pomelorelay.NodeID) *peer {
	p := &peer{m: m, node: node, wake: make(chan struct{}, 1), stop: make(chan struct{})}
	p.info.Node = node
	p.queue.bounds = m.cfg.Queue
	seed := m.cfg.Seed ^ uint64(m.cfg.Self.Incarnation)
	p.jitter = rand.New(rand.NewPCG(seed, uint64(len(m.peers))))
	m.running.Go(func() { p.run() })
	return p
}

func (p *peer) list(info pomelorelay.Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listed && p.info.Addr != info.Addr {
		p.backoff = 0
		p.dialAfter = time.Time{}
	}
	p.info = info
	p.listed = true
}

func (p *peer) unlist() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listed = false
}

func (p *peer) send(item *queued) error {
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
	p.signal()
	return nil
}

func (p *peer) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// run writes what is queued and dials when there is no link, until the peer is dropped.
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

// serve does what is due and returns the wait until it must be called again.
func (p *peer) serve(now time.Time) time.Duration {
	p.signs(now)
	l, wait := p.pick(now)
	if wait > 0 {
		return wait
	}
	if l == nil {
		p.dial()
		return 0
	}
	return p.flush(l)
}

// signs writes the pings and signs of life that links owe.
func (p *peer) signs(now time.Time) {
	p.mu.Lock()
	links := slices.Clone(p.links)
	p.mu.Unlock()
	for _, l := range links {
		l.sign(now)
	}
}

// pick returns the link to write on, nil to dial, or a wait when nothing can be done now. A peer keeps to the link
// that it began with, so that messages do not overtake each other on two.
func (p *peer) pick(now time.Time) (*link, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.queue.count == 0 {
		return nil, time.Hour
	}
	if p.sending == nil && len(p.links) > 0 {
		p.sending = p.links[0]
	}
	if p.sending != nil {
		return p.sending, 0
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

// flush writes batches until the queue is empty or the budget is spent.
func (p *peer) flush(l *link) time.Duration {
	class := p.m.budgets[l.class]
	for {
		now := time.Now()
		p.mu.Lock()
		frame := p.queue.batch(p.m.header(), func(u pomelorelay.Urgency) float64 { return class.room(now, u) })
		left := p.queue.count
		p.mu.Unlock()
		if len(frame) == len(p.m.header()) {
			return p.held(left)
		}
		class.charge(len(frame) + frameOverhead)
		if !l.write(frame, true) {
			return retryBudget
		}
	}
}

func (p *peer) held(left int) time.Duration {
	if left == 0 {
		return time.Hour
	}
	p.m.counters.delayed.Add(1)
	p.m.noteOverBudget(time.Now())
	return retryBudget
}

// attach takes a link whose far end said who it is; it reports false when that router has started anew since.
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
	p.signal()
	return true
}

// detach drops a link that ended; what was queued for it is lost.
func (p *peer) detach(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := slices.Index(p.links, l)
	if at < 0 {
		return
	}
	p.links = slices.Delete(p.links, at, at+1)
	p.m.counters.links.Add(-1)
	if p.receiving == l {
		p.receiving = nil
	}
	if p.sending == l {
		p.sending = nil
		p.m.counters.lost.Add(uint64(p.queue.clear()))
	}
}

// accept reports whether messages on the link are still wanted. A peer leaves a link only when it is broken at its
// end, so what arrives on the former one after the first message on the next is late and would overtake.
func (p *peer) accept(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.superseded || l.incarnation < p.incarnation {
		return false
	}
	if p.receiving != l {
		if p.receiving != nil {
			p.receiving.superseded = true
		}
		p.receiving = l
	}
	return true
}

// check wakes the writer for signs that are due, ends silent and idle links, and reports whether the peer can be dropped.
func (p *peer) check(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		if l.expired(now, l.class == pomelorelay.LinkSameDomain && (l == p.sending || len(p.links) == 1)) {
			l.cancel()
		}
		if l.owes(now) {
			p.signal()
		}
	}
	if p.listed || len(p.links) > 0 {
		return false
	}
	close(p.stop)
	return true
}

// delay sets the jittered wait before the next attempt to connect.
func (p *peer) delay(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.m.cfg.Timing
	p.backoff = min(max(2*p.backoff, t.BackoffMin), t.BackoffMax)
	p.dialAfter = now.Add(p.backoff/2 + time.Duration(p.jitter.Int64N(int64(p.backoff))))
	p.m.counters.lost.Add(uint64(p.queue.clear()))
}
