package pomelospeed

import (
	"math"
	"time"
)

// RatioSums are what a Ratio is made of: an amount, and of how much.
type RatioSums struct {
	Numerator, Denominator float64
}

func (s *RatioSums) add(o RatioSums, times float64) {
	s.Numerator += times * o.Numerator
	s.Denominator += times * o.Denominator
}

func (s *RatioSums) scale(times float64) { *s = RatioSums{Numerator: times * s.Numerator, Denominator: times * s.Denominator} }

// DecayingRatioConfig holds what a Ratio starts with and how it forgets.
type DecayingRatioConfig struct {
	// Guess is the first guess, Weight how much it counts as if it had been seen.
	Guess, Weight float64
	// Half is the time in which half of what was seen is forgotten, down to Least.
	Half  time.Duration
	Least float64
	// MostNews bounds how much one report of another router may count for: its first one sums up all since its start.
	MostNews float64
}

// DecayingRatio is an amount a unit that all routers learn together.
type DecayingRatio struct {
	cfg       DecayingRatioConfig
	own, seen RatioSums
	at        time.Time
}

// NewDecayingRatio returns a Ratio that has seen nothing.
func NewDecayingRatio(cfg DecayingRatioConfig) *DecayingRatio { return &DecayingRatio{cfg: cfg} }

// Observe takes what this router saw.
func (r *DecayingRatio) Observe(now time.Time, s RatioSums) {
	r.own.add(s, 1)
	r.see(now, s)
}

// LocalSums returns the sums of what this router saw since its start.
func (r *DecayingRatio) LocalSums() RatioSums { return r.own }

// Merge takes what another router's sums have grown by.
func (r *DecayingRatio) Merge(now time.Time, before, after RatioSums) {
	news := after
	news.add(before, -1)
	if news.Denominator <= 0 {
		return
	}
	if news.Denominator > r.cfg.MostNews {
		news.scale(r.cfg.MostNews / news.Denominator)
	}
	r.see(now, news)
}

// Value returns the ratio.
func (r *DecayingRatio) Value(now time.Time) float64 {
	r.fade(now)
	return (r.seen.Numerator + r.cfg.Guess*r.cfg.Weight) / (r.seen.Denominator + r.cfg.Weight)
}

func (r *DecayingRatio) see(now time.Time, s RatioSums) {
	r.fade(now)
	r.seen.add(s, 1)
}

func (r *DecayingRatio) fade(now time.Time) {
	passed := now.Sub(r.at)
	if passed <= 0 {
		return
	}
	if !r.at.IsZero() && r.seen.Denominator > r.cfg.Least {
		keep := math.Exp2(-float64(passed) / float64(r.cfg.Half))
		r.seen.scale(max(keep, r.cfg.Least/r.seen.Denominator))
	}
	r.at = now
}
