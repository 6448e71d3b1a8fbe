package pomeloentry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Guards against a bound on configuration that is a sum of timeouts, when routers fail one after the other.
func TestConfigurationIsInForceInTimeBesideFailuresInSeries(t *testing.T) {
	for _, size := range []struct{ domains, each int }{{3, 3}, {6, *modelDomainSize}} {
		t.Run(fmt.Sprint(size.domains*size.each), func(t *testing.T) {
			checkModel(t, size.domains, size.each, *modelFrom, *modelSeeds, false)
		})
	}
}

// Guards against updates that arrive all the time, each seconds old, so that no router reads the store itself.
func TestConfigurationIsInForceInTimeBesideSlowRouters(t *testing.T) {
	checkModel(t, 6, *modelDomainSize, *modelSlowFrom, *modelSlowSeeds, true)
}

// checkModel runs the model with each seed, and logs the longest time until a change was in force.
func checkModel(t *testing.T, domains, each int, from, seeds uint64, slow bool) {
	var longest time.Duration
	for seed := from; seed < from+seeds; seed++ {
		m := newModel(domains, each)
		if late := m.lateRouters(seed, slow); len(late) > 0 {
			t.Errorf("seed %d: %d routers were late: %v, %v at most", seed, len(late), late[:min(len(late), 6)], m.longest)
		}
		longest = max(longest, m.longest)
	}
	t.Logf("%d routers, %d seeds: a change was in force after %v at most, %.2f of the bound", domains*each, seeds, longest, float64(longest)/float64(modelBound))
}

// Guards against updates of a slow relay that are old when they arrive, and put off the reads of its neighbours when it fails.
func TestOldUpdatesPutOffNoRead(t *testing.T) {
	for _, lateness := range []time.Duration{time.Second, 1500 * time.Millisecond, 2 * time.Second} {
		t.Run(lateness.String(), func(t *testing.T) {
			m := newModel(3, *modelDomainSize)
			relay, successors := m.byNode["b-00"], []*modelRouter{m.byNode["b-01"], m.byNode["b-02"]}
			for end := m.began.Add(24 * time.Second); m.now.Before(end); {
				m.advance()
				passed := m.now.Sub(m.began)
				if passed%(100*time.Millisecond) == 0 {
					m.publish()
				}
				switch passed {
				case 6 * time.Second:
					relay.slowUntil, relay.lateness = end, lateness
					relay.disturbedAt = end
				case 12 * time.Second:
					for _, r := range append(successors, relay) {
						r.kill(time.Minute)
					}
				}
			}
			if m.longest > modelGoal {
				t.Errorf("a change was in force after %v, want %v at most", m.longest, modelGoal)
			}
		})
	}
}

// Guards against a router that does not read the store in time because the time of day has stepped back.
func TestClockThatStepsBackDelaysNoConfiguration(t *testing.T) {
	m := newModel(3, 3)
	for end := m.began.Add(20 * time.Second); m.now.Before(end); {
		if late := m.advance(); len(late) > 0 {
			t.Fatalf("%s has version %d in force, want %d", late[0].peer.Node, late[0].run.Version(), len(m.configs))
		}
		if m.now.Equal(m.began.Add(6 * time.Second)) {
			for _, r := range m.routers {
				r.clockError -= 8 * time.Second
				if r.peer.Domain == "a" {
					r.kill(time.Minute)
				}
			}
			m.publish()
		}
	}
}

// Guards against routers that read the store all the time because their clocks differ from that of the router that reads it for the fleet.
func TestRoutersWithOtherClocksCheckTheStoreAtTimes(t *testing.T) {
	for _, step := range []time.Duration{-8 * time.Second, 8 * time.Second} {
		m := newModel(3, *modelDomainSize)
		for m.now.Before(m.began.Add(6 * time.Second)) {
			m.advance()
		}
		before := make(map[*modelRouter]int)
		for i, r := range m.routers {
			before[r] = r.reads
			if i%2 == 1 {
				r.clockError = step
			}
		}
		const length = 20 * time.Second
		for end := m.now.Add(length); m.now.Before(end); {
			if m.advance(); m.now.Sub(m.began)%time.Second == 0 {
				m.publish()
			}
		}
		for i, r := range m.routers {
			least, most := 0, 0
			if i%2 == 1 {
				least, most = int(length/modelBound), int(length/(modelBound/2))+1
			}
			if n := r.reads - before[r]; (n < least || n > most) && r.peer.Node != "a-00" {
				t.Errorf("clocks of half of the routers %v off: %s read the store %d times in %v, want %d to %d", step, r.peer.Node, n, length, least, most)
			}
		}
		if m.longest > modelGoal {
			t.Errorf("clocks of half of the routers %v off: a change was in force after %v", step, m.longest)
		}
	}
}

// Guards against failure domains that stay apart once the relay of one has failed, because its successor and the other relays are strangers.
func TestRelayThatSucceedsIsHeardByTheOthers(t *testing.T) {
	m := newModel(3, *modelDomainSize)
	run := func(length time.Duration) {
		for end := m.now.Add(length); m.now.Before(end); {
			m.advance()
		}
	}
	run(6 * time.Second)
	m.byNode["b-00"].kill(time.Minute)
	run(8 * time.Second)
	for _, pair := range [][2]pomelorelay.NodeID{{"a-00", "b"}, {"c-00", "b"}, {"b-01", "a"}, {"b-01", "c"}} {
		if silent := m.now.Sub(m.byNode[pair[0]].heard[pomelorelay.DomainID(pair[1])]); silent > 2*time.Second {
			t.Errorf("%s has not heard of failure domain %s for %v", pair[0], pair[1], silent)
		}
	}
}

// Guards against all routers of a large fleet reading the store when the router that reads it for them fails.
func TestOnlyRelaysReadTheStoreWhenReaderFails(t *testing.T) {
	const domains = 6
	m := newModel(domains, *modelDomainSize)
	run := func(length time.Duration) {
		for end := m.now.Add(length); m.now.Before(end); {
			m.advance()
		}
	}
	run(6 * time.Second)
	before := make(map[*modelRouter]int)
	for _, r := range m.routers {
		before[r] = r.reads
	}
	m.byNode["a-00"].kill(time.Minute)
	run(6 * time.Second)
	var readers []pomelorelay.NodeID
	for _, r := range m.routers {
		if r.reads > before[r] {
			readers = append(readers, r.peer.Node)
		}
	}
	if len(readers) > domains {
		t.Errorf("%d of %d routers read the store after its reader failed: %v", len(readers), len(m.routers), readers)
	}
}
