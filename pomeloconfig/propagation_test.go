package pomeloconfig_test

import (
	"slices"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// measureApplyTimes publishes changes one after the other. It returns the sorted times from publishing a change until a router has the
// change in force, for all changes and routers, and the bytes of roots and parts sent per change and router.
func measureApplyTimes(t *testing.T, f *fleet, changes int) ([]time.Duration, pomelorelay.Bytes) {
	t.Helper()
	f.publishNext(t)
	f.run(t, 450)
	f.sentBytes = 0
	var times []time.Duration
	for range changes {
		f.publishNext(t)
		start := f.now
		f.run(t, 450)
		for i, r := range f.routers {
			if r.lastGeneration != f.newest() {
				t.Fatalf("router %d has generation %d after 4.5 s, the newest is %d", i, r.lastGeneration, f.newest())
			}
			times = append(times, r.reachedAt.Sub(start))
		}
	}
	slices.Sort(times)
	return times, f.sentBytes / pomelorelay.Bytes(changes*len(f.routers))
}

// A change is published in a failure domain of 60 routers, with two routers watching the store or with the store reachable from one router
// only. The 99th percentile of the times until a router has the change in force must be within the bound; a late router would apply
// outdated shares.
func TestChangeIsInForceWithinBound(t *testing.T) {
	for _, c := range []struct {
		name         string
		watchers     int
		withoutStore bool
		loss         int
		bound        time.Duration
	}{
		{"store up", 2, false, 0, 2 * time.Second},
		{"store down for all but one", 1, true, 0, 5 * time.Second},
		{"store down for all but one, 5% lost", 1, true, 5, 5 * time.Second},
	} {
		f := newFleet(t, 60, 7)
		f.tick, f.watchers, f.lossPercent = 10*time.Millisecond, c.watchers, c.loss
		for i, r := range f.routers {
			r.withoutStore = c.withoutStore && i > 0
		}
		times, bytes := measureApplyTimes(t, f, 4)
		p50, p99, highest := times[len(times)/2], times[len(times)*99/100], times[len(times)-1]
		t.Logf("%s, 60 routers, 4 changes: p50 %v, p99 %v, highest %v; %d bytes of configuration sent per router and change", c.name, p50, p99, highest, bytes)
		if p99 > c.bound {
			t.Errorf("%s: p99 %v, the bound is %v", c.name, p99, c.bound)
		}
	}
}

// A router starts without a configuration while the store is down, with 37,000 accounts. It must get all parts from a peer in
// messages of bounded size; in a single message they would exceed the limit, and the router would stay unready until the store
// is back.
func TestRouterWithoutStorePullsConfigurationFromPeer(t *testing.T) {
	f := newFleet(t, 2, 1)
	f.storeUp = false
	f.published = []generation{makeGeneration(t, 1, sample(targetAccounts))}
	applyGeneration(t, f.routers[0].syncer, f.published[0])
	f.run(t, 100)
	if got := f.routers[1].syncer.Generation(); got != 1 {
		t.Fatalf("the router that started without a configuration has generation %d", got)
	}
	t.Logf("37,000 accounts from a peer, 20 ms a message: %v, %d bytes of configuration", f.routers[1].reachedAt.Sub(epoch), f.sentBytes)
	if maxSent := pomelorelay.Bytes(2 << 20); f.sentBytes > maxSent {
		t.Errorf("%d bytes were sent, more than one copy", f.sentBytes)
	}
}
