package pomeloslot

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Requester registers one router's demand at slot owners and keeps the grants that it got.
type Requester struct {
	cfg    RequesterConfig
	random *rand.Rand
	pools  map[pomelorelay.PoolID]*askerPool
	// order is by id, so that the same calls always give the same messages.
	order  []*askerPool
	owners map[pomelorelay.UpstreamID]*owned
	held   map[pomelorelay.GrantID]*held
	seq    uint64
	// startAt is when the first registrations may leave; zero until the first call.
	startAt time.Time
}

// askerPool is what a router knows of one pool.
type askerPool struct {
	id      pomelorelay.PoolID
	spill   SpillOptions
	demand  PoolDemand
	owners  []*owned
	ranking []*owned
	tags    []pomelorelay.Tag
}

// owned is what a router knows of one upstream and its owner.
type owned struct {
	digest pomelorelay.SlotDigest
	at     time.Time
	rank   uint64
	// distance is how far the upstream is: in the own domain, the own region, or beyond.
	distance pomelorelay.LinkClass
	left     bool
	held     int
	chosen   bool
	sent     sentDemand
	// asked is when an owner that is said to have idle slots was asked and has shown no sign since; zero when it need not answer.
	asked time.Time
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

// held is a grant that the router has not settled.
type held struct {
	upstream pomelorelay.UpstreamID
	owner    pomelorelay.NodeID
	expires  time.Time
}

// NewRequester returns an asker that knows of no owner.
func NewRequester(cfg RequesterConfig) *Requester {
	cfg.Registration = cfg.Registration.withDefaults()
	cfg.Spill = cfg.Spill.withDefaults()
	return &Requester{
		cfg:    cfg,
		random: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		pools:  make(map[pomelorelay.PoolID]*askerPool),
		owners: make(map[pomelorelay.UpstreamID]*owned),
		held:   make(map[pomelorelay.GrantID]*held),
	}
}

// UpdateDigests takes owners' digests, from this router's own Owner too; Tick is to be called after it.
func (a *Requester) UpdateDigests(now time.Time, digests []pomelorelay.SlotDigest) {
	for _, d := range digests {
		w := a.owners[d.Upstream]
		if w == nil {
			w = a.addOwned(d)
		}
		w.digest, w.at, w.asked = d, now, time.Time{}
	}
}

func (a *Requester) addOwned(d pomelorelay.SlotDigest) *owned {
	w := &owned{digest: d, rank: a.random.Uint64(), distance: a.distance(d.Domain)}
	a.owners[d.Upstream] = w
	p := a.pool(d.Pool)
	i, _ := slices.BinarySearchFunc(p.owners, d.Upstream, func(w *owned, id pomelorelay.UpstreamID) int {
		return strings.Compare(string(w.digest.Upstream), string(id))
	})
	p.owners = slices.Insert(p.owners, i, w)
	return w
}

func (a *Requester) distance(domain pomelorelay.DomainID) pomelorelay.LinkClass {
	switch {
	case domain == a.cfg.Domain:
		return pomelorelay.LinkSameDomain
	case a.cfg.Regions[domain] == a.cfg.Regions[a.cfg.Domain]:
		return pomelorelay.LinkSameRegion
	}
	return pomelorelay.LinkCrossRegion
}

func (a *Requester) pool(id pomelorelay.PoolID) *askerPool {
	if p := a.pools[id]; p != nil {
		return p
	}
	p := &askerPool{id: id, spill: a.cfg.Spill}
	p.demand.Pool = id
	a.pools[id] = p
	i, _ := slices.BinarySearchFunc(a.order, id, func(p *askerPool, id pomelorelay.PoolID) int {
		return strings.Compare(string(p.id), string(id))
	})
	a.order = slices.Insert(a.order, i, p)
	return p
}

// UpdateDemand takes what waits in the pools that changed and registers where it is worth it.
func (a *Requester) UpdateDemand(now time.Time, heads []PoolDemand, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	for _, h := range heads {
		p := a.pool(h.Pool)
		p.demand = h
		out = a.register(now, p, out)
	}
	return out
}

// Tick refreshes the registrations.
func (a *Requester) Tick(now time.Time, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	for _, p := range a.order {
		out = a.register(now, p, out)
	}
	return out
}

// VirtualTime returns the pool's virtual time: the middle one of the last granted tags of the own domain's owners that have
// no slot idle, or the highest of all when every one has.
func (a *Requester) VirtualTime(id pomelorelay.PoolID) pomelorelay.Tag {
	p := a.pools[id]
	if p == nil {
		return 0
	}
	return p.level(a.cfg.Domain)
}

// MaxVirtualTime returns the mark that accounts catch up with: the highest of the own domain's virtual time and those of the
// other domains whose owners are heard and busy, less the margin up to which demand stays at home. Without the margin,
// every account of a domain that is a little behind would be lifted to the same place again and again, and be served in
// no fair order.
func (a *Requester) MaxVirtualTime(now time.Time, id pomelorelay.PoolID) pomelorelay.Tag {
	p := a.pools[id]
	if p == nil {
		return 0
	}
	highest := p.level(a.cfg.Domain)
	for domain := range a.cfg.Regions {
		if domain == a.cfg.Domain || !p.busy(now, domain, a.cfg.Registration.DigestTTL) {
			continue
		}
		highest = max(highest, p.level(domain)-a.margin(p, domain))
	}
	return highest
}

func (a *Requester) margin(p *askerPool, domain pomelorelay.DomainID) pomelorelay.Tag {
	if a.distance(domain) == pomelorelay.LinkSameRegion {
		return p.spill.DomainMargin
	}
	return p.spill.RegionMargin
}

// SetSpill sets a pool's margins, whose unit is the pool's cost divided by weight; zero fields take the Asker's.
func (a *Requester) SetSpill(id pomelorelay.PoolID, o SpillOptions) {
	if o.DomainMargin == 0 {
		o.DomainMargin = a.cfg.Spill.DomainMargin
	}
	if o.RegionMargin == 0 {
		o.RegionMargin = a.cfg.Spill.RegionMargin
	}
	if o.RegionIdleWaiting == 0 {
		o.RegionIdleWaiting = a.cfg.Spill.RegionIdleWaiting
	}
	a.pool(id).spill = o
}

// busy reports whether an owner of the domain is heard and none that is has a slot idle.
func (p *askerPool) busy(now time.Time, domain pomelorelay.DomainID, ttl time.Duration) bool {
	heard := false
	for _, w := range p.owners {
		if w.digest.Domain != domain || now.Sub(w.at) > ttl {
			continue
		}
		if w.digest.Idle > 0 {
			return false
		}
		heard = true
	}
	return heard
}

// level is the virtual time of one failure domain.
func (p *askerPool) level(domain pomelorelay.DomainID) pomelorelay.Tag {
	p.tags = p.tags[:0]
	highest := pomelorelay.Tag(0)
	for _, w := range p.owners {
		if w.digest.Domain != domain {
			continue
		}
		highest = max(highest, w.digest.LastTag)
		if w.digest.Idle == 0 && !w.digest.Leaving {
			p.tags = append(p.tags, w.digest.LastTag)
		}
	}
	if len(p.tags) == 0 {
		return highest
	}
	slices.Sort(p.tags)
	return p.tags[len(p.tags)/2]
}

// MarkLeaving makes the router refuse every further grant of an upstream, also one that is under way.
func (a *Requester) MarkLeaving(id pomelorelay.UpstreamID) {
	if w := a.owners[id]; w != nil {
		w.left = true
		return
	}
	a.addOwned(pomelorelay.SlotDigest{Upstream: id, Leaving: true}).left = true
}

// ClearLeaving takes a leaving mark back when the host list says that the upstream stays.
func (a *Requester) ClearLeaving(id pomelorelay.UpstreamID) {
	if w := a.owners[id]; w != nil {
		w.left = false
	}
}
