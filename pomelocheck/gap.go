package pomelocheck

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

type accountKey struct {
	pool    pomelorelay.PoolID
	account pomelorelay.AccountID
}

// accountService records the service that an account received in a pool and when it was backlogged.
type accountService struct {
	served           []AccountServed
	backlogChanges   []BacklogChanged
	backlogIntervals []interval
	// cumulative is the normalised service received up to each sample.
	cumulative []pomelorelay.Tag
}

type interval struct {
	from, to time.Time
}

// Gap is the maximum difference of normalised service between two accounts of a pool over any period in which both were backlogged.
type Gap struct {
	Pool pomelorelay.PoolID
	// MostServed is the account that received more service during the period, LeastServed the one that received less.
	MostServed  pomelorelay.AccountID
	LeastServed pomelorelay.AccountID
	Value       pomelorelay.Tag
	// At is the end of the period with the maximum difference.
	At time.Time
}

func (c *Checker) serviceOf(key accountKey) *accountService {
	s, ok := c.services[key]
	if !ok {
		s = &accountService{}
		c.services[key] = s
	}
	return s
}

func (e AccountServed) apply(c *Checker) {
	s := c.serviceOf(accountKey{e.Pool, e.Account})
	s.served = append(s.served, e)
}

func (e BacklogChanged) apply(c *Checker) {
	s := c.serviceOf(accountKey{e.Pool, e.Account})
	s.backlogChanges = append(s.backlogChanges, e)
}

// Gaps returns the maximum gap of each pool up to now, ordered by pool; the computing time is quadratic in the number of accounts.
func (c *Checker) Gaps(now time.Time) []Gap {
	start, ok := c.sampleAll(now)
	if !ok {
		return nil
	}
	keys := c.sortedKeys()
	var gaps []Gap
	for i, key := range keys {
		if len(gaps) == 0 || gaps[len(gaps)-1].Pool != key.pool {
			gaps = append(gaps, Gap{Pool: key.pool})
		}
		last := &gaps[len(gaps)-1]
		for _, other := range keys[i+1:] {
			if other.pool == key.pool {
				c.updateGap(last, start, key, other)
			}
		}
	}
	return gaps
}

// WindowGaps returns, for each pool, the maximum difference between the normalised service that its accounts received in the window.
// It considers only accounts that were backlogged throughout the window.
func (c *Checker) WindowGaps(from, to time.Time) map[pomelorelay.PoolID]pomelorelay.Tag {
	minService, maxService := make(map[pomelorelay.PoolID]pomelorelay.Tag), make(map[pomelorelay.PoolID]pomelorelay.Tag)
	for key, s := range c.services {
		if !s.backloggedThroughout(from, to) {
			continue
		}
		service := s.normalisedService(from, to)
		if known, ok := minService[key.pool]; !ok || service < known {
			minService[key.pool] = service
		}
		maxService[key.pool] = max(maxService[key.pool], service)
	}
	for pool := range maxService {
		maxService[pool] -= minService[pool]
	}
	return maxService
}

func (s *accountService) backloggedThroughout(from, to time.Time) bool {
	return slices.ContainsFunc(backlogIntervals(s.backlogChanges, to), func(in interval) bool {
		return !in.from.After(from) && !in.to.Before(to)
	})
}

func (s *accountService) normalisedService(from, to time.Time) pomelorelay.Tag {
	var sum pomelorelay.Tag
	for _, e := range s.served {
		sum += e.Cost.Normalise(e.Weight) * pomelorelay.Tag(servedFraction(e, to)-servedFraction(e, from))
	}
	return sum
}

func (c *Checker) sortedKeys() []accountKey {
	var keys []accountKey
	for key := range c.services {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b accountKey) int {
		return cmp.Or(cmp.Compare(a.pool, b.pool), cmp.Compare(a.account, b.account))
	})
	return keys
}

// sampleAll samples the cumulative normalised service of all accounts. It returns the time of the first sample, and false if no
// account was ever backlogged.
func (c *Checker) sampleAll(now time.Time) (time.Time, bool) {
	var start time.Time
	for _, s := range c.services {
		s.backlogIntervals = backlogIntervals(s.backlogChanges, now)
		for _, in := range s.backlogIntervals {
			if start.IsZero() || in.from.Before(start) {
				start = in.from
			}
		}
	}
	if start.IsZero() {
		return start, false
	}
	samples := int(now.Sub(start)/c.cfg.GapSampleInterval) + 1
	for _, s := range c.services {
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

// sample returns the cumulative normalised service at each sample time, with the cost of each request spread evenly over its run.
func (c *Checker) sample(served []AccountServed, start time.Time, samples int) []pomelorelay.Tag {
	sums := make([]pomelorelay.Tag, samples)
	for _, s := range served {
		total := s.Cost.Normalise(s.Weight)
		first := max(0, c.sampleIndex(start, s.From))
		last := min(samples-1, c.sampleIndex(start, s.To)+1)
		for i := first; i <= last; i++ {
			sums[i] += total * pomelorelay.Tag(servedFraction(s, c.sampleTime(start, i))-servedFraction(s, c.sampleTime(start, i-1)))
		}
	}
	for i := 1; i < samples; i++ {
		sums[i] += sums[i-1]
	}
	return sums
}

// servedFraction returns the fraction of s.Cost that was served before time t.
func servedFraction(s AccountServed, t time.Time) float64 {
	if !t.Before(s.To) {
		return 1
	}
	if !t.After(s.From) {
		return 0
	}
	return float64(t.Sub(s.From)) / float64(s.To.Sub(s.From))
}

func (c *Checker) sampleIndex(start, t time.Time) int {
	return int(t.Sub(start) / c.cfg.GapSampleInterval)
}

func (c *Checker) sampleTime(start time.Time, i int) time.Time {
	return start.Add(time.Duration(i) * c.cfg.GapSampleInterval)
}

// updateGap raises g to the gap between accounts a and b if that is larger: the maximum change of the difference between their
// cumulative normalised service within any period in which both were backlogged.
func (c *Checker) updateGap(g *Gap, start time.Time, a, b accountKey) {
	x, y := c.services[a], c.services[b]
	for _, p := range x.backlogIntervals {
		for _, q := range y.backlogIntervals {
			c.updateGapWithin(g, start, overlap(p, q), a, b)
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

func (c *Checker) updateGapWithin(g *Gap, start time.Time, in interval, a, b accountKey) {
	x, y := c.services[a].cumulative, c.services[b].cumulative
	first := c.sampleIndex(start, in.from)
	if c.sampleTime(start, first).Before(in.from) {
		first++
	}
	last := min(c.sampleIndex(start, in.to), len(x)-1)
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
		g.Value, g.At = high-low, c.sampleTime(start, i)
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
		detail := fmt.Sprintf("%s received %.3f more normalised service than %s, the bound is %.3f", g.MostServed, float64(g.Value), g.LeastServed, float64(bound))
		out = append(out, Violation{GapOverBound, string(g.Pool), g.At, detail})
	}
	return out
}

// checkStarvation finds accounts that were backlogged and received no service for longer than MaxWait.
func (c *Checker) checkStarvation(now time.Time, out []Violation) []Violation {
	for key, s := range c.services {
		slices.SortStableFunc(s.served, func(a, b AccountServed) int { return a.From.Compare(b.From) })
		for _, in := range backlogIntervals(s.backlogChanges, now) {
			if wait := longestWait(s.served, in); wait > c.cfg.MaxWait {
				out = append(out, Violation{Starved, string(key.account), in.to, fmt.Sprintf("backlogged in pool %s without service for %s", key.pool, wait)})
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
