package pomelospeed

import (
	"math"
	"time"
)

// RatioSums holds the numerator and the denominator of a ratio, each summed over observations.
type RatioSums struct {
	Numerator, Denominator float64
}

func (s *RatioSums) add(o RatioSums, factor float64) {
	s.Numerator += factor * o.Numerator
	s.Denominator += factor * o.Denominator
}

func (s *RatioSums) scale(factor float64) {
	*s = RatioSums{Numerator: factor * s.Numerator, Denominator: factor * s.Denominator}
}

// DecayingRatioConfig holds the prior and the decay settings of an estimate.
type DecayingRatioConfig struct {
	// Prior is the estimate before any observation. PriorWeight is the weight of the prior: it is added to the observed denominator, and
	// Prior times PriorWeight to the observed numerator.
	Prior, PriorWeight float64
	// HalfLife is the half-life of the observed sums. They stop decaying when their denominator has fallen to MinDenominator.
	HalfLife       time.Duration
	MinDenominator float64
	// MaxReportWeight bounds the denominator with which one report of another router counts. A router's first report covers all observations
	// since its start and would outweigh recent ones.
	MaxReportWeight float64
}

// DecayingRatio is a decaying estimate of a ratio from the observations of all routers.
type DecayingRatio struct {
	cfg             DecayingRatioConfig
	local, observed RatioSums
	decayedAt       time.Time
}

// NewDecayingRatio returns an estimate without observations.
func NewDecayingRatio(cfg DecayingRatioConfig) *DecayingRatio { return &DecayingRatio{cfg: cfg} }

// Observe records an observation of this router.
func (r *DecayingRatio) Observe(now time.Time, s RatioSums) {
	r.local.add(s, 1)
	r.accumulate(now, s)
}

// LocalSums returns the sums of this router's observations since its start.
func (r *DecayingRatio) LocalSums() RatioSums { return r.local }

// Merge adds the difference of another router's sums between two reports.
func (r *DecayingRatio) Merge(now time.Time, before, after RatioSums) {
	delta := after
	delta.add(before, -1)
	if delta.Denominator <= 0 {
		return
	}
	if delta.Denominator > r.cfg.MaxReportWeight {
		delta.scale(r.cfg.MaxReportWeight / delta.Denominator)
	}
	r.accumulate(now, delta)
}

// Value returns the estimate at the given time.
func (r *DecayingRatio) Value(now time.Time) float64 {
	r.decay(now)
	return (r.observed.Numerator + r.cfg.Prior*r.cfg.PriorWeight) / (r.observed.Denominator + r.cfg.PriorWeight)
}

func (r *DecayingRatio) accumulate(now time.Time, s RatioSums) {
	r.decay(now)
	r.observed.add(s, 1)
}

func (r *DecayingRatio) decay(now time.Time) {
	passed := now.Sub(r.decayedAt)
	if passed <= 0 {
		return
	}
	if !r.decayedAt.IsZero() && r.observed.Denominator > r.cfg.MinDenominator {
		retained := math.Exp2(-float64(passed) / float64(r.cfg.HalfLife))
		r.observed.scale(max(retained, r.cfg.MinDenominator/r.observed.Denominator))
	}
	r.decayedAt = now
}
