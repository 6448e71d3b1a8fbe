package pomeloquarantine

import (
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// CrashSnapshot is an immutable view of a CrashLog, safe for concurrent use. The zero value holds no crashes.
type CrashSnapshot struct {
	suspects map[pomelorelay.Fingerprint]bool
	pending  map[pomelorelay.Fingerprint]bool
	// quarantines holds the explanations by the first of their fingerprints.
	quarantines map[pomelorelay.Fingerprint]explanation
}

// Snapshot returns an immutable view; the same one is returned until the CrashLog changes.
func (l *CrashLog) Snapshot() *CrashSnapshot {
	l.refresh()
	if l.snapshot != nil {
		return l.snapshot
	}
	s := &CrashSnapshot{suspects: make(map[pomelorelay.Fingerprint]bool), pending: make(map[pomelorelay.Fingerprint]bool), quarantines: make(map[pomelorelay.Fingerprint]explanation)}
	for _, e := range l.explanations {
		s.quarantines[e.fingerprints[0]] = e
	}
	for f, h := range l.histories {
		for key, c := range h.crashes {
			switch {
			case c.Cleared || l.explained[key] && !h.isCause:
			case c.pending:
				s.pending[f] = true
			default:
				s.suspects[f] = true
			}
		}
	}
	l.snapshot = s
	return s
}

// IsSuspect reports whether an upstream crashed under the fingerprint, nothing else explains the crash, and no upstream has answered a request
// with the fingerprint since.
func (s *CrashSnapshot) IsSuspect(f pomelorelay.Fingerprint) bool { return s.suspects[f] }

// MayHaveCrashed reports whether such a crash is confirmed or pending.
func (s *CrashSnapshot) MayHaveCrashed(f pomelorelay.Fingerprint) bool {
	return s.suspects[f] || s.pending[f]
}

// QuarantineRemaining returns the remaining duration of the quarantine of requests with the fingerprints, zero when there is none.
func (s *CrashSnapshot) QuarantineRemaining(now time.Time, fingerprints ...pomelorelay.Fingerprint) time.Duration {
	end := int64(0)
	for _, f := range fingerprints {
		if e, ok := s.quarantines[f]; ok && e.coversRequest(fingerprints) {
			end = max(end, e.end)
		}
	}
	if end == 0 {
		return 0
	}
	return max(0, time.Duration(end-now.UnixMilli())*time.Millisecond)
}

// coversRequest reports whether a request with the fingerprints holds all those of the explanation.
func (e *explanation) coversRequest(fingerprints []pomelorelay.Fingerprint) bool {
	for _, f := range e.fingerprints {
		if !slices.Contains(fingerprints, f) {
			return false
		}
	}
	return true
}

// Suspects returns the number of suspects.
func (s *CrashSnapshot) Suspects() int { return len(s.suspects) }

// Quarantined returns the number of quarantines at the time.
func (s *CrashSnapshot) Quarantined(now time.Time) int {
	n := 0
	for _, e := range s.quarantines {
		if e.end > now.UnixMilli() {
			n++
		}
	}
	return n
}
