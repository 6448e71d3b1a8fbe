package pomeloquarantine

import (
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

type admissionStage int

const (
	stageQueued          admissionStage = iota + 1 // waits for NoticeDelay or for another request with the fingerprint
	stageFingerprintLock                           // requests the fingerprint's lock
	stageUpstreamLock                              // requests the upstream's lock
	stageAdmitted                                  // may run
	stageAlreadyRunning                            // was running when it became a suspect
)

// renewalsPerLockTTL is the number of lock renewals within LockTTL, to tolerate lost renewals.
const renewalsPerLockTTL = 3

// admission is a suspect's run that waits for its locks or holds them.
type admission struct {
	run            Run
	stage          admissionStage
	awaitedArbiter pomelorelay.NodeID
	startedAt      time.Time
	askAfter       time.Time
	nextAsk        time.Time
	ended          bool
}

func (t *Table) startAdmission(now time.Time, run Run, out *Output) {
	if old, ok := t.admissions[run.Request]; ok {
		// The request's earlier attempt has ended.
		t.endAdmission(old.run.Request, false, out)
	}
	w := &admission{run: run, stage: stageQueued, startedAt: now, askAfter: t.suspects[run.Fingerprint].since.Add(t.cfg.NoticeDelay)}
	t.admissions[run.Request] = w
	t.order = append(t.order, w)
	t.advance(now, w, out)
}

// advance sends the lock requests that an admission needs in its stage.
func (t *Table) advance(now time.Time, w *admission, out *Output) {
	w.nextAsk = now.Add(t.cfg.AskInterval)
	switch w.stage {
	case stageQueued:
		if now.Before(w.askAfter) {
			w.nextAsk = w.askAfter
			return
		}
		if t.fingerprintAdmitted(w) {
			return
		}
		w.stage = stageFingerprintLock
		t.askFingerprint(w, out)
	case stageFingerprintLock:
		t.askFingerprint(w, out)
	case stageUpstreamLock:
		// The fingerprint's lock must be renewed, or it expires while the admission waits for the upstream's lock.
		t.askFingerprint(w, out)
		t.askUpstream(w, out)
	case stageAdmitted, stageAlreadyRunning:
		w.nextAsk = now.Add(t.cfg.LockTTL / renewalsPerLockTTL)
		t.askFingerprint(w, out)
		t.askUpstream(w, out)
	}
}

// lockRunningAttempts requests locks for runs that were in progress when their fingerprint became a suspect. Otherwise
// another suspect could be sent to the same upstream, and the next crash of that upstream would be attributed to the
// wrong one.
func (t *Table) lockRunningAttempts(now time.Time, f pomelorelay.Fingerprint, out *Output) {
	for _, id := range t.sortedAttemptIDs() {
		r := t.attempts[id]
		if r.run.Fingerprint != f || t.admissions[r.run.Request] != nil {
			continue
		}
		w := &admission{run: r.run, stage: stageAlreadyRunning, startedAt: now}
		t.admissions[r.run.Request] = w
		t.order = append(t.order, w)
		t.advance(now, w, out)
	}
}

// isWaiting reports whether the admission has no verdict yet.
func (w *admission) isWaiting() bool {
	return !w.ended && w.stage != stageAdmitted && w.stage != stageAlreadyRunning
}

// fingerprintAdmitted reports whether another request with the fingerprint holds or awaits locks on this router.
func (t *Table) fingerprintAdmitted(w *admission) bool {
	return slices.ContainsFunc(t.order, func(o *admission) bool {
		return o != w && !o.ended && o.stage != stageQueued && o.run.Fingerprint == w.run.Fingerprint
	})
}

func (t *Table) askFingerprint(w *admission, out *Output) {
	node, ok := t.cfg.FingerprintArbiter(w.run.Fingerprint)
	t.sendAsk(w, node, ok, w.stage == stageFingerprintLock, out)
}

func (t *Table) askUpstream(w *admission, out *Output) {
	node, ok := t.cfg.UpstreamArbiter(w.run.Upstream)
	t.sendAsk(w, node, ok, w.stage == stageUpstreamLock, out)
}

func (t *Table) sendAsk(w *admission, node pomelorelay.NodeID, ok, awaitAnswer bool, out *Output) {
	if !ok {
		return
	}
	if awaitAnswer {
		w.awaitedArbiter = node
	}
	out.send(node, &pomelorelay.SuspectAsk{Request: w.run.Request, Fingerprint: w.run.Fingerprint, Upstream: w.run.Upstream, Running: w.stage == stageAlreadyRunning})
}

// HandleAnswer handles an arbiter's answer to a lock request. An answer about another upstream belongs to an earlier
// attempt and is ignored: accepting it could let two suspects run on the same upstream.
func (t *Table) HandleAnswer(now time.Time, from pomelorelay.NodeID, m *pomelorelay.SuspectAnswer, out *Output) {
	w, ok := t.admissions[m.Request]
	if !ok || w.run.Fingerprint != m.Fingerprint || w.run.Upstream != m.Upstream || w.awaitedArbiter != from || !m.Allowed {
		return
	}
	switch w.stage {
	case stageFingerprintLock:
		w.stage = stageUpstreamLock
		if node, ok := t.cfg.UpstreamArbiter(w.run.Upstream); ok && node == from {
			t.admit(now, w, out)
			return
		}
		w.nextAsk = now.Add(t.cfg.AskInterval)
		t.askUpstream(w, out)
	case stageUpstreamLock:
		t.admit(now, w, out)
	}
}

func (t *Table) admit(now time.Time, w *admission, out *Output) {
	w.stage = stageAdmitted
	w.nextAsk = now.Add(t.cfg.LockTTL / renewalsPerLockTTL)
	out.Verdicts = append(out.Verdicts, Verdict{Run: w.run, Decision: DecisionRun})
}

// Cancel abandons a run that waits for its verdict, or that was admitted and has not begun.
func (t *Table) Cancel(run Run, out *Output) {
	if _, running := t.attempts[run.Request]; !running {
		t.endAdmission(run.Request, false, out)
	}
}

// endAdmission ends an admission and releases its locks; clean is set if the run ended with a complete response.
func (t *Table) endAdmission(id pomelorelay.RequestID, clean bool, out *Output) {
	w, ok := t.admissions[id]
	if !ok {
		return
	}
	w.ended = true
	delete(t.admissions, id)
	if w.stage == stageQueued {
		return
	}
	m := &pomelorelay.SuspectCleared{Fingerprint: w.run.Fingerprint, Upstream: w.run.Upstream, Clean: clean}
	if node, ok := t.cfg.FingerprintArbiter(w.run.Fingerprint); ok {
		out.send(node, m)
	}
	if node, ok := t.cfg.UpstreamArbiter(w.run.Upstream); ok {
		out.send(node, m)
	}
}

// refuseWaiting refuses the waiting runs of a fingerprint that has been quarantined.
func (t *Table) refuseWaiting(f pomelorelay.Fingerprint, d time.Duration, out *Output) {
	for _, w := range t.order {
		if !w.isWaiting() || w.run.Fingerprint != f {
			continue
		}
		t.endAdmission(w.run.Request, false, out)
		out.Verdicts = append(out.Verdicts, Verdict{Run: w.run, Decision: DecisionQuarantined, RetryAfter: d})
	}
}

// Tick resends lock requests, renews locks, refuses runs that have reached MaxWait and removes expired entries. Call it
// about every 100 ms.
func (t *Table) Tick(now time.Time, out *Output) {
	t.order = slices.DeleteFunc(t.order, func(w *admission) bool { return w.ended })
	for _, w := range t.order {
		if w.ended {
			continue
		}
		if w.isWaiting() && now.Sub(w.startedAt) >= t.cfg.MaxWait {
			t.endAdmission(w.run.Request, false, out)
			out.Verdicts = append(out.Verdicts, Verdict{Run: w.run, Decision: DecisionTimedOut, RetryAfter: t.cfg.MaxWait})
			continue
		}
		if !now.Before(w.nextAsk) {
			t.advance(now, w, out)
		}
	}
	t.expire(now)
}

func (t *Table) expire(now time.Time) {
	for f, s := range t.suspects {
		if !now.Before(s.until) {
			t.removeSuspect(f)
		}
	}
	for f, q := range t.quarantined {
		if !now.Before(q.until) {
			delete(t.quarantined, f)
			t.snapshot = nil
		}
	}
	for u, at := range t.attributed {
		if now.Sub(at) > t.cfg.CrashWindow {
			delete(t.attributed, u)
		}
	}
}
