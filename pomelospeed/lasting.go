package pomelospeed

import "time"

const (
	// lastingHalfLife is the half-life of the sums of LastingRatio: an engine that gets 18 requests a second then has about 260 in its sums, and the
	// ratio's standard error is 5%.
	lastingHalfLife = 10 * time.Second
	// lastingPrior is added to the sums of the actual and of the expected times to first token. It is the expected time of about ten requests, a
	// second of traffic in a busy fleet.
	lastingPrior = 700 * time.Millisecond
	// A single time to first token is clamped to lastingOutlier times the one expected from the ratio so far, or its inverse: one in a hundred is 7
	// times as long for reasons that do not last.
	lastingOutlier = 4.0
	// Ratios up to lastingNoise count as 1 and apply in full from lastingSignificant on. Without this, the order of equally fast engines would change
	// with every few responses, on all routers at once.
	lastingNoise       = 1.2
	lastingSignificant = 1.5
	// maxLastingFactor bounds the ratio and its inverse.
	maxLastingFactor = 8.0
)

// LastingRatio is the ratio of one engine's times to first token to those that the linear model of its service predicts, over tens of seconds. Unlike
// SlowdownFactor it recognises engines at half of the others' speed, but only after some seconds.
type LastingRatio struct{ times decayingTimes }

// Observe records answers by the sums of their actual times, divided by the momentary slowness of the engine's host, and of their expected times.
func (r *LastingRatio) Observe(now time.Time, took, expected time.Duration) {
	if took <= 0 || expected <= 0 {
		return
	}
	usual := r.Ratio(now) * milliseconds(expected)
	r.times.took += min(max(milliseconds(took), usual/lastingOutlier), usual*lastingOutlier)
	r.times.expected += milliseconds(expected)
}

// Ratio returns the ratio over the answers of the last tens of seconds.
func (r *LastingRatio) Ratio(now time.Time) float64 {
	r.times.decay(now, lastingHalfLife)
	return r.times.ratio(lastingPrior, 1, maxLastingFactor)
}

// RelativeTo returns how many times slower the engine is than the median engine, whose ratio is given; below 1 if it is faster.
func (r *LastingRatio) RelativeTo(now time.Time, median float64) float64 {
	r.times.decay(now, lastingHalfLife)
	// With the prior at the median, an engine without recent answers counts as one of median speed whatever the error of the linear model.
	ratio := r.times.ratio(lastingPrior, median, maxLastingFactor)
	if ratio < 1 {
		return 1 / significantFrom(1/ratio)
	}
	return significantFrom(ratio)
}

// significantFrom returns 1 for a ratio that may be noise, the ratio itself for a significant one, and a value between for one between.
func significantFrom(ratio float64) float64 {
	part := min(max((ratio-lastingNoise)/(lastingSignificant-lastingNoise), 0), 1)
	return 1 + part*(ratio-1)
}
