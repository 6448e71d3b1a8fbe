package pomelospeed

import "time"

const (
	// factorHalfLife is the half-life of one engine's answers in the ratio, short enough to detect an engine that becomes slow within a second.
	factorHalfLife = 500 * time.Millisecond
	// factorPrior is added to the sums of the actual and of the expected times to first token, so that a single outlier has little effect on a
	// new engine.
	factorPrior = 300 * time.Millisecond
	// The dozen or so answers within a half-life vary by chance and by unreported requests of other routers: a ratio up to noiseRatio is
	// ignored, one from significantRatio on applies in full. With lower values, noise would divert requests from the engines that cache
	// their shared prefixes.
	noiseRatio       = 2.0
	significantRatio = 3.0
	// maxFactor bounds the ratio and its inverse.
	maxFactor = 16.0
)

// SlowdownFactor is the ratio of one engine's times to first token to those that the linear model of its service predicts.
type SlowdownFactor struct{ times decayingTimes }

// Observe records answers by the sums of their actual and expected times to first token.
func (f *SlowdownFactor) Observe(now time.Time, took, expected time.Duration) {
	f.times.decay(now, factorHalfLife)
	f.times.took += milliseconds(took)
	f.times.expected += milliseconds(expected)
}

// Ratio returns the ratio over recent answers, clamped to the range from 1/maxFactor to maxFactor.
func (f *SlowdownFactor) Ratio(now time.Time) float64 {
	f.times.decay(now, factorHalfLife)
	return f.times.ratio(factorPrior, 1, maxFactor)
}

// RelativeTo returns how many times slower the engine is than the median engine, whose ratio is given, or 1 where the difference may be noise.
// Comparing with the median excludes the error of a linear model that has not converged yet. The result is never below 1, or all routers
// would send to the fastest engine at once.
func (f *SlowdownFactor) RelativeTo(now time.Time, median float64) float64 {
	ratio := f.Ratio(now) / median
	if ratio >= significantRatio {
		return ratio
	}
	return 1 + (significantRatio-1)*max(0, ratio-noiseRatio)/(significantRatio-noiseRatio)
}
