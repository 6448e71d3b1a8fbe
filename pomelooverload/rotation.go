package pomelooverload

import (
	"cmp"
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

const (
	// leaveAfter is how long a limit must have lasted until the domain's routers react to it.
	leaveAfter = 200 * time.Millisecond
	// awayHold is how long routers stay out of rotation after the last sign of a limit, and returnSpread the time over which they return, so that
	// a flood that goes on does not meet all slow routers again at once.
	awayHold     = 6 * time.Second
	returnSpread = 2 * time.Second
	// maxAwayFraction is the largest fraction of a domain's routers that leave. With fewer than half in rotation the load balancer uses all of them, so
	// at most 45% may be away at once; the margin is for a moment in which two routers change places, since their views of the domain differ.
	maxAwayFraction = 0.4
	// minSpeedFraction is the least fraction of the domain's total speed that stays in rotation.
	minSpeedFraction = 0.5
	// minBySpeed is the least number of routers of a domain in which the slowest routers leave for the faster ones.
	minBySpeed = 4
)

// Router is what is known of a live router of the failure domain.
type Router struct {
	Node pomelorelay.NodeID
	// CPUSpeed is its speed relative to other routers; zero if unknown.
	CPUSpeed float64
	// Limited states that it has limited its requests for long enough to leave the rotation.
	Limited bool
}

// Rotation decides when a router leaves the load balancer's rotation because a router of its failure domain is limited. All routers of the domain
// compute the same set from the same notices, so nothing is agreed on between them.
type Rotation struct {
	// limitedAt is when a router of the domain was last limited. seen holds the routers that have been limited since the last time that none was away;
	// it is nil while none is. Without it, a router would return, and the flood with it, as soon as the flood has moved on.
	limitedAt time.Duration
	seen      map[pomelorelay.NodeID]bool
}

// Announced reports whether the limit has lasted long enough for the domain's routers to react to it.
func (s State) Announced(now time.Duration) bool { return s.Limited && now-s.Since > leaveAfter }

// Ready reports whether the router stays in the rotation, given the routers of its domain that it knows to be live, itself included.
func (r *Rotation) Ready(now time.Duration, self pomelorelay.NodeID, domain []Router) bool {
	r.observe(now, domain)
	if r.seen == nil {
		return true
	}
	away := r.away(domain)
	i := slices.Index(away, self)
	if i < 0 {
		return true
	}
	// The fastest router returns first.
	wait := returnSpread * time.Duration(len(away)-1-i) / time.Duration(len(away))
	return now-r.limitedAt >= awayHold+wait
}

func (r *Rotation) observe(now time.Duration, domain []Router) {
	if r.seen != nil && now-r.limitedAt >= awayHold+returnSpread {
		r.seen = nil
	}
	for i := range domain {
		if !domain[i].Limited {
			continue
		}
		if r.seen == nil {
			r.seen = make(map[pomelorelay.NodeID]bool)
		}
		r.seen[domain[i].Node], r.limitedAt = true, now
	}
}

// away returns the routers that are out of rotation, slowest first.
func (r *Rotation) away(domain []Router) []pomelorelay.NodeID {
	fastest, total, known := 0.0, 0.0, true
	for _, m := range domain {
		fastest, total, known = max(fastest, m.CPUSpeed), total+m.CPUSpeed, known && m.CPUSpeed > 0
	}
	bySpeed := known && len(domain) >= minBySpeed
	var away []pomelorelay.NodeID
	left := total
	for _, m := range r.order(domain, known) {
		if len(away) >= int(maxAwayFraction*float64(len(domain))) {
			break
		}
		slower := bySpeed && m.CPUSpeed < fastest
		if !slower && !r.seen[m.Node] || known && left-m.CPUSpeed < minSpeedFraction*total {
			continue
		}
		away, left = append(away, m.Node), left-m.CPUSpeed
	}
	return away
}

// order returns the routers in the order in which they leave: by speed if it is known, then those that have been limited, because the flood is known
// to reach them, then by name.
func (r *Rotation) order(domain []Router, known bool) []Router {
	return slices.SortedFunc(slices.Values(domain), func(a, b Router) int {
		if known && a.CPUSpeed != b.CPUSpeed {
			return cmp.Compare(a.CPUSpeed, b.CPUSpeed)
		}
		if r.seen[a.Node] != r.seen[b.Node] {
			if r.seen[a.Node] {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.Node, b.Node)
	})
}
