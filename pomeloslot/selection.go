package pomeloslot

import (
	"cmp"
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// updateRegistrations chooses the owners of a pool to wait at and sends what they do not know yet.
func (a *Asker) updateRegistrations(now time.Time, p *poolState, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	if !a.startDelayElapsed(now) {
		return out
	}
	a.selectUpstreams(now, p)
	for _, w := range p.upstreams {
		if w.selected {
			out = a.refresh(now, p, w, out)
			continue
		}
		out = a.withdraw(now, p, w, out)
	}
	return out
}

// startDelayElapsed spreads the first registrations of routers that start together: without it, half a fleet that restarts would
// be seen to send every owner a registration within the same millisecond.
func (a *Asker) startDelayElapsed(now time.Time) bool {
	if a.startAt.IsZero() {
		a.startAt = now.Add(time.Duration(a.rng.Int64N(int64(a.cfg.Registration.StartJitter))))
	}
	return !now.Before(a.startAt)
}

// selectUpstreams marks the owners to be registered at. Those of which grants are held stay chosen: their next free slot is
// known there at once, while it would be seen idle for a digest's period if nobody waited.
func (a *Asker) selectUpstreams(now time.Time, p *poolState) {
	p.ranked = p.ranked[:0]
	for _, w := range p.upstreams {
		w.idle = w.usableIdle(now)
	}
	spill := a.spillRange(now, p)
	for _, w := range p.upstreams {
		w.selected = false
		if !a.available(now, w) || p.demand.Waiting == 0 {
			continue
		}
		w.selected = w.heldGrants > 0
		if w.distance <= spill.maxDistance || spill.allows(w) {
			p.ranked = append(p.ranked, w)
		}
	}
	slices.SortFunc(p.ranked, compareUpstreams)
	a.selectRanked(p)
}

// available reports whether an owner is known that may grant.
func (a *Asker) available(now time.Time, w *remoteUpstream) bool {
	return !w.leaving && !w.digest.Leaving && now.Sub(w.digestAt) <= a.cfg.Registration.DigestTTL
}

// maxComparedIdle is the number of idle slots beyond which more make no owner better. If every router took the owner that had most
// idle when digests were sent, all would be seen to wait there and at no other.
const maxComparedIdle = 2

// compareUpstreams orders owners by idle slots first, nearest and in an order of the router's own, then by the highest last granted tag: the
// accounts there have had more, so a waiting one is served sooner.
func compareUpstreams(v, w *remoteUpstream) int {
	if idle := cmp.Compare(min(w.idle, 1), min(v.idle, 1)); idle != 0 {
		return idle
	}
	if v.idle > 0 {
		return cmp.Or(cmp.Compare(v.distance, w.distance), cmp.Compare(min(w.idle, maxComparedIdle), min(v.idle, maxComparedIdle)), cmp.Compare(v.tieBreak, w.tieBreak))
	}
	return cmp.Or(cmp.Compare(w.digest.LastTag, v.digest.LastTag), cmp.Compare(v.tieBreak, w.tieBreak))
}

// selectRanked chooses from the ranking: idle owners until their slots cover what waits, and Spare more, else Base owners and
// one for every PerWaiting requests that wait.
func (a *Asker) selectRanked(p *poolState) {
	waiting := p.demand.Waiting
	width := a.cfg.Registration.BaseOwners + waiting/a.cfg.Registration.WaitingPerOwner
	spare, idle, busy := a.cfg.Registration.SpareOwners, 0, 0
	for _, w := range p.ranked {
		covered := idle >= waiting
		if w.idle == 0 {
			if covered || busy >= width {
				return
			}
			busy++
		} else if covered {
			if spare == 0 {
				return
			}
			spare--
		}
		idle += int(w.idle)
		w.selected = true
	}
}

// refresh refreshes an owner's view of the demand when it is out of date.
func (a *Asker) refresh(now time.Time, p *poolState, w *remoteUpstream, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	d := &p.demand
	age := now.Sub(w.lastSent.at)
	known := w.lastSent.to == w.digest.Owner && w.lastSent.waiting > 0
	changed := w.lastSent.head != d.Head || w.lastSent.waiting != d.Waiting
	if known && (age < a.cfg.Registration.ChangeInterval || !changed && age < a.cfg.Registration.KeepAliveInterval) {
		return out
	}
	return a.sendDemand(now, p, w, d.Waiting, out)
}

// withdraw takes a registration back.
func (a *Asker) withdraw(now time.Time, p *poolState, w *remoteUpstream, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	if w.lastSent.waiting == 0 {
		return out
	}
	return a.sendDemand(now, p, w, 0, out)
}

func (a *Asker) sendDemand(now time.Time, p *poolState, w *remoteUpstream, waiting int, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	w.lastSent = sentDemand{to: w.digest.Owner, head: p.demand.Head, waiting: waiting, at: now}
	w.trackAnswer(now, waiting)
	m := &pomelorelay.Demand{
		Upstream: w.digest.Upstream,
		Pool:     p.id,
		Seq:      a.nextSeq(now),
		Head:     p.demand.Head,
		Waiting:  uint32(waiting),
	}
	if waiting > 0 {
		m.Prefixes = p.demand.Prefixes
	}
	return append(out, pomelorelay.Outgoing{To: w.digest.Owner, Message: m})
}

// nextSeq rises over restarts too: with numbers that start at one, the demand of a restarted router would be seen as older than its last.
func (a *Asker) nextSeq(now time.Time) uint64 {
	a.seq = max(a.seq+1, uint64(now.UnixMilli()))
	return a.seq
}

// idleAnswerTimeout is how long an owner with idle slots may take to grant; a round trip within a region takes a millisecond or two.
const idleAnswerTimeout = 300 * time.Millisecond

// trackAnswer begins the wait for an answer of an owner that is said to have idle slots.
func (w *remoteUpstream) trackAnswer(now time.Time, waiting int) {
	if waiting == 0 || w.digest.Idle == 0 {
		w.unansweredSince = time.Time{}
		return
	}
	if w.unansweredSince.IsZero() {
		w.unansweredSince = now
	}
}

// usableIdle returns the slots that may be counted on. Those of an owner that was asked and shows no sign are not: it may be paused
// or cut off, and a request would be seen to wait beside idle slots of the next failure domain until it is taken for dead.
func (w *remoteUpstream) usableIdle(now time.Time) pomelorelay.Slots {
	if !w.unansweredSince.IsZero() && now.Sub(w.unansweredSince) >= idleAnswerTimeout {
		return 0
	}
	return w.digest.Idle
}
