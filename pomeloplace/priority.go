package pomeloplace

import (
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

const (
	// maxDeferredFraction is the maximum fraction of an engine's slots that a request leaves free for requests of higher priority. It is bounded so
	// that no kind of request starves.
	maxDeferredFraction = 0.25
	// denialTimeout is the time after which the refusal or delay of a request no longer limits requests of lower priority. Within it, the slots
	// left free fall linearly.
	denialTimeout = time.Second
)

// servicePriorities holds the priorities that occur on a service, ascending, and when a request of each was last refused or delayed.
type servicePriorities struct {
	values   []int
	deniedAt []time.Time
}

// prioritiesByService returns the priorities of each service whose requests differ in it; the configured priority of an account replaces that of
// routes.
func prioritiesByService(config *pomelorelay.FleetConfig) map[pomelorelay.ServiceID]*servicePriorities {
	all := make(map[pomelorelay.ServiceID]*servicePriorities)
	for _, r := range config.Routes {
		for _, share := range r.Shares {
			s := all[share.Service]
			if s == nil {
				s = &servicePriorities{}
				for _, a := range config.Accounts {
					if a.Priority != nil {
						s.values = append(s.values, *a.Priority)
					}
				}
				all[share.Service] = s
			}
			s.values = append(s.values, r.Priority)
		}
	}
	for name, s := range all {
		slices.Sort(s.values)
		s.values = slices.Compact(s.values)
		s.deniedAt = make([]time.Time, len(s.values))
		if len(s.values) < 2 {
			delete(all, name)
		}
	}
	return all
}

// rank returns the number of the service's priorities that are higher, at most that of the lowest one.
func (s *servicePriorities) rank(priority int) int {
	i, _ := slices.BinarySearch(s.values, priority)
	return min(i, len(s.values)-1)
}

// deferredFraction returns the fraction of an engine's slots that the request leaves free in addition to other limits.
func (p *Placer) deferredFraction(now time.Time, r *Request) float64 {
	s := p.priorities[r.Service]
	if s == nil {
		return 0
	}
	rank, recency := s.rank(r.Priority), 0.0
	for _, at := range s.deniedAt[:rank] {
		if age := now.Sub(at); age >= 0 {
			recency = max(recency, 1-float64(age)/float64(denialTimeout))
		}
	}
	return r.yielding() * maxDeferredFraction * recency * float64(rank) / float64(len(s.values)-1)
}

// maxOwedYielding is the fraction of the fair level from which an account that is owed it no longer yields to higher priorities: users consider it
// unfair when an account gets less than half of what others get.
const maxOwedYielding = 0.5

// yielding returns the part of the deferral that applies to the request.
func (r *Request) yielding() float64 { return max(0, 1-r.Owed/maxOwedYielding) }

// recordDenial records a request that was refused because upstreams are busy or that is expected to be answered late. Requests of accounts that
// are limited for the sake of others do not count: lower priorities would leave slots free for a flood that has been served more than they have.
func (p *Placer) recordDenial(now time.Time, r *Request, u *upstream, d *Decision) {
	s := p.priorities[r.Service]
	denied := d.Bound != BoundNone && d.Bound != BoundTimeLeft || d.ExpectedLatency > r.Target
	if s != nil && denied && !r.standingAt(u).Limited() {
		s.deniedAt[s.rank(r.Priority)] = now
	}
}

// deferredSlots returns the number of an upstream's slots that the request leaves free.
func (r *Request) deferredSlots(slots int) int { return int(r.deferred * float64(slots)) }
