package pomelowarmup

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Admission is the admission class of an upstream for the requests of this router.
type Admission int

const (
	// AdmissionOpen means that the upstream accepts requests: it is warm, or this router tries it again after a failed connection.
	AdmissionOpen Admission = iota
	// AdmissionFallback means that the upstream is cold and accepts only requests that no open upstream admits, within this router's part of the
	// upstream's request limit.
	AdmissionFallback
	// AdmissionClosed means that the upstream is cold or possibly restarted and accepts no request of this router at present.
	AdmissionClosed
)

// Upstream is the warm-up state of one upstream at this router.
type Upstream struct {
	gate *Gate
	info pomelorelay.FleetUpstream
	// coldUntil is the end of the cold period. suspectUntil is the end of the suspect period, in which the upstream counts as possibly restarted
	// because a connection to it failed.
	coldUntil, suspectUntil time.Time
	// suspectSince is the time of the first failed connection of the suspect period.
	suspectSince time.Time
	// tokens is the fill of this router's token bucket at refilledAt, in requests.
	tokens     float64
	refilledAt time.Time
	// holder is set if this router may send to the upstream while it is cold. It depends on the list of routers and was computed when
	// Gate.routersVersion, which counts the changes of that list, was holderVersion.
	holder        bool
	holderVersion uint64
}

// NewUpstream returns the state of an upstream that is listed for the first time.
func (g *Gate) NewUpstream(now time.Time, info pomelorelay.FleetUpstream) *Upstream {
	u := &Upstream{gate: g, info: info}
	switch {
	case info.ColdRemaining > 0:
		u.extendCold(now, info.ColdRemaining)
	case info.ColdRemaining == pomelorelay.ColdUnknown:
		u.extendCold(now, g.coldDuration(u))
	}
	return u
}

// NewRestartedUpstream returns the state of an upstream that was listed before and has restarted since.
func (g *Gate) NewRestartedUpstream(now time.Time, info pomelorelay.FleetUpstream) *Upstream {
	u := &Upstream{gate: g, info: info}
	u.extendCold(now, max(info.ColdRemaining, 0))
	if info.ColdRemaining <= 0 {
		u.extendCold(now, g.coldDuration(u))
	}
	return u
}

// UpdateEntry updates the upstream from a newer registration entry of the same start.
func (u *Upstream) UpdateEntry(now time.Time, info pomelorelay.FleetUpstream) {
	previous := u.info.ColdRemaining
	u.info = info
	switch {
	case info.ColdRemaining > 0:
		u.resetBucketIfWarm(now)
		u.coldUntil = now.Add(info.ColdRemaining)
	case info.ColdRemaining == 0 && previous > 0:
		u.coldUntil = time.Time{}
	}
}

// RecordConnectFailure records that the upstream accepted no connection, and reports whether to notify the other routers. Whatever the cause,
// the upstream counts as cold when it is reachable again. A router of another region ignores the failure and returns false, because it cannot
// distinguish a broken link from an upstream that is down.
func (u *Upstream) RecordConnectFailure(now time.Time) bool {
	if !u.gate.sameRegion(u) {
		return false
	}
	return u.MarkSuspect(now)
}

// MarkSuspect records that a router of the upstream's region could not connect to the upstream. It returns false and records nothing if
// upstreams of the service are never cold.
func (u *Upstream) MarkSuspect(now time.Time) bool {
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

// RecordAnswer records an answer to a request that was sent at the given time. After the first answer since a failed connection, the upstream
// counts as cold; RecordAnswer then returns the remaining time and true, so that the other routers are notified. An answer to a request sent
// before the failed connection is ignored, since it does not show that the upstream is running again.
func (u *Upstream) RecordAnswer(now, sent time.Time) (time.Duration, bool) {
	if !now.Before(u.suspectUntil) || sent.Before(u.suspectSince) {
		return 0, false
	}
	u.MarkCold(now, u.gate.coldDuration(u))
	return u.coldUntil.Sub(now), true
}

// MarkCold records that the upstream is reachable and may be cold for the given time from now.
func (u *Upstream) MarkCold(now time.Time, remaining time.Duration) {
	u.suspectUntil = time.Time{}
	u.extendCold(now, remaining)
}

// MarkMaybeCold records that the upstream may have become cold without a restart.
func (u *Upstream) MarkMaybeCold(now time.Time) { u.extendCold(now, u.gate.coldDuration(u)) }

func (u *Upstream) extendCold(now time.Time, remaining time.Duration) {
	if remaining <= 0 {
		return
	}
	u.resetBucketIfWarm(now)
	if until := now.Add(remaining); until.After(u.coldUntil) {
		u.coldUntil = until
	}
}

// resetBucketIfWarm empties the token bucket if the upstream was warm until now: full buckets in routers that have just started would
// together exceed the bound.
func (u *Upstream) resetBucketIfWarm(now time.Time) {
	if !u.Cold(now) {
		u.tokens, u.refilledAt = 0, now
	}
}

// Cold reports whether the upstream is cold or may be.
func (u *Upstream) Cold(now time.Time) bool {
	return now.Before(u.coldUntil) || now.Before(u.suspectUntil)
}

// Status is the warm-up state of an upstream for the log.
type Status struct {
	Cold bool
	// Remaining is the maximum time until the upstream counts as warm.
	Remaining time.Duration
	// Unreachable reports whether the upstream accepted no connection and has not answered since.
	Unreachable bool
	// MaySendWhileCold reports whether this router may send to the upstream while it is cold.
	MaySendWhileCold bool
}

// Status returns the warm-up state for the log.
func (u *Upstream) Status(now time.Time) Status {
	if !u.Cold(now) {
		return Status{}
	}
	return Status{Cold: true, Remaining: max(u.coldUntil.Sub(now), u.suspectUntil.Sub(now)), Unreachable: now.Before(u.suspectUntil), MaySendWhileCold: u.gate.isHolder(u)}
}

// Admission returns the upstream's admission class for a request of this router.
func (u *Upstream) Admission(now time.Time) Admission {
	switch {
	case !u.Cold(now):
		return AdmissionOpen
	case !u.gate.isHolder(u) || u.refill(now) < 1:
		return AdmissionClosed
	case now.Before(u.suspectUntil):
		return AdmissionOpen
	}
	return AdmissionFallback
}

// RecordSend records that a request is sent to the upstream.
func (u *Upstream) RecordSend(now time.Time) {
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

// RetryAfter returns the time until this router may send a request to the upstream, at most the time until the upstream counts as warm.
func (u *Upstream) RetryAfter(now time.Time) time.Duration {
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
