package pomeloslot

import (
	"cmp"
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// updateRegistrations chooses the owners of a pool to wait at and sends what they do not know yet.
func (r *Asker) updateRegistrations(now time.Time, p *poolState, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	if !r.startDelayElapsed(now) {
		return out
	}
	r.selectUpstreams(now, p)
	for _, u := range p.upstreams {
		if u.selected {
			out = r.refresh(now, p, u, out)
			continue
		}
		out = r.withdraw(now, p, u, out)
	}
	return out
}

// startDelayElapsed spreads the first registrations of routers that start together: without it, half a fleet that restarts would
// be seen to send every owner a registration within the same millisecond.
func (r *Asker) startDelayElapsed(now time.Time) bool {
	if r.startAt.IsZero() {
		r.startAt = now.Add(time.Duration(r.rng.Int64N(int64(r.cfg.Registration.StartJitter))))
	}
	return !now.Before(r.startAt)
}

// selectUpstreams marks the owners to be registered at. Those of which grants are held stay chosen: their next free slot is
// known there at once, while it would be seen idle for a digest's period if nobody waited.
func (r *Asker) selectUpstreams(now time.Time, p *poolState) {
	p.ranked = p.ranked[:0]
	for _, u := range p.upstreams {
		u.idle = u.usableIdle(now)
	}
	spill := r.spillRange(now, p)
	for _, u := range p.upstreams {
		u.selected = false
		if !r.available(now, u) || p.demand.Waiting == 0 {
			continue
		}
		u.selected = u.heldGrants > 0
		if u.distance <= spill.maxDistance || spill.allows(u) {
			p.ranked = append(p.ranked, u)
		}
	}
	slices.SortFunc(p.ranked, compareUpstreams)
	r.selectRanked(p)
}

// available reports whether an owner is known that may grant.
func (r *Asker) available(now time.Time, u *remoteUpstream) bool {
	return !u.leaving && !u.digest.Leaving && now.Sub(u.digestAt) <= r.cfg.Registration.DigestTTL
}

// maxComparedIdle is the number of idle slots beyond which more make no owner better. If every router took the owner that had most
// idle when digests were sent, all would be seen to wait there and at no other.
const maxComparedIdle = 2

// compareUpstreams orders owners by idle slots first, nearest and in an order of the router's own, then by the highest last granted tag: the
// accounts there have had more, so a waiting one is served sooner.
func compareUpstreams(a, b *remoteUpstream) int {
	if idle := cmp.Compare(min(b.idle, 1), min(a.idle, 1)); idle != 0 {
		return idle
	}
	if a.idle > 0 {
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(min(b.idle, maxComparedIdle), min(a.idle, maxComparedIdle)), cmp.Compare(a.tieBreak, b.tieBreak))
	}
	return cmp.Or(cmp.Compare(b.digest.LastTag, a.digest.LastTag), cmp.Compare(a.tieBreak, b.tieBreak))
}

// selectRanked chooses from the ranking: idle owners until their slots cover what waits, and Spare more, else Base owners and
// one for every PerWaiting requests that wait.
func (r *Asker) selectRanked(p *poolState) {
	waiting := p.demand.Waiting
	width := r.cfg.Registration.BaseOwners + waiting/r.cfg.Registration.WaitingPerOwner
	spare, idle, busy := r.cfg.Registration.SpareOwners, 0, 0
	for _, u := range p.ranked {
		covered := idle >= waiting
		if u.idle == 0 {
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
		idle += int(u.idle)
		u.selected = true
	}
}

// refresh refreshes an owner's view of the demand when it is out of date.
func (r *Asker) refresh(now time.Time, p *poolState, u *remoteUpstream, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	d := &p.demand
	age := now.Sub(u.lastSent.at)
	known := u.lastSent.to == u.digest.Owner && u.lastSent.waiting > 0
	changed := u.lastSent.head != d.Head || u.lastSent.waiting != d.Waiting
	if known && (age < r.cfg.Registration.ChangeInterval || !changed && age < r.cfg.Registration.KeepAliveInterval) {
		return out
	}
	return r.sendDemand(now, p, u, d.Waiting, out)
}

// withdraw takes a registration back.
func (r *Asker) withdraw(now time.Time, p *poolState, u *remoteUpstream, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	if u.lastSent.waiting == 0 {
		return out
	}
	return r.sendDemand(now, p, u, 0, out)
}

func (r *Asker) sendDemand(now time.Time, p *poolState, u *remoteUpstream, waiting int, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	u.lastSent = sentDemand{to: u.digest.Owner, head: p.demand.Head, waiting: waiting, at: now}
	u.trackAnswer(now, waiting)
	m := &pomelorelay.Demand{
		Upstream: u.digest.Upstream,
		Pool:     p.id,
		Seq:      r.nextSeq(now),
		Head:     p.demand.Head,
		Waiting:  uint32(waiting),
	}
	if waiting > 0 {
		m.Prefixes = p.demand.Prefixes
	}
	return append(out, pomelorelay.Outgoing{To: u.digest.Owner, Message: m})
}

// nextSeq rises over restarts too: with numbers that start at one, the demand of a restarted router would be seen as older than its last.
func (r *Asker) nextSeq(now time.Time) uint64 {
	r.seq = max(r.seq+1, uint64(now.UnixMilli()))
	return r.seq
}

// idleAnswerTimeout is how long an owner with idle slots may take to grant; a round trip within a region takes a millisecond or two.
const idleAnswerTimeout = 300 * time.Millisecond

// trackAnswer begins the wait for an answer of an owner that is said to have idle slots.
func (u *remoteUpstream) trackAnswer(now time.Time, waiting int) {
	if waiting == 0 || u.digest.Idle == 0 {
		u.unansweredSince = time.Time{}
		return
	}
	if u.unansweredSince.IsZero() {
		u.unansweredSince = now
	}
}

// usableIdle returns the slots that may be counted on. Those of an owner that was asked and shows no sign are not: it may be paused
// or cut off, and a request would be seen to wait beside idle slots of the next failure domain until it is taken for dead.
func (u *remoteUpstream) usableIdle(now time.Time) pomelorelay.Slots {
	if !u.unansweredSince.IsZero() && now.Sub(u.unansweredSince) >= idleAnswerTimeout {
		return 0
	}
	return u.digest.Idle
}
