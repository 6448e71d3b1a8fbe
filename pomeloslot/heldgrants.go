package pomeloslot

import (
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Granted takes a grant and reports whether it may be used; it is to be settled either way. It may not when its
// upstream leaves, when it arrived twice, or while nothing is known of its upstream.
func (a *Asker) Granted(now time.Time, from pomelorelay.NodeID, g *pomelorelay.Grant) bool {
	if a.grants[g.ID] != nil {
		return false
	}
	a.grants[g.ID] = &heldGrant{upstream: g.Upstream, owner: from, expires: now.Add(g.TTL)}
	w := a.upstreams[g.Upstream]
	if w == nil {
		return false
	}
	w.heldGrants++
	w.unansweredSince = time.Time{}
	w.digest.LastTag = max(w.digest.LastTag, g.LastTag)
	return !w.leaving && !w.digest.Leaving
}

// Usable reports whether a request may still leave under a grant. A claim can take long to become durable; without
// this check a leaving upstream would be seen to get a request seconds after it was told that none comes.
func (a *Asker) Usable(now time.Time, id pomelorelay.GrantID) bool {
	h := a.grants[id]
	if h == nil {
		return false
	}
	w := a.upstreams[h.upstream]
	return w != nil && !w.leaving && !w.digest.Leaving && now.Before(h.expires)
}

// Settled tells the owner of a grant what became of it and what the router has waiting now.
func (a *Asker) Settled(now time.Time, id pomelorelay.GrantID, s Settlement, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	h := a.grants[id]
	if h == nil {
		return out
	}
	if s.State != pomelorelay.GrantUsed {
		a.releaseGrant(id, h)
	}
	w := a.upstreams[h.upstream]
	waiting := s.Waiting
	if w == nil || w.leaving || w.digest.Leaving {
		// An owner that does not know yet that the upstream leaves would grant again at once, be refused again, and so on.
		waiting = 0
	}
	m := &pomelorelay.GrantReply{
		ID:         id,
		Upstream:   h.upstream,
		State:      s.State,
		Seq:        a.nextSeq(now),
		Head:       s.Head,
		Waiting:    uint32(waiting),
		FirstToken: s.FirstToken,
		TokenGap:   s.TokenGap,
	}
	out = append(out, pomelorelay.Outgoing{To: h.owner, Message: m})
	if w == nil {
		return out
	}
	a.recordReply(now, w, h.owner, s, waiting)
	if w.digest.Owner != "" && w.digest.Owner != h.owner {
		// The upstream changed hands: the new owner counts the grant since it asked what runs.
		out = append(out, pomelorelay.Outgoing{To: w.digest.Owner, Message: m})
	}
	return out
}

// recordReply takes the fresh demand and remembers what of it the reply carried.
func (a *Asker) recordReply(now time.Time, w *remoteUpstream, to pomelorelay.NodeID, s Settlement, waiting int) {
	if p := a.pools[w.digest.Pool]; p != nil {
		p.demand.Head, p.demand.Waiting = s.Head, s.Waiting
	}
	w.lastSent = sentDemand{to: to, head: s.Head, waiting: waiting, at: now}
	w.trackAnswer(now, waiting)
}

func (a *Asker) releaseGrant(id pomelorelay.GrantID, h *heldGrant) {
	delete(a.grants, id)
	if w := a.upstreams[h.upstream]; w != nil && w.heldGrants > 0 {
		w.heldGrants--
	}
}

// Running answers an owner's query with the grants that the router holds on an upstream.
func (a *Asker) Running(id pomelorelay.UpstreamID) *pomelorelay.RunningReport {
	m := &pomelorelay.RunningReport{Upstream: id}
	for grantID, h := range a.grants {
		if h.upstream == id {
			m.Grants = append(m.Grants, grantID)
		}
	}
	slices.Sort(m.Grants)
	m.Running = uint32(len(m.Grants))
	return m
}
