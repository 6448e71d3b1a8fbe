package pomeloquarantine

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

const (
	// recentFor is the minimum time for which a recentSet holds a fingerprint, and half of the maximum.
	recentFor = 30 * time.Second
	// maxRecent is the number of fingerprints in one half of a recentSet; when they are more, the older half is dropped early.
	maxRecent = 16384
)

// recentSet holds the fingerprints that were added in the last recentFor. It drops the older half at once instead of single entries, so that
// an addition takes constant time.
type recentSet struct {
	current, previous map[pomelorelay.Fingerprint]struct{}
	startedAt         time.Time
}

func newRecentSet() recentSet {
	return recentSet{current: make(map[pomelorelay.Fingerprint]struct{}), previous: make(map[pomelorelay.Fingerprint]struct{})}
}

func (s *recentSet) add(now time.Time, f pomelorelay.Fingerprint) {
	s.rotate(now)
	s.current[f] = struct{}{}
}

func (s *recentSet) contains(now time.Time, f pomelorelay.Fingerprint) bool {
	s.rotate(now)
	_, current := s.current[f]
	_, previous := s.previous[f]
	return current || previous
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
