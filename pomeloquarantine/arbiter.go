package pomeloquarantine

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Arbiter lets one suspect at a time run on an upstream, and a fingerprint on one upstream at a time. A router asks the
// arbiter of the fingerprint and then that of the upstream; each decides on both, so that neither has to know which it is.
type Arbiter struct {
	cfg           Config
	byFingerprint map[pomelorelay.Fingerprint]*place
	byUpstream    map[pomelorelay.UpstreamID]*place
}

// place is where a suspect may run; it lapses unless its router renews it, because a router may die with it.
type place struct {
	node        pomelorelay.NodeID
	fingerprint pomelorelay.Fingerprint
	upstream    pomelorelay.UpstreamID
	until       time.Time
}

// NewArbiter returns an Arbiter.
func NewArbiter(cfg Config) *Arbiter {
	return &Arbiter{
		cfg:           cfg.withDefaults(),
		byFingerprint: make(map[pomelorelay.Fingerprint]*place),
		byUpstream:    make(map[pomelorelay.UpstreamID]*place),
	}
}

// HandleAsk takes a router's question whether a suspect may run now, or its renewal.
func (a *Arbiter) HandleAsk(now time.Time, from pomelorelay.NodeID, m *pomelorelay.SuspectAsk, out *Output) {
	answer := &pomelorelay.SuspectAnswer{Request: m.Request, Fingerprint: m.Fingerprint, Upstream: m.Upstream, Allowed: a.grant(now, from, m)}
	if !answer.Allowed {
		answer.Wait = a.cfg.AskAgain
	}
	out.send(from, answer)
}

func (a *Arbiter) grant(now time.Time, from pomelorelay.NodeID, m *pomelorelay.SuspectAsk) bool {
	a.expire(now)
	if m.Running {
		a.note(now, from, m)
		return false
	}
	mine, theirs := a.byFingerprint[m.Fingerprint], a.byUpstream[m.Upstream]
	if mine != nil && mine.node != from {
		return false
	}
	if theirs != nil && (theirs.node != from || theirs.fingerprint != m.Fingerprint) {
		return false
	}
	if mine == nil && len(a.byFingerprint) >= a.cfg.MaxSuspects {
		return false
	}
	if mine != nil {
		// A router runs a fingerprint once at a time, so that its earlier place is free.
		a.free(mine)
	}
	p := a.newPlace(now, from, m)
	a.byFingerprint[p.fingerprint] = p
	a.byUpstream[p.upstream] = p
	return true
}

func (a *Arbiter) newPlace(now time.Time, from pomelorelay.NodeID, m *pomelorelay.SuspectAsk) *place {
	return &place{node: from, fingerprint: m.Fingerprint, upstream: m.Upstream, until: now.Add(a.cfg.LockFor)}
}

// note takes the places of a run that is under way. Sends that overlapped run on several upstreams at once: each of
// them is taken, whoever has the fingerprint's place, so that no other suspect is sent there and blamed for the crash.
func (a *Arbiter) note(now time.Time, from pomelorelay.NodeID, m *pomelorelay.SuspectAsk) {
	p := a.newPlace(now, from, m)
	if old := a.byFingerprint[m.Fingerprint]; (old == nil && len(a.byFingerprint) < a.cfg.MaxSuspects) || (old != nil && old.same(p)) {
		a.byFingerprint[m.Fingerprint] = p
	}
	if old := a.byUpstream[m.Upstream]; (old == nil && len(a.byUpstream) < a.cfg.MaxSuspects) || (old != nil && old.same(p)) {
		a.byUpstream[m.Upstream] = p
	}
}

func (p *place) same(o *place) bool {
	return p.node == o.node && p.fingerprint == o.fingerprint && p.upstream == o.upstream
}

func (a *Arbiter) expire(now time.Time) {
	a.freeAll(func(p *place) bool { return !now.Before(p.until) })
}

func (a *Arbiter) freeAll(over func(p *place) bool) {
	for f, p := range a.byFingerprint {
		if over(p) {
			delete(a.byFingerprint, f)
		}
	}
	for u, p := range a.byUpstream {
		if over(p) {
			delete(a.byUpstream, u)
		}
	}
}

func (a *Arbiter) free(gone *place) { a.freeAll(gone.same) }

// HandleCleared takes the end of a suspect's run.
func (a *Arbiter) HandleCleared(from pomelorelay.NodeID, m *pomelorelay.SuspectCleared) {
	a.free(&place{node: from, fingerprint: m.Fingerprint, upstream: m.Upstream})
}

// MemberGone frees the places that a dead router held.
func (a *Arbiter) MemberGone(node pomelorelay.NodeID) {
	a.freeAll(func(p *place) bool { return p.node == node })
}
