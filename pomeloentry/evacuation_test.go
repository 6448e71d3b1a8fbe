package pomeloentry_test

import (
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloentry"
)

func loggedEvacuation(n *node) bool          { return n.log.has(pomelorelay.EventDomainEvacuated) }
func loggedRestoration(n *node) bool         { return n.log.has(pomelorelay.EventDomainRestored) }
func inDomainB(u *pomelorelay.FleetUpstream) { u.Domain = "b" }

// Guards against an evacuation that a router does not apply because the router is cut off from the store or starts in an outage,
// and against an evacuation that ends when a router reads the complete state again.
func TestEvacuationReachesEveryRouter(t *testing.T) {
	f := newFleet(t)
	f.store.PublishConfig(f.config(1, "/a/"))
	f.upstream("u1", 0)
	f.upstreamWith("u2", 0, inDomainB)
	withDomainB := func(s *pomelorelay.FleetSettings) { s.Regions["b"] = "ra" }
	a, b := f.startWith(8*time.Second, withDomainB), f.startWith(8*time.Second, withDomainB)
	f.awaitPeers(1)
	for _, n := range f.nodes {
		f.awaitStatus(n, "/a/", 200)
	}
	b.view.SetPartitioned(true)
	f.store.Evacuate("b")
	f.await("both routers log the evacuation", func() bool { return loggedEvacuation(a) && loggedEvacuation(b) })
	f.store.Compact()
	f.store.SetUnavailable(true)
	late := f.startWith(8*time.Second, func(s *pomelorelay.FleetSettings) {
		withDomainB(s)
		s.Seeds = append(s.Seeds, a.settings.Self.Addr)
	})
	f.await("a router started in the outage logs the evacuation", func() bool { return loggedEvacuation(late) })
	for range 20 {
		for _, n := range f.nodes {
			if status, by := f.call(n, "/a/"); status != 200 || by != "u1" {
				t.Fatalf("%s: status %d from %q, want 200 from u1", n.settings.Self.Node, status, by)
			}
		}
	}
	f.await("the loss of the store is logged", func() bool { return a.log.has(pomelorelay.EventPlatformLost) })
	f.store.SetUnavailable(false)
	f.await("the store is back", func() bool { return a.log.has(pomelorelay.EventPlatformBack) })
	for _, n := range f.nodes {
		if loggedRestoration(n) {
			t.Errorf("%s ended the evacuation by itself", n.settings.Self.Node)
		}
	}
	f.store.CancelEvacuation("b")
	f.await("every router logs the end of the evacuation", func() bool { return loggedRestoration(a) && loggedRestoration(b) && loggedRestoration(late) })
}

// Guards against updates that omit evacuations read from the store, and against a full state that leaves ended evacuations in
// force.
func TestUpdatesAndStatesCarryEvacuations(t *testing.T) {
	now := time.Now()
	f := pomeloentry.NewUpdateControl("a-1", 4*time.Second, peersOf(2, 3))
	m := f.UpdateFrom(pomelorelay.FleetChange{Revision: 10, Evacuated: []pomelorelay.DomainID{"b"}, RestoredDomains: []pomelorelay.DomainID{"c"}})
	if len(m.Evacuated) != 1 || len(m.RestoredDomains) != 1 {
		t.Fatalf("update without the evacuations that were read: %+v", m)
	}
	for _, c := range []struct {
		name  string
		apply func() pomelorelay.Revision
		want  int
	}{
		{"a full update", func() pomelorelay.Revision {
			return f.Receive(now, "a-0", &pomelorelay.FleetUpdate{Revision: 10, Full: true, Evacuated: []pomelorelay.DomainID{"b", "c"}})
		}, 2},
		{"an update without evacuations", func() pomelorelay.Revision {
			return f.Receive(now, "a-0", &pomelorelay.FleetUpdate{After: 10, Revision: 11})
		}, 2},
		{"an update that ends an evacuation", func() pomelorelay.Revision {
			return f.Receive(now, "a-0", &pomelorelay.FleetUpdate{After: 11, Revision: 12, RestoredDomains: []pomelorelay.DomainID{"c"}})
		}, 1},
		{"an old state", func() pomelorelay.Revision {
			return f.ApplyPeerState(now, "a-0", &pomelorelay.FleetState{Revision: 11})
		}, 1},
		{"a newer state without evacuations", func() pomelorelay.Revision {
			return f.ApplyPeerState(now, "a-0", &pomelorelay.FleetState{Revision: 14})
		}, 0},
	} {
		at := c.apply()
		if got := f.Evacuated(); len(got) != c.want {
			t.Errorf("after %s: cursor at %d, evacuated %v", c.name, at, got)
		}
	}
}
