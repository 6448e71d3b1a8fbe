package pomelospeed

import (
	"math"
	"time"
)

// Sums are what a Ratio is made of: an amount, and of how much.
type Sums struct {
	Amount, Of float64
}

func (s *Sums) add(o Sums, factor float64) {
	s.Amount += factor * o.Amount
	s.Of += factor * o.Of
}

func (s *Sums) scale(factor float64) { *s = Sums{Amount: factor * s.Amount, Of: factor * s.Of} }

// RatioConfig holds what a Ratio starts with and how it forgets.
type RatioConfig struct {
	// Prior is the first guess, Weight how much it counts as if it had been seen.
	Prior, PriorWeight float64
	// HalfLife is the time in which half of what was seen is forgotten, down to Least.
	HalfLife  time.Duration
	MinWeight float64
	// MaxReportWeight bounds how much one report of another router may count for: its first one sums up all since its start.
	MaxReportWeight float64
}

// Ratio is an amount a unit that all routers learn together.
type Ratio struct {
	cfg       RatioConfig
	local, observed Sums
	decayedAt        time.Time
}

// NewRatio returns a Ratio that has seen nothing.
func NewRatio(cfg RatioConfig) *Ratio { return &Ratio{cfg: cfg} }

// Note takes what this router saw.
func (r *Ratio) Note(now time.Time, s Sums) {
	r.local.add(s, 1)
	r.accumulate(now, s)
}

// Own returns the sums of what this router saw since its start.
func (r *Ratio) Own() Sums { return r.local }

// Merge takes what another router's sums have grown by.
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

// Value returns the ratio.
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
