package pomeloslot

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// grant is one slot given to a router.
type grant struct {
	id     pomelorelay.GrantID
	router *router
	issued time.Time
	// heard is when the router last said that it uses the grant.
	heard time.Time
	used  bool
	next  *grant
}

// use notes that the router sent a request.
func (g *grant) use(now time.Time) {
	g.heard = now
	if g.used {
		return
	}
	g.used = true
	g.router.unanswered--
}

func (o *Owner) newGrant() *grant {
	g := o.free
	if g == nil {
		return &grant{}
	}
	o.free = g.next
	*g = grant{}
	return g
}

// drop frees the slot of a grant.
func (o *Owner) drop(u *upstream, g *grant) {
	delete(u.grants, g.id)
	if !g.used {
		g.router.unanswered--
	}
	*g = grant{next: o.free}
	o.free = g
}

// fill grants free slots to the routers that want them, lowest tag first.
func (o *Owner) fill(now time.Time, u *upstream, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	for free := u.free(now); free > 0; free-- {
		r := u.choose(now, o.cfg.Grant)
		if r == nil {
			return out
		}
		out = append(out, o.issue(now, u, r))
	}
	u.limit.full = true
	return out
}

func (o *Owner) issue(now time.Time, u *upstream, r *router) pomelorelay.Outgoing {
	g := o.newGrant()
	g.id, g.router, g.issued, g.heard = o.nextID, r, now, now
	o.nextID++
	u.grants[g.id] = g
	r.unanswered++
	u.lastTag = r.head
	u.notePeak(now, u.taken(), o.cfg.Limit.Lag)
	u.cached.addAll(now, r.prefixes, o.cfg.Grant.Prefixes)
	m := &pomelorelay.Grant{ID: g.id, Upstream: u.id, Pool: u.pool, TTL: o.cfg.Grant.TTL, LastTag: u.lastTag}
	return pomelorelay.Outgoing{To: r.node, Message: m}
}

// choose returns the router to grant to, nil when none wants a slot. One whose tag is from before a grant that it has
// not answered comes after those with a fresh tag: its lowest account has been served since, and granting by the old
// tag would be seen as one account taking every slot that came free within a round trip.
func (u *upstream) choose(now time.Time, opt GrantOptions) *router {
	var best *router
	for _, r := range u.order {
		if r.wants(now, opt.DemandTTL) && (best == nil || r.before(best)) {
			best = r
		}
	}
	if best == nil || opt.PrefixMargin < 0 {
		return best
	}
	return u.preferCached(now, best, opt)
}

func (r *router) before(other *router) bool {
	if r.unanswered != other.unanswered {
		return r.unanswered < other.unanswered
	}
	return r.head < other.head
}

// preferCached returns the lowest router within the margin of best whose prefix the upstream holds, else best.
func (u *upstream) preferCached(now time.Time, best *router, opt GrantOptions) *router {
	chosen := best
	found := u.cached.holdsAny(now, best.prefixes, opt.PrefixTTL)
	for _, r := range u.order {
		if found && !r.before(chosen) {
			continue
		}
		if r.unanswered != best.unanswered || r.head > best.head+opt.PrefixMargin || !r.wants(now, opt.DemandTTL) {
			continue
		}
		if u.cached.holdsAny(now, r.prefixes, opt.PrefixTTL) {
			chosen, found = r, true
		}
	}
	return chosen
}

// check asks routers after grants of which nothing was heard for too long. A reply can be lost, or its router can have
// forgotten the grant: without asking, the slot would be seen idle and never granted again.
func (o *Owner) check(now time.Time, u *upstream, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	for _, g := range u.grants {
		wait := o.cfg.Grant.Check
		if !g.used {
			wait = o.cfg.Grant.Answer
		}
		if now.Sub(g.heard) >= wait {
			g.router.overdue = true
		}
	}
	for _, r := range u.order {
		if r.foreign > 0 && now.Sub(r.reported) >= o.cfg.Grant.Check {
			r.overdue = true
		}
		if !r.overdue {
			continue
		}
		r.overdue = false
		if now.Sub(r.asked) < o.cfg.Grant.Answer {
			continue
		}
		r.asked = now
		out = append(out, pomelorelay.Outgoing{To: r.node, Message: &pomelorelay.RunningQuery{Upstream: u.id}})
	}
	return out
}

// HandleRunningReport takes a router's report of the grants that it holds: unknown ones are counted from now on, and ones that were
// issued before the query and are not in the report are free.
func (o *Owner) HandleRunningReport(now time.Time, from pomelorelay.NodeID, m *pomelorelay.RunningReport, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	u := o.upstreams[m.Upstream]
	if u == nil {
		return out
	}
	delete(u.unheard, from)
	r := u.router(from)
	r.reported = now
	for _, id := range m.Grants {
		o.confirm(now, u, r, id)
	}
	r.foreign = max(0, int(m.Running)-len(m.Grants))
	for _, g := range u.grants {
		if g.router == r && g.issued.Before(r.asked) && g.heard != now {
			o.drop(u, g)
		}
	}
	u.notePeak(now, u.taken(), o.cfg.Limit.Lag)
	u.explain(now, o.cfg.Limit.Lag)
	return o.fill(now, u, out)
}

// confirm notes that a router holds a grant, which an earlier owner may have issued.
func (o *Owner) confirm(now time.Time, u *upstream, r *router, id pomelorelay.GrantID) {
	g := u.grants[id]
	if g == nil {
		g = o.newGrant()
		g.id, g.router, g.used = id, r, true
		u.grants[id] = g
	}
	if g.router == r {
		g.heard = now
	}
}
