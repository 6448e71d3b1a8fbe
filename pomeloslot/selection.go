package pomeloslot

import (
	"cmp"
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// register chooses the owners of a pool to wait at and sends what they do not know yet.
func (a *Requester) register(now time.Time, p *askerPool, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	if !a.started(now) {
		return out
	}
	a.choose(now, p)
	for _, w := range p.owners {
		if w.chosen {
			out = a.tell(now, p, w, out)
			continue
		}
		out = a.withdraw(now, p, w, out)
	}
	return out
}

// started spreads the first registrations of routers that start together: without it, half a fleet that restarts would
// be seen to send every owner a registration within the same millisecond.
func (a *Requester) started(now time.Time) bool {
	if a.startAt.IsZero() {
		a.startAt = now.Add(time.Duration(a.random.Int64N(int64(a.cfg.Registration.StartSpread))))
	}
	return !now.Before(a.startAt)
}

// choose marks the owners to be registered at. Those of which grants are held stay chosen: their next free slot is
// known there at once, while it would be seen idle for a digest's period if nobody waited.
func (a *Requester) choose(now time.Time, p *askerPool) {
	p.ranking = p.ranking[:0]
	for _, w := range p.owners {
		w.idle = w.idleNow(now)
	}
	reach := a.reach(now, p)
	for _, w := range p.owners {
		w.chosen = false
		if !a.usable(now, w) || p.demand.Waiting == 0 {
			continue
		}
		w.chosen = w.held > 0
		if w.distance <= reach.distance || reach.allows(w) {
			p.ranking = append(p.ranking, w)
		}
	}
	slices.SortFunc(p.ranking, compareOwned)
	a.widen(p)
}

// usable reports whether an owner is known that may grant.
func (a *Requester) usable(now time.Time, w *owned) bool {
	return !w.left && !w.digest.Leaving && now.Sub(w.at) <= a.cfg.Registration.DigestTTL
}

// plenty is the number of idle slots beyond which more make no owner better. If every router took the owner that had most
// idle when digests were sent, all would be seen to wait there and at no other.
const plenty = 2

// compareOwned orders owners by idle slots first, nearest and in an order of the router's own, then by the highest last granted tag: the
// accounts there have had more, so a waiting one is served sooner.
func compareOwned(v, w *owned) int {
	if idle := cmp.Compare(min(w.idle, 1), min(v.idle, 1)); idle != 0 {
		return idle
	}
	if v.idle > 0 {
		return cmp.Or(cmp.Compare(v.distance, w.distance), cmp.Compare(min(w.idle, plenty), min(v.idle, plenty)), cmp.Compare(v.rank, w.rank))
	}
	return cmp.Or(cmp.Compare(w.digest.LastTag, v.digest.LastTag), cmp.Compare(v.rank, w.rank))
}

// widen chooses from the ranking: idle owners until their slots cover what waits, and Spare more, else Base owners and
// one for every PerWaiting requests that wait.
func (a *Requester) widen(p *askerPool) {
	waiting := p.demand.Waiting
	width := a.cfg.Registration.Base + waiting/a.cfg.Registration.PerWaiting
	spare, idle, busy := a.cfg.Registration.Spare, 0, 0
	for _, w := range p.ranking {
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
		w.chosen = true
	}
}

// tell refreshes an owner's view of the demand when it is out of date.
func (a *Requester) tell(now time.Time, p *askerPool, w *owned, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	d := &p.demand
	age := now.Sub(w.sent.at)
	fresh := w.sent.to == w.digest.Owner && w.sent.waiting > 0
	changed := w.sent.head != d.Head || w.sent.waiting != d.Waiting
	if fresh && (age < a.cfg.Registration.Refresh || !changed && age < a.cfg.Registration.Keep) {
		return out
	}
	return a.send(now, p, w, d.Waiting, out)
}

// withdraw takes a registration back.
func (a *Requester) withdraw(now time.Time, p *askerPool, w *owned, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	if w.sent.waiting == 0 {
		return out
	}
	return a.send(now, p, w, 0, out)
}

func (a *Requester) send(now time.Time, p *askerPool, w *owned, waiting int, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	w.sent = sentDemand{to: w.digest.Owner, head: p.demand.Head, waiting: waiting, at: now}
	w.noteAsked(now, waiting)
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
func (a *Requester) nextSeq(now time.Time) uint64 {
	a.seq = max(a.seq+1, uint64(now.UnixMilli()))
	return a.seq
}

// answerWait is how long an owner with idle slots may take to grant; a round trip within a region takes a millisecond or two.
const answerWait = 300 * time.Millisecond

// noteAsked begins the wait for an answer of an owner that is said to have idle slots.
func (w *owned) noteAsked(now time.Time, waiting int) {
	if waiting == 0 || w.digest.Idle == 0 {
		w.asked = time.Time{}
		return
	}
	if w.asked.IsZero() {
		w.asked = now
	}
}

// idleNow returns the slots that may be counted on. Those of an owner that was asked and shows no sign are not: it may be paused
// or cut off, and a request would be seen to wait beside idle slots of the next failure domain until it is taken for dead.
func (w *owned) idleNow(now time.Time) pomelorelay.Slots {
	if !w.asked.IsZero() && now.Sub(w.asked) >= answerWait {
		return 0
	}
	return w.digest.Idle
}
