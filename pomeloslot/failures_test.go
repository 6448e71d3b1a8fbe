package pomeloslot_test

import (
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloslot"
)

// detectionTime is the time until the other routers detect a dead one.
const detectionTime = 1500 * time.Millisecond

// killRouter stops a router and its requests; the others take over its upstreams after detectionTime.
func (f *fleet) killRouter(i int) {
	f.updateBusy()
	f.routers[i].dead = true
	for _, u := range f.upstreams {
		for x := range u.runs {
			if f.routers[i].runs[x.id] == x {
				delete(u.runs, x)
				f.running--
				f.runningByAccount[x.account]--
			}
		}
	}
	f.after(detectionTime, func() { f.takeOver(i) })
}

func (f *fleet) takeOver(dead int) {
	for _, r := range f.routers {
		if !r.dead {
			f.send(r, r.owner.RemoveRouter(f.now, f.routers[dead].node, nil))
		}
	}
	for i, u := range f.upstreams {
		if u.owner == dead {
			f.assignOwner(i, (dead+1+i)%f.cfg.routers)
		}
	}
}

// timeUntilBusy returns the time until each upstream of a dead owner has had all its slots in use under a new owner, at
// most span.
func (f *fleet) timeUntilBusy(owner int, span time.Duration) time.Duration {
	var owned []*testUpstream
	for _, u := range f.upstreams {
		if u.owner == owner {
			owned = append(owned, u)
		}
	}
	begin := f.now
	full := make(map[*testUpstream]bool)
	for f.now.Sub(begin) < span {
		f.runUntil(f.now.Add(10 * time.Millisecond).Sub(f.start))
		for _, u := range owned {
			free := f.cfg.slots - len(u.runs)
			full[u] = full[u] || free <= 0 && u.owner != owner
		}
		done := true
		for _, u := range owned {
			done = done && full[u]
		}
		if done {
			return f.now.Sub(begin)
		}
	}
	return span
}

func TestSlotsAreGrantedAfterOwnerDies(t *testing.T) {
	// A router that owns upstreams and runs requests dies. Requests wait beside idle slots until another owner has taken
	// over the upstreams and knows their running requests.
	for seed := range uint64(referenceSeeds) {
		cfg := referenceConfig(seed + 1)
		for i := range cfg.accounts {
			cfg.accounts[i].routers = []int{0, 1, 2, 3, 4, 5, 6, 7}
		}
		f := newFleet(cfg)
		f.runUntil(30 * time.Second)
		f.killRouter(1)
		took := f.timeUntilBusy(1, 20*time.Second)
		t.Logf("seed %d: busy again %v after the kill, detection %v", seed+1, took, detectionTime)
		if took > 3*time.Second {
			t.Errorf("seed %d: busy again %v after the kill, want at most 3s", seed+1, took)
		}
		for _, u := range f.upstreams {
			if u.maxRunning > cfg.slots {
				t.Errorf("%s ran %d requests on %d slots", u.id, u.maxRunning, cfg.slots)
			}
		}
	}
}

func TestUtilisationUnderMessageLoss(t *testing.T) {
	// One control message in a hundred is lost. If slots of lost grants or replies stayed taken, requests would wait at
	// idle upstreams after a few minutes.
	cfg := referenceConfig(1)
	cfg.dropFraction = 0.01
	f := newFleet(cfg)
	m := f.measure(warmUp, time.Minute, nil)
	t.Logf("utilisation %.4f, gap %.1f / %.1f", m.utilisation, m.median, m.highest)
	if m.utilisation < 0.98 {
		t.Errorf("utilisation %.4f, want at least 0.98", m.utilisation)
	}
	for _, u := range f.upstreams {
		if u.maxRunning > cfg.slots+1 {
			t.Errorf("%s ran %d requests on %d slots", u.id, u.maxRunning, cfg.slots)
		}
	}
}

func TestRequestAtIdleFleetIsGrantedPromptly(t *testing.T) {
	// A request arrives at an idle fleet. It must not wait for a timer while slots are idle.
	cfg := referenceConfig(1)
	for i := range cfg.accounts {
		cfg.accounts[i].queueDepth = 0
	}
	f := newFleet(cfg)
	f.runUntil(5 * time.Second)
	slowest := time.Duration(0)
	for i := range 100 {
		f.runUntil(5*time.Second + time.Duration(i)*1037*time.Millisecond)
		r := f.routers[i%len(f.routers)]
		began := f.now
		f.push(r, i%16)
		id := r.nextID
		f.updateDemand(r)
		for f.now.Sub(began) < time.Second && (r.runs[id] == nil || f.now.Before(r.runs[id].started)) {
			f.runUntil(f.now.Add(100 * time.Microsecond).Sub(f.start))
		}
		slowest = max(slowest, f.now.Sub(began))
	}
	t.Logf("slowest start %v; three one-way latencies %v, digest interval %v", slowest, 3*linkLatency, cfg.digestInterval)
	if slowest > 3*linkLatency+cfg.digestInterval {
		t.Errorf("slowest start %v exceeds three one-way latencies and a digest interval", slowest)
	}
}

func TestFleetStartSpreadsRegistrations(t *testing.T) {
	// All routers start at the same time with waiting requests. Without a random delay, owners would receive all
	// registrations within a millisecond.
	cfg := referenceConfig(1)
	f := newFleet(cfg)
	maxPerMillisecond := 0
	for ms := range 1000 {
		before := f.messageCounts["Demand"]
		f.runUntil(time.Duration(ms) * time.Millisecond)
		maxPerMillisecond = max(maxPerMillisecond, f.messageCounts["Demand"]-before)
	}
	t.Logf("at most %d registrations within a millisecond", maxPerMillisecond)
	if maxPerMillisecond > 12 {
		t.Errorf("%d registrations within a millisecond, want at most 12", maxPerMillisecond)
	}
}

func TestTwoOwnersStayWithinLimit(t *testing.T) {
	// Two routers own the same upstream, as can happen for seconds after a partition heals. If the owners ignored the
	// upstream's load report, each would grant the full limit, and first tokens would be late for all requests there.
	owners := []*pomeloslot.Owner{newOwner("r1"), newOwner("r2")}
	for _, o := range owners {
		o.AddUpstream(start, upstream(8), []pomelorelay.NodeID{"a", "b"}, nil)
		o.HandleRunningReport(start, "a", &pomelorelay.RunningReport{Upstream: "u"}, nil)
		o.HandleRunningReport(start, "b", &pomelorelay.RunningReport{Upstream: "u"}, nil)
	}
	first := owners[0].HandleDemand(start, "a", demand(1, 10, 5), nil)
	now := start.Add(time.Second)
	owners[1].HandleLoadReport(now, "u", pomeloslot.LoadReport{Running: len(first)}, nil)
	second := owners[1].HandleDemand(now, "b", demand(1, 10, 20), nil)
	if len(first) != 5 || len(second) != 3 {
		t.Errorf("granted %d and %d of 8 slots, want 5 and 3", len(first), len(second))
	}
}
