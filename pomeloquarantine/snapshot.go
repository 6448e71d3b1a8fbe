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

// Snapshot returns an immutable view of the Table; the same one is returned until the Table changes.
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

// IsSuspect reports whether the fingerprint is a suspect, whose runs may begin only after Table.Check has allowed them.
func (s *Snapshot) IsSuspect(f pomelorelay.Fingerprint) bool { return s.suspects[f] }

// QuarantineRemaining returns the remaining duration of a fingerprint's quarantine, zero when there is none.
func (s *Snapshot) QuarantineRemaining(now time.Time, f pomelorelay.Fingerprint) time.Duration {
	until, ok := s.quarantined[f]
	if !ok {
		return 0
	}
	return max(0, until.Sub(now))
}

// Quarantine is a quarantined fingerprint as listed for operators.
type Quarantine struct {
	Fingerprint pomelorelay.Fingerprint
	Until       time.Time
}

// List returns the quarantined fingerprints in ascending order.
func (s *Snapshot) List() []Quarantine {
	list := make([]Quarantine, 0, len(s.quarantined))
	for f, until := range s.quarantined {
		list = append(list, Quarantine{Fingerprint: f, Until: until})
	}
	slices.SortFunc(list, func(a, b Quarantine) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return list
}

// MemberJoined sends the suspects and quarantines of the fingerprints that this router arbitrates to a router that has
// joined or rejoined the fleet.
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

// soonestExpiringSuspect returns the suspect that expires first.
func (t *Table) soonestExpiringSuspect() pomelorelay.Fingerprint {
	var first pomelorelay.Fingerprint
	var until time.Time
	for f, s := range t.suspects {
		if until.IsZero() || s.until.Before(until) || (s.until.Equal(until) && f < first) {
			first, until = f, s.until
		}
	}
	return first
}

// soonestExpiringQuarantine returns the quarantined fingerprint whose entry expires first.
func (t *Table) soonestExpiringQuarantine() pomelorelay.Fingerprint {
	var first pomelorelay.Fingerprint
	var until time.Time
	for f, q := range t.quarantined {
		if until.IsZero() || q.until.Before(until) || (q.until.Equal(until) && f < first) {
			first, until = f, q.until
		}
	}
	return first
}

// sortUnique sorts fingerprints and removes duplicates.
func sortUnique(list []pomelorelay.Fingerprint) []pomelorelay.Fingerprint {
	slices.Sort(list)
	return slices.Compact(list)
}
