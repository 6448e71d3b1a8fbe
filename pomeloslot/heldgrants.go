package pomeloslot

import (
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// AcceptGrant records a grant and reports whether it may be used; in either case the caller must settle it with
// SettleGrant. A grant may not be used if it is a duplicate or if its upstream is leaving or unknown.
func (r *Requester) AcceptGrant(now time.Time, from pomelorelay.NodeID, g *pomelorelay.Grant) bool {
	if r.grants[g.ID] != nil {
		return false
	}
	r.grants[g.ID] = &heldGrant{upstream: g.Upstream, owner: from, expires: now.Add(g.TTL)}
	u := r.upstreams[g.Upstream]
	if u == nil {
		return false
	}
	u.heldGrants++
	u.unansweredSince = time.Time{}
	u.digest.LastTag = max(u.digest.LastTag, g.LastGrantedTag)
	return !u.leaving && !u.digest.Leaving
}

// GrantUsable reports whether a request may still be sent under a grant. Storing the claim that makes a non-idempotent
// request run at most once can take seconds, and the upstream may be leaving by then; without this check, the request
// could reach the upstream after the notice that no more requests follow.
func (r *Requester) GrantUsable(now time.Time, id pomelorelay.GrantID) bool {
	h := r.grants[id]
	if h == nil {
		return false
	}
	u := r.upstreams[h.upstream]
	return u != nil && !u.leaving && !u.digest.Leaving && now.Before(h.expires)
}

// SettleGrant appends to out the reply to a grant's owner, with the grant's outcome and the router's current demand.
func (r *Requester) SettleGrant(now time.Time, id pomelorelay.GrantID, s GrantOutcome, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	h := r.grants[id]
	if h == nil {
		return out
	}
	if s.State != pomelorelay.GrantUsed {
		r.releaseGrant(id, h)
	}
	u := r.upstreams[h.upstream]
	waiting := s.Waiting
	if u == nil || u.leaving || u.digest.Leaving {
		// An owner that does not know yet that the upstream is leaving would otherwise grant a slot again at once, and
		// owner and router would exchange grants in an endless loop.
		waiting = 0
	}
	m := &pomelorelay.GrantReply{
		ID:         id,
		Upstream:   h.upstream,
		State:      s.State,
		Seq:        r.nextSeq(now),
		Head:       s.Head,
		Waiting:    uint32(waiting),
		FirstToken: s.FirstToken,
		TokenGap:   s.TokenGap,
	}
	out = append(out, pomelorelay.Outgoing{To: h.owner, Message: m})
	if u == nil {
		return out
	}
	r.recordReply(now, u, h.owner, s, waiting)
	if u.digest.Owner != "" && u.digest.Owner != h.owner {
		// The upstream's new owner learned of the grant when it queried the running requests; without the reply it
		// would keep counting the slot as taken.
		out = append(out, pomelorelay.Outgoing{To: u.digest.Owner, Message: m})
	}
	return out
}

// recordReply stores the pool's current demand and, for the upstream, the demand that the reply carried.
func (r *Requester) recordReply(now time.Time, u *remoteUpstream, to pomelorelay.NodeID, s GrantOutcome, waiting int) {
	if p := r.pools[u.digest.Pool]; p != nil {
		p.demand.Head, p.demand.Waiting = s.Head, s.Waiting
	}
	u.lastSent = sentDemand{to: to, head: s.Head, waiting: waiting, at: now}
	u.trackAnswer(now, waiting)
}

func (r *Requester) releaseGrant(id pomelorelay.GrantID, h *heldGrant) {
	delete(r.grants, id)
	if u := r.upstreams[h.upstream]; u != nil && u.heldGrants > 0 {
		u.heldGrants--
	}
}

// RunningReport returns the report of the grants that the router holds for an upstream, in answer to an owner's query.
func (r *Requester) RunningReport(id pomelorelay.UpstreamID) *pomelorelay.RunningReport {
	m := &pomelorelay.RunningReport{Upstream: id}
	for grantID, h := range r.grants {
		if h.upstream == id {
			m.Grants = append(m.Grants, grantID)
		}
	}
	slices.Sort(m.Grants)
	m.Running = uint32(len(m.Grants))
	return m
}
