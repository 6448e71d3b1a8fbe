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

// decay multiplies the recent usage of all accounts by what remains of it at now.
func (s *Shares) decay(now time.Time) {
	elapsed := now.Sub(s.decayedAt)
	s.decayedAt = now
	if elapsed <= 0 {
		return
	}
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

// comparison compares the recent service of accounts that may use the same upstreams.
type comparison struct {
	// level is the max-min fair level of recent service, zero when all requests were served; limited is the level times the accounts that request more.
	level, limited pomelorelay.Cost
	// maxOwed is the most that any account is owed, sumOwed what all accounts are owed.
	maxOwed, sumOwed pomelorelay.Cost
}

// owed returns what the account lacks of the smaller of its recent requests and the level, by the fraction of its last requests that were refused: an
// account that is served whatever it requests now has no use for what it lacks.
func (c *comparison) owed(a *account) pomelorelay.Cost {
	// Refunds of requests that were recorded as served long before may exceed what remains of them.
	return a.refusedFraction() * (min(a.recent.requested, c.level) - max(0, a.recent.served))
}

// lead adds what others are owed to the account's excess over the level, in such a way that between two accounts that request more than the level it is the
// difference of their service, however many others request less. Among many that request more it is less than the difference to the one that is owed
// most, which cannot use all that the others would leave free.
func (c *comparison) lead(a *account) float64 {
	if c.maxOwed == 0 || a.recent.requested <= c.level {
		return 0
	}
	others := c.sumOwed - max(0, c.owed(a))
	return max(0, float64((a.recent.served-c.level)/c.level+2*others/c.limited))
}

// mostOwed reports whether the account is owed something, and no account more.
func (c *comparison) mostOwed(a *account) bool { return c.maxOwed > 0 && c.owed(a) >= c.maxOwed }

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

// updateLead recomputes the comparisons.
func (s *Shares) updateLead() {
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
	*c = comparison{level: maxMinLevel(total, s.demands)}
	if c.level == 0 {
		return
	}
	for _, a := range s.accounts {
		if included(a.residency) {
			if a.recent.requested > c.level {
				c.limited += c.level
			}
			owed := max(0, c.owed(a))
			c.maxOwed = max(c.maxOwed, owed)
			c.sumOwed += owed
		}
	}
}

// Lead returns by how much the account's recent service exceeds that of accounts that are owed service, as a fraction of the fair level of recent
// service. An account is owed the smaller of what it requests and the level. The lead is zero for an account that requests no more than the level, and
// while no account is owed anything.
func (s *Shares) Lead(id pomelorelay.AccountID) float64 { return s.fleet.lead(s.account(id)) }

// Owed returns what the account is owed, as a fraction of the fair level of recent service.
func (s *Shares) Owed(id pomelorelay.AccountID) float64 {
	if s.fleet.level == 0 {
		return 0
	}
	return max(0, float64(s.fleet.owed(s.account(id))/s.fleet.level))
}

// RegionLeads returns the account's lead over the accounts allowed in each region; nil while no account is restricted to regions.
func (s *Shares) RegionLeads(id pomelorelay.AccountID) map[pomelorelay.RegionID]float64 {
	if len(s.regions) == 0 {
		return nil
	}
	leads, a := make(map[pomelorelay.RegionID]float64, len(s.regions)), s.account(id)
	for region, c := range s.regions {
		leads[region] = c.lead(a)
	}
	return leads
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
