package pomeloslot_test

import (
	"math"
	"slices"
	"testing"
	"time"
)

func TestReturningAccountsGetNoIdleCredit(t *testing.T) {
	// Four accounts are idle for a minute while the others are served, then have many requests. If the idle minute were
	// credited, no other account would be served for that long; if they were lifted too far, they would wait while all others
	// are served.
	for seed := range uint64(1) {
		cfg := referenceConfig(seed + 1)
		idleAccounts := []int{1, 6, 9, 13}
		for _, a := range idleAccounts {
			cfg.accounts[a].queueDepth = 0
		}
		f := newFleet(cfg)
		f.runUntil(time.Minute)
		present := slices.DeleteFunc(f.delivered(), func(d float64) bool { return d == 0 })
		meanService, virtualTime := 0.0, 0.0
		for _, d := range present {
			meanService += d / float64(len(present))
		}
		for _, r := range f.routers {
			virtualTime += float64(r.requester.VirtualTime(testPool)) / float64(len(f.routers))
		}
		before := f.delivered()
		for _, a := range idleAccounts {
			f.cfg.accounts[a].queueDepth = 20
			for _, r := range f.routers {
				f.refill(r, a)
			}
		}
		largest := 0.0
		for d := time.Minute + 10*time.Second; d < 2*time.Minute; d += time.Second {
			f.runUntil(d)
			now := f.delivered()
			lowest, highest := math.Inf(1), math.Inf(-1)
			for i := range now {
				lowest, highest = min(lowest, now[i]-before[i]), max(highest, now[i]-before[i])
			}
			largest = max(largest, highest-lowest)
		}
		t.Logf("seed %d: virtual time %.1f at a mean service of %.1f; maximum gap since the return %.1f", seed+1, virtualTime, meanService, largest)
		if largest > 60 {
			t.Errorf("seed %d: gap since the return %.1f, want at most 60", seed+1, largest)
		}
	}
}
