package pomeloshare

import (
	"math"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// recentFraction is the time constant of recent usage, as a fraction of the window. Recent usage decays exponentially: in a window with an end, an
// account that begins to flood would be served alone until it has caught up, and wait alone when that service leaves the window.
const recentFraction = 0.5

// lastFraction is the time constant of the last usage, as a fraction of the window.
const lastFraction = 1.0 / 16

// peakFraction is the time constant with which the most that was served is forgotten, as a fraction of the window.
const peakFraction = 8

// decay multiplies the recent usage of all accounts by what remains of it at now.
func (s *Shares) decay(now time.Time) {
	elapsed := now.Sub(s.decayedAt)
	s.decayedAt, s.peakRemaining = now, 1
	if elapsed <= 0 {
		return
	}
	s.peakRemaining = s.remaining(elapsed, peakFraction)
	recent, last := s.remaining(elapsed, recentFraction), s.remaining(elapsed, lastFraction)
	for _, a := range s.accounts {
		a.recent.scale(recent)
		a.last.scale(last)
	}
}

// remaining returns what remains of a usage after a time with a time constant that is a fraction of the window.
func (s *Shares) remaining(elapsed time.Duration, fraction float64) pomelorelay.Cost {
	return pomelorelay.Cost(math.Exp(-elapsed.Seconds() / (fraction * s.cfg.Window.Seconds())))
}

func (u *usage) scale(factor pomelorelay.Cost) {
	u.requested *= factor
	u.served *= factor
}

// refusedFraction returns the cost of the account's last requests that were refused, as a fraction of that of its last requests, or of its recent
// requests in an equal time if these were more.
func (a *account) refusedFraction() pomelorelay.Cost {
	requested := max(a.last.requested, a.recent.requested*lastFraction/recentFraction)
	if requested <= 0 {
		return 0
	}
	return min(max(0, (a.last.requested-a.last.served)/requested), 1)
}

// maxServiceRatio is the largest ratio between the recent service of two accounts that both request more than they get, unless the larger one is within its
// share. Recent service decays with a time constant; at a ratio of 1.5, the service of three time constants differs by a factor of 2 at most.
const maxServiceRatio = 1.5

// comparison compares the recent service of accounts that may use the same upstreams.
type comparison struct {
	// level is the max-min fair level of recent service, zero when all requests were served; limited is the level times the accounts that request more.
	level, limited pomelorelay.Cost
	// peak is the most of recent service lately. While an account may get nothing beyond its share, less is served than engines would give.
	peak pomelorelay.Cost
	// share is the max-min fair level of the peak, or of the configured capacity where that is lower: what an account gets up to it is not limited by
	// what others got.
	share pomelorelay.Cost
	// maxOwed is the most that any account is owed, smallOwed what the accounts are owed that request no more than the level.
	maxOwed, smallOwed pomelorelay.Cost
	// aboveShare holds the accounts that request more than the share.
	aboveShare []*account
}

// owed returns what the account lacks of the smaller of its recent requests and the level, by the fraction of its last requests that were refused: an
// account that is served whatever it requests now has no use for what it lacks.
func (c *comparison) owed(a *account) pomelorelay.Cost {
	// Refunds of requests that were recorded as served long before may exceed what remains of them.
	return a.refusedFraction() * (min(a.recent.requested, c.level) - max(0, a.recent.served))
}

// mostOwed reports whether the account is owed something, and no account more.
func (c *comparison) mostOwed(a *account) bool { return c.maxOwed > 0 && c.owed(a) >= c.maxOwed }

// backlogged returns how far the account counts as one that requests more than it gets, from 0 to 1: fully, if its last requests are maxServiceRatio times
// what it got of them.
func (a *account) backlogged() pomelorelay.Cost {
	return min(1, a.refusedFraction()/(1-1/maxServiceRatio))
}

// gap returns the account's recent service beside another one that was served other, and whether that is less than the bound allows. What the account
// did not request, or would not use now, counts as served.
func (a *account) gap(other pomelorelay.Cost) (served pomelorelay.Cost, behind bool) {
	wanted := min(a.recent.requested, other)
	served = wanted - a.backlogged()*(wanted-max(0, a.recent.served))
	return served, maxServiceRatio*served < wanted
}

// standing returns the account's standing among those compared; timeConstant is that of recent usage.
func (c *comparison) standing(a *account, timeConstant time.Duration) pomelorelay.Standing {
	if c.limited == 0 || a.recent.requested <= c.level || a.recent.served <= c.share {
		return pomelorelay.Standing{}
	}
	// Small accounts cannot use all slots that would be left free for them, so a small shortfall, which may be that of single requests, has a small
	// effect.
	shortfall := min(1, float64(2*c.smallOwed/c.limited))
	s := pomelorelay.Standing{Withheld: shortfall * shortfall}
	lowest := a.recent.served
	for _, o := range c.aboveShare {
		if served, behind := o.gap(a.recent.served); behind && o != a && served < lowest {
			lowest, s.Behind = served, o.id
		}
	}
	if s.Behind != "" {
		bound := max(c.share, maxServiceRatio*lowest)
		s.Wait = time.Duration(math.Log(float64(a.recent.served/bound)) * float64(timeConstant))
	}
	return s
}

// SetResidencies sets the regions that accounts are restricted to, and all regions of the fleet.
func (s *Shares) SetResidencies(residencies map[pomelorelay.AccountID]pomelorelay.Residency, regions []pomelorelay.RegionID) {
	s.residencies = residencies
	for id, a := range s.accounts {
		a.residency = residencies[id]
	}
	s.regions = make(map[pomelorelay.RegionID]*comparison)
	if len(residencies) == 0 {
		return
	}
	for _, region := range regions {
		s.regions[region] = &comparison{}
	}
}

// updateComparisons recomputes the comparisons.
func (s *Shares) updateComparisons() {
	s.compare(&s.fleet, func(pomelorelay.Residency) bool { return true })
	for region, c := range s.regions {
		s.compare(c, func(r pomelorelay.Residency) bool { return r.Allows(region) })
	}
}

// compare compares the accounts whose residency is included. The level divides what was actually served, so that it follows the throughput of the
// engines, whatever is configured.
func (s *Shares) compare(c *comparison, included func(pomelorelay.Residency) bool) {
	total := pomelorelay.Cost(0)
	s.demands = s.demands[:0]
	for _, a := range s.accounts {
		if a.recent.requested > 0 && included(a.residency) {
			total += max(0, a.recent.served)
			s.demands = append(s.demands, a.recent.requested)
		}
	}
	*c = comparison{level: maxMinLevel(total, s.demands), peak: max(total, c.peak*s.peakRemaining), aboveShare: c.aboveShare[:0]}
	if c.level == 0 {
		return
	}
	capacity := c.peak
	if s.capacity > 0 {
		capacity = min(capacity, s.capacity*pomelorelay.Cost(s.recentTime().Seconds()))
	}
	if c.share = maxMinLevel(capacity, s.demands); c.share == 0 {
		c.share = c.level
	}
	for _, a := range s.accounts {
		if !included(a.residency) {
			continue
		}
		owed := max(0, c.owed(a))
		c.maxOwed = max(c.maxOwed, owed)
		if a.recent.requested > c.level {
			c.limited += c.level
		} else {
			c.smallOwed += owed
		}
		if a.recent.requested > c.share {
			c.aboveShare = append(c.aboveShare, a)
		}
	}
}

// recentTime returns the time constant of recent usage.
func (s *Shares) recentTime() time.Duration {
	return time.Duration(recentFraction * float64(s.cfg.Window))
}

// Standing returns the account's standing among all accounts.
func (s *Shares) Standing(id pomelorelay.AccountID) pomelorelay.Standing {
	return s.fleet.standing(s.account(id), s.recentTime())
}

// Owed returns what the account is owed, as a fraction of the fair level of recent service.
func (s *Shares) Owed(id pomelorelay.AccountID) float64 {
	if s.fleet.level == 0 {
		return 0
	}
	return max(0, float64(s.fleet.owed(s.account(id))/s.fleet.level))
}

// RegionStandings returns the account's standing among the accounts allowed in each region; nil while no account is restricted to regions.
func (s *Shares) RegionStandings(id pomelorelay.AccountID) map[pomelorelay.RegionID]pomelorelay.Standing {
	if len(s.regions) == 0 {
		return nil
	}
	standings, a := make(map[pomelorelay.RegionID]pomelorelay.Standing, len(s.regions)), s.account(id)
	for region, c := range s.regions {
		standings[region] = c.standing(a, s.recentTime())
	}
	return standings
}

// mostOwed reports whether no account that may use the same upstreams is owed more than this one.
func (s *Shares) mostOwed(id pomelorelay.AccountID) bool {
	a := s.account(id)
	if s.fleet.mostOwed(a) {
		return true
	}
	for region, c := range s.regions {
		if a.residency.Allows(region) && c.mostOwed(a) {
			return true
		}
	}
	return false
}
