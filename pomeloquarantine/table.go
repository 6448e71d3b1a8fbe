package pomeloquarantine

import (
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Table holds a router's suspects, quarantined fingerprints and running attempts.
type Table struct {
	cfg         Config
	suspects    map[pomelorelay.Fingerprint]suspectEntry
	quarantined map[pomelorelay.Fingerprint]quarantineEntry
	// attributed holds, by upstream, when its last crash was attributed to one request; other requests that ran there
	// are then not suspects of that crash.
	attributed map[pomelorelay.UpstreamID]time.Time
	attempts   map[pomelorelay.RequestID]*runningAttempt
	admissions map[pomelorelay.RequestID]*admission
	order      []*admission
	crashCount uint64
	snapshot   *Snapshot
}

type suspectEntry struct {
	upstream pomelorelay.UpstreamID
	since    time.Time
	until    time.Time
}

// quarantineEntry is a quarantined fingerprint. A lifted quarantine is kept until it expires, so that a late notice does
// not restore it.
type quarantineEntry struct {
	seq    uint64
	until  time.Time
	lifted bool
}

type runningAttempt struct {
	run      Run
	isolated bool
}

// NewTable returns an empty Table.
func NewTable(cfg Config) *Table {
	return &Table{
		cfg:         cfg.withDefaults(),
		suspects:    make(map[pomelorelay.Fingerprint]suspectEntry),
		quarantined: make(map[pomelorelay.Fingerprint]quarantineEntry),
		attributed:  make(map[pomelorelay.UpstreamID]time.Time),
		attempts:    make(map[pomelorelay.RequestID]*runningAttempt),
		admissions:  make(map[pomelorelay.RequestID]*admission),
	}
}

// Check decides whether a run may begin. After DecisionWait, the verdict is added to the Output of a later call.
func (t *Table) Check(now time.Time, run Run, out *Output) Verdict {
	if left := t.quarantineRemaining(now, run.Fingerprint); left > 0 {
		return Verdict{Run: run, Decision: DecisionQuarantined, RetryAfter: left}
	}
	if s, ok := t.suspects[run.Fingerprint]; !ok || !now.Before(s.until) {
		return Verdict{Run: run, Decision: DecisionRun}
	}
	t.startAdmission(now, run, out)
	return Verdict{Run: run, Decision: DecisionWait}
}

func (t *Table) quarantineRemaining(now time.Time, f pomelorelay.Fingerprint) time.Duration {
	q, ok := t.quarantined[f]
	if !ok || q.lifted {
		return 0
	}
	return max(0, q.until.Sub(now))
}

// Began records that a run is about to be sent.
func (t *Table) Began(run Run) {
	g := t.admissions[run.Request]
	t.attempts[run.Request] = &runningAttempt{run: run, isolated: g != nil && g.stage == stageAdmitted}
}

// Ended records that a run ended without a crash of its upstream. clean is set if its response was complete; its
// fingerprint is then no longer a suspect. A cancelled run is not clean, because it might still have crashed the
// upstream.
func (t *Table) Ended(run Run, clean bool, out *Output) {
	_, ok := t.attempts[run.Request]
	delete(t.attempts, run.Request)
	if !ok || t.admissions[run.Request] == nil {
		return
	}
	t.endAdmission(run.Request, clean, out)
	if clean {
		t.removeSuspect(run.Fingerprint)
		t.broadcast(&pomelorelay.SuspectCleared{Fingerprint: run.Fingerprint, Upstream: run.Upstream, Clean: true}, out)
	}
}

// Crashed records that a run's upstream crashed. If a suspect ran there alone under its locks, its fingerprint is
// quarantined; otherwise all runs on the upstream become suspects. All these runs are ended at once, so that later
// calls for the same crash have no effect.
func (t *Table) Crashed(now time.Time, run Run, out *Output) {
	if _, ok := t.attempts[run.Request]; !ok {
		return
	}
	var fingerprints []pomelorelay.Fingerprint
	var culprit *runningAttempt
	for _, id := range t.sortedAttemptIDs() {
		r := t.attempts[id]
		if r.run.Upstream != run.Upstream {
			continue
		}
		delete(t.attempts, id)
		t.endAdmission(id, false, out)
		fingerprints = append(fingerprints, r.run.Fingerprint)
		if r.isolated {
			culprit = r
		}
	}
	if culprit != nil {
		t.quarantineRun(now, culprit.run, out)
		return
	}
	if t.crashAttributed(now, run.Upstream) {
		return
	}
	t.crashCount++
	fingerprints = sortUnique(fingerprints)
	t.addSuspects(now, run.Upstream, fingerprints, out)
	t.broadcast(&pomelorelay.SuspectNotice{Upstream: run.Upstream, CrashSeq: t.crashCount, Fingerprints: fingerprints}, out)
	t.cfg.Logger.Log(pomelorelay.EventSuspects, pomelorelay.Field{Key: "Upstream", Value: run.Upstream}, pomelorelay.Field{Key: "Suspects", Value: len(fingerprints)})
}

// sortedAttemptIDs returns the running requests in ascending order, so that simulated runs are deterministic.
func (t *Table) sortedAttemptIDs() []pomelorelay.RequestID {
	ids := make([]pomelorelay.RequestID, 0, len(t.attempts))
	for id := range t.attempts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// quarantineRun quarantines a fingerprint on all routers after its run, alone under its locks, crashed an upstream.
func (t *Table) quarantineRun(now time.Time, run Run, out *Output) {
	d := run.QuarantineFor
	setDefaultDuration(&d, t.cfg.QuarantineFor)
	m := &pomelorelay.QuarantineNotice{Fingerprint: run.Fingerprint, Seq: uint64(now.UnixNano()), Duration: d, Upstream: run.Upstream}
	t.HandleQuarantineNotice(now, m, out)
	t.broadcast(m, out)
	t.cfg.Logger.Log(pomelorelay.EventQuarantined, pomelorelay.Field{Key: "Fingerprint", Value: run.Fingerprint}, pomelorelay.Field{Key: "Upstream", Value: run.Upstream}, pomelorelay.Field{Key: "For", Value: d})
}

func (t *Table) crashAttributed(now time.Time, u pomelorelay.UpstreamID) bool {
	at, ok := t.attributed[u]
	return ok && now.Sub(at) <= t.cfg.CrashWindow
}

// addSuspects marks fingerprints as suspects. When there are MaxSuspects already, the one that expires first is
// evicted.
func (t *Table) addSuspects(now time.Time, u pomelorelay.UpstreamID, fingerprints []pomelorelay.Fingerprint, out *Output) {
	for _, f := range fingerprints {
		if t.quarantineRemaining(now, f) > 0 {
			continue
		}
		if _, known := t.suspects[f]; !known && len(t.suspects) >= t.cfg.MaxSuspects {
			delete(t.suspects, t.soonestExpiringSuspect())
		}
		t.suspects[f] = suspectEntry{upstream: u, since: now, until: now.Add(t.cfg.SuspectFor)}
		t.snapshot = nil
		t.lockRunningAttempts(now, f, out)
	}
}

func (t *Table) removeSuspect(f pomelorelay.Fingerprint) {
	delete(t.suspects, f)
	t.snapshot = nil
}

// HandleSuspectNotice handles another router's notice of suspects.
func (t *Table) HandleSuspectNotice(now time.Time, m *pomelorelay.SuspectNotice, out *Output) {
	if !t.crashAttributed(now, m.Upstream) {
		t.addSuspects(now, m.Upstream, m.Fingerprints, out)
	}
}

// HandleCleared handles a notice that a run of a suspect ended; if it ended with a complete response, the suspect is
// cleared.
func (t *Table) HandleCleared(m *pomelorelay.SuspectCleared) {
	if m.Clean {
		t.removeSuspect(m.Fingerprint)
	}
}

// HandleQuarantineNotice handles a notice of a quarantine or of its lifting; the latest notice of a fingerprint applies.
func (t *Table) HandleQuarantineNotice(now time.Time, m *pomelorelay.QuarantineNotice, out *Output) {
	if known, ok := t.quarantined[m.Fingerprint]; ok && known.seq >= m.Seq {
		return
	}
	if _, known := t.quarantined[m.Fingerprint]; !known && len(t.quarantined) >= t.cfg.MaxQuarantined {
		delete(t.quarantined, t.soonestExpiringQuarantine())
	}
	t.snapshot = nil
	if m.Duration <= 0 {
		t.quarantined[m.Fingerprint] = quarantineEntry{seq: m.Seq, until: now.Add(t.cfg.QuarantineFor), lifted: true}
		return
	}
	t.quarantined[m.Fingerprint] = quarantineEntry{seq: m.Seq, until: now.Add(m.Duration)}
	delete(t.suspects, m.Fingerprint)
	t.clearCrashSuspects(now, m.Upstream)
	t.refuseWaiting(m.Fingerprint, m.Duration, out)
}

// clearCrashSuspects removes the suspects of a crash that has been attributed to another request.
func (t *Table) clearCrashSuspects(now time.Time, u pomelorelay.UpstreamID) {
	if u == "" {
		return
	}
	t.attributed[u] = now
	for f, s := range t.suspects {
		if s.upstream == u && now.Sub(s.since) <= t.cfg.CrashWindow {
			delete(t.suspects, f)
		}
	}
}

// Lift ends a quarantine on all routers, at an operator's request.
func (t *Table) Lift(now time.Time, f pomelorelay.Fingerprint, out *Output) {
	m := &pomelorelay.QuarantineNotice{Fingerprint: f, Seq: uint64(now.UnixNano())}
	t.HandleQuarantineNotice(now, m, out)
	t.broadcast(m, out)
	t.cfg.Logger.Log(pomelorelay.EventQuarantineLifted, pomelorelay.Field{Key: "Fingerprint", Value: f})
}

func (t *Table) broadcast(m pomelorelay.Message, out *Output) {
	for _, node := range t.cfg.Members() {
		if node != t.cfg.Self {
			out.send(node, m)
		}
	}
}
