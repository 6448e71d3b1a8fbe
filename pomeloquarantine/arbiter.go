package pomeloquarantine

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Arbiter grants the locks under which a suspect (a request that ran on an upstream when it crashed) may run: at most one suspect per
// upstream, and at most one upstream per fingerprint (of the request's account, service and body). A router asks the arbiter of the
// fingerprint first and then that of the upstream. Every arbiter checks both locks, so that it need not know whether it was asked for the
// fingerprint or for the upstream.
type Arbiter struct {
	cfg           Config
	byFingerprint map[pomelorelay.Fingerprint]*lock
	byUpstream    map[pomelorelay.UpstreamID]*lock
}

// lock allows a router to run a suspect on an upstream. It expires unless it is renewed, in case the router dies.
type lock struct {
	node        pomelorelay.NodeID
	fingerprint pomelorelay.Fingerprint
	upstream    pomelorelay.UpstreamID
	until       time.Time
}

// NewArbiter returns an Arbiter without locks.
func NewArbiter(cfg Config) *Arbiter {
	return &Arbiter{
		cfg:           cfg.withDefaults(),
		byFingerprint: make(map[pomelorelay.Fingerprint]*lock),
		byUpstream:    make(map[pomelorelay.UpstreamID]*lock),
	}
}

// HandleAsk handles a router's request to run a suspect, or the renewal of its locks, and answers it.
func (a *Arbiter) HandleAsk(now time.Time, from pomelorelay.NodeID, m *pomelorelay.SuspectAsk, out *Output) {
	answer := &pomelorelay.SuspectAnswer{Request: m.Request, Fingerprint: m.Fingerprint, Upstream: m.Upstream, Allowed: a.tryLock(now, from, m)}
	if !answer.Allowed {
		answer.Wait = a.cfg.AskInterval
	}
	out.send(from, answer)
}

func (a *Arbiter) tryLock(now time.Time, from pomelorelay.NodeID, m *pomelorelay.SuspectAsk) bool {
	a.expire(now)
	if m.Running {
		a.lockRunning(now, from, m)
		return false
	}
	fingerprintLock, upstreamLock := a.byFingerprint[m.Fingerprint], a.byUpstream[m.Upstream]
	if fingerprintLock != nil && fingerprintLock.node != from {
		return false
	}
	if upstreamLock != nil && (upstreamLock.node != from || upstreamLock.fingerprint != m.Fingerprint) {
		return false
	}
	if fingerprintLock == nil && len(a.byFingerprint) >= a.cfg.MaxSuspects {
		return false
	}
	if fingerprintLock != nil {
		// A router runs a fingerprint once at a time, so its earlier run has ended.
		a.release(fingerprintLock)
	}
	p := a.newLock(now, from, m)
	a.byFingerprint[p.fingerprint] = p
	a.byUpstream[p.upstream] = p
	return true
}

func (a *Arbiter) newLock(now time.Time, from pomelorelay.NodeID, m *pomelorelay.SuspectAsk) *lock {
	return &lock{node: from, fingerprint: m.Fingerprint, upstream: m.Upstream, until: now.Add(a.cfg.LockTTL)}
}

// lockRunning takes the free locks for a run that is already in progress. Overlapping sends of a fingerprint may run on
// several upstreams. Each of these upstreams is locked, whichever router holds the lock of the fingerprint, so that no
// other suspect is sent there and blamed for a crash.
func (a *Arbiter) lockRunning(now time.Time, from pomelorelay.NodeID, m *pomelorelay.SuspectAsk) {
	p := a.newLock(now, from, m)
	if old := a.byFingerprint[m.Fingerprint]; (old == nil && len(a.byFingerprint) < a.cfg.MaxSuspects) || (old != nil && old.sameHolder(p)) {
		a.byFingerprint[m.Fingerprint] = p
	}
	if old := a.byUpstream[m.Upstream]; (old == nil && len(a.byUpstream) < a.cfg.MaxSuspects) || (old != nil && old.sameHolder(p)) {
		a.byUpstream[m.Upstream] = p
	}
}

func (p *lock) sameHolder(o *lock) bool {
	return p.node == o.node && p.fingerprint == o.fingerprint && p.upstream == o.upstream
}

func (a *Arbiter) expire(now time.Time) {
	a.releaseMatching(func(p *lock) bool { return !now.Before(p.until) })
}

func (a *Arbiter) releaseMatching(match func(p *lock) bool) {
	for f, p := range a.byFingerprint {
		if match(p) {
			delete(a.byFingerprint, f)
		}
	}
	for u, p := range a.byUpstream {
		if match(p) {
			delete(a.byUpstream, u)
		}
	}
}

func (a *Arbiter) release(held *lock) { a.releaseMatching(held.sameHolder) }

// HandleCleared releases the locks of a run that has ended.
func (a *Arbiter) HandleCleared(from pomelorelay.NodeID, m *pomelorelay.SuspectCleared) {
	a.release(&lock{node: from, fingerprint: m.Fingerprint, upstream: m.Upstream})
}

// MemberGone releases the locks of a dead router.
func (a *Arbiter) MemberGone(node pomelorelay.NodeID) {
	a.releaseMatching(func(p *lock) bool { return p.node == node })
}
