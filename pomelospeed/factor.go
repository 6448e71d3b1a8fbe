package pomelospeed

import (
	"math"
	"time"
)

const (
	// factorHalfLife is the time in which half of one engine's answers is forgotten, so that an engine that turns slow is known as such
	// within a second.
	factorHalfLife = 500 * time.Millisecond
	// factorPrior is the time of answers as expected that an engine starts with; a single odd answer says little.
	factorPrior = 300 * time.Millisecond
	// The dozen answers of a moment differ from what was expected by chance and by what other routers sent meanwhile: a ratio up to
	// chanceRatio says nothing, one from sureRatio on counts in full. Taken for more, chance would send requests away from the engines
	// that keep their shared parts.
	noiseRatio = 2.0
	significantRatio   = 3.0
	// maxFactor bounds how much slower or faster than the others an engine is taken for.
	maxFactor = 16.0
)

// Factor is how many times as long as the service's Line one engine takes to its first tokens.
type Factor struct {
	took, expected float64 // milliseconds
	decayedAt             time.Time
}

// Note takes answers that took so long in sum and were expected to take so long.
func (f *Factor) Note(now time.Time, took, expected time.Duration) {
	f.decay(now)
	f.took += milliseconds(took)
	f.expected += milliseconds(expected)
}

func (f *Factor) decay(now time.Time) {
	if passed := now.Sub(f.decayedAt); passed > 0 {
		retained := math.Exp2(-float64(passed) / float64(factorHalfLife))
		f.took *= retained
		f.expected *= retained
		f.decayedAt = now
	}
}

// Ratio returns the factor as the answers of late say.
func (f *Factor) Ratio(now time.Time) float64 {
	f.decay(now)
	prior := milliseconds(factorPrior)
	return min(max((f.took+prior)/(f.expected+prior), 1/maxFactor), maxFactor)
}

// Beside returns how much slower the engine is than the one in the middle, whose ratio is given; one where the difference may be chance.
// What is the same for all engines belongs to their Line, which may still be on its way to where it fits. No engine counts as quicker
// than the middle one: all routers would send to it at once.
func (f *Factor) Beside(now time.Time, median float64) float64 {
	ratio := f.Ratio(now) / median
	if ratio >= significantRatio {
		return ratio
	}
	return 1 + (significantRatio-1)*max(0, ratio-noiseRatio)/(significantRatio-noiseRatio)
}
