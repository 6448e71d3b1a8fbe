package pomelospeed

import (
	"math"
	"time"
)

// Sums are what a Ratio is made of: an amount, and of how much.
type Sums struct {
	Amount, Of float64
}

func (s *Sums) add(o Sums, times float64) {
	s.Amount += times * o.Amount
	s.Of += times * o.Of
}

func (s *Sums) scale(times float64) { *s = Sums{Amount: times * s.Amount, Of: times * s.Of} }

// RatioConfig holds what a Ratio starts with and how it forgets.
type RatioConfig struct {
	// Guess is the first guess, Weight how much it counts as if it had been seen.
	Guess, Weight float64
	// Half is the time in which half of what was seen is forgotten, down to Least.
	Half  time.Duration
	Least float64
	// MostNews bounds how much one report of another router may count for: its first one sums up all since its start.
	MostNews float64
}

// Ratio is an amount a unit that all routers learn together.
type Ratio struct {
	cfg       RatioConfig
	own, seen Sums
	at        time.Time
}

// NewRatio returns a Ratio that has seen nothing.
func NewRatio(cfg RatioConfig) *Ratio { return &Ratio{cfg: cfg} }

// Note takes what this router saw.
func (r *Ratio) Note(now time.Time, s Sums) {
	r.own.add(s, 1)
	r.see(now, s)
}

// Own returns the sums of what this router saw since its start.
func (r *Ratio) Own() Sums { return r.own }

// Merge takes what another router's sums have grown by.
func (r *Ratio) Merge(now time.Time, before, after Sums) {
	news := after
	news.add(before, -1)
	if news.Of <= 0 {
		return
	}
	if news.Of > r.cfg.MostNews {
		news.scale(r.cfg.MostNews / news.Of)
	}
	r.see(now, news)
}

// Value returns the ratio.
func (r *Ratio) Value(now time.Time) float64 {
	r.fade(now)
	return (r.seen.Amount + r.cfg.Guess*r.cfg.Weight) / (r.seen.Of + r.cfg.Weight)
}

func (r *Ratio) see(now time.Time, s Sums) {
	r.fade(now)
	r.seen.add(s, 1)
}

func (r *Ratio) fade(now time.Time) {
	passed := now.Sub(r.at)
	if passed <= 0 {
		return
	}
	if !r.at.IsZero() && r.seen.Of > r.cfg.Least {
		keep := math.Exp2(-float64(passed) / float64(r.cfg.Half))
		r.seen.scale(max(keep, r.cfg.Least/r.seen.Of))
	}
	r.at = now
}
