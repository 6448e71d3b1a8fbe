package pomeloslot

import (
	"cmp"
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// updateRegistrations selects the owners of a pool to register at and appends the registrations and withdrawals to out.
func (r *Requester) updateRegistrations(now time.Time, p *poolState, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
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

// startDelayElapsed reports whether the random start delay has passed. Without the delay, routers that restart together
// would all send registrations to every owner within the same millisecond.
func (r *Requester) startDelayElapsed(now time.Time) bool {
	if r.startAt.IsZero() {
		r.startAt = now.Add(time.Duration(r.rng.Int64N(int64(r.cfg.Registration.StartJitter))))
	}
	return !now.Before(r.startAt)
}

// selectUpstreams marks the upstreams for whose slots the router registers. An upstream for which the router holds a
// grant stays selected, so that its owner can grant the next free slot at once; otherwise the slot would stay idle
// until the next digest.
func (r *Requester) selectUpstreams(now time.Time, p *poolState) {
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

// available reports whether the upstream is not leaving and its owner's digest is current.
func (r *Requester) available(now time.Time, u *remoteUpstream) bool {
	return !u.leaving && !u.digest.Leaving && now.Sub(u.digestAt) <= r.cfg.Registration.DigestTTL
}

// maxComparedIdle caps idle slots in comparisons. If routers preferred the upstream with the most idle slots in the last
// digests, all of them would wait at that one and at no other.
const maxComparedIdle = 2

// compareUpstreams orders upstreams with idle slots first, by distance, idle slots and tieBreak, and then the busy ones
// by descending last granted tag: accounts served there have received more service, so a waiting account with a low tag
// is served sooner.
func compareUpstreams(a, b *remoteUpstream) int {
	if idle := cmp.Compare(min(b.idle, 1), min(a.idle, 1)); idle != 0 {
		return idle
	}
	if a.idle > 0 {
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(min(b.idle, maxComparedIdle), min(a.idle, maxComparedIdle)), cmp.Compare(a.tieBreak, b.tieBreak))
	}
	return cmp.Or(cmp.Compare(b.digest.LastTag, a.digest.LastTag), cmp.Compare(a.tieBreak, b.tieBreak))
}

// selectRanked selects from the ranked upstreams. Those with idle slots are selected until their slots cover the
// waiting requests, plus SpareOwners more. If the idle slots do not suffice, BaseOwners busy upstreams are added, and
// one for every WaitingPerOwner waiting requests.
func (r *Requester) selectRanked(p *poolState) {
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

// refresh sends the current demand to an upstream's owner if the last sent demand is outdated.
func (r *Requester) refresh(now time.Time, p *poolState, u *remoteUpstream, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	d := &p.demand
	age := now.Sub(u.lastSent.at)
	known := u.lastSent.to == u.digest.Owner && u.lastSent.waiting > 0
	changed := u.lastSent.head != d.Head || u.lastSent.waiting != d.Waiting
	if known && (age < r.cfg.Registration.ChangeInterval || !changed && age < r.cfg.Registration.KeepAliveInterval) {
		return out
	}
	return r.sendDemand(now, p, u, d.Waiting, out)
}

// withdraw cancels the registration at an upstream's owner, if there is one.
func (r *Requester) withdraw(now time.Time, p *poolState, u *remoteUpstream, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	if u.lastSent.waiting == 0 {
		return out
	}
	return r.sendDemand(now, p, u, 0, out)
}

func (r *Requester) sendDemand(now time.Time, p *poolState, u *remoteUpstream, waiting int, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	u.lastSent = sentDemand{to: u.digest.Owner, head: p.demand.Head, waiting: waiting, at: now}
	u.trackAnswer(now, waiting)
	m := &pomelorelay.Demand{
		Upstream: u.digest.Upstream,
		Pool:     p.id,
		Seq:      r.nextSeq(now),
		HeadTag:  p.demand.Head,
		Waiting:  uint32(waiting),
	}
	if waiting > 0 {
		m.Prefixes = p.demand.Prefixes
	}
	return append(out, pomelorelay.Outgoing{To: u.digest.Owner, Message: m})
}

// nextSeq returns a sequence number that also increases across restarts: owners would discard the demand of a restarted
// router as outdated if it started again at one.
func (r *Requester) nextSeq(now time.Time) uint64 {
	r.seq = max(r.seq+1, uint64(now.UnixMilli()))
	return r.seq
}

// idleAnswerTimeout is how long an owner with idle slots may take to send a grant; a round trip within a region takes 1 to 2 ms.
const idleAnswerTimeout = 300 * time.Millisecond

// trackAnswer starts waiting for an answer if demand was sent to an owner with idle slots, and stops waiting otherwise.
func (u *remoteUpstream) trackAnswer(now time.Time, waiting int) {
	if waiting == 0 || u.digest.Idle == 0 {
		u.unansweredSince = time.Time{}
		return
	}
	if u.unansweredSince.IsZero() {
		u.unansweredSince = now
	}
}

// usableIdle returns the idle slots that can be expected to be granted: none if the owner did not answer a registration
// in time. Such an owner may be paused or partitioned, and requests would wait for it until failure detection while
// another failure domain has idle slots.
func (u *remoteUpstream) usableIdle(now time.Time) pomelorelay.Slots {
	if !u.unansweredSince.IsZero() && now.Sub(u.unansweredSince) >= idleAnswerTimeout {
		return 0
	}
	return u.digest.Idle
}
