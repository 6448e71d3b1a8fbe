package pomeloslot_test

import (
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloslot"
)

// suspicion is how long the fleet takes to find that a router is dead.
const suspicion = 1500 * time.Millisecond

// kill ends a router; its requests end with it, and the others take its upstreams over when they find it dead.
func (f *fleet) kill(i int) {
	f.account()
	f.routers[i].dead = true
	for _, u := range f.upstreams {
		for x := range u.runs {
			if f.routers[i].runs[x.id] == x {
				delete(u.runs, x)
				f.running--
				f.perAccount[x.account]--
			}
		}
	}
	f.after(suspicion, func() { f.takeOver(i) })
}

func (f *fleet) takeOver(dead int) {
	for _, r := range f.routers {
		if !r.dead {
			f.send(r, r.owner.RemoveRouter(f.now, f.routers[dead].node, nil))
		}
	}
	for i, u := range f.upstreams {
		if u.owner == dead {
			f.own(i, (dead+1+i)%f.cfg.routers)
		}
	}
}

// busyAfter returns how long after now each of the upstreams that a router owned had all its slots taken at some moment.
func (f *fleet) busyAfter(owner int, span time.Duration) time.Duration {
	var owned []*testUpstream
	for _, u := range f.upstreams {
		if u.owner == owner {
			owned = append(owned, u)
		}
	}
	begin := f.now
	full := make(map[*testUpstream]bool)
	for f.now.Sub(begin) < span {
		f.until(f.now.Add(10 * time.Millisecond).Sub(f.start))
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

func TestOwnerKilled(t *testing.T) {
	// A router dies that owned upstreams and ran requests. Its upstreams' slots come free and nobody grants them: callers
	// wait while slots idle, until another owner has taken over and knows what runs there.
	for seed := range uint64(tableSeeds) {
		cfg := tableConfig(seed + 1)
		for i := range cfg.accounts {
			cfg.accounts[i].routers = []int{0, 1, 2, 3, 4, 5, 6, 7}
		}
		f := newFleet(cfg)
		f.until(30 * time.Second)
		f.kill(1)
		took := f.busyAfter(1, 20*time.Second)
		t.Logf("seed %d: busy again %v after the kill, detection %v", seed+1, took, suspicion)
		if took > 3*time.Second {
			t.Errorf("seed %d: busy again %v after the kill", seed+1, took)
		}
		for _, u := range f.upstreams {
			if u.most > cfg.slots {
				t.Errorf("%s ran %d requests on %d slots", u.id, u.most, cfg.slots)
			}
		}
	}
}

func TestMessagesAreLost(t *testing.T) {
	// One control message in a hundred is lost. A slot whose grant or reply is lost would stay taken for ever, and after
	// some minutes callers would wait at upstreams that run nothing.
	cfg := tableConfig(1)
	cfg.drop = 0.01
	f := newFleet(cfg)
	m := f.measure(warm, time.Minute, nil)
	t.Logf("utilisation %.4f, gap %.1f / %.1f", m.utilisation, m.median, m.highest)
	if m.utilisation < 0.98 {
		t.Errorf("utilisation %.4f", m.utilisation)
	}
	for _, u := range f.upstreams {
		if u.most > cfg.slots+1 {
			t.Errorf("%s ran %d requests on %d slots", u.id, u.most, cfg.slots)
		}
	}
}

func TestIdleSlotMeetsWaitingRequest(t *testing.T) {
	// A request arrives at a quiet fleet. It must not wait for a timer while slots idle.
	cfg := tableConfig(1)
	for i := range cfg.accounts {
		cfg.accounts[i].depth = 0
	}
	f := newFleet(cfg)
	f.until(5 * time.Second)
	slowest := time.Duration(0)
	for i := range 100 {
		f.until(5*time.Second + time.Duration(i)*1037*time.Millisecond)
		r := f.routers[i%len(f.routers)]
		began := f.now
		f.push(r, i%16)
		id := r.nextID
		f.heads(r)
		for f.now.Sub(began) < time.Second && (r.runs[id] == nil || f.now.Before(r.runs[id].started)) {
			f.until(f.now.Add(100 * time.Microsecond).Sub(f.start))
		}
		slowest = max(slowest, f.now.Sub(began))
	}
	t.Logf("slowest %v; 3 one-way latencies are %v, a digest %v", slowest, 3*linkTime, cfg.digest)
	if slowest > 3*linkTime+cfg.digest {
		t.Errorf("slowest %v", slowest)
	}
}

func TestWholeFleetStartsAtOnce(t *testing.T) {
	// Every router starts at the same moment with requests waiting. If all registered at once, owners would be seen to
	// get all registrations within a millisecond.
	cfg := tableConfig(1)
	f := newFleet(cfg)
	most := 0
	for ms := range 1000 {
		before := f.messages["Demand"]
		f.until(time.Duration(ms) * time.Millisecond)
		most = max(most, f.messages["Demand"]-before)
	}
	t.Logf("at most %d registrations within a millisecond", most)
	if most > 12 {
		t.Errorf("%d registrations within a millisecond", most)
	}
}

func TestTwoOwnersAtOnce(t *testing.T) {
	// Two routers believe that they own an upstream, as they may for seconds after a partition heals. Without the
	// upstream's own report, each would grant the whole limit, and first tokens would come late for everybody there.
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
		t.Errorf("granted %d and %d of 8 slots", len(first), len(second))
	}
}
