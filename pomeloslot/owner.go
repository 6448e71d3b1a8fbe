package pomeloslot

import (
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Owner grants the free slots of the upstreams that one router owns.
type Owner struct {
	cfg       OwnerConfig
	upstreams map[pomelorelay.UpstreamID]*upstream
	// order is by id, so that the same messages always give the same answers.
	order  []*upstream
	nextID pomelorelay.GrantID
	free   *grant
}

// The bits of a grant id: the owner's mark above, a count below.
const (
	grantMarkBits  = 24
	grantCountBits = 32
)

// NewOwner returns an owner of no upstream.
func NewOwner(cfg OwnerConfig) *Owner {
	cfg.Grant = cfg.Grant.withDefaults()
	cfg.Limit = cfg.Limit.withDefaults()
	return &Owner{
		cfg:       cfg,
		upstreams: make(map[pomelorelay.UpstreamID]*upstream),
		nextID:    firstGrant(cfg.Node, cfg.Incarnation),
	}
}

// firstGrant marks the ids of an owner's incarnation. With ids that start at one, a reply to an earlier owner's grant
// would end a request's slot that still runs, and the upstream would be seen over its limit.
func firstGrant(node pomelorelay.NodeID, incarnation pomelorelay.Incarnation) pomelorelay.GrantID {
	h := fnv.New64a()
	_, _ = h.Write([]byte(node))
	var number [8]byte
	for i := range number {
		number[i] = byte(incarnation >> (8 * i))
	}
	_, _ = h.Write(number[:])
	mark := h.Sum64() >> (64 - grantMarkBits)
	return pomelorelay.GrantID(mark<<grantCountBits + 1)
}

// AddUpstream takes an upstream on and asks the peers what runs there; this router is to be among them.
func (o *Owner) AddUpstream(now time.Time, up Upstream, peers []pomelorelay.NodeID, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	if u := o.upstreams[up.ID]; u != nil {
		u.pool, u.min, u.max = up.Pool, up.Min, up.Max
		u.limit.bound(up.Min, up.Max)
		return out
	}
	u := newUpstream(up)
	u.carefulUntil = now.Add(o.cfg.Grant.Careful)
	for _, node := range peers {
		u.unheard[node] = true
		u.router(node).asked = now
		out = append(out, pomelorelay.Outgoing{To: node, Message: &pomelorelay.RunningQuery{Upstream: up.ID}})
	}
	o.upstreams[up.ID] = u
	i, _ := slices.BinarySearchFunc(o.order, up.ID, func(u *upstream, id pomelorelay.UpstreamID) int {
		return strings.Compare(string(u.id), string(id))
	})
	o.order = slices.Insert(o.order, i, u)
	return out
}

// RemoveUpstream forgets an upstream; its new owner asks the routers what runs there.
func (o *Owner) RemoveUpstream(id pomelorelay.UpstreamID) {
	u := o.upstreams[id]
	if u == nil {
		return
	}
	delete(o.upstreams, id)
	o.order = slices.DeleteFunc(o.order, func(other *upstream) bool { return other == u })
}

// HandleDemand takes a router's registration.
func (o *Owner) HandleDemand(now time.Time, from pomelorelay.NodeID, m *pomelorelay.Demand, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	u := o.upstreams[m.Upstream]
	if u == nil {
		return out
	}
	r := u.router(from)
	if r.refresh(now, m.Seq, m.Head, m.Waiting) {
		r.prefixes = m.Prefixes
	}
	return o.fill(now, u, out)
}

// HandleReply takes what became of a grant and the router's fresh demand.
func (o *Owner) HandleReply(now time.Time, from pomelorelay.NodeID, m *pomelorelay.GrantReply, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	u := o.upstreams[m.Upstream]
	if u == nil {
		return out
	}
	if g := u.grants[m.ID]; g != nil && g.router.node == from {
		o.settle(now, u, g, m)
	}
	u.router(from).refresh(now, m.Seq, m.Head, m.Waiting)
	return o.fill(now, u, out)
}

func (o *Owner) settle(now time.Time, u *upstream, g *grant, m *pomelorelay.GrantReply) {
	if m.State == pomelorelay.GrantUsed {
		g.use(now)
		return
	}
	if m.State == pomelorelay.GrantReturned && m.Waiting > 0 {
		// A router whose waiting requests may not run there returns each grant; without a rest, the two would be
		// seen to exchange grants without end, while others wait.
		g.router.restUntil = now.Add(o.cfg.Grant.Rest)
	}
	if m.State == pomelorelay.GrantUpstreamUnreachable {
		// The upstream refuses connections. Granted on, its slots would be handed out and come back unused within
		// milliseconds, and each request would spend all its attempts there while the upstream restarts.
		u.crashed = true
	}
	if m.State == pomelorelay.GrantFinished {
		u.limit.sample(g.issued, m.FirstToken, m.TokenGap, o.cfg.Limit)
	}
	o.drop(u, g)
}

// HandleLoadReport takes what an upstream reports of itself, which lags.
func (o *Owner) HandleLoadReport(now time.Time, id pomelorelay.UpstreamID, load LoadReport, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	u := o.upstreams[id]
	if u == nil {
		return out
	}
	u.crashed = false
	u.noteLoad(now, load, o.cfg.Limit.Lag)
	return o.fill(now, u, out)
}

// MarkLeaving stops every further grant of an upstream; what runs there goes on.
func (o *Owner) MarkLeaving(_ time.Time, id pomelorelay.UpstreamID) {
	if u := o.upstreams[id]; u != nil {
		u.leaving = true
	}
}

// ClearLeaving takes a leaving mark back when the host list says that the upstream stays.
func (o *Owner) ClearLeaving(now time.Time, id pomelorelay.UpstreamID, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	u := o.upstreams[id]
	if u == nil {
		return out
	}
	u.leaving = false
	return o.fill(now, u, out)
}

// MarkCrashed forgets what ran on an upstream and stops its grants until it reports load again.
func (o *Owner) MarkCrashed(_ time.Time, id pomelorelay.UpstreamID) {
	u := o.upstreams[id]
	if u == nil {
		return
	}
	u.crashed = true
	u.clearLoad()
	clear(u.cached.seen)
	for _, g := range u.grants {
		o.drop(u, g)
	}
	for _, r := range u.routers {
		r.foreign = 0
	}
}

// RemoveRouter reclaims the grants of a dead router and forgets its demand.
func (o *Owner) RemoveRouter(now time.Time, node pomelorelay.NodeID, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	for _, u := range o.order {
		r := u.routers[node]
		if r == nil {
			continue
		}
		for _, g := range u.grants {
			if g.router == r {
				o.drop(u, g)
			}
		}
		delete(u.unheard, node)
		u.forget(node)
		out = o.fill(now, u, out)
	}
	return out
}

// Cached takes cache events of an upstream: prefixes that it holds now, and ones that it dropped. They may be late or missing.
func (o *Owner) Cached(now time.Time, id pomelorelay.UpstreamID, held, dropped []uint64) {
	u := o.upstreams[id]
	if u == nil {
		return
	}
	for _, p := range held {
		u.cached.add(now, p, o.cfg.Grant.Prefixes)
	}
	for _, p := range dropped {
		delete(u.cached.seen, p)
	}
}

// Tick moves the limits, asks after grants whose reply is missing, and grants what became free.
func (o *Owner) Tick(now time.Time, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	for _, u := range o.order {
		u.limit.move(now, o.cfg.Limit)
		out = o.check(now, u, out)
		out = o.fill(now, u, out)
	}
	return out
}

// Digests appends what the routers are to know of each upstream.
func (o *Owner) Digests(now time.Time, out []pomelorelay.SlotDigest) []pomelorelay.SlotDigest {
	for _, u := range o.order {
		out = append(out, pomelorelay.SlotDigest{
			Upstream: u.id,
			Pool:     u.pool,
			Owner:    o.cfg.Node,
			Domain:   o.cfg.Domain,
			LastTag:  u.lastTag,
			Idle:     pomelorelay.Slots(max(0, u.free(now))),
			Limit:    u.limit.slots(),
			Leaving:  u.leaving,
		})
	}
	return out
}
