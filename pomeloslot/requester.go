package pomeloslot

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Asker registers one router's demand at slot owners and keeps the grants that it got.
type Asker struct {
	cfg   AskerConfig
	rng   *rand.Rand
	pools map[pomelorelay.PoolID]*poolState
	// sortedPools is by id, so that the same calls always give the same messages.
	sortedPools []*poolState
	upstreams   map[pomelorelay.UpstreamID]*remoteUpstream
	grants      map[pomelorelay.GrantID]*heldGrant
	seq         uint64
	// startAt is when the first registrations may leave; zero until the first call.
	startAt time.Time
}

// poolState is what a router knows of one pool.
type poolState struct {
	id        pomelorelay.PoolID
	spill     SpillOptions
	demand    PoolHead
	upstreams []*remoteUpstream
	ranked    []*remoteUpstream
	tags      []pomelorelay.Tag
}

// remoteUpstream is what a router knows of one upstream and its owner.
type remoteUpstream struct {
	digest   pomelorelay.SlotDigest
	digestAt time.Time
	tieBreak uint64
	// distance is how far the upstream is: in the own domain, the own region, or beyond.
	distance   pomelorelay.LinkClass
	leaving    bool
	heldGrants int
	selected   bool
	lastSent   sentDemand
	// unansweredSince is when an owner that is said to have idle slots was asked and has shown no sign since; zero when it need not answer.
	unansweredSince time.Time
	// idle are the slots that count as idle, computed at each choice.
	idle pomelorelay.Slots
}

// sentDemand is what the owner was last told.
type sentDemand struct {
	to      pomelorelay.NodeID
	head    pomelorelay.Tag
	waiting int
	at      time.Time
}

// heldGrant is a grant that the router has not settled.
type heldGrant struct {
	upstream pomelorelay.UpstreamID
	owner    pomelorelay.NodeID
	expires  time.Time
}

// NewAsker returns an asker that knows of no owner.
func NewAsker(cfg AskerConfig) *Asker {
	cfg.Registration = cfg.Registration.withDefaults()
	cfg.Spill = cfg.Spill.withDefaults()
	return &Asker{
		cfg:       cfg,
		rng:       rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		pools:     make(map[pomelorelay.PoolID]*poolState),
		upstreams: make(map[pomelorelay.UpstreamID]*remoteUpstream),
		grants:    make(map[pomelorelay.GrantID]*heldGrant),
	}
}

// Slots takes owners' digests, from this router's own Owner too; Tick is to be called after it.
func (r *Asker) Slots(now time.Time, digests []pomelorelay.SlotDigest) {
	for _, d := range digests {
		u := r.upstreams[d.Upstream]
		if u == nil {
			u = r.addUpstream(d)
		}
		u.digest, u.digestAt, u.unansweredSince = d, now, time.Time{}
	}
}

func (r *Asker) addUpstream(d pomelorelay.SlotDigest) *remoteUpstream {
	u := &remoteUpstream{digest: d, tieBreak: r.rng.Uint64(), distance: r.distance(d.Domain)}
	r.upstreams[d.Upstream] = u
	p := r.pool(d.Pool)
	i, _ := slices.BinarySearchFunc(p.upstreams, d.Upstream, func(u *remoteUpstream, id pomelorelay.UpstreamID) int {
		return strings.Compare(string(u.digest.Upstream), string(id))
	})
	p.upstreams = slices.Insert(p.upstreams, i, u)
	return u
}

func (r *Asker) distance(domain pomelorelay.DomainID) pomelorelay.LinkClass {
	switch {
	case domain == r.cfg.Domain:
		return pomelorelay.LinkDomain
	case r.cfg.Regions[domain] == r.cfg.Regions[r.cfg.Domain]:
		return pomelorelay.LinkRegion
	}
	return pomelorelay.LinkCross
}

func (r *Asker) pool(id pomelorelay.PoolID) *poolState {
	if p := r.pools[id]; p != nil {
		return p
	}
	p := &poolState{id: id, spill: r.cfg.Spill}
	p.demand.Pool = id
	r.pools[id] = p
	i, _ := slices.BinarySearchFunc(r.sortedPools, id, func(p *poolState, id pomelorelay.PoolID) int {
		return strings.Compare(string(p.id), string(id))
	})
	r.sortedPools = slices.Insert(r.sortedPools, i, p)
	return p
}

// Heads takes what waits in the pools that changed and registers where it is worth it.
func (r *Asker) Heads(now time.Time, heads []PoolHead, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	for _, h := range heads {
		p := r.pool(h.Pool)
		p.demand = h
		out = r.updateRegistrations(now, p, out)
	}
	return out
}

// Tick refreshes the registrations.
func (r *Asker) Tick(now time.Time, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	for _, p := range r.sortedPools {
		out = r.updateRegistrations(now, p, out)
	}
	return out
}

// Virtual returns the pool's virtual time: the middle one of the last granted tags of the own domain's owners that have
// no slot idle, or the highest of all when every one has.
func (r *Asker) Virtual(id pomelorelay.PoolID) pomelorelay.Tag {
	p := r.pools[id]
	if p == nil {
		return 0
	}
	return p.virtualTime(r.cfg.Domain)
}

// Crest returns the mark that accounts catch up with: the highest of the own domain's virtual time and those of the
// other domains whose owners are heard and busy, less the margin up to which demand stays at home. Without the margin,
// every account of a domain that is a little behind would be lifted to the same place again and again, and be served in
// no fair order.
func (r *Asker) Crest(now time.Time, id pomelorelay.PoolID) pomelorelay.Tag {
	p := r.pools[id]
	if p == nil {
		return 0
	}
	highest := p.virtualTime(r.cfg.Domain)
	for domain := range r.cfg.Regions {
		if domain == r.cfg.Domain || !p.saturated(now, domain, r.cfg.Registration.DigestTTL) {
			continue
		}
		highest = max(highest, p.virtualTime(domain)-r.margin(p, domain))
	}
	return highest
}

func (r *Asker) margin(p *poolState, domain pomelorelay.DomainID) pomelorelay.Tag {
	if r.distance(domain) == pomelorelay.LinkRegion {
		return p.spill.DomainMargin
	}
	return p.spill.RegionMargin
}

// SetSpill sets a pool's margins, whose unit is the pool's cost divided by weight; zero fields take the Asker's.
func (r *Asker) SetSpill(id pomelorelay.PoolID, o SpillOptions) {
	if o.DomainMargin == 0 {
		o.DomainMargin = r.cfg.Spill.DomainMargin
	}
	if o.RegionMargin == 0 {
		o.RegionMargin = r.cfg.Spill.RegionMargin
	}
	if o.RegionMinWaiting == 0 {
		o.RegionMinWaiting = r.cfg.Spill.RegionMinWaiting
	}
	r.pool(id).spill = o
}

// saturated reports whether an owner of the domain is heard and none that is has a slot idle.
func (p *poolState) saturated(now time.Time, domain pomelorelay.DomainID, ttl time.Duration) bool {
	found := false
	for _, u := range p.upstreams {
		if u.digest.Domain != domain || now.Sub(u.digestAt) > ttl {
			continue
		}
		if u.digest.Idle > 0 {
			return false
		}
		found = true
	}
	return found
}

// virtualTime is the virtual time of one failure domain.
func (p *poolState) virtualTime(domain pomelorelay.DomainID) pomelorelay.Tag {
	p.tags = p.tags[:0]
	highest := pomelorelay.Tag(0)
	for _, u := range p.upstreams {
		if u.digest.Domain != domain {
			continue
		}
		highest = max(highest, u.digest.LastTag)
		if u.digest.Idle == 0 && !u.digest.Leaving {
			p.tags = append(p.tags, u.digest.LastTag)
		}
	}
	if len(p.tags) == 0 {
		return highest
	}
	slices.Sort(p.tags)
	return p.tags[len(p.tags)/2]
}

// Leaving makes the router refuse every further grant of an upstream, also one that is under way.
func (r *Asker) Leaving(id pomelorelay.UpstreamID) {
	if u := r.upstreams[id]; u != nil {
		u.leaving = true
		return
	}
	r.addUpstream(pomelorelay.SlotDigest{Upstream: id, Leaving: true}).leaving = true
}

// Back takes a leaving mark back when the host list says that the upstream stays.
func (r *Asker) Back(id pomelorelay.UpstreamID) {
	if u := r.upstreams[id]; u != nil {
		u.leaving = false
	}
}
