package pomeloslot

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// grant is a slot granted to a router.
type grant struct {
	id       pomelorelay.GrantID
	router   *router
	issuedAt time.Time
	// confirmedAt is when the grant was issued or the router last confirmed that it holds the grant.
	confirmedAt time.Time
	// used is set once the router has replied that it sent a request under the grant.
	used bool
	// next is the next released grant in Owner.freeGrants.
	next *grant
}

// markUsed records that the router sent a request under the grant.
func (g *grant) markUsed(now time.Time) {
	g.confirmedAt = now
	if g.used {
		return
	}
	g.used = true
	g.router.unansweredGrants--
}

func (o *Owner) newGrant() *grant {
	g := o.freeGrants
	if g == nil {
		return &grant{}
	}
	o.freeGrants = g.next
	*g = grant{}
	return g
}

// releaseGrant frees the slot of a grant and returns it to the free list.
func (o *Owner) releaseGrant(u *upstream, g *grant) {
	delete(u.grants, g.id)
	if !g.used {
		g.router.unansweredGrants--
	}
	*g = grant{next: o.freeGrants}
	o.freeGrants = g
}

// grantFreeSlots grants the free slots of an upstream to waiting routers, in the order of nextRouter.
func (o *Owner) grantFreeSlots(now time.Time, u *upstream, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	for free := u.freeSlots(now); free > 0; free-- {
		r := u.nextRouter(now, o.cfg.Grant)
		if r == nil {
			return out
		}
		out = append(out, o.issue(now, u, r))
	}
	u.limit.saturated = true
	return out
}

func (o *Owner) issue(now time.Time, u *upstream, r *router) pomelorelay.Outgoing {
	g := o.newGrant()
	g.id, g.router, g.issuedAt, g.confirmedAt = o.nextID, r, now, now
	o.nextID++
	u.grants[g.id] = g
	r.unansweredGrants++
	u.lastTag = r.head
	u.recordPeak(now, u.takenSlots(), o.cfg.Limit.MaxLoadLag)
	u.cached.addAll(now, r.prefixes, o.cfg.Grant.MaxPrefixes)
	m := &pomelorelay.Grant{ID: g.id, Upstream: u.id, Pool: u.pool, TTL: o.cfg.Grant.TTL, LastGrantedTag: u.lastTag}
	return pomelorelay.Outgoing{To: r.node, Message: m}
}

// nextRouter returns the router that receives the next grant, or nil if none waits. Routers with unanswered grants come
// last, because their tag is outdated: the account with that tag has been served since. Otherwise one account could
// receive all slots that become free within a round trip.
func (u *upstream) nextRouter(now time.Time, opt GrantOptions) *router {
	var best *router
	for _, r := range u.sortedRouters {
		if r.wantsGrant(now, opt.DemandTTL) && (best == nil || r.precedes(best)) {
			best = r
		}
	}
	if best == nil || opt.PrefixMargin < 0 {
		return best
	}
	return u.preferCached(now, best, opt)
}

func (r *router) precedes(other *router) bool {
	if r.unansweredGrants != other.unansweredGrants {
		return r.unansweredGrants < other.unansweredGrants
	}
	return r.head < other.head
}

// preferCached returns the router with the lowest tag among those whose prompt prefix the upstream has cached, or best
// if there is none. Only routers with as many unanswered grants as best, and a tag of at most PrefixMargin above
// best's, are considered.
func (u *upstream) preferCached(now time.Time, best *router, opt GrantOptions) *router {
	chosen := best
	found := u.cached.holdsAny(now, best.prefixes, opt.PrefixTTL)
	for _, r := range u.sortedRouters {
		if found && !r.precedes(chosen) {
			continue
		}
		if r.unansweredGrants != best.unansweredGrants || r.head > best.head+opt.PrefixMargin || !r.wantsGrant(now, opt.DemandTTL) {
			continue
		}
		if u.cached.holdsAny(now, r.prefixes, opt.PrefixTTL) {
			chosen, found = r, true
		}
	}
	return chosen
}

// queryOverdue appends queries to the routers whose grants or other running requests were not confirmed in time. A
// reply can be lost, or a router can have lost its grant; without a query the slot would stay idle forever.
func (o *Owner) queryOverdue(now time.Time, u *upstream, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	for _, g := range u.grants {
		wait := o.cfg.Grant.CheckInterval
		if !g.used {
			wait = o.cfg.Grant.ReplyTimeout
		}
		if now.Sub(g.confirmedAt) >= wait {
			g.router.queryDue = true
		}
	}
	for _, r := range u.sortedRouters {
		if r.unknownRequests > 0 && now.Sub(r.reportedAt) >= o.cfg.Grant.CheckInterval {
			r.queryDue = true
		}
		if !r.queryDue {
			continue
		}
		r.queryDue = false
		if now.Sub(r.queriedAt) < o.cfg.Grant.ReplyTimeout {
			continue
		}
		r.queriedAt = now
		out = append(out, pomelorelay.Outgoing{To: r.node, Message: &pomelorelay.RunningQuery{Upstream: u.id}})
	}
	return out
}

// HandleRunningReport handles a router's report of the grants that it holds and appends the resulting grants to out.
// Reported grants that the owner does not know are added; grants that were issued before the query and are missing from
// the report are released.
func (o *Owner) HandleRunningReport(now time.Time, from pomelorelay.NodeID, m *pomelorelay.RunningReport, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	u := o.upstreams[m.Upstream]
	if u == nil {
		return out
	}
	delete(u.unreported, from)
	r := u.router(from)
	r.reportedAt = now
	for _, id := range m.Grants {
		o.confirm(now, u, r, id)
	}
	r.unknownRequests = max(0, int(m.Running)-len(m.Grants))
	for _, g := range u.grants {
		if g.router == r && g.issuedAt.Before(r.queriedAt) && g.confirmedAt != now {
			o.releaseGrant(u, g)
		}
	}
	u.recordPeak(now, u.takenSlots(), o.cfg.Limit.MaxLoadLag)
	u.updateExcess(now, o.cfg.Limit.MaxLoadLag)
	return o.grantFreeSlots(now, u, out)
}

// confirm records that a router holds a grant, which a previous owner may have issued.
func (o *Owner) confirm(now time.Time, u *upstream, r *router, id pomelorelay.GrantID) {
	g := u.grants[id]
	if g == nil {
		g = o.newGrant()
		g.id, g.router, g.used = id, r, true
		u.grants[id] = g
	}
	if g.router == r {
		g.confirmedAt = now
	}
}
