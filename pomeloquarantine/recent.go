package pomeloquarantine

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

const (
	// recentFor is how long a crash is not attributed to a request after one with its fingerprint was answered, and the minimum time for which a
	// recentSet holds a fingerprint; the maximum is twice as long.
	recentFor = 30 * time.Second
	// partRecentFor is the same for a prompt part. Requests share parts, so that a harmless part is soon answered again.
	partRecentFor = 5 * time.Second
	// maxRecent is the number of fingerprints in one half of a recentSet; when they are more, the older half is dropped early.
	maxRecent = 16384
)

// recentSet holds the fingerprints that were added in the last recentFor, with the time of the last addition. It drops the older half at once
// instead of single entries, so that an addition takes constant time.
type recentSet struct {
	current, previous map[pomelorelay.Fingerprint]time.Time
	startedAt         time.Time
}

func newRecentSet() recentSet {
	return recentSet{current: make(map[pomelorelay.Fingerprint]time.Time), previous: make(map[pomelorelay.Fingerprint]time.Time)}
}

func (s *recentSet) add(now time.Time, f pomelorelay.Fingerprint) {
	s.rotate(now)
	s.current[f] = now
}

// containsSince reports whether the fingerprint was added at or after a time.
func (s *recentSet) containsSince(now time.Time, f pomelorelay.Fingerprint, since time.Time) bool {
	s.rotate(now)
	at, ok := s.current[f]
	if !ok {
		at, ok = s.previous[f]
	}
	return ok && !at.Before(since)
}

func (s *recentSet) rotate(now time.Time) {
	age := now.Sub(s.startedAt)
	if age < recentFor && len(s.current) < maxRecent {
		return
	}
	s.startedAt = now
	s.current, s.previous = s.previous, s.current
	clear(s.current)
	if age >= 2*recentFor {
		clear(s.previous)
	}
}
