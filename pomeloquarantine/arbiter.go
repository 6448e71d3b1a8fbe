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

// New returns an Arbiter.
func New(cfg Config) *Arbiter {
	return &Arbiter{
		cfg:           cfg.withDefaults(),
		byFingerprint: make(map[pomelorelay.Fingerprint]*place),
		byUpstream:    make(map[pomelorelay.UpstreamID]*place),
	}
}

// Ask takes a router's question whether a suspect may run now, or its renewal.
func (a *Arbiter) Ask(now time.Time, from pomelorelay.NodeID, m *pomelorelay.SuspectAsk, out *Output) {
	answer := &pomelorelay.SuspectAnswer{Request: m.Request, Fingerprint: m.Fingerprint, Allowed: a.grant(now, from, m)}
	if !answer.Allowed {
		answer.Wait = a.cfg.AskAgain
	}
	out.send(from, answer)
}

func (a *Arbiter) grant(now time.Time, from pomelorelay.NodeID, m *pomelorelay.SuspectAsk) bool {
	a.expire(now)
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
	p := &place{node: from, fingerprint: m.Fingerprint, upstream: m.Upstream, until: now.Add(a.cfg.LockFor)}
	a.byFingerprint[p.fingerprint] = p
	a.byUpstream[p.upstream] = p
	return true
}

func (a *Arbiter) expire(now time.Time) {
	for _, p := range a.byFingerprint {
		if !now.Before(p.until) {
			a.free(p)
		}
	}
}

func (a *Arbiter) free(p *place) {
	delete(a.byFingerprint, p.fingerprint)
	if a.byUpstream[p.upstream] == p {
		delete(a.byUpstream, p.upstream)
	}
}

// Cleared takes the end of a suspect's run.
func (a *Arbiter) Cleared(from pomelorelay.NodeID, m *pomelorelay.SuspectCleared) {
	if p := a.byFingerprint[m.Fingerprint]; p != nil && p.node == from {
		a.free(p)
	}
}

// MemberGone frees the places that a dead router held.
func (a *Arbiter) MemberGone(node pomelorelay.NodeID) {
	for _, p := range a.byFingerprint {
		if p.node == node {
			a.free(p)
		}
	}
}
