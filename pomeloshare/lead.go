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

// owed returns what the account lacks of the smaller of its recent requests and the level, by the fraction of its last requests that were refused: an
// account that is served whatever it requests now has no use for what it lacks.
func (s *Shares) owed(a *account) pomelorelay.Cost {
	// Refunds of requests that were recorded as served long before may exceed what remains of them.
	return a.refusedFraction() * (min(a.recent.requested, s.recentLevel) - max(0, a.recent.served))
}

// updateLead recomputes the level of recent service and the largest amount owed. The level divides what was actually served, so that it follows the
// throughput of the engines, whatever is configured.
func (s *Shares) updateLead() {
	total := pomelorelay.Cost(0)
	s.demands = s.demands[:0]
	for _, a := range s.accounts {
		total += max(0, a.recent.served)
		if a.recent.requested > 0 {
			s.demands = append(s.demands, a.recent.requested)
		}
	}
	s.recentLevel, s.maxOwed = maxMinLevel(total, s.demands), 0
	if s.recentLevel == 0 {
		return
	}
	for _, a := range s.accounts {
		s.maxOwed = max(s.maxOwed, s.owed(a))
	}
}

// Lead returns by how much the account's recent service exceeds that of the account which is owed most, as a fraction of the fair level of recent
// service. An account is owed the smaller of what it requests and the level. The lead is zero for an account that requests no more than the level, and
// while no account is owed anything.
func (s *Shares) Lead(id pomelorelay.AccountID) float64 {
	a := s.account(id)
	if s.maxOwed == 0 || a.recent.requested <= s.recentLevel {
		return 0
	}
	return max(0, float64((a.recent.served-s.recentLevel+s.maxOwed)/s.recentLevel))
}

// AboveLevel reports whether the account's recent service exceeds the fair level of recent service.
func (s *Shares) AboveLevel(id pomelorelay.AccountID) bool {
	a := s.account(id)
	return s.recentLevel > 0 && a.recent.requested > s.recentLevel && a.recent.served > s.recentLevel
}

// mostOwed reports whether no account is owed more than this one, and this one is owed something.
func (s *Shares) mostOwed(id pomelorelay.AccountID) bool {
	a := s.account(id)
	return s.maxOwed > 0 && s.owed(a) >= s.maxOwed
}
