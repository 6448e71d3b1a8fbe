package pomelospeed

import (
	"math"
	"time"
)

const (
	// factorFade is the time in which half of one engine's answers is forgotten, so that an engine that turns slow is known as such
	// within a second.
	factorFade = 500 * time.Millisecond
	// factorStart is the time of answers as expected that an engine starts with; a single odd answer says little.
	factorStart = 300 * time.Millisecond
	// The dozen answers of a moment differ from what was expected by chance and by what other routers sent meanwhile: a ratio up to
	// chanceRatio says nothing, one from sureRatio on counts in full. Taken for more, chance would send requests away from the engines
	// that keep their shared parts.
	chanceRatio = 2.0
	sureRatio   = 3.0
	// mostFactor bounds how much slower or faster than the others an engine is taken for.
	mostFactor = 16.0
)

// SlowdownFactor is how many times as long as the service's Line one engine takes to its first tokens.
type SlowdownFactor struct {
	took, expected float64 // milliseconds
	at             time.Time
}

// Observe takes answers that took so long in sum and were expected to take so long.
func (f *SlowdownFactor) Observe(now time.Time, took, expected time.Duration) {
	f.fade(now)
	f.took += milliseconds(took)
	f.expected += milliseconds(expected)
}

func (f *SlowdownFactor) fade(now time.Time) {
	if passed := now.Sub(f.at); passed > 0 {
		keep := math.Exp2(-float64(passed) / float64(factorFade))
		f.took *= keep
		f.expected *= keep
		f.at = now
	}
}

// Ratio returns the factor as the answers of late say.
func (f *SlowdownFactor) Ratio(now time.Time) float64 {
	f.fade(now)
	start := milliseconds(factorStart)
	return min(max((f.took+start)/(f.expected+start), 1/mostFactor), mostFactor)
}

// RelativeTo returns how much slower the engine is than the one in the middle, whose ratio is given; one where the difference may be chance.
// What is the same for all engines belongs to their Line, which may still be on its way to where it fits. No engine counts as quicker
// than the middle one: all routers would send to it at once.
func (f *SlowdownFactor) RelativeTo(now time.Time, middle float64) float64 {
	ratio := f.Ratio(now) / middle
	if ratio >= sureRatio {
		return ratio
	}
	return 1 + (sureRatio-1)*max(0, ratio-chanceRatio)/(sureRatio-chanceRatio)
}
