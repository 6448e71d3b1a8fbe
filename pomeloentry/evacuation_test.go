package pomeloentry_test

import (
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloentry"
)

func evacuates(n *node) bool                 { return n.log.has(pomelorelay.EventDomainEvacuated) }
func restores(n *node) bool                  { return n.log.has(pomelorelay.EventDomainRestored) }
func inDomainB(u *pomelorelay.FleetUpstream) { u.Domain = "b" }

// Guards against an evacuation that a router cut off from the store, or one that starts in an outage, does not apply, and against one that ends
// because a router reads everything anew.
func TestAnEvacuationReachesEveryRouter(t *testing.T) {
	f := newFleet(t)
	f.store.Publish(f.config(1, "/a/"))
	f.upstream("u1", 0)
	f.upstreamWith("u2", 0, inDomainB)
	two := func(s *pomelorelay.FleetSettings) { s.Regions["b"] = "ra" }
	a, b := f.startWith(8*time.Second, two), f.startWith(8*time.Second, two)
	f.awaitPeers(1)
	for _, n := range f.nodes {
		f.awaitStatus(n, "/a/", 200)
	}
	b.view.SetCut(true)
	f.store.Evacuate("b")
	f.await("every router evacuates", func() bool { return evacuates(a) && evacuates(b) })
	f.store.Compact()
	f.store.SetDown(true)
	late := f.startWith(8*time.Second, func(s *pomelorelay.FleetSettings) {
		two(s)
		s.Seeds = append(s.Seeds, a.settings.Self.Addr)
	})
	f.await("a router that starts in the outage evacuates", func() bool { return evacuates(late) })
	for range 20 {
		for _, n := range f.nodes {
			if status, by := f.call(n, "/a/"); status != 200 || by != "u1" {
				t.Fatalf("%s: %d by %q", n.settings.Self.Node, status, by)
			}
		}
	}
	f.await("the loss of the store is noticed", func() bool { return a.log.has(pomelorelay.EventPlatformLost) })
	f.store.SetDown(false)
	f.await("the store is back", func() bool { return a.log.has(pomelorelay.EventPlatformBack) })
	for _, n := range f.nodes {
		if restores(n) {
			t.Errorf("%s ended the evacuation by itself", n.settings.Self.Node)
		}
	}
	f.store.Restore("b")
	f.await("every router takes it back", func() bool { return restores(a) && restores(b) && restores(late) })
}

// Guards against an update of the reader that leaves out evacuations, and against a whole state that does not end those that are over.
func TestUpdatesAndStatesCarryEvacuations(t *testing.T) {
	now := time.Now()
	f := pomeloentry.NewFollower("a-1", 4*time.Second, peersOf(2, 3))
	m := f.UpdateOf(pomelorelay.FleetChange{Revision: 10, Evacuated: []pomelorelay.DomainID{"b"}, Restored: []pomelorelay.DomainID{"c"}})
	if len(m.Evacuated) != 1 || len(m.Restored) != 1 {
		t.Fatalf("%+v", m)
	}
	for _, c := range []struct {
		name string
		take func() pomelorelay.Revision
		want int
	}{
		{"an update of everything", func() pomelorelay.Revision {
			return f.Receive(now, "a-0", &pomelorelay.FleetUpdate{Revision: 10, Full: true, Evacuated: []pomelorelay.DomainID{"b", "c"}})
		}, 2},
		{"an update that says nothing", func() pomelorelay.Revision {
			return f.Receive(now, "a-0", &pomelorelay.FleetUpdate{After: 10, Revision: 11})
		}, 2},
		{"an update that takes one back", func() pomelorelay.Revision {
			return f.Receive(now, "a-0", &pomelorelay.FleetUpdate{After: 11, Revision: 12, Restored: []pomelorelay.DomainID{"c"}})
		}, 1},
		{"an old state", func() pomelorelay.Revision {
			return f.TakeState(now, "a-0", &pomelorelay.FleetState{Revision: 11})
		}, 1},
		{"a newer state without it", func() pomelorelay.Revision {
			return f.TakeState(now, "a-0", &pomelorelay.FleetState{Revision: 14})
		}, 0},
	} {
		at := c.take()
		if got := f.Evacuated(); len(got) != c.want {
			t.Errorf("%s: at %d, evacuated %v", c.name, at, got)
		}
	}
}
