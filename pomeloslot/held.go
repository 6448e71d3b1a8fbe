package pomeloslot

import (
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// AcceptGrant takes a grant and reports whether it may be used; it is to be settled either way. It may not when its
// upstream leaves, when it arrived twice, or while nothing is known of its upstream.
func (a *Requester) AcceptGrant(now time.Time, from pomelorelay.NodeID, g *pomelorelay.Grant) bool {
	if a.held[g.ID] != nil {
		return false
	}
	a.held[g.ID] = &held{upstream: g.Upstream, owner: from, expires: now.Add(g.TTL)}
	w := a.owners[g.Upstream]
	if w == nil {
		return false
	}
	w.held++
	w.asked = time.Time{}
	w.digest.LastTag = max(w.digest.LastTag, g.LastTag)
	return !w.left && !w.digest.Leaving
}

// Usable reports whether a request may still leave under a grant. A claim can take long to become durable; without
// this check a leaving upstream would be seen to get a request seconds after it was told that none comes.
func (a *Requester) Usable(now time.Time, id pomelorelay.GrantID) bool {
	h := a.held[id]
	if h == nil {
		return false
	}
	w := a.owners[h.upstream]
	return w != nil && !w.left && !w.digest.Leaving && now.Before(h.expires)
}

// SettleGrant tells the owner of a grant what became of it and what the router has waiting now.
func (a *Requester) SettleGrant(now time.Time, id pomelorelay.GrantID, s Settlement, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	h := a.held[id]
	if h == nil {
		return out
	}
	if s.State != pomelorelay.GrantUsed {
		a.release(id, h)
	}
	w := a.owners[h.upstream]
	waiting := s.Waiting
	if w == nil || w.left || w.digest.Leaving {
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
	a.noteTold(now, w, h.owner, s, waiting)
	if w.digest.Owner != "" && w.digest.Owner != h.owner {
		// The upstream changed hands: the new owner counts the grant since it asked what runs.
		out = append(out, pomelorelay.Outgoing{To: w.digest.Owner, Message: m})
	}
	return out
}

// noteTold takes the fresh demand and remembers what of it the reply carried.
func (a *Requester) noteTold(now time.Time, w *owned, to pomelorelay.NodeID, s Settlement, waiting int) {
	if p := a.pools[w.digest.Pool]; p != nil {
		p.demand.Head, p.demand.Waiting = s.Head, s.Waiting
	}
	w.sent = sentDemand{to: to, head: s.Head, waiting: waiting, at: now}
	w.noteAsked(now, waiting)
}

func (a *Requester) release(id pomelorelay.GrantID, h *held) {
	delete(a.held, id)
	if w := a.owners[h.upstream]; w != nil && w.held > 0 {
		w.held--
	}
}

// RunningReport answers an owner's query with the grants that the router holds on an upstream.
func (a *Requester) RunningReport(id pomelorelay.UpstreamID) *pomelorelay.RunningReport {
	m := &pomelorelay.RunningReport{Upstream: id}
	for grantID, h := range a.held {
		if h.upstream == id {
			m.Grants = append(m.Grants, grantID)
		}
	}
	slices.Sort(m.Grants)
	m.Running = uint32(len(m.Grants))
	return m
}
