package pomelospeed

import (
	"math"
	"time"
)

// Sums are the numerator and the denominator of a ratio, in this order.
type Sums struct {
	Amount, Of float64
}

func (s *Sums) add(o Sums, factor float64) {
	s.Amount += factor * o.Amount
	s.Of += factor * o.Of
}

func (s *Sums) scale(factor float64) { *s = Sums{Amount: factor * s.Amount, Of: factor * s.Of} }

// RatioConfig holds the prior and the decay settings of an estimate.
type RatioConfig struct {
	// Prior is the value before any observation, PriorWeight the denominator that it counts for.
	Prior, PriorWeight float64
	// HalfLife is the half-life of the observed sums, which decay down to a denominator of MinWeight.
	HalfLife  time.Duration
	MinWeight float64
	// MaxReportWeight bounds the denominator of one report of another router: its first report covers all since its start.
	MaxReportWeight float64
}

// Ratio is a decaying estimate of a ratio from the observations of all routers.
type Ratio struct {
	cfg             RatioConfig
	local, observed Sums
	decayedAt       time.Time
}

// NewRatio returns an estimate without observations.
func NewRatio(cfg RatioConfig) *Ratio { return &Ratio{cfg: cfg} }

// Note records an observation of this router.
func (r *Ratio) Note(now time.Time, s Sums) {
	r.local.add(s, 1)
	r.accumulate(now, s)
}

// Own returns the sums of this router's observations since its start.
func (r *Ratio) Own() Sums { return r.local }

// Merge adds the difference of another router's sums between two reports.
func (r *Ratio) Merge(now time.Time, before, after Sums) {
	delta := after
	delta.add(before, -1)
	if delta.Of <= 0 {
		return
	}
	if delta.Of > r.cfg.MaxReportWeight {
		delta.scale(r.cfg.MaxReportWeight / delta.Of)
	}
	r.accumulate(now, delta)
}

// Value returns the estimate at the given time.
func (r *Ratio) Value(now time.Time) float64 {
	r.decay(now)
	return (r.observed.Amount + r.cfg.Prior*r.cfg.PriorWeight) / (r.observed.Of + r.cfg.PriorWeight)
}

func (r *Ratio) accumulate(now time.Time, s Sums) {
	r.decay(now)
	r.observed.add(s, 1)
}

func (r *Ratio) decay(now time.Time) {
	passed := now.Sub(r.decayedAt)
	if passed <= 0 {
		return
	}
	if !r.decayedAt.IsZero() && r.observed.Of > r.cfg.MinWeight {
		retained := math.Exp2(-float64(passed) / float64(r.cfg.HalfLife))
		r.observed.scale(max(retained, r.cfg.MinWeight/r.observed.Of))
	}
	r.decayedAt = now
}
