package pomelooverload_test

import (
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay/pomelooverload"
)

// Guards against limited routers that leave the rotation when their neighbours have no capacity, when they know of none, or too many at once: the
// load balancer would then send to all of them, or their load would overload the rest.
func TestRouterLeavesTheRotationOnlyForNeighboursWithCapacity(t *testing.T) {
	limited := pomelooverload.State{Limited: true}
	for name, c := range map[string]struct {
		neighbours pomelooverload.Neighbours
		leaves     bool
	}{
		"neighbours have capacity":            {pomelooverload.Neighbours{Known: 14, Limited: 2, LimitedBefore: 2}, true},
		"a quarter of the domain is away":     {pomelooverload.Neighbours{Known: 14, Limited: 3, LimitedBefore: 3}, false},
		"most neighbours are limited":         {pomelooverload.Neighbours{Known: 14, Limited: 8}, false},
		"cut off from the neighbours":         {pomelooverload.Neighbours{}, false},
		"three routers, a quarter is below 1": {pomelooverload.Neighbours{Known: 2}, false},
	} {
		t.Run(name, func(t *testing.T) {
			var r pomelooverload.Readiness
			if !r.Ready(time.Second, limited, c.neighbours) {
				t.Error("not ready when limited for 1 s, want ready")
			}
			if got := !r.Ready(1100*time.Millisecond, limited, c.neighbours); got != c.leaves {
				t.Errorf("leaves the rotation: %v, want %v", got, c.leaves)
			}
		})
	}
}

// Guards against a router that stays out of the rotation through a long flood, or leaves it again at once: its domain would lose its capacity.
func TestRouterReturnsToTheRotation(t *testing.T) {
	var r pomelooverload.Readiness
	limited, neighbours := pomelooverload.State{Limited: true}, pomelooverload.Neighbours{Known: 14}
	var away, longest, ready time.Duration
	shortest := time.Hour
	const step = 50 * time.Millisecond
	for now := time.Duration(0); now < time.Minute; now += step {
		if r.Ready(now, limited, neighbours) {
			longest, away, ready = max(longest, away), 0, ready+step
			continue
		}
		if away == 0 && now > 2*time.Second {
			shortest = min(shortest, ready)
		}
		away, ready = away+step, 0
	}
	if longest == 0 || longest > 2500*time.Millisecond {
		t.Errorf("longest time out of the rotation %v, want at most 2.5 s", longest)
	}
	if shortest < 5*time.Second {
		t.Errorf("shortest time in the rotation %v, want at least 5 s", shortest)
	}
	var soon pomelooverload.Readiness
	soon.Ready(2*time.Second, limited, neighbours)
	if !soon.Ready(3*time.Second, pomelooverload.State{}, neighbours) {
		t.Error("not ready after the limit ended")
	}
}
