package pomelospeed

import (
	"math"
	"time"
)

// decayingTimes holds the sums of actual and of expected times to first token, in milliseconds, which decay with a half-life.
type decayingTimes struct {
	took, expected float64
	decayedAt      time.Time
}

func (d *decayingTimes) decay(now time.Time, halfLife time.Duration) {
	if passed := now.Sub(d.decayedAt); passed > 0 {
		retained := math.Exp2(-float64(passed) / float64(halfLife))
		d.took *= retained
		d.expected *= retained
		d.decayedAt = now
	}
}

// ratio returns the actual over the expected time, both with the prior added, clamped to the range from 1/limit to limit. The actual time is divided
// by the median ratio of the engines compared with.
func (d *decayingTimes) ratio(prior time.Duration, median, limit float64) float64 {
	p := milliseconds(prior)
	return min(max((d.took/median+p)/(d.expected+p), 1/limit), limit)
}
