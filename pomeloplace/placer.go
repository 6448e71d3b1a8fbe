package pomeloplace

import (
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"

	"github.com/cespare/xxhash/v2"
)

// Placer decides where requests go.
type Placer struct {
	cfg       Config
	upstreams map[pomelorelay.UpstreamID]*upstream
	// services holds the upstreams of each service by id, so that the same calls always give the same answers.
	services map[pomelorelay.ServiceID][]*upstream
	engines  map[pomelorelay.ServiceID]*pomelorelay.EngineSpec
	peers    map[pomelorelay.NodeID]*peer
	parts    []pomelorelay.PartPlaced
	// untold are the prompt tokens that were sent since the last report.
	untold pomelorelay.Tokens
	seq    uint64
}

// New returns a Placer that knows no upstream.
func New(cfg Config) *Placer {
	return &Placer{
		cfg:       cfg,
		upstreams: make(map[pomelorelay.UpstreamID]*upstream),
		services:  make(map[pomelorelay.ServiceID][]*upstream),
		engines:   make(map[pomelorelay.ServiceID]*pomelorelay.EngineSpec),
		peers:     make(map[pomelorelay.NodeID]*peer),
	}
}

// SetServices takes what the configuration says of the services.
func (p *Placer) SetServices(services []pomelorelay.ServiceSpec) {
	clear(p.engines)
	for _, s := range services {
		p.engines[s.Name] = s.Engine
	}
	for _, u := range p.upstreams {
		u.setEngine(p.engines[u.info.Service])
	}
}

// Put takes an upstream's entry. One that was born anew, or has another address, keeps nothing of before.
func (p *Placer) Put(info pomelorelay.FleetUpstream) {
	u := p.upstreams[info.ID]
	if u != nil && u.info.Service == info.Service && u.info.Addr == info.Addr && (u.info.Born == info.Born || info.Born == 0) {
		u.info = info
		return
	}
	if u != nil {
		p.Remove(info.ID)
	}
	u = newUpstream(info, p.engines[info.Service])
	p.upstreams[info.ID] = u
	list := append(p.services[info.Service], u)
	slices.SortFunc(list, func(a, b *upstream) int {
		if a.info.ID < b.info.ID {
			return -1
		}
		return 1
	})
	p.services[info.Service] = list
	p.recount(u)
}

// Remove forgets an upstream; what runs there goes on.
func (p *Placer) Remove(id pomelorelay.UpstreamID) {
	u := p.upstreams[id]
	if u == nil {
		return
	}
	u.gone = true
	delete(p.upstreams, id)
	p.services[u.info.Service] = slices.DeleteFunc(p.services[u.info.Service], func(o *upstream) bool { return o == u })
}

// Upstreams returns the ids of all known upstreams.
func (p *Placer) Upstreams() []pomelorelay.UpstreamID {
	ids := make([]pomelorelay.UpstreamID, 0, len(p.upstreams))
	for id := range p.upstreams {
		ids = append(ids, id)
	}
	return ids
}

// candidate is an upstream weighed for a request.
type candidate struct {
	up      *upstream
	missing pomelorelay.Tokens
	backlog time.Duration
	// expected is the time until the answer begins, cost orders the candidates.
	expected time.Duration
	cost     time.Duration
}

// Place decides on a request. The run that it returns must be ended.
func (p *Placer) Place(now time.Time, r Request) Decision {
	best, found := p.best(now, &r)
	if !found {
		return Decision{Reason: ReasonNoUpstream, RetryAfter: unreachedFor}
	}
	d := Decision{
		Upstream: best.up.info, Expected: best.expected, Backlog: best.backlog, Missing: best.missing, Running: best.up.running(),
	}
	if reason := p.refuses(best, &r); reason != ReasonNone {
		d.Reason = reason
		d.RetryAfter = min(max(best.expected-r.Target/2, leastRetry), mostRetry)
		return d
	}
	d.Run = p.start(now, best, &r)
	return d
}

// best returns the candidate of the lowest cost. Upstreams that failed this request or take no connections are taken only when there is no other.
func (p *Placer) best(now time.Time, r *Request) (candidate, bool) {
	var best candidate
	found := false
	for round := 0; round < 2 && !found; round++ {
		for _, u := range p.services[r.Service] {
			if u.info.Draining || (round == 0 && (now.Before(u.downUntil) || slices.Contains(r.Avoid, u.info.ID))) {
				continue
			}
			c := p.weigh(now, u, r)
			if !found || c.cost < best.cost {
				best, found = c, true
			}
		}
	}
	return best, found
}

func (p *Placer) weigh(now time.Time, u *upstream, r *Request) candidate {
	c := candidate{up: u, backlog: u.await(now)}
	c.expected = c.backlog
	if p.cfg.Regions[u.info.Domain] != p.cfg.Self.Region {
		c.expected += regionWay
	}
	crowd := time.Duration(float64(crowdWeight) * float64(u.running()) / float64(u.slots()))
	if u.engine == nil {
		c.expected += u.service
		c.cost = c.expected + crowd
	} else {
		c.missing = u.kept.missing(r)
		read := u.reading(float64(c.missing))
		c.expected += read + firstStep
		c.cost = c.expected + time.Duration(missWeight*float64(read)) + crowd + homeCost(u, r)
		if u.full(r.Prompt + r.Output) {
			c.expected += slotTurn
			c.cost += failWeight
		}
	}
	c.cost += time.Duration(u.failing(now) * float64(failWeight))
	return c
}

// homeMost is how far the hash of a prompt's shared parts may push an upstream back. Requests for a part that no engine keeps then
// begin at the same engine from every router, unless its backlog is longer by this.
const homeMost = 40 * time.Millisecond

func homeCost(u *upstream, r *Request) time.Duration {
	if len(r.Parts) < 2 {
		return 0
	}
	// The last part is the request's own; the one before it is the longest chain that others share.
	shared := r.Parts[len(r.Parts)-2].Hash
	var key [8]byte
	for i := range key {
		key[i] = byte(shared >> (8 * i))
	}
	h := xxhash.New()
	_, _ = h.Write(key[:])
	_, _ = h.WriteString(string(u.info.ID))
	return time.Duration(float64(homeMost) * float64(h.Sum64()>>11) / (1 << 53))
}

// refuses reports why the best candidate is not good enough: the answer would begin too late to be worth what it delays.
func (p *Placer) refuses(c candidate, r *Request) Reason {
	share, reason := owedShare, ReasonLate
	if !r.Owed {
		share, reason = freeShare, ReasonShare
	}
	limit := time.Duration(share * float64(r.Target))
	if c.up.engine != nil && !r.Owed && float64(c.up.running()) > freeSlots*float64(c.up.slots()) {
		return reason
	}
	if c.expected <= limit {
		return ReasonNone
	}
	// A prompt that alone takes longer than the target can never begin in time; it is served where little waits, or nobody would
	// ever serve the largest.
	own := c.expected - c.backlog
	if own > limit/2 && c.backlog <= limit/4 && own < r.Left/2 {
		return ReasonNone
	}
	return reason
}

func (p *Placer) start(now time.Time, c candidate, r *Request) *Run {
	u := c.up
	run := &Run{up: u, sent: now, missing: c.missing, ahead: pomelorelay.Tokens(u.queue), held: r.Prompt + r.Output}
	u.own.running++
	u.changed = true
	if u.engine == nil {
		return run
	}
	u.own.unread += run.missing
	u.own.held += run.held
	u.own.sent += run.missing
	p.untold += run.missing
	u.enqueue(now, run.missing)
	p.notePlaced(u, r)
	return run
}

// leastPart is the least number of tokens of a part that other routers are told of: below, reading it again costs less than telling.
const leastPart = 64

func (p *Placer) notePlaced(u *upstream, r *Request) {
	for i, part := range r.Parts {
		fresh := u.kept.parts[part.Hash] == nil
		u.kept.note(part.Hash, part.Tokens)
		if fresh && part.Tokens >= leastPart && i < len(r.Parts)-1 {
			p.parts = append(p.parts, pomelorelay.PartPlaced{Upstream: u.info.ID, Hash: part.Hash, Tokens: part.Tokens})
		}
	}
}

// Begun notes that a run's answer began.
func (p *Placer) Begun(now time.Time, run *Run) {
	if run.begun || run.ended {
		return
	}
	run.begun = true
	u := run.up
	u.own.unread -= run.missing
	u.changed = true
	u.learn(run, now.Sub(run.sent))
}

// Ended notes that a run ended.
func (p *Placer) Ended(now time.Time, run *Run, result Result) {
	if run.ended {
		return
	}
	run.ended = true
	u := run.up
	if u.engine != nil {
		if !run.begun {
			u.own.unread -= run.missing
		}
		u.own.held -= run.held
	}
	u.own.running--
	u.changed = true
	u.result(now, result)
}
