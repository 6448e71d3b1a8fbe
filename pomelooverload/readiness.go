package pomelooverload

import "time"

const (
	// drainAfter is how long the limit must have lasted until the router leaves the load balancer's rotation.
	drainAfter = time.Second
	// maxNotReady is the longest time for which it leaves the rotation, minReady the shortest time between two such times.
	maxNotReady = 2500 * time.Millisecond
	minReady    = 5 * time.Second
	// minSpareFraction is the fraction of the domain's other routers that must not be limited, and maxAwayFraction the largest fraction of the
	// domain's routers that leave the rotation at once.
	minSpareFraction = 0.5
	maxAwayFraction  = 0.25
)

// Neighbours is what a router knows of the other routers of its failure domain.
type Neighbours struct {
	// Known is the number of live ones, Limited that of those that limit their requests, and LimitedBefore that of those limited ones whose names
	// precede the router's own.
	Known, Limited, LimitedBefore int
}

// Readiness decides when a limited router leaves the load balancer's rotation, so that callers reach routers that have capacity.
type Readiness struct {
	// awaySince is when the router left the rotation, if away is set; backAt is when it last returned, if returned is set.
	awaySince, backAt time.Duration
	away, returned    bool
}

// Ready reports whether the router stays in the rotation, given its own state and what it knows of its neighbours.
func (r *Readiness) Ready(now time.Duration, s State, n Neighbours) bool {
	if r.away {
		if s.Limited && now-r.awaySince < maxNotReady && n.spare() {
			return false
		}
		r.away, r.returned, r.backAt = false, true, now
		return true
	}
	if r.returned && now-r.backAt < minReady {
		return true
	}
	if s.Limited && now-s.Since > drainAfter && n.spare() && n.mayLeave() {
		r.away, r.awaySince = true, now
	}
	return !r.away
}

// spare reports whether enough neighbours are known to have capacity. A router that is cut off from its neighbours knows of none.
func (n *Neighbours) spare() bool {
	return n.Known > 0 && float64(n.Known-n.Limited) >= minSpareFraction*float64(n.Known)
}

// mayLeave reports whether the router is among the limited ones that may leave the rotation, by the order of their names.
func (n *Neighbours) mayLeave() bool {
	return n.LimitedBefore < int(maxAwayFraction*float64(n.Known+1))
}
