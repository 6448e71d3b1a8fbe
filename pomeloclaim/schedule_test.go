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
	healTime     = 30 * time.Second
)

// smallRecords makes sealing, dropping and reuse of slots happen within a short schedule.
var smallRecords = pomeloclaim.KeeperConfig{SealBytes: 1500, CommitsPerSecond: 20, CommitBurst: 4, SettleDelay: 100 * time.Millisecond, Retention: time.Hour}

// Routers crash, pause and lose the store's answers, networks part, keepers change and two keep one shard, and the
// caller sends its booking again through other routers. The customer must never pay twice, and when all is well again
// a booking that never ran must not stay blocked.
func TestNeverTwiceUnderRandomSchedules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(rt, "seed"), fleetRouters, smallRecords, fleetShards)
		killed := make(map[string]bool)
		steps := rapid.IntRange(10, 60).Draw(rt, "steps")
		for range steps {
			step(rt, f, killed)
			f.run(time.Duration(rapid.IntRange(1, 800).Draw(rt, "pause")) * time.Millisecond)
		}
		heal(f)
		f.run(healTime)
		if found := f.faults(); found != "" {
			rt.Fatal(found)
		}
		checkNotBlocked(rt, f, killed)
	})
}

func step(rt *rapid.T, f *fleet, killed map[string]bool) {
	n := rapid.IntRange(0, fleetRouters-1).Draw(rt, "router")
	r := f.routers[n]
	switch rapid.IntRange(0, 14).Draw(rt, "step") {
	default:
		f.send(n, fmt.Sprint("booking-", rapid.IntRange(0, 30).Draw(rt, "key")))
	case 0:
		for _, c := range r.calls {
			killed[c.key] = true
		}
		for key, list := range f.told {
			if len(list) > 0 {
				killed[key] = true
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
		f.lostReply = rapid.SampledFrom([]float64{0, 0.3, 0.8}).Draw(rt, "lost replies")
	case 6:
		f.loss = rapid.SampledFrom([]float64{0, 0.2, 0.6}).Draw(rt, "loss")
	case 7:
		f.cut[[2]int{n, rapid.IntRange(0, fleetRouters-1).Draw(rt, "peer")}] = true
	case 8:
		clear(f.cut)
	case 9:
		views := make([]int, fleetRouters)
		for i := range views {
			views[i] = rapid.IntRange(0, fleetRouters-1).Draw(rt, "keeper")
		}
		f.keeperOf = func(shard pomelorelay.ShardID, asker int) int { return (views[asker] + int(shard)) % fleetRouters }
		own(f)
	}
}

func resume(f *fleet, r *router) {
	r.paused = false
	held := r.held
	r.held = nil
	for _, do := range held {
		do()
	}
}

func own(f *fleet) {
	for _, r := range f.routers {
		life := r.life
		f.on(r, life, func() { f.own(r) })
	}
}

func heal(f *fleet) {
	f.outage, f.lostReply, f.loss = false, 0, 0
	clear(f.cut)
	f.keeperOf = func(shard pomelorelay.ShardID, _ int) int { return int(shard) % fleetRouters }
	for n, r := range f.routers {
		if !r.alive {
			f.start(n)
		}
		resume(f, r)
	}
	own(f)
}

// checkNotBlocked sends every booking once more: one that no crash touched must run now, or return its outcome or what
// its own router said of it.
func checkNotBlocked(rt *rapid.T, f *fleet, killed map[string]bool) {
	for n := range 31 {
		key := fmt.Sprint("booking-", n)
		before, ran := len(f.told[key]), f.runs[key]
		unknown := false
		for _, t := range f.told[key] {
			unknown = unknown || (t.ran && t.state == pomelorelay.ClaimUnknown)
		}
		f.send(n%fleetRouters, key)
		f.run(5 * time.Second)
		if len(f.told[key]) <= before {
			rt.Fatalf("%s: no verdict", key)
		}
		state := f.told[key][before].state
		if state == pomelorelay.ClaimRunning {
			// A claim that nobody holds is released when it first keeps another from running.
			f.send(n%fleetRouters, key)
			f.run(5 * time.Second)
			state = f.told[key][before+1].state
		}
		if killed[key] {
			continue
		}
		right := state == pomelorelay.ClaimFresh || state == pomelorelay.ClaimRefused || (state == pomelorelay.ClaimUnknown && f.runs[key] == 1)
		if ran > 0 {
			right = state == pomelorelay.ClaimDone || (unknown && state == pomelorelay.ClaimUnknown)
		}
		if !right {
			rt.Fatalf("%s ran %d times and its repeat got state %d", key, ran, state)
		}
	}
	f.run(5 * time.Second)
	if found := f.faults(); found != "" {
		rt.Fatal(found)
	}
}
