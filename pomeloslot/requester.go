package pomeloslot

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Requester registers one router's demand at slot owners and tracks the grants that the router holds.
type Requester struct {
	cfg   RequesterConfig
	rng   *rand.Rand
	pools map[pomelorelay.PoolID]*poolState
	// sortedPools is sorted by ID to make the order of messages deterministic.
	sortedPools []*poolState
	upstreams   map[pomelorelay.UpstreamID]*remoteUpstream
	grants      map[pomelorelay.GrantID]*heldGrant
	seq         uint64
	// startAt is the earliest time of the first registrations; zero until the first call.
	startAt time.Time
}

// poolState is a router's demand in one pool and the upstreams known in it.
type poolState struct {
	id     pomelorelay.PoolID
	spill  SpillOptions
	demand PoolDemand
	// upstreams is sorted by ID.
	upstreams []*remoteUpstream
	// ranked and tags are scratch buffers of selectUpstreams and virtualTime, respectively.
	ranked []*remoteUpstream
	tags   []pomelorelay.Tag
}

// remoteUpstream is a router's view of one upstream and its owner.
type remoteUpstream struct {
	digest   pomelorelay.SlotDigest
	digestAt time.Time
	// tieBreak is random, so that routers rank equal upstreams differently.
	tieBreak   uint64
	distance   pomelorelay.LinkClass
	leaving    bool
	heldGrants int
	selected   bool
	lastSent   sentDemand
	// unansweredSince is when the router first registered at an owner with idle slots that has sent neither a grant nor
	// a digest since; zero while no answer is expected.
	unansweredSince time.Time
	// idle is the number of idle slots that the router could expect to be granted at the last selection; see
	// usableIdle.
	idle pomelorelay.Slots
}

// sentDemand is the demand last sent to an owner.
type sentDemand struct {
	to      pomelorelay.NodeID
	head    pomelorelay.Tag
	waiting int
	at      time.Time
}

// heldGrant is a grant that is unused or whose request is still running.
type heldGrant struct {
	upstream pomelorelay.UpstreamID
	owner    pomelorelay.NodeID
	expires  time.Time
}

// NewRequester returns a requester that knows no upstreams.
func NewRequester(cfg RequesterConfig) *Requester {
	cfg.Registration = cfg.Registration.withDefaults()
	cfg.Spill = cfg.Spill.withDefaults()
	return &Requester{
		cfg:       cfg,
		rng:       rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		pools:     make(map[pomelorelay.PoolID]*poolState),
		upstreams: make(map[pomelorelay.UpstreamID]*remoteUpstream),
		grants:    make(map[pomelorelay.GrantID]*heldGrant),
	}
}

// UpdateDigests updates the known upstreams from owners' digests, including those of the local owner; the caller must call Tick afterwards.
func (r *Requester) UpdateDigests(now time.Time, digests []pomelorelay.SlotDigest) {
	for _, d := range digests {
		u := r.upstreams[d.Upstream]
		if u == nil {
			u = r.addUpstream(d)
		}
		u.digest, u.digestAt, u.unansweredSince = d, now, time.Time{}
	}
}

func (r *Requester) addUpstream(d pomelorelay.SlotDigest) *remoteUpstream {
	u := &remoteUpstream{digest: d, tieBreak: r.rng.Uint64(), distance: r.distance(d.Domain)}
	r.upstreams[d.Upstream] = u
	p := r.pool(d.Pool)
	i, _ := slices.BinarySearchFunc(p.upstreams, d.Upstream, func(u *remoteUpstream, id pomelorelay.UpstreamID) int {
		return strings.Compare(string(u.digest.Upstream), string(id))
	})
	p.upstreams = slices.Insert(p.upstreams, i, u)
	return u
}

func (r *Requester) distance(domain pomelorelay.DomainID) pomelorelay.LinkClass {
	switch {
	case domain == r.cfg.Domain:
		return pomelorelay.LinkSameDomain
	case r.cfg.Regions[domain] == r.cfg.Regions[r.cfg.Domain]:
		return pomelorelay.LinkSameRegion
	}
	return pomelorelay.LinkCrossRegion
}

func (r *Requester) pool(id pomelorelay.PoolID) *poolState {
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

// UpdateDemand replaces the demand of the given pools and appends the resulting registrations and withdrawals to out.
func (r *Requester) UpdateDemand(now time.Time, heads []PoolDemand, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	for _, h := range heads {
		p := r.pool(h.Pool)
		p.demand = h
		out = r.updateRegistrations(now, p, out)
	}
	return out
}

// Tick refreshes the registrations of all pools and appends the messages to out.
func (r *Requester) Tick(now time.Time, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	for _, p := range r.sortedPools {
		out = r.updateRegistrations(now, p, out)
	}
	return out
}

// VirtualTime returns the pool's virtual time: the median of the last granted tags of the local domain's upstreams without
// idle slots, or the highest last granted tag if there are none. The median excludes leaving upstreams.
func (r *Requester) VirtualTime(id pomelorelay.PoolID) pomelorelay.Tag {
	p := r.pools[id]
	if p == nil {
		return 0
	}
	return p.virtualTime(r.cfg.Domain)
}

// MaxVirtualTime returns the highest virtual time among the local domain and the other domains without idle slots whose
// digests are current; the spill margin is subtracted from that of each other domain. Without the margin, all accounts
// of a domain whose virtual time is slightly lower would repeatedly be lifted to the same tag and served in arbitrary
// order.
func (r *Requester) MaxVirtualTime(now time.Time, id pomelorelay.PoolID) pomelorelay.Tag {
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

func (r *Requester) margin(p *poolState, domain pomelorelay.DomainID) pomelorelay.Tag {
	if r.distance(domain) == pomelorelay.LinkSameRegion {
		return p.spill.DomainMargin
	}
	return p.spill.RegionMargin
}

// SetSpill sets a pool's spill options, with margins in units of the pool's cost divided by weight; zero fields take the configured options.
func (r *Requester) SetSpill(id pomelorelay.PoolID, o SpillOptions) {
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

// saturated reports whether the domain has upstreams with current digests and none of these has idle slots.
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

// virtualTime returns the virtual time of the pool in one failure domain.
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

// MarkLeaving marks an upstream as leaving: the router refuses all further grants for it, including those in flight.
func (r *Requester) MarkLeaving(id pomelorelay.UpstreamID) {
	if u := r.upstreams[id]; u != nil {
		u.leaving = true
		return
	}
	r.addUpstream(pomelorelay.SlotDigest{Upstream: id, Leaving: true}).leaving = true
}

// ClearLeaving clears the leaving mark of an upstream that the host list no longer shows as leaving.
func (r *Requester) ClearLeaving(id pomelorelay.UpstreamID) {
	if u := r.upstreams[id]; u != nil {
		u.leaving = false
	}
}
