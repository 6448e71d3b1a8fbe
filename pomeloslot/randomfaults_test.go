package pomeloslot_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestSlotsAreNeitherLostNorOvercommitted(t *testing.T) {
	// Control messages are lost at random, or a router that owns upstreams dies. No upstream may get more requests than
	// it has slots, since its responses would be late, and no slot may stay wrongly counted as taken, since it would be
	// idle forever.
	rapid.Check(t, func(t *rapid.T) {
		cfg := drawFleet(t)
		cfg.dropFraction = rapid.SampledFrom([]float64{0, 0.01, 0.1, 0.3}).Draw(t, "drop")
		cfg.maxCost = 5
		f := newFleet(cfg)
		f.runUntil(time.Duration(rapid.IntRange(0, 4000).Draw(t, "before")) * time.Millisecond)
		if cfg.routers > 1 && rapid.Bool().Draw(t, "kill") {
			f.cfg.dropFraction = 0
			f.killRouter(rapid.IntRange(0, cfg.routers-1).Draw(t, "dead"))
		}
		f.runUntil(8 * time.Second)
		for _, u := range f.upstreams {
			if u.maxRunning > cfg.slots {
				t.Fatalf("%s ran %d requests on %d slots", u.id, u.maxRunning, cfg.slots)
			}
		}
		f.drain()
		f.cfg.dropFraction = 0
		f.runUntil(30 * time.Second)
		f.checkIdle(t)
	})
}

// drain stops the arrival of requests and cancels the waiting ones.
func (f *fleet) drain() {
	for i := range f.cfg.accounts {
		f.cfg.accounts[i].queueDepth = 0
	}
	for _, r := range f.routers {
		for id := range r.waitingRequests {
			r.queues.Cancel(f.now, id)
		}
		f.updateDemand(r)
	}
}

func (f *fleet) checkIdle(t *rapid.T) {
	for _, r := range f.routers {
		if r.dead {
			continue
		}
		for _, d := range r.owner.Digests(f.now, nil) {
			if int(d.Idle) != f.cfg.slots {
				t.Fatalf("%s: %d of %d slots of %s idle without any requests", r.node, d.Idle, f.cfg.slots, d.Upstream)
			}
		}
	}
}
