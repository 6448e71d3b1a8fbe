package pomeloquarantine

import (
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

type turnStage int

const (
	stageLocal       turnStage = iota + 1 // another request of the fingerprint waits or runs here
	stageFingerprint                      // asks the fingerprint's arbiter
	stageUpstream                         // asks the upstream's arbiter
	stageGranted                          // may run
	stageAdopted                          // ran already when it became a suspect
)

// renewals is how often a place is renewed within the time that it is kept.
const renewals = 3

// turn is a suspect that waits for its place, or holds it.
type turn struct {
	run   Run
	stage turnStage
	asked pomelorelay.NodeID
	since time.Time
	ready time.Time
	next  time.Time
	ended bool
}

func (t *Table) await(now time.Time, run Run, out *Output) {
	if old, ok := t.turns[run.Request]; ok {
		// The request's earlier attempt is over.
		t.leave(old.run.Request, false, out)
	}
	w := &turn{run: run, stage: stageLocal, since: now, ready: t.suspects[run.Fingerprint].since.Add(t.cfg.SettleFor)}
	t.turns[run.Request] = w
	t.order = append(t.order, w)
	t.advance(now, w, out)
}

// advance asks for what a turn needs next.
func (t *Table) advance(now time.Time, w *turn, out *Output) {
	w.next = now.Add(t.cfg.AskAgain)
	switch w.stage {
	case stageLocal:
		if now.Before(w.ready) {
			w.next = w.ready
			return
		}
		if t.isTaken(w) {
			return
		}
		w.stage = stageFingerprint
		t.askFingerprint(w, out)
	case stageFingerprint:
		t.askFingerprint(w, out)
	case stageUpstream:
		// The first place is renewed, or it lapses while the turn waits for the second.
		t.askFingerprint(w, out)
		t.askUpstream(w, out)
	case stageGranted, stageAdopted:
		w.next = now.Add(t.cfg.LockFor / renewals)
		t.askFingerprint(w, out)
		t.askUpstream(w, out)
	}
}

// adopt claims the places of runs that were under way when their fingerprint became a suspect. Without it another
// suspect could be sent to the same upstream, and the next crash there would be laid to the wrong one.
func (t *Table) adopt(now time.Time, f pomelorelay.Fingerprint, out *Output) {
	for _, id := range t.runningIDs() {
		r := t.running[id]
		if r.run.Fingerprint != f || t.turns[r.run.Request] != nil {
			continue
		}
		w := &turn{run: r.run, stage: stageAdopted, since: now}
		t.turns[r.run.Request] = w
		t.order = append(t.order, w)
		t.advance(now, w, out)
	}
}

// waits reports whether a turn still waits for its verdict.
func (w *turn) waits() bool {
	return !w.ended && w.stage != stageGranted && w.stage != stageAdopted
}

// isTaken reports whether another request of the fingerprint has its turn here.
func (t *Table) isTaken(w *turn) bool {
	return slices.ContainsFunc(t.order, func(o *turn) bool {
		return o != w && !o.ended && o.stage != stageLocal && o.run.Fingerprint == w.run.Fingerprint
	})
}

func (t *Table) askFingerprint(w *turn, out *Output) {
	node, ok := t.cfg.FingerprintArbiter(w.run.Fingerprint)
	t.ask(w, node, ok, w.stage == stageFingerprint, out)
}

func (t *Table) askUpstream(w *turn, out *Output) {
	node, ok := t.cfg.UpstreamArbiter(w.run.Upstream)
	t.ask(w, node, ok, w.stage == stageUpstream, out)
}

func (t *Table) ask(w *turn, node pomelorelay.NodeID, ok, waits bool, out *Output) {
	if !ok {
		return
	}
	if waits {
		w.asked = node
	}
	out.send(node, &pomelorelay.SuspectAsk{Request: w.run.Request, Fingerprint: w.run.Fingerprint, Upstream: w.run.Upstream, Running: w.stage == stageAdopted})
}

// HandleAnswer takes an arbiter's answer. One on an earlier attempt's upstream is passed over: taken for the new one's, it
// would let a suspect run where another does.
func (t *Table) HandleAnswer(now time.Time, from pomelorelay.NodeID, m *pomelorelay.SuspectAnswer, out *Output) {
	w, ok := t.turns[m.Request]
	if !ok || w.run.Fingerprint != m.Fingerprint || w.run.Upstream != m.Upstream || w.asked != from || !m.Allowed {
		return
	}
	switch w.stage {
	case stageFingerprint:
		w.stage = stageUpstream
		if node, ok := t.cfg.UpstreamArbiter(w.run.Upstream); ok && node == from {
			t.grant(now, w, out)
			return
		}
		w.next = now.Add(t.cfg.AskAgain)
		t.askUpstream(w, out)
	case stageUpstream:
		t.grant(now, w, out)
	}
}

func (t *Table) grant(now time.Time, w *turn, out *Output) {
	w.stage = stageGranted
	w.next = now.Add(t.cfg.LockFor / renewals)
	out.Verdicts = append(out.Verdicts, Verdict{Run: w.run, Decision: DecisionRun})
}

// Cancel gives up a run that waits for its verdict, or that has it and was not begun.
func (t *Table) Cancel(run Run, out *Output) {
	if _, running := t.running[run.Request]; !running {
		t.leave(run.Request, false, out)
	}
}

// leave ends a turn and frees its places.
func (t *Table) leave(id pomelorelay.RequestID, clean bool, out *Output) {
	w, ok := t.turns[id]
	if !ok {
		return
	}
	w.ended = true
	delete(t.turns, id)
	if w.stage == stageLocal {
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

// refuseWaiting ends the waits for a fingerprint that was named meanwhile.
func (t *Table) refuseWaiting(f pomelorelay.Fingerprint, d time.Duration, out *Output) {
	for _, w := range t.order {
		if !w.waits() || w.run.Fingerprint != f {
			continue
		}
		t.leave(w.run.Request, false, out)
		out.Verdicts = append(out.Verdicts, Verdict{Run: w.run, Decision: DecisionQuarantined, RetryAfter: d})
	}
}

// Tick asks again, renews and ends what is due; call it about each 100 ms.
func (t *Table) Tick(now time.Time, out *Output) {
	t.order = slices.DeleteFunc(t.order, func(w *turn) bool { return w.ended })
	for _, w := range t.order {
		if w.ended {
			continue
		}
		if w.waits() && now.Sub(w.since) >= t.cfg.MaxWait {
			t.leave(w.run.Request, false, out)
			out.Verdicts = append(out.Verdicts, Verdict{Run: w.run, Decision: DecisionHeld, RetryAfter: t.cfg.MaxWait})
			continue
		}
		if !now.Before(w.next) {
			t.advance(now, w, out)
		}
	}
	t.expire(now)
}

func (t *Table) expire(now time.Time) {
	for f, s := range t.suspects {
		if !now.Before(s.until) {
			t.clear(f)
		}
	}
	for f, q := range t.quarantined {
		if !now.Before(q.until) {
			delete(t.quarantined, f)
			t.snapshot = nil
		}
	}
	for u, at := range t.named {
		if now.Sub(at) > t.cfg.CrashWindow {
			delete(t.named, u)
		}
	}
}
