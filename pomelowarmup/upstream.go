package pomelowarmup

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Class tells whether a request may go to an upstream.
type Class int

// The classes.
const (
	// Open upstreams take requests: they are warm, or this router is to find out whether they are back.
	Open Class = iota
	// Reserve upstreams are cold and take a request of this router's part of their bound, where no open one can.
	Reserve
	// Closed upstreams are cold and get nothing from this router now.
	Closed
)

// Upstream is the warm-up state of one upstream at this router.
type Upstream struct {
	gate *Gate
	info pomelorelay.FleetUpstream
	// coldUntil is until when it is cold, suspectUntil until when it may have started anew without that being known.
	coldUntil, suspectUntil time.Time
	// suspectSince is when that became unknown.
	suspectSince time.Time
	// tokens is how much of a request this router may send, at levelAt.
	tokens   float64
	refilledAt time.Time
	// holder is whether this router holds a part of the bound, as of the change heldAt of the routers.
	holder   bool
	holderVersion uint64
}

// Upstream returns the state of an upstream that is listed for the first time.
func (g *Gate) Upstream(now time.Time, info pomelorelay.FleetUpstream) *Upstream {
	u := &Upstream{gate: g, info: info}
	switch {
	case info.ColdFor > 0:
		u.extendCold(now, info.ColdFor)
	case info.ColdFor == pomelorelay.ColdUnknown:
		u.extendCold(now, g.coldDuration(u))
	}
	return u
}

// Restarted returns the state of an upstream that was listed before and has started anew since.
func (g *Gate) Restarted(now time.Time, info pomelorelay.FleetUpstream) *Upstream {
	u := &Upstream{gate: g, info: info}
	u.extendCold(now, max(info.ColdFor, 0))
	if info.ColdFor <= 0 {
		u.extendCold(now, g.coldDuration(u))
	}
	return u
}

// Listed takes the newest entry of the same start.
func (u *Upstream) Listed(now time.Time, info pomelorelay.FleetUpstream) {
	previous := u.info.ColdFor
	u.info = info
	switch {
	case info.ColdFor > 0:
		u.resetBucketIfWarm(now)
		u.coldUntil = now.Add(info.ColdFor)
	case info.ColdFor == 0 && previous > 0:
		u.coldUntil = time.Time{}
	}
}

// Unreached notes that the upstream took no connection: whatever ended it, it will be cold when it is back. It returns whether to report that to
// the other routers. Routers of other regions do not: there, a broken link and an upstream that is down look the same.
func (u *Upstream) Unreached(now time.Time) bool {
	if !u.gate.sameRegion(u) {
		return false
	}
	return u.Suspect(now)
}

// Suspect notes that a router of the upstream's region could not connect to it; it reports whether that matters for the service.
func (u *Upstream) Suspect(now time.Time) bool {
	if u.gate.coldDuration(u) <= 0 {
		return false
	}
	u.resetBucketIfWarm(now)
	if !now.Before(u.suspectUntil) {
		u.suspectSince = now
	}
	u.suspectUntil = now.Add(suspectDuration)
	return true
}

// Answered notes an answer of the upstream to a request that was sent at a time. It returns how long the upstream may be cold from now on if that
// was not known, for the other routers. An answer to an earlier request only shows that the upstream lived then.
func (u *Upstream) Answered(now, sent time.Time) (time.Duration, bool) {
	if !now.Before(u.suspectUntil) || sent.Before(u.suspectSince) {
		return 0, false
	}
	u.ColdFor(now, u.gate.coldDuration(u))
	return u.coldUntil.Sub(now), true
}

// ColdFor notes that the upstream may be cold for a time from now on, and is reachable.
func (u *Upstream) ColdFor(now time.Time, remaining time.Duration) {
	u.suspectUntil = time.Time{}
	u.extendCold(now, remaining)
}

// MayBeCold notes that the upstream may have become cold without a start.
func (u *Upstream) MayBeCold(now time.Time) { u.extendCold(now, u.gate.coldDuration(u)) }

func (u *Upstream) extendCold(now time.Time, remaining time.Duration) {
	if remaining <= 0 {
		return
	}
	u.resetBucketIfWarm(now)
	if until := now.Add(remaining); until.After(u.coldUntil) {
		u.coldUntil = until
	}
}

// resetBucketIfWarm begins with an empty bucket where the upstream was warm: a full one in each router that has just started would be too much together.
func (u *Upstream) resetBucketIfWarm(now time.Time) {
	if !u.Cold(now) {
		u.tokens, u.refilledAt = 0, now
	}
}

// Cold reports whether the upstream is cold, or may be.
func (u *Upstream) Cold(now time.Time) bool {
	return now.Before(u.coldUntil) || now.Before(u.suspectUntil)
}

// Status describes an upstream for the log.
type Status struct {
	Cold bool
	// Left is how much longer, at most, if nothing else is learnt.
	Left time.Duration
	// Unreached tells that it took no connection and has not answered since.
	Unreached bool
	// Holder tells that this router holds a part of its bound.
	Holder bool
}

// Status returns the upstream's state for the log.
func (u *Upstream) Status(now time.Time) Status {
	if !u.Cold(now) {
		return Status{}
	}
	return Status{Cold: true, Left: max(u.coldUntil.Sub(now), u.suspectUntil.Sub(now)), Unreached: now.Before(u.suspectUntil), Holder: u.gate.isHolder(u)}
}

// Class returns whether a request of this router may go to the upstream.
func (u *Upstream) Class(now time.Time) Class {
	switch {
	case !u.Cold(now):
		return Open
	case !u.gate.isHolder(u) || u.refill(now) < 1:
		return Closed
	case now.Before(u.suspectUntil):
		return Open
	}
	return Reserve
}

// Take notes that a request is sent.
func (u *Upstream) Take(now time.Time) {
	if u.Cold(now) {
		u.tokens = max(0, u.refill(now)-1)
	}
}

func (u *Upstream) refill(now time.Time) float64 {
	rate, burst := u.gate.bucket(u)
	if passed := now.Sub(u.refilledAt); passed > 0 {
		u.tokens = min(burst, u.tokens+rate*passed.Seconds())
		u.refilledAt = now
	}
	return u.tokens
}

// Wait returns when this router may send a request to the upstream.
func (u *Upstream) Wait(now time.Time) time.Duration {
	if !u.Cold(now) {
		return 0
	}
	wait := max(u.coldUntil.Sub(now), u.suspectUntil.Sub(now))
	rate, _ := u.gate.bucket(u)
	if !u.gate.isHolder(u) || rate <= 0 {
		return wait
	}
	missing := max(0, 1-u.refill(now))
	return min(wait, time.Duration(missing/rate*float64(time.Second)))
}
