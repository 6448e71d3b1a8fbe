package pomeloentry_test

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelofake"
)

// Guards against a router that counts as close to its capacity from its start.
func TestRouterIsReadyOnceItHasItsState(t *testing.T) {
	f := newFleet(t)
	f.store.PublishConfig(f.config(1, "/a/"))
	f.upstream("u1", 0)
	began := time.Now()
	n := f.start(8 * time.Second)
	f.await("the router is ready", func() bool { return f.ready(n) })
	if took := time.Since(began); took > time.Second {
		t.Errorf("the router is ready after %v", took)
	}
}

func TestServesOnceRoutesAndUpstreamsAreKnown(t *testing.T) {
	f := newFleet(t)
	n := f.start(8 * time.Second)
	if f.ready(n) {
		t.Error("ready without a configuration")
	}
	if status, _ := f.call(n, "/a/"); status != 503 {
		t.Errorf("answered %d without a configuration, want 503", status)
	}
	f.store.PublishConfig(f.config(1, "/a/"))
	f.upstream("u1", 0)
	f.awaitStatus(n, "/a/", 200)
	f.await("the router is ready", func() bool { return f.ready(n) })
	if status, _ := f.call(n, "/b/"); status != 404 {
		t.Errorf("an unknown route is answered with %d, want 404", status)
	}
	status, text := f.get(n.settings.MetricsAddr, "/metrics")
	if status != 200 || !strings.Contains(text, `pomelorelay_requests_total{ending="served",kind="Once"}`) {
		t.Errorf("metrics: %d\n%s", status, text)
	}
}

// hasPeers reports whether a logged list of routers is not empty. The first list may be read before the other routers have registered.
func hasPeers(f pomelorelay.Field) bool { return f.Key == "Peers" && f.Value != 0 }

// Guards against a router that, while cut off from the store, serves removed routes, refuses new ones or uses a leaving upstream, although its
// peers could update it.
func TestRouterWithoutStoreIsUpdatedByPeers(t *testing.T) {
	f := newFleet(t)
	f.store.PublishConfig(f.config(1, "/old/"))
	leaving := f.upstream("u1", 0)
	f.upstream("u2", 0)
	a, b := f.start(8*time.Second), f.start(8*time.Second)
	for _, n := range f.nodes {
		f.awaitStatus(n, "/old/", 200)
	}
	f.await("both routers have peers", func() bool {
		return a.log.hasWith(pomelorelay.EventPeersChanged, hasPeers) && b.log.hasWith(pomelorelay.EventPeersChanged, hasPeers)
	})
	b.view.SetPartitioned(true)
	f.store.ExpireLeases()
	f.await("the loss is logged", func() bool { return b.log.has(pomelorelay.EventPlatformLost) })
	f.store.PublishConfig(f.config(2, "/new/"))
	f.awaitStatus(b, "/new/", 200)
	f.awaitStatus(b, "/old/", 404)
	leaving.Draining = true
	f.store.PutUpstream(leaving)
	f.await("b logs that u1 is leaving", func() bool { return b.log.has(pomelorelay.EventUpstreamLeaving) })
	for range 20 {
		if status, by := f.call(b, "/new/"); status != 200 || by != "u2" {
			t.Fatalf("status %d from %q after u1 began to leave", status, by)
		}
	}
	b.view.SetPartitioned(false)
	f.await("the store is back", func() bool { return b.log.has(pomelorelay.EventPlatformBack) })
}

// Guards against a router started in a store outage that refuses every request until the store recovers, although the upstreams are
// up and its peers know the configuration, the upstreams and each other.
func TestRouterStartingWithoutStoreGetsStateFromSeed(t *testing.T) {
	f := newFleet(t)
	f.store.PublishConfig(f.config(1, "/old/"))
	leaving := f.upstream("u1", 0)
	f.upstream("u2", 0)
	a := f.start(8 * time.Second)
	f.awaitStatus(a, "/old/", 200)
	b := f.startWith(8*time.Second, func(s *pomelorelay.FleetSettings) {
		f.store.SetUnavailable(true)
		gone := pomelofake.FreeAddr()
		s.Seeds = []netip.AddrPort{gone, s.Self.Addr, a.settings.Self.Addr}
	})
	f.awaitStatus(b, "/old/", 200)
	f.await("the router is ready", func() bool { return f.ready(b) })
	if !b.log.has(pomelorelay.EventStateFromPeer) {
		t.Error("the state received from a peer is not logged")
	}
	b.view.SetPartitioned(true)
	f.store.SetUnavailable(false)
	f.store.PublishConfig(f.config(2, "/new/"))
	f.awaitStatus(b, "/new/", 200)
	leaving.Draining = true
	f.store.PutUpstream(leaving)
	f.await("b logs that u1 is leaving", func() bool { return b.log.has(pomelorelay.EventUpstreamLeaving) })
	b.view.SetPartitioned(false)
	f.await("the store is back", func() bool { return b.log.has(pomelorelay.EventPlatformBack) })
	f.store.DeleteUpstream(leaving.ID)
	f.await("u1 is removed", func() bool { return b.log.has(pomelorelay.EventUpstreamGone) })
	if status, by := f.call(b, "/new/"); status != 200 || by != "u2" {
		t.Errorf("status %d from %q after u1 was removed", status, by)
	}
}

// Guards against replacing a configuration by an older one, received from a restored store or from a peer: the router would accept a revoked
// key.
func TestConfigurationVersionNeverDecreases(t *testing.T) {
	f := newFleet(t)
	f.store.PublishConfig(f.config(5, "/new/"))
	f.upstream("u1", 0)
	n := f.start(8 * time.Second)
	f.awaitStatus(n, "/new/", 200)
	f.store.PublishConfig(f.config(4, "/old/"))
	f.store.PublishConfig(f.config(6, "/newer/"))
	f.awaitStatus(n, "/newer/", 200)
	if status, _ := f.call(n, "/old/"); status != 404 {
		t.Errorf("a route of the older version is answered with %d, want 404", status)
	}
}

// Guards against removing all upstreams when their entries lapse in a store outage: live upstreams would get no requests until they
// have registered again.
func TestLapsedEntriesHaveGracePeriod(t *testing.T) {
	f := newFleet(t)
	f.ignoresHostDelay = true
	f.store.PublishConfig(f.config(1, "/a/"))
	one, two := f.upstream("u1", 0), f.upstream("u2", 0)
	n := f.start(8 * time.Second)
	f.awaitStatus(n, "/a/", 200)
	f.store.SetUnavailable(true)
	f.await("the loss is logged", func() bool { return n.log.has(pomelorelay.EventPlatformLost) })
	f.store.DeleteUpstream(one.ID)
	f.store.DeleteUpstream(two.ID)
	f.store.SetUnavailable(false)
	f.await("the entries lapse", func() bool { return n.log.has(pomelorelay.EventUpstreamLapsed) })
	if status, _ := f.call(n, "/a/"); status != 200 {
		t.Errorf("answered %d while the entries are missing, want 200", status)
	}
	f.store.PutUpstream(one)
	f.await("u2 is removed", func() bool { return n.log.has(pomelorelay.EventUpstreamGone) })
	for range 10 {
		if status, by := f.call(n, "/a/"); status != 200 || by != "u1" {
			t.Fatalf("status %d from %q, want 200 from u1", status, by)
		}
	}
}

// Guards against a graceful stop that cuts a running request, or closes a connection on which a caller has just sent a request.
func TestGracefulStopCutsNoRequest(t *testing.T) {
	f := newFleet(t)
	f.store.PublishConfig(f.config(1, "/a/"))
	f.upstream("u1", 300*time.Millisecond)
	n := f.start(5 * time.Second)
	f.awaitStatus(n, "/a/", 200)
	running := make(chan int, 1)
	go func() {
		status, _ := f.call(n, "/a/")
		running <- status
	}()
	time.Sleep(50 * time.Millisecond)
	stopped := make(chan struct{})
	go func() {
		n.router.Stop()
		close(stopped)
	}()
	f.await("the router is not ready", func() bool { return !f.ready(n) })
	if status, _ := f.call(n, "/a/"); status != 200 {
		t.Errorf("a request during the stop is answered with %d, want 200", status)
	}
	if status := <-running; status != 200 {
		t.Errorf("a request that ran when the stop began is answered with %d, want 200", status)
	}
	select {
	case <-stopped:
	case <-time.After(testTimeout):
		t.Fatal("Stop does not return")
	}
	if !n.log.has(pomelorelay.EventStopping) || !n.log.has(pomelorelay.EventStopped) {
		t.Error("the stop is not logged")
	}
}

func TestStoppedRouterIsDeregistered(t *testing.T) {
	f := newFleet(t)
	f.store.PublishConfig(f.config(1, "/a/"))
	f.upstream("u1", 0)
	a, b := f.start(8*time.Second), f.start(3*time.Second)
	f.awaitStatus(a, "/a/", 200)
	f.awaitStatus(b, "/a/", 200)
	_, text := f.get(a.settings.MetricsAddr, "/metrics")
	f.await("a has b as a peer", func() bool {
		_, text = f.get(a.settings.MetricsAddr, "/metrics")
		return strings.Contains(text, `pomelorelay_state{name="peers"} 1`)
	})
	b.router.Stop()
	f.await("a removes b from its peers", func() bool {
		_, text = f.get(a.settings.MetricsAddr, "/metrics")
		return strings.Contains(text, `pomelorelay_state{name="peers"} 0`)
	})
}

// Guards against a small host that accepts all requests of one account's flood: they would be answered late, and the process would be killed for
// its memory use, which would end all its other requests.
func TestFullRouterRefusesRequests(t *testing.T) {
	f := newFleet(t)
	f.store.PublishConfig(f.config(1, "/a/"))
	f.upstream("u1", 400*time.Millisecond)
	n := f.startWith(8*time.Second, func(s *pomelorelay.FleetSettings) { s.Self.CPUSpeed = 0.01 })
	f.awaitStatus(n, "/a/", 200)
	const flood = 150
	got := make(chan int, flood)
	for range flood {
		go func() {
			status, _ := f.call(n, "/a/")
			got <- status
		}()
	}
	f.await("the router refuses requests", func() bool {
		return n.log.has(pomelorelay.EventRouterFull) || n.log.has(pomelorelay.EventRequestShed)
	})
	counts := make(map[int]int)
	for range flood {
		counts[<-got]++
	}
	if counts[503] == 0 || counts[200] == 0 || counts[200]+counts[503]+counts[0] != flood {
		t.Errorf("answers by status: %v", counts)
	}
	// Only a router that cannot even refuse all requests in time closes connections unread, and counts them.
	f.await("exactly the connections that got no answer are counted as closed unread", func() bool {
		_, text := f.get(n.settings.MetricsAddr, "/metrics")
		return strings.Contains(text, fmt.Sprintf("pomelorelay_state{name=\"overload_closed_unread\"} %d\n", counts[0]))
	})
	f.await("the router is ready again", func() bool { return f.ready(n) })
}

// Fourteen routers of one failure domain use a relay, because reports from each to all would take too much of a small host's
// processor. Guards against a relay that does not forward what it receives: its neighbours would keep old configurations and
// upstreams and, without each other's loads, would all send to the same upstream at once.
func TestRelayForwardsUpdatesToEveryRouter(t *testing.T) {
	const routers = 14
	f := newFleet(t)
	f.store.PublishConfig(f.config(1, "/a/"))
	f.upstream("u1", 0)
	for i := range routers {
		f.startWith(8*time.Second, func(s *pomelorelay.FleetSettings) {
			s.Self.CPUSpeed = 1
			if i == 3 {
				s.Self.CPUSpeed = 2
			}
		})
	}
	for _, n := range f.nodes {
		f.awaitStatus(n, "/a/", 200)
	}
	f.awaitPeers(routers - 1)
	last := f.nodes[routers-1]
	f.store.PublishConfig(f.config(2, "/b/"))
	for _, n := range f.nodes {
		f.awaitStatus(n, "/b/", 200)
	}
	last.view.SetPartitioned(true)
	f.store.DeleteUpstream("u1")
	f.upstream("u2", 0)
	f.await("a router without the store gets u2 from its relay", func() bool {
		status, by := f.call(last, "/b/")
		return status == 200 && by == "u2"
	})
}
