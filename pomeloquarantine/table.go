package pomeloquarantine

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Table is a router's view of suspects and quarantined fingerprints.
type Table struct {
	cfg Config
}

// NewTable returns an empty Table.
func NewTable(cfg Config) *Table { return &Table{cfg: cfg} }

// Check decides whether a run may begin; for DecisionWait a Verdict follows.
func (t *Table) Check(now time.Time, run Run, out *Output) Verdict { return Verdict{} }

// Cancel gives up a run that waits for its verdict.
func (t *Table) Cancel(now time.Time, run Run, out *Output) {}

// Began tells that a run is about to be sent.
func (t *Table) Began(now time.Time, run Run) {}

// Ended tells that a run ended without a crash of its upstream.
func (t *Table) Ended(now time.Time, run Run, out *Output) {}

// Crashed tells that an upstream crashed; every run there is a suspect, or the one suspect there is named.
func (t *Table) Crashed(now time.Time, upstream pomelorelay.UpstreamID, out *Output) {}

// Answer takes an arbiter's answer.
func (t *Table) Answer(now time.Time, from pomelorelay.NodeID, m *pomelorelay.SuspectAnswer, out *Output) {
}

// Notice takes another router's suspects.
func (t *Table) Notice(now time.Time, m *pomelorelay.SuspectNotice, out *Output) {}

// Cleared takes the news that a suspect ran without a crash.
func (t *Table) Cleared(now time.Time, m *pomelorelay.SuspectCleared) {}

// Quarantine takes a quarantine or its lifting.
func (t *Table) Quarantine(now time.Time, m *pomelorelay.QuarantineNotice, out *Output) {}

// Lift ends a quarantine by an operator's order, on every router.
func (t *Table) Lift(now time.Time, f pomelorelay.Fingerprint, out *Output) {}

// Joined sends a router that came what this router arbitrates.
func (t *Table) Joined(now time.Time, node pomelorelay.NodeID, out *Output) {}

// Tick asks again, renews and ends what is due; call it about each 100 ms.
func (t *Table) Tick(now time.Time, out *Output) {}

// Snapshot returns an immutable view for the traffic path.
func (t *Table) Snapshot() *Snapshot { return &Snapshot{} }

// Snapshot is an immutable view of a Table, safe for concurrent use.
type Snapshot struct{}

// Suspect reports whether a run of the fingerprint must be checked with the Table.
func (s *Snapshot) Suspect(f pomelorelay.Fingerprint) bool { return false }

// Quarantined returns how long a fingerprint is still refused, zero when it is not.
func (s *Snapshot) Quarantined(now time.Time, f pomelorelay.Fingerprint) time.Duration { return 0 }
