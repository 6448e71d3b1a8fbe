package pomeloquarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Snapshot is an immutable view of a Table, safe for concurrent use.
type Snapshot struct {
	suspects    map[pomelorelay.Fingerprint]bool
	quarantined map[pomelorelay.Fingerprint]time.Time
}

// Snapshot returns an immutable view for the traffic path, the same one as long as nothing changed.
func (t *Table) Snapshot() *Snapshot {
	if t.snapshot != nil {
		return t.snapshot
	}
	s := &Snapshot{
		suspects:    make(map[pomelorelay.Fingerprint]bool, len(t.suspects)),
		quarantined: make(map[pomelorelay.Fingerprint]time.Time, len(t.quarantined)),
	}
	for f := range t.suspects {
		s.suspects[f] = true
	}
	for f, q := range t.quarantined {
		if !q.lifted {
			s.quarantined[f] = q.until
		}
	}
	t.snapshot = s
	return s
}

// IsSuspect reports whether a run of the fingerprint must be checked with the Table.
func (s *Snapshot) IsSuspect(f pomelorelay.Fingerprint) bool { return s.suspects[f] }

// QuarantineRemaining returns how long a fingerprint is still refused, zero when it is not.
func (s *Snapshot) QuarantineRemaining(now time.Time, f pomelorelay.Fingerprint) time.Duration {
	until, ok := s.quarantined[f]
	if !ok {
		return 0
	}
	return max(0, until.Sub(now))
}

// Quarantine is one refused fingerprint for operators.
type Quarantine struct {
	Fingerprint pomelorelay.Fingerprint
	Until       time.Time
}

// List returns the quarantined fingerprints in order.
func (s *Snapshot) List() []Quarantine {
	list := make([]Quarantine, 0, len(s.quarantined))
	for f, until := range s.quarantined {
		list = append(list, Quarantine{Fingerprint: f, Until: until})
	}
	slices.SortFunc(list, func(a, b Quarantine) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return list
}

// MemberJoined sends a router that came, or came back from a partition, what this router arbitrates.
func (t *Table) MemberJoined(now time.Time, node pomelorelay.NodeID, out *Output) {
	for f, q := range t.quarantined {
		if !t.arbitrates(f) {
			continue
		}
		m := &pomelorelay.QuarantineNotice{Fingerprint: f, Seq: q.seq}
		if !q.lifted {
			m.Duration = q.until.Sub(now)
		}
		out.send(node, m)
	}
	for f, s := range t.suspects {
		if t.arbitrates(f) {
			out.send(node, &pomelorelay.SuspectNotice{Upstream: s.upstream, Fingerprints: []pomelorelay.Fingerprint{f}})
		}
	}
}

func (t *Table) arbitrates(f pomelorelay.Fingerprint) bool {
	node, ok := t.cfg.FingerprintArbiter(f)
	return ok && node == t.cfg.Self
}

// firstSuspect returns the suspect that lapses first.
func (t *Table) firstSuspect() pomelorelay.Fingerprint {
	var first pomelorelay.Fingerprint
	var until time.Time
	for f, s := range t.suspects {
		if until.IsZero() || s.until.Before(until) || (s.until.Equal(until) && f < first) {
			first, until = f, s.until
		}
	}
	return first
}

// firstQuarantined returns the quarantine that ends first.
func (t *Table) firstQuarantined() pomelorelay.Fingerprint {
	var first pomelorelay.Fingerprint
	var until time.Time
	for f, q := range t.quarantined {
		if until.IsZero() || q.until.Before(until) || (q.until.Equal(until) && f < first) {
			first, until = f, q.until
		}
	}
	return first
}

// unique sorts fingerprints and drops repeats.
func unique(list []pomelorelay.Fingerprint) []pomelorelay.Fingerprint {
	slices.Sort(list)
	return slices.Compact(list)
}
