package pomelooverload_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelooverload"
)

const (
	rotationTick = 50 * time.Millisecond
	noticePeriod = 500 * time.Millisecond
	noticeValid  = 1500 * time.Millisecond
	checkPeriod  = time.Second
	slowSpeed    = 0.144
)

// rotationHost is a simulated host of a failure domain.
type rotationHost struct {
	pomelooverload.Router
	rotation pomelooverload.Rotation
	// heard is when the last notice of each other host arrived.
	heard map[int]time.Duration
	// floodSince is when the flood reached it, floodAt when it last did.
	floodSince, floodAt time.Duration
	limitedSince        time.Duration
	noticeAt            time.Duration
	failures            int
	ready, dead         bool
}

// rotationFleet is a failure domain behind a load balancer that selects the routers of a flood by a fixed random order.
type rotationFleet struct {
	random *rand.Rand
	hosts  []*rotationHost
	order  []int
	now    time.Duration
	loss   float64
	// atSlow and atFast are how long the flood was at hosts of slowSpeed and others, slowVisits how often it reached one of the former. allUsed is how
	// long fewer than half of the hosts were in rotation, and mostAway the largest number of those that were not.
	atSlow, atFast, allUsed time.Duration
	slowVisits, mostAway    int
	carrier                 int
}

// newRotationFleet returns a domain of hosts with the given speeds; the flood overloads those below a whole core.
func newRotationFleet(seed uint64, loss float64, speeds ...float64) *rotationFleet {
	f := &rotationFleet{random: rand.New(rand.NewPCG(seed, 1)), loss: loss, carrier: -1}
	for i, speed := range speeds {
		h := &rotationHost{ready: true, heard: make(map[int]time.Duration), floodAt: -time.Hour, noticeAt: -time.Hour}
		h.Node, h.CPUSpeed = pomelorelay.NodeID(fmt.Sprintf("r%02d", i)), speed
		f.hosts = append(f.hosts, h)
	}
	f.order = f.random.Perm(len(speeds))
	return f
}

// unevenDomain has the speeds of a failure domain of deployment U.
var unevenDomain = []float64{0.144, 0.8, 0.48, 0.144, 0.144, 0.48, 0.144, 0.8, 0.144, 0.48, 0.144, 0.3, 0.144, 0.144}

// run simulates the domain up to a time; the flood overloads hosts below the given speed, and is absent if that is zero.
func (f *rotationFleet) run(until time.Duration, overloads float64) {
	for ; f.now < until; f.now += rotationTick {
		if f.now%checkPeriod == 0 {
			f.check()
		}
		f.carry(overloads)
		for i, h := range f.hosts {
			if !h.dead {
				f.tick(i, h)
			}
		}
	}
}

// check is the load balancer's readiness check.
func (f *rotationFleet) check() {
	for _, h := range f.hosts {
		h.failures++
		if h.ready && !h.dead {
			h.failures = 0
		}
	}
}

// carry sends the flood to the first host of its order that is in rotation, or of all if fewer than half are.
func (f *rotationFleet) carry(overloads float64) {
	in, away := 0, 0
	for _, h := range f.hosts {
		if h.failures < 2 {
			in++
		}
		if !h.ready {
			away++
		}
	}
	all := 2*in < len(f.hosts)
	if all {
		f.allUsed += rotationTick
	}
	f.mostAway = max(f.mostAway, away)
	if overloads == 0 {
		f.carrier = -1
		return
	}
	for _, i := range f.order {
		h := f.hosts[i]
		if h.failures >= 2 && !all {
			continue
		}
		f.reach(i, h, overloads)
		return
	}
}

func (f *rotationFleet) reach(i int, h *rotationHost, overloads float64) {
	if i != f.carrier {
		h.floodSince = f.now
		if h.CPUSpeed == slowSpeed {
			f.slowVisits++
		}
	}
	f.carrier = i
	if h.CPUSpeed == slowSpeed {
		f.atSlow += rotationTick
	} else {
		f.atFast += rotationTick
	}
	if h.CPUSpeed < overloads {
		h.floodAt = f.now
	}
}

// tick runs a host's control: its limit begins 100 ms after the flood's start and ends 0.5 s after its end.
func (f *rotationFleet) tick(i int, h *rotationHost) {
	flooded := f.now-h.floodAt < 500*time.Millisecond && f.now-h.floodSince >= 100*time.Millisecond
	if !flooded {
		h.limitedSince = f.now
	}
	state := pomelooverload.State{Limited: flooded, Since: h.limitedSince}
	was := h.Limited
	h.Limited = state.Announced(f.now)
	if h.Limited && f.now-h.noticeAt >= noticePeriod || was && !h.Limited {
		f.notify(i, h)
	}
	domain := []pomelooverload.Router{h.Router}
	for j, other := range f.hosts {
		if j != i && !other.dead {
			heard, ok := h.heard[j]
			domain = append(domain, pomelooverload.Router{Node: other.Node, CPUSpeed: other.CPUSpeed, Limited: ok && f.now-heard <= noticeValid})
		}
	}
	h.ready = h.rotation.Ready(f.now, h.Node, domain)
}

func (f *rotationFleet) notify(i int, h *rotationHost) {
	h.noticeAt = f.now
	for j, other := range f.hosts {
		switch {
		case j == i || f.random.Float64() < f.loss:
		case h.Limited:
			other.heard[i] = f.now
		default:
			delete(other.heard, i)
		}
	}
}

// Guards against a flood that stays at the slowest hosts of its domain or moves from one to the next, against domains of which fewer than half stay in
// rotation, whereupon the load balancer uses all, and against routers that do not return. Notices are lost, and a router dies while it is away.
func TestFloodReachesFasterRouters(t *testing.T) {
	const flood, floods = 20 * time.Second, 25
	for name, c := range map[string]struct {
		loss      float64
		dies      bool
		overloads float64
	}{
		"flood overloads slow hosts":     {0, false, 0.2},
		"flood overloads medium hosts":   {0, false, 0.5},
		"flood overloads all hosts":      {0, false, 1},
		"a third of notices are lost":    {0.33, false, 0.5},
		"a router dies while it is away": {0, true, 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			var slow, fast time.Duration
			visits, away := 0, 0
			for seed := range uint64(floods) {
				f := newRotationFleet(seed, c.loss, unevenDomain...)
				f.run(flood/4, c.overloads)
				if c.dies {
					f.hosts[0].dead, f.hosts[0].ready = true, false
				}
				f.run(flood, c.overloads)
				slow, fast, visits, away = slow+f.atSlow, fast+f.atFast, visits+f.slowVisits, max(away, f.mostAway)
				if f.allUsed > 0 {
					t.Fatalf("seed %d: fewer than half of the hosts were in rotation for %v", seed, f.allUsed)
				}
				f.run(flood+12*time.Second, 0)
				for _, h := range f.hosts {
					if !h.ready && !h.dead {
						t.Fatalf("seed %d: %s is away 12 s after the flood", seed, h.Node)
					}
				}
			}
			share := slow.Seconds() / (slow + fast).Seconds()
			t.Logf("%.0f%% of the time at slow hosts, %.2f visits of slow hosts a flood, at most %d of %d routers away", 100*share, float64(visits)/floods, away, len(unevenDomain))
			if most := 0.15; share > most {
				t.Errorf("the flood was at slow hosts %.0f%% of the time, want at most %.0f%%; 8 of 14 hosts are slow", 100*share, 100*most)
			}
			if most := len(unevenDomain) * 45 / 100; away > most {
				t.Errorf("%d of %d routers were away at once, want at most %d", away, len(unevenDomain), most)
			}
		})
	}
}

// Guards against routers that return all at once after a flood, or stay away for less than the time of the hold.
func TestRoutersReturnOneAfterTheOther(t *testing.T) {
	f := newRotationFleet(1, 0, unevenDomain...)
	f.run(4*time.Second, 1)
	for _, h := range f.hosts {
		h.floodAt = -time.Hour
	}
	ended, last := f.now, 0
	for _, h := range f.hosts {
		if !h.ready {
			last++
		}
	}
	if last != 5 {
		t.Fatalf("%d routers are away, want 5", last)
	}
	for f.now < ended+9*time.Second {
		f.run(f.now+rotationTick, 0)
		away := 0
		for _, h := range f.hosts {
			if !h.ready {
				away++
			}
		}
		if away < last-1 || away < last && f.now-ended < 6*time.Second {
			t.Errorf("%d instead of %d routers are away %v after the flood", away, last, f.now-ended)
		}
		last = away
	}
	if last > 0 {
		t.Errorf("%d routers are away 9 s after the flood, want none", last)
	}
}

// Guards against routers that leave the rotation when no others have more capacity, beyond the bounds, or when they know of no neighbours.
func TestRotationBounds(t *testing.T) {
	for name, c := range map[string]struct {
		speeds  []float64
		limited []int
		away    []int
	}{
		"equally fast":                       {[]float64{1, 1, 1, 1, 1, 1}, []int{3, 4}, []int{3, 4}},
		"equally fast, all limited":          {[]float64{1, 1, 1, 1, 1, 1}, []int{0, 1, 2, 3, 4, 5}, []int{0, 1}},
		"unknown speed":                      {[]float64{0.1, 0.1, 0, 1, 1, 1}, []int{5}, []int{5}},
		"three routers":                      {[]float64{0.1, 1, 1}, []int{2}, []int{2}},
		"three routers, the slow is limited": {[]float64{0.1, 1, 1}, []int{0}, []int{0}},
		"half of the speed stays":            {[]float64{0.1, 0.1, 9}, []int{2}, []int{}},
		"one much faster":                    {[]float64{0.9, 0.9, 0.9, 0.9, 6, 0.9, 0.9}, []int{4}, []int{0, 1}},
		"a limited one much faster":          {[]float64{0.1, 1, 9, 1}, []int{2}, []int{0}},
		"a faster one limited too":           {[]float64{0.1, 1, 1, 1, 1, 1}, []int{0, 3}, []int{0, 3}},
		"the flooded ones of a speed first":  {[]float64{0.1, 0.1, 0.1, 0.1, 1, 1}, []int{3}, []int{0, 3}},
		"cut off":                            {[]float64{0.1}, []int{0}, []int{}},
	} {
		t.Run(name, func(t *testing.T) {
			domain := make([]pomelooverload.Router, len(c.speeds))
			for i, speed := range c.speeds {
				domain[i] = pomelooverload.Router{Node: pomelorelay.NodeID(fmt.Sprint(i)), CPUSpeed: speed}
			}
			for _, i := range c.limited {
				domain[i].Limited = true
			}
			away := []int{}
			for i := range domain {
				var r pomelooverload.Rotation
				if !r.Ready(time.Second, domain[i].Node, domain) {
					away = append(away, i)
				}
			}
			if fmt.Sprint(away) != fmt.Sprint(c.away) {
				t.Errorf("away: %v, want %v", away, c.away)
			}
		})
	}
}
