package pomeloentry_test

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelofake"
)

func TestServesOnceItKnowsRoutesAndUpstreams(t *testing.T) {
	f := newFleet(t)
	n := f.start(8 * time.Second)
	if f.ready(n) {
		t.Error("ready without a configuration")
	}
	if status, _ := f.call(n, "/a/"); status != 503 {
		t.Errorf("answered %d without a configuration, want 503", status)
	}
	f.store.Publish(f.config(1, "/a/"))
	f.upstream("u1", 0)
	f.awaitStatus(n, "/a/", 200)
	f.await("readiness", func() bool { return f.ready(n) })
	if status, _ := f.call(n, "/b/"); status != 404 {
		t.Errorf("an unknown route: %d", status)
	}
	status, text := f.get(n.settings.MetricsAddr, "/metrics")
	if status != 200 || !strings.Contains(text, `pomelorelay_requests_total{ending="served",kind="Once"}`) {
		t.Errorf("metrics: %d\n%s", status, text)
	}
}

// knowsPeers reports whether a logged list of routers holds any: the first one may be read before the others have registered.
func knowsPeers(f pomelorelay.Field) bool { return f.Key == "Peers" && f.Value != 0 }

// A router is parted from the store while the operators drop a route. Its neighbours know; without their word its callers would be
// served by a route that is gone, or refused on a new one, for as long as the cut lasts.
func TestARouterWithoutTheStoreLearnsFromItsPeers(t *testing.T) {
	f := newFleet(t)
	f.store.Publish(f.config(1, "/old/"))
	leaving := f.upstream("u1", 0)
	f.upstream("u2", 0)
	a, b := f.start(8*time.Second), f.start(8*time.Second)
	for _, n := range f.nodes {
		f.awaitStatus(n, "/old/", 200)
	}
	f.await("the mesh", func() bool {
		return a.log.hasWith(pomelorelay.EventPeersChanged, knowsPeers) && b.log.hasWith(pomelorelay.EventPeersChanged, knowsPeers)
	})
	b.view.SetCut(true)
	f.store.Lapse()
	f.await("the loss is logged", func() bool { return b.log.has(pomelorelay.EventPlatformLost) })
	f.store.Publish(f.config(2, "/new/"))
	f.awaitStatus(b, "/new/", 200)
	f.awaitStatus(b, "/old/", 404)
	leaving.Draining = true
	f.store.Put(leaving)
	f.await("b hears that u1 leaves", func() bool { return b.log.has(pomelorelay.EventLeaving) })
	for range 20 {
		if status, by := f.call(b, "/new/"); status != 200 || by != "u2" {
			t.Fatalf("%d by %q after u1 began to leave", status, by)
		}
	}
	b.view.SetCut(false)
	f.await("the store is back", func() bool { return b.log.has(pomelorelay.EventPlatformBack) })
}

// A router is started anew while the store is away. Its neighbours know the configuration, the upstreams and each other; without their word
// it refuses every request until the store is back, though the upstreams live.
func TestARouterThatStartsWithoutTheStoreLearnsFromASeed(t *testing.T) {
	f := newFleet(t)
	f.store.Publish(f.config(1, "/old/"))
	leaving := f.upstream("u1", 0)
	f.upstream("u2", 0)
	a := f.start(8 * time.Second)
	f.awaitStatus(a, "/old/", 200)
	b := f.startWith(8*time.Second, func(s *pomelorelay.FleetSettings) {
		f.store.SetDown(true)
		gone := pomelofake.FreeAddr()
		s.Seeds = []netip.AddrPort{gone, s.Self.Addr, a.settings.Self.Addr}
	})
	f.awaitStatus(b, "/old/", 200)
	f.await("readiness", func() bool { return f.ready(b) })
	if !b.log.has(pomelorelay.EventStateFromPeer) {
		t.Error("it is not logged that a peer gave the state")
	}
	b.view.SetCut(true)
	f.store.SetDown(false)
	f.store.Publish(f.config(2, "/new/"))
	f.awaitStatus(b, "/new/", 200)
	leaving.Draining = true
	f.store.Put(leaving)
	f.await("b hears that u1 leaves", func() bool { return b.log.has(pomelorelay.EventLeaving) })
	b.view.SetCut(false)
	f.await("the store is back", func() bool { return b.log.has(pomelorelay.EventPlatformBack) })
	f.store.Drop(leaving.ID)
	f.await("u1 is gone", func() bool { return b.log.has(pomelorelay.EventUpstreamGone) })
	if status, by := f.call(b, "/new/"); status != 200 || by != "u2" {
		t.Errorf("%d by %q after u1 has gone", status, by)
	}
}

// The store comes back with an older copy, or a peer pushes what it knew before. Going back, a router would accept a key that was
// taken away.
func TestConfigurationsNeverGoBack(t *testing.T) {
	f := newFleet(t)
	f.store.Publish(f.config(5, "/new/"))
	f.upstream("u1", 0)
	n := f.start(8 * time.Second)
	f.awaitStatus(n, "/new/", 200)
	f.store.Publish(f.config(4, "/old/"))
	f.store.Publish(f.config(6, "/newer/"))
	f.awaitStatus(n, "/newer/", 200)
	if status, _ := f.call(n, "/old/"); status != 404 {
		t.Errorf("the older version is in force: %d", status)
	}
}

// The entries of all upstreams lapse in an outage of the store. They live; taken as gone at once, a whole service would answer nothing
// until they have registered again.
func TestLapsedEntriesAreKeptForAWhile(t *testing.T) {
	f := newFleet(t)
	f.store.Publish(f.config(1, "/a/"))
	one, two := f.upstream("u1", 0), f.upstream("u2", 0)
	n := f.start(8 * time.Second)
	f.awaitStatus(n, "/a/", 200)
	f.store.SetDown(true)
	f.await("the loss is logged", func() bool { return n.log.has(pomelorelay.EventPlatformLost) })
	f.store.Drop(one.ID)
	f.store.Drop(two.ID)
	f.store.SetDown(false)
	f.await("the entries lapse", func() bool { return n.log.has(pomelorelay.EventUpstreamLapsed) })
	if status, _ := f.call(n, "/a/"); status != 200 {
		t.Errorf("answered %d while the entries are away", status)
	}
	f.store.Put(one)
	f.await("u2 is taken as gone", func() bool { return n.log.has(pomelorelay.EventUpstreamGone) })
	for range 10 {
		if status, by := f.call(n, "/a/"); status != 200 || by != "u1" {
			t.Fatalf("%d by %q", status, by)
		}
	}
}

// A planned stop begins while requests run and callers go on using their connections. A request that is cut by the stop, or by the
// closing of a connection that its caller just used, would be lost.
func TestAPlannedStopCutsNothing(t *testing.T) {
	f := newFleet(t)
	f.store.Publish(f.config(1, "/a/"))
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
		n.entry.Stop()
		close(stopped)
	}()
	f.await("not ready", func() bool { return !f.ready(n) })
	if status, _ := f.call(n, "/a/"); status != 200 {
		t.Errorf("a request during the stop: %d", status)
	}
	if status := <-running; status != 200 {
		t.Errorf("a request that ran when the stop began: %d", status)
	}
	select {
	case <-stopped:
	case <-time.After(patience):
		t.Fatal("the stop does not end")
	}
	if !n.log.has(pomelorelay.EventStopping) || !n.log.has(pomelorelay.EventStopped) {
		t.Error("the stop is not logged")
	}
}

func TestAStoppedRoutersRegistrationEnds(t *testing.T) {
	f := newFleet(t)
	f.store.Publish(f.config(1, "/a/"))
	f.upstream("u1", 0)
	a, b := f.start(8*time.Second), f.start(3*time.Second)
	f.awaitStatus(a, "/a/", 200)
	f.awaitStatus(b, "/a/", 200)
	_, text := f.get(a.settings.MetricsAddr, "/metrics")
	f.await("a knows b", func() bool {
		_, text = f.get(a.settings.MetricsAddr, "/metrics")
		return strings.Contains(text, `pomelorelay_state{name="peers"} 1`)
	})
	b.entry.Stop()
	f.await("a forgets b", func() bool {
		_, text = f.get(a.settings.MetricsAddr, "/metrics")
		return strings.Contains(text, `pomelorelay_state{name="peers"} 0`)
	})
}

// One account's callers all come to one small host. Taken in, they would be answered late, and the process would be killed for its
// memory with everybody else's requests.
func TestAFullRouterSendsCallersElsewhere(t *testing.T) {
	f := newFleet(t)
	f.store.Publish(f.config(1, "/a/"))
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
	f.await("the router is full", func() bool { return n.log.has(pomelorelay.EventRouterFull) })
	counts := make(map[int]int)
	for range flood {
		counts[<-got]++
	}
	// A router whose processor stood still closes new connections unread, and says how late it was.
	const closesFrom = int64(100) // milliseconds
	late := n.log.hasWith(pomelorelay.EventRouterFull, func(f pomelorelay.Field) bool {
		ms, ok := f.Value.(int64)
		return f.Key == "LagMS" && ok && ms >= closesFrom
	})
	closed := counts[0]
	if counts[503] == 0 || counts[200] == 0 || counts[200]+counts[503]+closed != flood || (closed > 0 && !late) {
		t.Errorf("answers by status: %v; late: %v", counts, late)
	}
	f.await("it is ready again", func() bool { return f.ready(n) })
}

// Fourteen routers in one failure domain: each telling all others would take a small host's processor, so one relays. Should the rest
// not hear through it what runs at an upstream, all would send there at once.
func TestReportsReachEveryRouterThroughTheRelay(t *testing.T) {
	const routers = 14
	f := newFleet(t)
	f.store.Publish(f.config(1, "/a/"))
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
	f.store.Publish(f.config(2, "/b/"))
	for _, n := range f.nodes {
		f.awaitStatus(n, "/b/", 200)
	}
	last.view.SetCut(true)
	f.store.Drop("u1")
	f.upstream("u2", 0)
	f.await("a router without the store hears of u2 by its relay", func() bool {
		status, by := f.call(last, "/b/")
		return status == 200 && by == "u2"
	})
}
