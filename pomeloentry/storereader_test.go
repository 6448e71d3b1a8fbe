package pomeloentry_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloentry"
	"github.com/pomelorelay/pomelorelay/pomelostream"
)

// Guards against routers that read the store during a normal pause of the router that reads it continuously, and against routers that take over
// from a failed one so late that a change of the store has no effect in time.
func TestTakeoverWaitsForReadersLongestPause(t *testing.T) {
	for _, wait := range []time.Duration{2500 * time.Millisecond, 4 * time.Second} {
		for _, each := range []int{1, 3, 15, 50} {
			peers := peersOf(6, each)
			for _, p := range peers {
				delay, pause := pomeloentry.NewUpdateControl(p.Node, wait, peers).ReadDelay(time.Now()), pomeloentry.LongestReadPause(wait)
				if delay != 0 && delay < pause+wait/20 {
					t.Errorf("change wait %v: %s reads the store after %v, the reader may pause for %v", wait, p.Node, delay, pause)
				}
				if delay > wait*4/5 {
					t.Errorf("change wait %v, %d routers: %s reads the store only after %v", wait, len(peers), p.Node, delay)
				}
			}
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

// Guards against all routers of a large fleet reading the store at once: one reads it continuously, and each of the others waits for a different
// time before it takes over.
func TestOneRouterReadsTheStore(t *testing.T) {
	const drain = 4 * time.Second
	peers := peersOf(6, 50)
	var delays []time.Duration
	for _, p := range peers {
		delays = append(delays, pomeloentry.NewUpdateControl(p.Node, drain, peers).ReadDelay(time.Now()))
	}
	slices.Sort(delays)
	if delays[0] != 0 || delays[1] == 0 {
		t.Fatalf("the shortest read delays are %v, want exactly one of zero", delays[:3])
	}
	// The relay of each failure domain takes over, and has sent its update, before any other router reads.
	if delays[5] > drain*5/8 || delays[6] < delays[5]+drain/32 {
		t.Errorf("the relays take over after at most %v, the other routers read after at least %v", delays[5], delays[6])
	}
	others := delays[6:]
	for i := range others {
		window, _ := slices.BinarySearch(others, others[i]+50*time.Millisecond)
		if n := window - i; n > len(others)/5 {
			t.Errorf("%d of %d routers read the store within 50 ms", n, len(others))
		}
	}
}

// Guards against a router that keeps using upstreams because it missed the update that removed them.
func TestMissedUpdateIsRecoveredFromPeerState(t *testing.T) {
	now := time.Now()
	up := func(ids ...pomelorelay.UpstreamID) []pomelorelay.FleetUpstream {
		var list []pomelorelay.FleetUpstream
		for _, id := range ids {
			list = append(list, pomelorelay.FleetUpstream{ID: id, Service: "s", Slots: 1})
		}
		return list
	}
	f := pomeloentry.NewUpdateControl("a-1", 4*time.Second, peersOf(2, 3))
	if at := f.Receive(now, "a-0", &pomelorelay.FleetUpdate{Revision: 10, Full: true, Upstreams: up("u1", "u2", "u3", "u4")}); at != 10 {
		t.Fatalf("cursor at %d after a full update to 10", at)
	}
	now = now.Add(3 * time.Second)
	f.Receive(now, "a-0", &pomelorelay.FleetUpdate{After: 10, Revision: 10})
	// The update from revision 10 to 14, in which u1 left, is lost.
	if at := f.Receive(now, "a-0", &pomelorelay.FleetUpdate{After: 14, Revision: 17, Upstreams: up("u5")}); at != 10 {
		t.Fatalf("cursor at %d although the update from 10 to 14 is missing, want 10", at)
	}
	at := f.ApplyPeerState(now, "a-0", &pomelorelay.FleetState{Revision: 17, Upstreams: up("u2", "u3", "u4", "u5")})
	if got := f.Upstreams(); at != 17 || !slices.Equal(got, []pomelorelay.UpstreamID{"u2", "u3", "u4", "u5"}) {
		t.Errorf("cursor at %d with upstreams %v, want 17 with u2 to u5", at, got)
	}
	if at := f.Receive(now, "a-0", &pomelorelay.FleetUpdate{After: 14, Revision: 17}); at != 17 {
		t.Errorf("an old update moved the cursor back to %d", at)
	}
}

// Guards against an update that moves the other routers past the revision of a configuration without applying it: if the router that
// read the store then fails, none of them reads that configuration again.
func TestUpdateAppliesConfiguration(t *testing.T) {
	fleet := newFleet(t)
	f := pomeloentry.NewUpdateControl("a-1", 4*time.Second, peersOf(2, 3))
	f.SetPlatform(fleet.store.NewClient())
	at := f.Receive(time.Now(), "a-0", &pomelorelay.FleetUpdate{Revision: 10, Full: true, Document: fleet.config(7, "/a/").Document})
	if at != 10 || f.Version() != 7 {
		t.Errorf("cursor at %d with version %d in force, want 10 and 7", at, f.Version())
	}
}

// Guards against a router that requests a configuration only from the router that announced it first, which may have failed since.
func TestConfigurationIsRequestedFromTheLastRouterThatAnnouncedIt(t *testing.T) {
	f, now := pomeloentry.NewUpdateControl("a-1", 4*time.Second, peersOf(2, 3)), time.Now()
	f.Announce(now, "a-0", 7, 0)
	if from := f.Announce(now.Add(time.Second), "b-0", 7, time.Second); from != "b-0" {
		t.Errorf("the configuration is requested from %q although b-0 announced it last", from)
	}
}

// Guards against a router that reads a configuration from the store and omits it from its update to the other routers.
func TestReaderSendsConfigurationItRead(t *testing.T) {
	fleet := newFleet(t)
	f := pomeloentry.NewUpdateControl("a-0", 4*time.Second, peersOf(2, 3))
	config := fleet.config(7, "/a/")
	m := f.UpdateFrom(pomelorelay.FleetChange{Revision: 10, Config: config})
	if string(m.Document) != string(config.Document) || m.Revision != 10 {
		t.Errorf("the update to revision %d holds the configuration %q", m.Revision, m.Document)
	}
}

// Guards against store calls that grow with the number of routers, in steady state and after the store compacted its history.
func TestStoreCallsDoNotGrowWithRouters(t *testing.T) {
	const routers, heartbeats = 12, 100
	f := newFleet(t)
	f.store.PublishConfig(f.config(1, "/a/"))
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
	for heartbeat := range heartbeats {
		if heartbeat == heartbeats/2 {
			f.store.Compact()
		}
		f.store.PutUpstream(u)
		time.Sleep(20 * time.Millisecond)
	}
	after := f.store.Calls()
	// The router that reads the store makes a call every 0.2 s, a fifth of the drain wait of 1 s, and reads the complete state once. The bound
	// allows for a moment in which two routers read.
	allowed := 2*int(time.Since(began)/(200*time.Millisecond)) + 4
	if calls := after.Watches + after.Reads - before.Watches - before.Reads; calls > allowed {
		t.Errorf("%d routers made %d calls in %v, want at most %d: %+v, before %+v", routers, calls, time.Since(began), allowed, after, before)
	}
	leaving := u
	leaving.Draining = true
	f.store.PutUpstream(leaving)
	for _, n := range f.nodes {
		f.await("every router logs that u1 is leaving", func() bool { return n.log.has(pomelorelay.EventUpstreamLeaving) })
	}
}

// Guards against a router that adds itself to its peers when its relay names it as a standby.
func TestStandbyIsNotItsOwnPeer(t *testing.T) {
	const routers = 20
	f := pomeloentry.NewUpdateControl("a-1", 4*time.Second, peersOf(1, routers))
	got := f.ReceiveSummary(time.Now(), "a-0", &pomelorelay.LoadSummary{
		Report: &pomelorelay.LoadReport{Seq: 1, Full: true}, Standby: []pomelorelay.NodeID{"a-1", "a-10"},
	})
	if got != routers-1 {
		t.Errorf("%d other routers, want %d", got, routers-1)
	}
}

// Guards against a version that counts as known by a read of the store whose upstreams were not applied, because another router's update came first.
func TestVersionInReadThatIsNotAppliedIsKnown(t *testing.T) {
	now := time.Now()
	f := pomeloentry.NewUpdateControl("a-1", 4*time.Second, peersOf(2, 3))
	f.Receive(now, "a-0", &pomelorelay.FleetUpdate{Revision: 10, Full: true, Upstreams: []pomelorelay.FleetUpstream{{ID: "u1", Service: "s", Version: "v1"}}})
	now = now.Add(2 * time.Minute)
	check := func() {
		f.CheckVersions(now, func(after pomelorelay.Revision) pomelorelay.FleetChange {
			change := pomelorelay.FleetChange{Revision: 14}
			if after < 13 {
				change.Upstreams = []pomelorelay.FleetUpstream{{ID: "u2", Service: "s", Version: "v2"}}
			}
			return change
		})
	}
	f.Receive(now, "a-0", &pomelorelay.FleetUpdate{After: 10, Revision: 12})
	f.ApplyRead(now, 10, pomelorelay.FleetChange{Revision: 14, Upstreams: []pomelorelay.FleetUpstream{{ID: "u2", Service: "s", Version: "v2"}}})
	check()
	if got := f.Resume(now, "s"); got != pomelostream.BasisSeveralVersions {
		t.Errorf("a stream resumed beside v1 and v2 is decided on by %q, want %q", got, pomelostream.BasisSeveralVersions)
	}
}

// Guards against a router that reads changes which it skipped again and again, and refuses all streams of unknown origin, because the store cannot send so
// many in time.
func TestSkippedChangesThatCannotBeReadAreGivenUp(t *testing.T) {
	now := time.Now()
	f := pomeloentry.NewUpdateControl("a-1", 4*time.Second, peersOf(2, 3))
	state := []pomelorelay.FleetUpstream{{ID: "u1", Service: "s", Version: "v1"}}
	f.ApplyRead(now, 0, pomelorelay.FleetChange{Revision: 10, Full: true, Upstreams: state})
	now = now.Add(2 * time.Minute)
	f.ApplyRead(now, 10, pomelorelay.FleetChange{Revision: 20, Full: true, Upstreams: state})
	f.FailVersionCheck(now)
	answer := func(after pomelorelay.Revision) pomelorelay.FleetChange {
		if after < 20 {
			t.Errorf("changes after %d are read again, want those after 20", after)
		}
		return pomelorelay.FleetChange{Revision: 20}
	}
	f.CheckVersions(now, answer)
	if got := f.Resume(now, "s"); got != pomelostream.BasisRecent {
		t.Errorf("after skipped changes a stream of unknown origin is decided on by %q, want %q", got, pomelostream.BasisRecent)
	}
	now = now.Add(2 * time.Minute)
	f.CheckVersions(now, answer)
	if got := f.Resume(now, "s"); got != pomelostream.BasisOnlyVersion {
		t.Errorf("2 min later it is decided on by %q, want %q", got, pomelostream.BasisOnlyVersion)
	}
}

// streamConfig returns a configuration version with a resumable streaming route of the given timeout.
func streamConfig(f *fleet, version pomelorelay.Generation, timeout time.Duration) *pomelorelay.FleetConfig {
	return f.configWith(version, func(c *pomelorelay.FleetConfig) {
		c.Routes[0].Kind, c.Routes[0].Resumable, c.Routes[0].Timeout = pomelorelay.RouteStream, true, timeout
	}, "/s/")
}

// Guards against a version that is forgotten once a configuration shortens the timeouts, while older streams may still be resumed.
func TestVersionIsRememberedForTimeoutsOfEarlierConfigurations(t *testing.T) {
	fleet := newFleet(t)
	now := time.Now()
	f := pomeloentry.NewUpdateControl("a-1", 4*time.Second, peersOf(2, 3))
	f.SetPlatform(fleet.store.NewClient())
	v1, v2 := pomelorelay.FleetUpstream{ID: "u1", Service: "s", Version: "v1", Draining: true}, pomelorelay.FleetUpstream{ID: "u2", Service: "s", Version: "v2"}
	f.Receive(now, "a-0", &pomelorelay.FleetUpdate{Revision: 10, Full: true, Upstreams: []pomelorelay.FleetUpstream{v1, v2}, Document: streamConfig(fleet, 1, 12*time.Second).Document})
	now = now.Add(2 * time.Minute)
	f.Receive(now, "a-0", &pomelorelay.FleetUpdate{After: 10, Revision: 12, RemovedUpstreams: []pomelorelay.UpstreamID{"u1"}})
	now = now.Add(4 * time.Second)
	f.Receive(now, "a-0", &pomelorelay.FleetUpdate{After: 12, Revision: 14, Document: streamConfig(fleet, 2, 3*time.Second).Document})
	f.CheckVersions(now, func(pomelorelay.Revision) pomelorelay.FleetChange { return pomelorelay.FleetChange{Revision: 14} })
	if got := f.Resume(now, "s"); got != pomelostream.BasisSeveralVersions {
		t.Errorf("4 s after v1 left, a stream that may have begun with a timeout of 12 s is decided on by %q, want %q", got, pomelostream.BasisSeveralVersions)
	}
}
