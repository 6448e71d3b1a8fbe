package pomeloslot

import (
	"slices"
	"strings"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// upstream is what an owner knows of one upstream.
type upstream struct {
	id       pomelorelay.UpstreamID
	pool     pomelorelay.PoolID
	min, max pomelorelay.Slots
	limit    limiter
	routers  map[pomelorelay.NodeID]*router
	// sortedRouters is by node, so that the same messages always give the same grants.
	sortedRouters []*router
	grants        map[pomelorelay.GrantID]*grant
	unreported    map[pomelorelay.NodeID]bool
	cached        prefixCache
	lastTag       pomelorelay.Tag
	leaving       bool
	crashed       bool
	// recoveryUntil ends the time in which what runs is not yet known from the routers.
	recoveryUntil time.Time
	loadTracker
}

// router is what an owner knows of one router's demand for one upstream.
type router struct {
	node     pomelorelay.NodeID
	seq      uint64
	head     pomelorelay.Tag
	waiting  int
	prefixes []uint64
	demandAt time.Time
	// unansweredGrants counts grants without a reply; while there are some, head is from before them.
	unansweredGrants int
	// backoffUntil ends the time in which a router gets nothing after it returned a grant.
	backoffUntil time.Time
	// unknownRequests counts requests that the router runs without a grant known here.
	unknownRequests int
	// reportedAt is when the router last said what it runs, asked when it was last queried.
	reportedAt time.Time
	queriedAt  time.Time
	// queryDue marks a router to query; it is set and cleared within one check.
	queryDue bool
}

func newUpstream(up Upstream) *upstream {
	u := &upstream{
		id:         up.ID,
		pool:       up.Pool,
		min:        up.Min,
		max:        up.Max,
		routers:    make(map[pomelorelay.NodeID]*router),
		grants:     make(map[pomelorelay.GrantID]*grant),
		unreported: make(map[pomelorelay.NodeID]bool),
		cached:     prefixCache{lastSeen: make(map[uint64]time.Time)},
	}
	u.limit.setBounds(up.Min, up.Max)
	u.limit.value = float64(up.Max)
	return u
}

func (u *upstream) router(node pomelorelay.NodeID) *router {
	if r := u.routers[node]; r != nil {
		return r
	}
	r := &router{node: node}
	u.routers[node] = r
	i, _ := u.routerIndex(node)
	u.sortedRouters = slices.Insert(u.sortedRouters, i, r)
	return r
}

func (u *upstream) routerIndex(node pomelorelay.NodeID) (int, bool) {
	return slices.BinarySearchFunc(u.sortedRouters, node, func(r *router, node pomelorelay.NodeID) int {
		return strings.Compare(string(r.node), string(node))
	})
}

func (u *upstream) removeRouter(node pomelorelay.NodeID) {
	delete(u.routers, node)
	if i, found := u.routerIndex(node); found {
		u.sortedRouters = slices.Delete(u.sortedRouters, i, i+1)
	}
}

// updateDemand takes newer demand and reports whether it was newer.
func (r *router) updateDemand(now time.Time, seq uint64, head pomelorelay.Tag, waiting uint32) bool {
	if seq <= r.seq {
		return false
	}
	r.seq, r.head, r.waiting, r.demandAt = seq, head, int(waiting), now
	return true
}

// wantsGrant reports whether a further grant would find a request waiting. Demand that is not refreshed ends: a router that
// is cut off one way, or that lost its waiting requests, would else be seen to take slots that it never uses.
func (r *router) wantsGrant(now time.Time, ttl time.Duration) bool {
	return r.waiting > r.unansweredGrants && now.Sub(r.demandAt) <= ttl && !now.Before(r.backoffUntil)
}

// takenSlots is how many requests hold a slot as far as grants and reports tell.
func (u *upstream) takenSlots() int {
	n := len(u.grants)
	for _, r := range u.sortedRouters {
		n += r.unknownRequests
	}
	return n
}

// freeSlots is how many more requests the upstream may get now.
func (u *upstream) freeSlots(now time.Time) int {
	if u.leaving || u.crashed {
		return 0
	}
	limit := int(u.limit.slots())
	taken := u.takenSlots()
	if u.recovering(now) {
		return u.freeDuringRecovery(limit, taken)
	}
	return limit - taken - u.excess
}

// recovering reports whether routers may still run requests there that this owner does not know of.
func (u *upstream) recovering(now time.Time) bool {
	return len(u.unreported) > 0 && now.Before(u.recoveryUntil)
}

// freeDuringRecovery trusts only the upstream's own report. A new owner that grants its whole limit at once would put twice the
// limit on the upstream, seen in late first tokens.
func (u *upstream) freeDuringRecovery(limit, taken int) int {
	if !u.reported {
		return 0
	}
	return limit - max(u.lastReport.Running+u.lastReport.Waiting, taken) - len(u.grants)
}
