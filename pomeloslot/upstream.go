package pomeloslot

import (
	"slices"
	"strings"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// upstream is the owner's state of one upstream.
type upstream struct {
	id       pomelorelay.UpstreamID
	pool     pomelorelay.PoolID
	min, max pomelorelay.Slots
	limit    limiter
	routers  map[pomelorelay.NodeID]*router
	// sortedRouters is sorted by node ID to make the order of grants deterministic.
	sortedRouters []*router
	grants        map[pomelorelay.GrantID]*grant
	// unreported holds the queried routers that have not yet reported the requests that they run on the upstream.
	unreported map[pomelorelay.NodeID]bool
	cached     prefixCache
	// lastTag is the lowest tag of the router that received the last grant, at the time of that grant.
	lastTag pomelorelay.Tag
	leaving bool
	crashed bool
	// recoveryUntil is when a new owner stops waiting for the routers' reports of running requests.
	recoveryUntil time.Time
	loadTracker
}

// router is the owner's state of one router's demand for one upstream.
type router struct {
	node     pomelorelay.NodeID
	seq      uint64
	head     pomelorelay.Tag
	waiting  int
	prefixes []uint64
	demandAt time.Time
	// unansweredGrants is the number of grants without a reply; while it is above zero, head is older than these
	// grants.
	unansweredGrants int
	// backoffUntil is when the router may receive grants again after it returned one unused.
	backoffUntil time.Time
	// unknownRequests is the number of requests that the router runs without a grant known to the owner.
	unknownRequests int
	// reportedAt is when the router last reported its running requests, queriedAt when it was last queried for them.
	reportedAt time.Time
	queriedAt  time.Time
	// queryDue marks a router to be queried; it is set and cleared within queryOverdue.
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

// updateDemand stores the demand and reports true if its sequence number is newer than the stored one.
func (r *router) updateDemand(now time.Time, seq uint64, head pomelorelay.Tag, waiting uint32) bool {
	if seq <= r.seq {
		return false
	}
	r.seq, r.head, r.waiting, r.demandAt = seq, head, int(waiting), now
	return true
}

// wantsGrant reports whether the router has a waiting request for a further grant. Demand expires after ttl: a router that
// is partitioned in one direction or lost its requests would otherwise be granted slots that it never uses.
func (r *router) wantsGrant(now time.Time, ttl time.Duration) bool {
	return r.waiting > r.unansweredGrants && now.Sub(r.demandAt) <= ttl && !now.Before(r.backoffUntil)
}

// takenSlots returns the number of slots taken according to grants and to routers' reports of running requests.
func (u *upstream) takenSlots() int {
	n := len(u.grants)
	for _, r := range u.sortedRouters {
		n += r.unknownRequests
	}
	return n
}

// freeSlots returns the number of slots that may be granted now; it can be negative.
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

// recovering reports whether a new owner still waits for routers' reports of running requests; until they arrive,
// routers may run requests that the owner does not know.
func (u *upstream) recovering(now time.Time) bool {
	return len(u.unreported) > 0 && now.Before(u.recoveryUntil)
}

// freeDuringRecovery returns the free slots of a new owner's upstream according to the upstream's load report, and zero
// before one arrives. Granting the full limit at once would load the upstream to twice its limit and delay first
// tokens, because requests that the previous owner granted still run there.
func (u *upstream) freeDuringRecovery(limit, taken int) int {
	if !u.reported {
		return 0
	}
	return limit - max(u.lastReport.Running+u.lastReport.Waiting, taken) - len(u.grants)
}
