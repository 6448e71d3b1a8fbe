package pomeloquarantine

import (
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Table is a router's view of suspects and quarantined fingerprints, and of what the router itself runs.
type Table struct {
	cfg         Config
	suspects    map[pomelorelay.Fingerprint]suspect
	quarantined map[pomelorelay.Fingerprint]quarantine
	// named holds when a crash of an upstream was laid to one request; what else ran there is innocent.
	named    map[pomelorelay.UpstreamID]time.Time
	running  map[pomelorelay.RequestID]*started
	turns    map[pomelorelay.RequestID]*turn
	order    []*turn
	crashes  uint64
	snapshot *Snapshot
}

type suspect struct {
	upstream pomelorelay.UpstreamID
	since    time.Time
	until    time.Time
}

// quarantine is a refused fingerprint; one that was lifted is remembered until then, so that a late notice does not
// bring it back.
type quarantine struct {
	seq    uint64
	until  time.Time
	lifted bool
}

type started struct {
	run   Run
	alone bool
}

// NewTable returns an empty Table.
func NewTable(cfg Config) *Table {
	return &Table{
		cfg:         cfg.withDefaults(),
		suspects:    make(map[pomelorelay.Fingerprint]suspect),
		quarantined: make(map[pomelorelay.Fingerprint]quarantine),
		named:       make(map[pomelorelay.UpstreamID]time.Time),
		running:     make(map[pomelorelay.RequestID]*started),
		turns:       make(map[pomelorelay.RequestID]*turn),
	}
}

// Check decides whether a run may begin; for DecisionWait a Verdict follows.
func (t *Table) Check(now time.Time, run Run, out *Output) Verdict {
	if left := t.refusedFor(now, run.Fingerprint); left > 0 {
		return Verdict{Run: run, Decision: DecisionQuarantined, RetryAfter: left}
	}
	if s, ok := t.suspects[run.Fingerprint]; !ok || !now.Before(s.until) {
		return Verdict{Run: run, Decision: DecisionRun}
	}
	t.await(now, run, out)
	return Verdict{Run: run, Decision: DecisionWait}
}

func (t *Table) refusedFor(now time.Time, f pomelorelay.Fingerprint) time.Duration {
	q, ok := t.quarantined[f]
	if !ok || q.lifted {
		return 0
	}
	return max(0, q.until.Sub(now))
}

// Began tells that a run is about to be sent.
func (t *Table) Began(run Run) {
	g := t.turns[run.Request]
	t.running[run.Request] = &started{run: run, alone: g != nil && g.stage == stageGranted}
}

// Ended tells that a run ended without a crash of its upstream; clean tells that its answer was whole, which clears a
// suspect. One that was cancelled has shown nothing.
func (t *Table) Ended(run Run, clean bool, out *Output) {
	_, ok := t.running[run.Request]
	delete(t.running, run.Request)
	if !ok || t.turns[run.Request] == nil {
		return
	}
	t.leave(run.Request, clean, out)
	if clean {
		t.clear(run.Fingerprint)
		t.spread(&pomelorelay.SuspectCleared{Fingerprint: run.Fingerprint, Upstream: run.Upstream, Clean: true}, out)
	}
}

// Crashed tells that the run's upstream crashed while it ran. If a suspect ran there alone, it is named and
// quarantined; otherwise every run there is a suspect. The other runs of the same crash are then known.
func (t *Table) Crashed(now time.Time, run Run, out *Output) {
	if _, ok := t.running[run.Request]; !ok {
		return
	}
	var fingerprints []pomelorelay.Fingerprint
	var culprit *started
	for _, id := range t.runningIDs() {
		r := t.running[id]
		if r.run.Upstream != run.Upstream {
			continue
		}
		delete(t.running, id)
		t.leave(id, false, out)
		fingerprints = append(fingerprints, r.run.Fingerprint)
		if r.alone {
			culprit = r
		}
	}
	if culprit != nil {
		t.name(now, culprit.run, out)
		return
	}
	if t.isNamed(now, run.Upstream) {
		return
	}
	t.crashes++
	fingerprints = unique(fingerprints)
	t.suspect(now, run.Upstream, fingerprints, out)
	t.spread(&pomelorelay.SuspectNotice{Upstream: run.Upstream, CrashSeq: t.crashes, Fingerprints: fingerprints}, out)
	t.cfg.Logger.Log(pomelorelay.EventSuspects, pomelorelay.Field{Key: "Upstream", Value: run.Upstream}, pomelorelay.Field{Key: "Suspects", Value: len(fingerprints)})
}

// runningIDs returns the running requests in order, so that a schedule runs the same way every time.
func (t *Table) runningIDs() []pomelorelay.RequestID {
	ids := make([]pomelorelay.RequestID, 0, len(t.running))
	for id := range t.running {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// name quarantines the one suspect that ran on an upstream when it crashed, on every router.
func (t *Table) name(now time.Time, run Run, out *Output) {
	d := run.QuarantineFor
	setDuration(&d, t.cfg.QuarantineFor)
	m := &pomelorelay.QuarantineNotice{Fingerprint: run.Fingerprint, Seq: uint64(now.UnixNano()), Duration: d, Upstream: run.Upstream}
	t.HandleQuarantineNotice(now, m, out)
	t.spread(m, out)
	t.cfg.Logger.Log(pomelorelay.EventQuarantined, pomelorelay.Field{Key: "Fingerprint", Value: run.Fingerprint}, pomelorelay.Field{Key: "Upstream", Value: run.Upstream}, pomelorelay.Field{Key: "For", Value: d})
}

func (t *Table) isNamed(now time.Time, u pomelorelay.UpstreamID) bool {
	at, ok := t.named[u]
	return ok && now.Sub(at) <= t.cfg.CrashWindow
}

// suspect marks fingerprints as suspects; past the bound the one that lapses first is given up.
func (t *Table) suspect(now time.Time, u pomelorelay.UpstreamID, fingerprints []pomelorelay.Fingerprint, out *Output) {
	for _, f := range fingerprints {
		if t.refusedFor(now, f) > 0 {
			continue
		}
		if _, known := t.suspects[f]; !known && len(t.suspects) >= t.cfg.MaxSuspects {
			delete(t.suspects, t.firstSuspect())
		}
		t.suspects[f] = suspect{upstream: u, since: now, until: now.Add(t.cfg.SuspectFor)}
		t.snapshot = nil
		t.adopt(now, f, out)
	}
}

func (t *Table) clear(f pomelorelay.Fingerprint) {
	delete(t.suspects, f)
	t.snapshot = nil
}

// HandleSuspectNotice takes another router's suspects.
func (t *Table) HandleSuspectNotice(now time.Time, m *pomelorelay.SuspectNotice, out *Output) {
	if !t.isNamed(now, m.Upstream) {
		t.suspect(now, m.Upstream, m.Fingerprints, out)
	}
}

// HandleCleared takes the news that a suspect ran without a crash.
func (t *Table) HandleCleared(m *pomelorelay.SuspectCleared) {
	if m.Clean {
		t.clear(m.Fingerprint)
	}
}

// HandleQuarantineNotice takes a quarantine or its lifting; the newer one of a fingerprint holds.
func (t *Table) HandleQuarantineNotice(now time.Time, m *pomelorelay.QuarantineNotice, out *Output) {
	if known, ok := t.quarantined[m.Fingerprint]; ok && known.seq >= m.Seq {
		return
	}
	if _, known := t.quarantined[m.Fingerprint]; !known && len(t.quarantined) >= t.cfg.MaxQuarantined {
		delete(t.quarantined, t.firstQuarantined())
	}
	t.snapshot = nil
	if m.Duration <= 0 {
		t.quarantined[m.Fingerprint] = quarantine{seq: m.Seq, until: now.Add(t.cfg.QuarantineFor), lifted: true}
		return
	}
	t.quarantined[m.Fingerprint] = quarantine{seq: m.Seq, until: now.Add(m.Duration)}
	delete(t.suspects, m.Fingerprint)
	t.acquit(now, m.Upstream)
	t.refuseWaiting(m.Fingerprint, m.Duration, out)
}

// acquit clears those that are suspects only because of a crash that was now laid to another request.
func (t *Table) acquit(now time.Time, u pomelorelay.UpstreamID) {
	if u == "" {
		return
	}
	t.named[u] = now
	for f, s := range t.suspects {
		if s.upstream == u && now.Sub(s.since) <= t.cfg.CrashWindow {
			delete(t.suspects, f)
		}
	}
}

// Lift ends a quarantine by an operator's order, on every router.
func (t *Table) Lift(now time.Time, f pomelorelay.Fingerprint, out *Output) {
	m := &pomelorelay.QuarantineNotice{Fingerprint: f, Seq: uint64(now.UnixNano())}
	t.HandleQuarantineNotice(now, m, out)
	t.spread(m, out)
	t.cfg.Logger.Log(pomelorelay.EventLifted, pomelorelay.Field{Key: "Fingerprint", Value: f})
}

func (t *Table) spread(m pomelorelay.Message, out *Output) {
	for _, node := range t.cfg.Members() {
		if node != t.cfg.Self {
			out.send(node, m)
		}
	}
}
