package pomeloclaim_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloclaim"

	"pgregory.net/rapid"
)

const (
	fleetRouters = 4
	fleetShards  = 2
	recoveryTime = 30 * time.Second
)

// smallRecords sets limits so small that segments are written, expire and have their store records reused within a
// short schedule.
var smallRecords = pomeloclaim.KeeperConfig{SealBytes: 1500, CommitsPerSecond: 20, CommitBurst: 4, SettleDelay: 100 * time.Millisecond, Retention: time.Hour}

// Routers crash and pause, store results and messages are lost, and keepers change or overlap, while callers repeat their
// requests through other routers. No request may run twice, and after recovery a request that never ran must not be blocked.
func TestNeverTwiceUnderRandomSchedules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(rt, "seed"), fleetRouters, smallRecords, fleetShards)
		crashed := make(map[string]bool)
		steps := rapid.IntRange(10, 60).Draw(rt, "steps")
		for range steps {
			applyRandomStep(rt, f, crashed)
			f.run(time.Duration(rapid.IntRange(1, 800).Draw(rt, "pause")) * time.Millisecond)
		}
		clearFaults(f)
		f.run(recoveryTime)
		if found := f.violations(); found != "" {
			rt.Fatal(found)
		}
		checkNotBlocked(rt, f, crashed)
	})
}

func applyRandomStep(rt *rapid.T, f *fleet, crashed map[string]bool) {
	n := rapid.IntRange(0, fleetRouters-1).Draw(rt, "router")
	r := f.routers[n]
	switch rapid.IntRange(0, 14).Draw(rt, "step") {
	default:
		f.send(n, fmt.Sprint("booking-", rapid.IntRange(0, 30).Draw(rt, "key")))
	case 0:
		for _, c := range r.calls {
			crashed[c.key] = true
		}
		for key, list := range f.replies {
			if len(list) > 0 {
				crashed[key] = true
			}
		}
		r.alive = false
	case 1:
		if !r.alive {
			f.start(n)
		}
	case 2:
		r.paused = true
	case 3:
		resume(f, r)
	case 4:
		f.outage = rapid.Bool().Draw(rt, "outage")
	case 5:
		f.storeReplyLoss = rapid.SampledFrom([]float64{0, 0.3, 0.8}).Draw(rt, "lost replies")
	case 6:
		f.messageLoss = rapid.SampledFrom([]float64{0, 0.2, 0.6}).Draw(rt, "loss")
	case 7:
		f.partitioned[[2]int{n, rapid.IntRange(0, fleetRouters-1).Draw(rt, "peer")}] = true
	case 8:
		clear(f.partitioned)
	case 9:
		views := make([]int, fleetRouters)
		for i := range views {
			views[i] = rapid.IntRange(0, fleetRouters-1).Draw(rt, "keeper")
		}
		f.keeperOf = func(shard pomelorelay.ShardID, requester int) int {
			return (views[requester] + int(shard)) % fleetRouters
		}
		reassignShards(f)
	}
}

func resume(f *fleet, r *router) {
	r.paused = false
	deferred := r.deferred
	r.deferred = nil
	for _, do := range deferred {
		do()
	}
}

func reassignShards(f *fleet) {
	for _, r := range f.routers {
		incarnation := r.incarnation
		f.runOn(r, incarnation, func() { f.assignShards(r) })
	}
}

func clearFaults(f *fleet) {
	f.outage, f.storeReplyLoss, f.messageLoss = false, 0, 0
	clear(f.partitioned)
	f.keeperOf = func(shard pomelorelay.ShardID, _ int) int { return int(shard) % fleetRouters }
	for n, r := range f.routers {
		if !r.alive {
			f.start(n)
		}
		resume(f, r)
	}
	reassignShards(f)
}

// checkNotBlocked sends every request once more. Among the requests that no crash affected, one that has not run must
// not be blocked by a claim, and one that has run must be answered with its outcome, or as unknown if an earlier reply
// said so.
func checkNotBlocked(rt *rapid.T, f *fleet, crashed map[string]bool) {
	for n := range 31 {
		key := fmt.Sprint("booking-", n)
		before, ran := len(f.replies[key]), f.runs[key]
		unknown := false
		for _, t := range f.replies[key] {
			unknown = unknown || (t.ran && t.state == pomelorelay.ClaimUnknown)
		}
		f.send(n%fleetRouters, key)
		f.run(5 * time.Second)
		if len(f.replies[key]) <= before {
			rt.Fatalf("%s: no verdict", key)
		}
		state := f.replies[key][before].state
		if state == pomelorelay.ClaimRunning {
			// An attempt that has ended still holds the claim. Its router releases the claim when the claim first
			// blocks a repeat, so the next repeat is not blocked.
			f.send(n%fleetRouters, key)
			f.run(5 * time.Second)
			state = f.replies[key][before+1].state
		}
		if crashed[key] {
			continue
		}
		valid := state == pomelorelay.ClaimGranted || state == pomelorelay.ClaimRefused || (state == pomelorelay.ClaimUnknown && f.runs[key] == 1)
		if ran > 0 {
			valid = state == pomelorelay.ClaimDone || (unknown && state == pomelorelay.ClaimUnknown)
		}
		if !valid {
			rt.Fatalf("%s ran %d times and its repeat got state %d", key, ran, state)
		}
	}
	f.run(5 * time.Second)
	if found := f.violations(); found != "" {
		rt.Fatal(found)
	}
}
