package pomeloentry_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloentry"
)

// Guards against routers that read the store although the reader only paused, and against a takeover too late for an upstream that leaves.
func TestATakeoverComesAfterTheReadersLongestPause(t *testing.T) {
	for _, drain := range []time.Duration{2500 * time.Millisecond, 4 * time.Second} {
		second, pause := pomeloentry.Turn(drain, 1), pomeloentry.LongestPause(drain)
		if second < pause+drain/20 {
			t.Errorf("bound %v: the second reader waits %v, the first pauses for %v", drain, second, pause)
		}
		if second+pomeloentry.Look > drain*3/4 {
			t.Errorf("bound %v: a router takes over only after %v", drain, second+pomeloentry.Look)
		}
	}
}

func peersOf(domains, each int) []pomelorelay.Peer {
	var peers []pomelorelay.Peer
	for d := range domains {
		for n := range each {
			name := fmt.Sprintf("%c-%d", 'a'+d, n)
			peers = append(peers, pomelorelay.Peer{Node: pomelorelay.NodeID(name), Domain: pomelorelay.DomainID(name[:1]), CPUSpeed: 0.2})
		}
	}
	return peers
}

// Guards against a large fleet whose routers all read the store: one reads at once, the rest take their turns apart from each other.
func TestOneRouterReadsTheStore(t *testing.T) {
	const drain = 4 * time.Second
	peers := peersOf(6, 50)
	var turns []time.Duration
	for _, p := range peers {
		turns = append(turns, pomeloentry.NewFollower(p.Node, drain, peers).Turn(time.Now()))
	}
	slices.Sort(turns)
	if turns[0] != 0 || turns[1] == 0 {
		t.Fatalf("the first turns are %v", turns[:3])
	}
	// The relay of each failure domain takes over in time for an upstream that leaves.
	if turns[5] > drain*4/5 {
		t.Errorf("the sixth router waits %v", turns[5])
	}
	soon := 0
	for _, turn := range turns {
		if turn < drain+time.Second {
			soon++
		}
	}
	if soon > len(peers)/10 {
		t.Errorf("%d of %d routers read the store within a second after the bound", soon, len(peers))
	}
}

// Guards against a router that goes on with upstreams that left while it missed an update.
func TestAMissedUpdateIsMadeUpFor(t *testing.T) {
	now := time.Now()
	up := func(ids ...pomelorelay.UpstreamID) []pomelorelay.FleetUpstream {
		var list []pomelorelay.FleetUpstream
		for _, id := range ids {
			list = append(list, pomelorelay.FleetUpstream{ID: id, Service: "s", Slots: 1})
		}
		return list
	}
	f := pomeloentry.NewFollower("a-1", 4*time.Second, peersOf(2, 3))
	if at := f.Receive(now, "a-0", &pomelorelay.FleetUpdate{Revision: 10, Full: true, Upstreams: up("u1", "u2", "u3", "u4")}); at != 10 {
		t.Fatalf("at %d after everything was read at 10", at)
	}
	now = now.Add(3 * time.Second)
	f.Receive(now, "a-0", &pomelorelay.FleetUpdate{After: 10, Revision: 10})
	// The update from 10 to 14, in which u1 left, is lost.
	if at := f.Receive(now, "a-0", &pomelorelay.FleetUpdate{After: 14, Revision: 17, Upstreams: up("u5")}); at != 10 {
		t.Fatalf("at %d though what changed from 10 to 14 is missing", at)
	}
	at := f.TakeState(now, "a-0", &pomelorelay.FleetState{Revision: 17, Upstreams: up("u2", "u3", "u4", "u5")})
	if got := f.Upstreams(); at != 17 || !slices.Equal(got, []pomelorelay.UpstreamID{"u2", "u3", "u4", "u5"}) {
		t.Errorf("at %d with %v", at, got)
	}
	if at := f.Receive(now, "a-0", &pomelorelay.FleetUpdate{After: 14, Revision: 17}); at != 17 {
		t.Errorf("an old update led back to %d", at)
	}
}

// Guards against a configuration that only the reader has read, and that is lost to all others for as long as the reader is dead: they go on from
// the revision of its last update.
func TestAnUpdateCarriesTheConfiguration(t *testing.T) {
	fleet := newFleet(t)
	f := pomeloentry.NewFollower("a-1", 4*time.Second, peersOf(2, 3))
	f.SetPlatform(fleet.store.View())
	at := f.Receive(time.Now(), "a-0", &pomelorelay.FleetUpdate{Revision: 10, Full: true, Document: fleet.config(7, "/a/").Document})
	if at != 10 || f.Version() != 7 {
		t.Errorf("at %d with version %d in force, want 10 and 7", at, f.Version())
	}
}

// Guards against an update without the configuration that was read with it.
func TestTheReaderSendsTheConfigurationItRead(t *testing.T) {
	fleet := newFleet(t)
	f := pomeloentry.NewFollower("a-0", 4*time.Second, peersOf(2, 3))
	config := fleet.config(7, "/a/")
	m := f.UpdateOf(pomelorelay.FleetChange{Revision: 10, Config: config})
	if string(m.Document) != string(config.Document) || m.Revision != 10 {
		t.Errorf("the update at %d holds %q", m.Revision, m.Document)
	}
}

// Guards against calls to the store that grow with the routers while nothing happens, and after the store dropped its history.
func TestStoreCallsDoNotGrowWithTheRouters(t *testing.T) {
	const routers, beats = 12, 100
	f := newFleet(t)
	f.store.Publish(f.config(1, "/a/"))
	u := f.upstream("u1", 0)
	for i := range routers {
		f.startWith(8*time.Second, func(s *pomelorelay.FleetSettings) {
			s.DrainTimeout = time.Second
			s.Self.Domain = pomelorelay.DomainID([]string{"a", "b", "c"}[i%3])
			s.Self.CPUSpeed = 1
			s.Regions["b"], s.Regions["c"] = "ra", "ra"
		})
	}
	for _, n := range f.nodes {
		f.awaitStatus(n, "/a/", 200)
	}
	f.awaitPeers(routers - 1)
	time.Sleep(2 * time.Second)
	before := f.store.Calls()
	began := time.Now()
	for beat := range beats {
		if beat == beats/2 {
			f.store.Compact()
		}
		f.store.Put(u)
		time.Sleep(20 * time.Millisecond)
	}
	after := f.store.Calls()
	// The reader makes a call each 0.2 s of the bound of a second, and reads everything once; a moment in which two read is allowed for.
	allowed := 2*int(time.Since(began)/(200*time.Millisecond)) + 4
	if calls := after.Watches + after.Reads - before.Watches - before.Reads; calls > allowed {
		t.Errorf("%d routers made %d calls in %v, want at most %d: %+v, before %+v", routers, calls, time.Since(began), allowed, after, before)
	}
	leaving := u
	leaving.Draining = true
	f.store.Put(leaving)
	for _, n := range f.nodes {
		f.await("every router learns that u1 leaves", func() bool { return n.log.has(pomelorelay.EventLeaving) })
	}
}

// Guards against a router that takes itself for another one when its relay names it as the next.
func TestAStandbyIsNotItsOwnPeer(t *testing.T) {
	const routers = 20
	f := pomeloentry.NewFollower("a-1", 4*time.Second, peersOf(1, routers))
	got := f.TakeSummary(time.Now(), "a-0", &pomelorelay.LoadSummary{
		Report: &pomelorelay.LoadReport{Seq: 1, Full: true}, Standby: []pomelorelay.NodeID{"a-1", "a-10"},
	})
	if got != routers-1 {
		t.Errorf("%d other routers, want %d", got, routers-1)
	}
}
