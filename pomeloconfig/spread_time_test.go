package pomeloconfig_test

import (
	"slices"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// measureApplyTimes changes the configuration again and again and returns how long each router took to have it in force, and the bytes
// of roots and parts that the routers sent per change and router.
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

// A change is accepted in a failure domain of 60 routers of which two watch the store. Then the store is lost to all routers but one.
// Both times the change must be in force everywhere within seconds; a router left behind would serve by shares that were replaced.
func TestTimeUntilAChangeIsInForce(t *testing.T) {
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

// A router starts cold while the store is down, at 37,000 accounts. It must get all parts from a peer in bounded messages; asked for
// in one go, they would not fit a message, and it would stay out of service until the store is back.
func TestColdRouterPullsEverythingFromAPeer(t *testing.T) {
	f := newFleet(t, 2, 1)
	f.storeUp = false
	f.published = []generation{makeGeneration(t, 1, sample(targetAccounts))}
	applyGeneration(t, f.routers[0].spreader, f.published[0])
	f.run(t, 100)
	if got := f.routers[1].spreader.Generation(); got != 1 {
		t.Fatalf("the cold router has generation %d", got)
	}
	t.Logf("37,000 accounts from a peer, 20 ms a message: %v, %d bytes of configuration", f.routers[1].reachedAt.Sub(epoch), f.sentBytes)
	if maxSent := pomelorelay.Bytes(2 << 20); f.sentBytes > maxSent {
		t.Errorf("%d bytes were sent, more than one copy", f.sentBytes)
	}
}
