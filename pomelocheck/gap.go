package pomelocheck

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

type shareKey struct {
	pool    pomelorelay.PoolID
	account pomelorelay.AccountID
}

// share is what an account was served in a pool and when it was backlogged.
type share struct {
	served    []AccountServed
	backlogs  []BacklogChanged
	intervals []interval
	// cumulative is the normalised service at each sample.
	cumulative []pomelorelay.Tag
}

type interval struct {
	from, to time.Time
}

// Gap is the largest difference of normalised service between two accounts over any time in which both were backlogged throughout.
type Gap struct {
	Pool pomelorelay.PoolID
	// MostServed and Less are the accounts that had most and least.
	MostServed  pomelorelay.AccountID
	LeastServed  pomelorelay.AccountID
	Value pomelorelay.Tag
	// At is when the difference was reached.
	At time.Time
}

func (c *Checker) share(key shareKey) *share {
	s, ok := c.shares[key]
	if !ok {
		s = &share{}
		c.shares[key] = s
	}
	return s
}

func (e AccountServed) apply(c *Checker) {
	s := c.share(shareKey{e.Pool, e.Account})
	s.served = append(s.served, e)
}

func (e BacklogChanged) apply(c *Checker) {
	s := c.share(shareKey{e.Pool, e.Account})
	s.backlogs = append(s.backlogs, e)
}

// Gaps returns the largest gap of each pool up to now, ordered by pool; its cost grows with the square of the accounts.
func (c *Checker) Gaps(now time.Time) []Gap {
	start, ok := c.prepare(now)
	if !ok {
		return nil
	}
	keys := c.keys()
	var gaps []Gap
	for i, key := range keys {
		if len(gaps) == 0 || gaps[len(gaps)-1].Pool != key.pool {
			gaps = append(gaps, Gap{Pool: key.pool})
		}
		last := &gaps[len(gaps)-1]
		for _, other := range keys[i+1:] {
			if other.pool == key.pool {
				c.widen(last, start, key, other)
			}
		}
	}
	return gaps
}

// WindowGaps returns for each pool the difference of what the accounts that were backlogged from from to to got in that time.
func (c *Checker) WindowGaps(from, to time.Time) map[pomelorelay.PoolID]pomelorelay.Tag {
	least, most := make(map[pomelorelay.PoolID]pomelorelay.Tag), make(map[pomelorelay.PoolID]pomelorelay.Tag)
	for key, s := range c.shares {
		if !s.backloggedThroughout(from, to) {
			continue
		}
		got := s.normalised(from, to)
		if known, ok := least[key.pool]; !ok || got < known {
			least[key.pool] = got
		}
		most[key.pool] = max(most[key.pool], got)
	}
	for pool := range most {
		most[pool] -= least[pool]
	}
	return most
}

func (s *share) backloggedThroughout(from, to time.Time) bool {
	return slices.ContainsFunc(backlogIntervals(s.backlogs, to), func(in interval) bool {
		return !in.from.After(from) && !in.to.Before(to)
	})
}

func (s *share) normalised(from, to time.Time) pomelorelay.Tag {
	var sum pomelorelay.Tag
	for _, e := range s.served {
		sum += e.Cost.Normalise(e.Weight) * pomelorelay.Tag(fraction(e, to)-fraction(e, from))
	}
	return sum
}

func (c *Checker) keys() []shareKey {
	var keys []shareKey
	for key := range c.shares {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b shareKey) int {
		return cmp.Or(cmp.Compare(a.pool, b.pool), cmp.Compare(a.account, b.account))
	})
	return keys
}

// prepare samples every account's cumulative normalised service and returns the time of the first sample.
func (c *Checker) prepare(now time.Time) (time.Time, bool) {
	var start time.Time
	for _, s := range c.shares {
		s.intervals = backlogIntervals(s.backlogs, now)
		for _, in := range s.intervals {
			if start.IsZero() || in.from.Before(start) {
				start = in.from
			}
		}
	}
	if start.IsZero() {
		return start, false
	}
	samples := int(now.Sub(start)/c.cfg.GapStep) + 1
	for _, s := range c.shares {
		s.cumulative = c.sample(s.served, start, samples)
	}
	return start, true
}

func backlogIntervals(events []BacklogChanged, now time.Time) []interval {
	slices.SortStableFunc(events, func(a, b BacklogChanged) int { return a.At.Compare(b.At) })
	var intervals []interval
	open := false
	for _, e := range events {
		if e.Waiting && !open {
			intervals = append(intervals, interval{e.At, now})
		}
		if !e.Waiting && open {
			intervals[len(intervals)-1].to = e.At
		}
		open = e.Waiting
	}
	return intervals
}

// sample spreads each service evenly over its time and sums up.
func (c *Checker) sample(served []AccountServed, start time.Time, samples int) []pomelorelay.Tag {
	sums := make([]pomelorelay.Tag, samples)
	for _, s := range served {
		total := s.Cost.Normalise(s.Weight)
		first := max(0, c.index(start, s.From))
		last := min(samples-1, c.index(start, s.To)+1)
		for i := first; i <= last; i++ {
			sums[i] += total * pomelorelay.Tag(fraction(s, c.at(start, i))-fraction(s, c.at(start, i-1)))
		}
	}
	for i := 1; i < samples; i++ {
		sums[i] += sums[i-1]
	}
	return sums
}

// fraction returns how much of s was served by t.
func fraction(s AccountServed, t time.Time) float64 {
	if !t.Before(s.To) {
		return 1
	}
	if !t.After(s.From) {
		return 0
	}
	return float64(t.Sub(s.From)) / float64(s.To.Sub(s.From))
}

func (c *Checker) index(start, t time.Time) int { return int(t.Sub(start) / c.cfg.GapStep) }

func (c *Checker) at(start time.Time, i int) time.Time {
	return start.Add(time.Duration(i) * c.cfg.GapStep)
}

// widen raises the gap to the largest change of the two accounts' difference within a time in which both were backlogged.
func (c *Checker) widen(g *Gap, start time.Time, a, b shareKey) {
	x, y := c.shares[a], c.shares[b]
	for _, p := range x.intervals {
		for _, q := range y.intervals {
			c.widenWithin(g, start, overlap(p, q), a, b)
		}
	}
}

func overlap(p, q interval) interval {
	if q.from.After(p.from) {
		p.from = q.from
	}
	if q.to.Before(p.to) {
		p.to = q.to
	}
	return p
}

func (c *Checker) widenWithin(g *Gap, start time.Time, in interval, a, b shareKey) {
	x, y := c.shares[a].cumulative, c.shares[b].cumulative
	first := c.index(start, in.from)
	if c.at(start, first).Before(in.from) {
		first++
	}
	last := min(c.index(start, in.to), len(x)-1)
	if first > last {
		return
	}
	low, high := x[first]-y[first], x[first]-y[first]
	for i := first; i <= last; i++ {
		d := x[i] - y[i]
		low, high = min(low, d), max(high, d)
		if high-low <= g.Value {
			continue
		}
		g.Value, g.At = high-low, c.at(start, i)
		g.MostServed, g.LeastServed = a.account, b.account
		if d == low {
			g.MostServed, g.LeastServed = b.account, a.account
		}
	}
}

func (c *Checker) checkGap(now time.Time, out []Violation) []Violation {
	if len(c.cfg.GapBounds) == 0 {
		return out
	}
	for _, g := range c.Gaps(now) {
		bound, ok := c.cfg.GapBounds[g.Pool]
		if !ok || g.Value <= bound {
			continue
		}
		detail := fmt.Sprintf("%s had %.3f more than %s, the bound is %.3f", g.MostServed, float64(g.Value), g.LeastServed, float64(bound))
		out = append(out, Violation{GapOverBound, string(g.Pool), g.At, detail})
	}
	return out
}

// checkStarvation finds accounts that had requests waiting and got no service for longer than MaxWait.
func (c *Checker) checkStarvation(now time.Time, out []Violation) []Violation {
	for key, s := range c.shares {
		slices.SortStableFunc(s.served, func(a, b AccountServed) int { return a.From.Compare(b.From) })
		for _, in := range backlogIntervals(s.backlogs, now) {
			if wait := longestWait(s.served, in); wait > c.cfg.MaxWait {
				out = append(out, Violation{Starved, string(key.account), in.to, fmt.Sprintf("backlogged in %s and without service for %s", key.pool, wait)})
			}
		}
	}
	return out
}

func longestWait(served []AccountServed, in interval) time.Duration {
	var longest time.Duration
	since := in.from
	for _, s := range served {
		if s.To.Before(since) || s.From.After(in.to) {
			continue
		}
		longest = max(longest, s.From.Sub(since))
		if s.To.After(since) {
			since = s.To
		}
	}
	return max(longest, in.to.Sub(since))
}
