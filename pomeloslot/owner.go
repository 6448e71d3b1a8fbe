package pomeloslot

import (
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Owner grants the free slots of the upstreams that a router owns.
type Owner struct {
	cfg       OwnerConfig
	upstreams map[pomelorelay.UpstreamID]*upstream
	// sortedUpstreams is sorted by ID to make the order of messages deterministic.
	sortedUpstreams []*upstream
	nextID          pomelorelay.GrantID
	// freeGrants is a free list of released grants, linked by grant.next.
	freeGrants *grant
}

// Layout of a grant ID: a hash of the owner's node ID and incarnation in the high bits, a counter in the low bits.
const (
	grantOwnerBits = 24
	grantCountBits = 32
)

// NewOwner returns an owner without upstreams.
func NewOwner(cfg OwnerConfig) *Owner {
	cfg.Grant = cfg.Grant.withDefaults()
	cfg.Limit = cfg.Limit.withDefaults()
	return &Owner{
		cfg:       cfg,
		upstreams: make(map[pomelorelay.UpstreamID]*upstream),
		nextID:    firstGrantID(cfg.Node, cfg.Incarnation),
	}
}

// firstGrantID returns the first grant ID of an owner's incarnation. If IDs started at one, the reply to a previous owner's
// grant could release the slot of another request that still runs, and the upstream would exceed its limit.
func firstGrantID(node pomelorelay.NodeID, incarnation pomelorelay.Incarnation) pomelorelay.GrantID {
	h := fnv.New64a()
	_, _ = h.Write([]byte(node))
	var encoded [8]byte
	for i := range encoded {
		encoded[i] = byte(incarnation >> (8 * i))
	}
	_, _ = h.Write(encoded[:])
	owner := h.Sum64() >> (64 - grantOwnerBits)
	return pomelorelay.GrantID(owner<<grantCountBits + 1)
}

// AddUpstream adds or updates an upstream. For a new one it queries the peers, which must include this router, for the
// requests that they run there.
func (o *Owner) AddUpstream(now time.Time, up Upstream, peers []pomelorelay.NodeID, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	if u := o.upstreams[up.ID]; u != nil {
		u.pool, u.min, u.max = up.Pool, up.Min, up.Max
		u.limit.setBounds(up.Min, up.Max)
		return out
	}
	u := newUpstream(up)
	u.recoveryUntil = now.Add(o.cfg.Grant.RecoveryTimeout)
	for _, node := range peers {
		u.unreported[node] = true
		u.router(node).queriedAt = now
		out = append(out, pomelorelay.Outgoing{To: node, Message: &pomelorelay.RunningQuery{Upstream: up.ID}})
	}
	o.upstreams[up.ID] = u
	i, _ := slices.BinarySearchFunc(o.sortedUpstreams, up.ID, func(u *upstream, id pomelorelay.UpstreamID) int {
		return strings.Compare(string(u.id), string(id))
	})
	o.sortedUpstreams = slices.Insert(o.sortedUpstreams, i, u)
	return out
}

// RemoveUpstream removes an upstream; its new owner queries the routers for the running requests.
func (o *Owner) RemoveUpstream(id pomelorelay.UpstreamID) {
	u := o.upstreams[id]
	if u == nil {
		return
	}
	delete(o.upstreams, id)
	o.sortedUpstreams = slices.DeleteFunc(o.sortedUpstreams, func(other *upstream) bool { return other == u })
}

// HandleDemand handles a router's registration and appends the resulting grants to out.
func (o *Owner) HandleDemand(now time.Time, from pomelorelay.NodeID, m *pomelorelay.Demand, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	u := o.upstreams[m.Upstream]
	if u == nil {
		return out
	}
	r := u.router(from)
	if r.updateDemand(now, m.Seq, m.HeadTag, m.Waiting) {
		r.prefixes = m.Prefixes
	}
	return o.grantFreeSlots(now, u, out)
}

// HandleReply handles a router's reply with the outcome of a grant and the router's current demand, and appends the
// resulting grants to out.
func (o *Owner) HandleReply(now time.Time, from pomelorelay.NodeID, m *pomelorelay.GrantReply, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	u := o.upstreams[m.Upstream]
	if u == nil {
		return out
	}
	if g := u.grants[m.ID]; g != nil && g.router.node == from {
		o.settleGrant(now, u, g, m)
	}
	u.router(from).updateDemand(now, m.Seq, m.Head, m.Waiting)
	return o.grantFreeSlots(now, u, out)
}

func (o *Owner) settleGrant(now time.Time, u *upstream, g *grant, m *pomelorelay.GrantReply) {
	if m.State == pomelorelay.GrantUsed {
		g.markUsed(now)
		return
	}
	if m.State == pomelorelay.GrantReturned && m.Waiting > 0 {
		// A router whose waiting requests may not run on this upstream returns every grant; without a backoff,
		// owner and router would exchange grants in an endless loop while other routers wait.
		g.router.backoffUntil = now.Add(o.cfg.Grant.ReturnBackoff)
	}
	if m.State == pomelorelay.GrantUpstreamUnreachable {
		// The upstream refuses connections. Further grants would come back unused within milliseconds, and requests
		// would use up all their attempts while the upstream restarts.
		u.crashed = true
	}
	if m.State == pomelorelay.GrantFinished {
		u.limit.addSample(g.issuedAt, m.FirstToken, m.TokenGap, o.cfg.Limit)
	}
	o.releaseGrant(u, g)
}

// HandleLoadReport handles a load report of an upstream, which may be delayed, and appends the resulting grants to out.
func (o *Owner) HandleLoadReport(now time.Time, id pomelorelay.UpstreamID, load LoadReport, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	u := o.upstreams[id]
	if u == nil {
		return out
	}
	u.crashed = false
	u.updateLoad(now, load, o.cfg.Limit.MaxLoadLag)
	return o.grantFreeSlots(now, u, out)
}

// MarkLeaving marks an upstream as leaving: it receives no further grants, and its running requests continue.
func (o *Owner) MarkLeaving(_ time.Time, id pomelorelay.UpstreamID) {
	if u := o.upstreams[id]; u != nil {
		u.leaving = true
	}
}

// ClearLeaving clears the leaving mark of an upstream that the host list no longer shows as leaving, and appends the resulting grants to out.
func (o *Owner) ClearLeaving(now time.Time, id pomelorelay.UpstreamID, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	u := o.upstreams[id]
	if u == nil {
		return out
	}
	u.leaving = false
	return o.grantFreeSlots(now, u, out)
}

// MarkCrashed discards the grants, load and cached prefixes of a crashed upstream, which receives no grants until its next load report.
func (o *Owner) MarkCrashed(_ time.Time, id pomelorelay.UpstreamID) {
	u := o.upstreams[id]
	if u == nil {
		return
	}
	u.crashed = true
	u.resetLoad()
	clear(u.cached.lastSeen)
	for _, g := range u.grants {
		o.releaseGrant(u, g)
	}
	for _, r := range u.routers {
		r.unknownRequests = 0
	}
}

// RemoveRouter discards the demand of a dead router, reclaims its grants and appends the resulting grants to out.
func (o *Owner) RemoveRouter(now time.Time, node pomelorelay.NodeID, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	for _, u := range o.sortedUpstreams {
		r := u.routers[node]
		if r == nil {
			continue
		}
		for _, g := range u.grants {
			if g.router == r {
				o.releaseGrant(u, g)
			}
		}
		delete(u.unreported, node)
		u.removeRouter(node)
		out = o.grantFreeSlots(now, u, out)
	}
	return out
}

// UpdateCachedPrefixes applies cache events of an upstream, which may be late or missing: hashes of the prefixes that it holds and of those that it dropped.
func (o *Owner) UpdateCachedPrefixes(now time.Time, id pomelorelay.UpstreamID, held, dropped []uint64) {
	u := o.upstreams[id]
	if u == nil {
		return
	}
	for _, p := range held {
		u.cached.add(now, p, o.cfg.Grant.MaxPrefixes)
	}
	for _, p := range dropped {
		delete(u.cached.lastSeen, p)
	}
}

// Tick adjusts the concurrency limits and appends to out the queries for overdue grants and the grants of free slots.
func (o *Owner) Tick(now time.Time, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	for _, u := range o.sortedUpstreams {
		u.limit.adjust(now, o.cfg.Limit)
		out = o.queryOverdue(now, u, out)
		out = o.grantFreeSlots(now, u, out)
	}
	return out
}

// Digests appends to out a digest of each upstream, to be published to all routers.
func (o *Owner) Digests(now time.Time, out []pomelorelay.SlotDigest) []pomelorelay.SlotDigest {
	for _, u := range o.sortedUpstreams {
		out = append(out, pomelorelay.SlotDigest{
			Upstream: u.id,
			Pool:     u.pool,
			Owner:    o.cfg.Node,
			Domain:   o.cfg.Domain,
			LastTag:  u.lastTag,
			Idle:     pomelorelay.Slots(max(0, u.freeSlots(now))),
			Limit:    u.limit.slots(),
			Leaving:  u.leaving,
		})
	}
	return out
}
