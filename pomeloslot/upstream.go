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
	// order is by node, so that the same messages always give the same grants.
	order   []*router
	grants  map[pomelorelay.GrantID]*grant
	unheard map[pomelorelay.NodeID]bool
	cached  prefixes
	lastTag pomelorelay.Tag
	leaving bool
	crashed bool
	// carefulUntil ends the time in which what runs is not yet known from the routers.
	carefulUntil time.Time
	loads
}

// router is what an owner knows of one router's demand for one upstream.
type router struct {
	node     pomelorelay.NodeID
	seq      uint64
	head     pomelorelay.Tag
	waiting  int
	prefixes []uint64
	at       time.Time
	// unanswered counts grants without a reply; while there are some, head is from before them.
	unanswered int
	// restUntil ends the time in which a router gets nothing after it returned a grant.
	restUntil time.Time
	// foreign counts requests that the router runs without a grant known here.
	foreign int
	// reported is when the router last said what it runs, asked when it was last queried.
	reported time.Time
	asked    time.Time
	// overdue marks a router to query; it is set and cleared within one check.
	overdue bool
}

func newUpstream(up Upstream) *upstream {
	u := &upstream{
		id:      up.ID,
		pool:    up.Pool,
		min:     up.Min,
		max:     up.Max,
		routers: make(map[pomelorelay.NodeID]*router),
		grants:  make(map[pomelorelay.GrantID]*grant),
		unheard: make(map[pomelorelay.NodeID]bool),
		cached:  prefixes{seen: make(map[uint64]time.Time)},
	}
	u.limit.bound(up.Min, up.Max)
	u.limit.value = float64(up.Max)
	return u
}

func (u *upstream) router(node pomelorelay.NodeID) *router {
	if r := u.routers[node]; r != nil {
		return r
	}
	r := &router{node: node}
	u.routers[node] = r
	i, _ := u.place(node)
	u.order = slices.Insert(u.order, i, r)
	return r
}

func (u *upstream) place(node pomelorelay.NodeID) (int, bool) {
	return slices.BinarySearchFunc(u.order, node, func(r *router, node pomelorelay.NodeID) int {
		return strings.Compare(string(r.node), string(node))
	})
}

func (u *upstream) forget(node pomelorelay.NodeID) {
	delete(u.routers, node)
	if i, found := u.place(node); found {
		u.order = slices.Delete(u.order, i, i+1)
	}
}

// refresh takes newer demand and reports whether it was newer.
func (r *router) refresh(now time.Time, seq uint64, head pomelorelay.Tag, waiting uint32) bool {
	if seq <= r.seq {
		return false
	}
	r.seq, r.head, r.waiting, r.at = seq, head, int(waiting), now
	return true
}

// wants reports whether a further grant would find a request waiting. Demand that is not refreshed ends: a router that
// is cut off one way, or that lost its waiting requests, would else be seen to take slots that it never uses.
func (r *router) wants(now time.Time, ttl time.Duration) bool {
	return r.waiting > r.unanswered && now.Sub(r.at) <= ttl && !now.Before(r.restUntil)
}

// taken is how many requests hold a slot as far as grants and reports tell.
func (u *upstream) taken() int {
	n := len(u.grants)
	for _, r := range u.order {
		n += r.foreign
	}
	return n
}

// free is how many more requests the upstream may get now.
func (u *upstream) free(now time.Time) int {
	if u.leaving || u.crashed {
		return 0
	}
	limit := int(u.limit.slots())
	taken := u.taken()
	if u.careful(now) {
		return u.freeCareful(limit, taken)
	}
	return limit - taken - u.excess
}

// careful reports whether routers may still run requests there that this owner does not know of.
func (u *upstream) careful(now time.Time) bool {
	return len(u.unheard) > 0 && now.Before(u.carefulUntil)
}

// freeCareful trusts only the upstream's own report. A new owner that grants its whole limit at once would put twice the
// limit on the upstream, seen in late first tokens.
func (u *upstream) freeCareful(limit, taken int) int {
	if !u.loaded {
		return 0
	}
	return limit - max(u.last.Running+u.last.Waiting, taken) - len(u.grants)
}
