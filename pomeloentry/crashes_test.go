package pomeloentry_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelofake"
)

// crashingUpstream registers an upstream that ends its connections without an answer, and refuses new ones afterwards if refuses is set.
func (f *fleet) crashingUpstream(id pomelorelay.UpstreamID, refuses bool) pomelorelay.FleetUpstream {
	return f.crashingUpstreamAfter(id, refuses, func() {})
}

func (f *fleet) crashingUpstreamAfter(id pomelorelay.UpstreamID, refuses bool, work func()) pomelorelay.FleetUpstream {
	f.t.Helper()
	var server *httptest.Server
	server = httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		work()
		if refuses {
			server.Listener.Close()
		}
		panic(http.ErrAbortHandler)
	}))
	f.t.Cleanup(server.Close)
	u := pomelorelay.FleetUpstream{ID: id, Service: "s", Addr: netip.MustParseAddrPort(server.Listener.Addr().String()), Domain: "a", Slots: 8, StartUnixMilli: 1}
	f.store.PutUpstream(u)
	return u
}

func (f *fleet) awaitGauge(n *node, name string, want int) {
	f.t.Helper()
	f.await(fmt.Sprintf("%s of %s is %d", name, n.settings.Self.Node, want), func() bool {
		_, text := f.get(n.settings.MetricsAddr, "/metrics")
		return strings.Contains(text, fmt.Sprintf("pomelorelay_state{name=%q} %d\n", name, want))
	})
}

// Guards against crashes that only some routers know: those behind a relay, those that start later, or all while the store is away.
func TestCrashIsKnownToEveryRouter(t *testing.T) {
	const routers = 14
	f := newFleet(t)
	f.ignoresHostDelay = true
	f.store.PublishConfig(f.config(1, "/a/"))
	f.crashingUpstream("u1", true)
	f.crashingUpstream("u2", true)
	f.crashingUpstream("u3", true)
	inDomain := func(i int) func(*pomelorelay.FleetSettings) {
		return func(s *pomelorelay.FleetSettings) {
			s.Self.Domain = pomelorelay.DomainID([]string{"a", "b"}[i%2])
			s.Regions = map[pomelorelay.DomainID]pomelorelay.RegionID{"a": "ra", "b": "ra"}
			s.Self.CPUSpeed = 1
		}
	}
	for i := range routers {
		f.startWith(8*time.Second, inDomain(i))
	}
	f.awaitPeers(routers - 1)
	last := f.nodes[routers-1]
	f.awaitGauge(last, "upstreams", 3)
	f.store.SetUnavailable(true)
	for range 3 {
		if status, _ := f.call(last, "/a/"); status != 502 {
			t.Fatalf("a request whose upstream crashed is answered with %d, want 502", status)
		}
		for _, n := range f.nodes {
			f.awaitGauge(n, "crash_suspects", 1)
		}
	}
	for _, n := range f.nodes {
		f.awaitGauge(n, "quarantined_requests", 1)
	}
	f.store.SetUnavailable(false)
	f.await("the crash is recorded", func() bool { return f.store.CrashRecords() == 1 })
	last.router.Close()
	f.awaitGauge(f.startWith(8*time.Second, inDomain(0)), "quarantined_requests", 1)
}

// Guards against overlooking the crash of an upstream that is back under its ID, or that has fallen silent, before the router checks it.
func TestEndOfProcessConfirmsCrash(t *testing.T) {
	for name, end := range map[string]func(f *fleet, u pomelorelay.FleetUpstream){
		"started again": func(f *fleet, u pomelorelay.FleetUpstream) {
			u.StartUnixMilli++
			f.store.PutUpstream(u)
		},
		"removed": func(f *fleet, u pomelorelay.FleetUpstream) { f.store.DeleteUpstream(u.ID) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			f.store.PublishConfig(f.config(1, "/a/"))
			u := f.crashingUpstream("u1", false)
			n := f.start(8 * time.Second)
			f.awaitStatus(n, "/a/", 502)
			f.awaitGauge(n, "crash_suspects", 0)
			f.call(n, "/a/")
			end(f, u)
			f.awaitGauge(n, "crash_suspects", 1)
		})
	}
}

// Guards against a request that goes on crashing upstreams for as long as none of the crashes is confirmed.
func TestRequestIsRefusedWhileItsCrashesArePending(t *testing.T) {
	f := newFleet(t)
	f.store.PublishConfig(f.config(1, "/a/"))
	upstreams := []pomelorelay.FleetUpstream{f.crashingUpstream("u1", false), f.crashingUpstream("u2", false), f.crashingUpstream("u3", false)}
	first, second := f.start(8*time.Second), f.start(8*time.Second)
	f.awaitPeers(1)
	f.awaitGauge(first, "upstreams", len(upstreams))
	f.awaitGauge(second, "upstreams", len(upstreams))
	for _, n := range []*node{first, second, first} {
		if status, _ := f.call(n, "/a/"); status != http.StatusBadGateway {
			t.Fatalf("a request whose connection broke is answered with %d, want 502", status)
		}
		// Longer than the routers take to tell each other.
		time.Sleep(100 * time.Millisecond)
	}
	for _, n := range f.nodes {
		f.awaitStatus(n, "/a/", http.StatusServiceUnavailable)
	}
	f.awaitGauge(first, "quarantined_requests", 1)
	for _, u := range upstreams {
		f.store.DeleteUpstream(u.ID)
	}
	f.awaitGauge(second, "crash_suspects", 1)
	f.awaitStatus(second, "/a/", http.StatusServiceUnavailable)
}

// Guards against an upstream's error answer that clears the crashes of others under the request.
func TestErrorAnswerClearsNoCrash(t *testing.T) {
	f := newFleet(t)
	f.store.PublishConfig(f.config(1, "/a/"))
	crashing := f.crashingUpstream("u1", true)
	n := f.start(8 * time.Second)
	f.awaitStatus(n, "/a/", http.StatusBadGateway)
	f.awaitGauge(n, "crash_suspects", 1)
	f.upstreamWith("u2", 0, func(u *pomelorelay.FleetUpstream) { u.Addr = f.failingServer() })
	f.store.DeleteUpstream(crashing.ID)
	f.awaitStatus(n, "/a/", http.StatusInternalServerError)
	// The gauge is updated once a second.
	time.Sleep(1200 * time.Millisecond)
	f.awaitGauge(n, "crash_suspects", 1)
}

// failingServer starts a server that answers all requests with 500, and returns its address.
func (f *fleet) failingServer() netip.AddrPort {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(pomelofake.TestHeaderRequestID, r.Header.Get(pomelofake.TestHeaderRequestID))
		w.Header().Set(pomelofake.TestHeaderSignedBy, "u2")
		w.WriteHeader(http.StatusInternalServerError)
	}))
	f.t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// Guards against blaming requests for upstreams that end as planned while they run.
func TestPlannedEndIsNoCrash(t *testing.T) {
	for name, leave := range map[string]func(f *fleet, u pomelorelay.FleetUpstream){
		"drains": func(f *fleet, u pomelorelay.FleetUpstream) {
			u.Draining = true
			f.store.PutUpstream(u)
		},
		"removes its entry": func(f *fleet, u pomelorelay.FleetUpstream) { f.store.DeleteUpstream(u.ID) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			f.store.PublishConfig(f.config(1, "/a/"))
			started, end := make(chan struct{}), make(chan struct{})
			u := f.crashingUpstreamAfter("u1", true, func() {
				close(started)
				<-end
			})
			n := f.start(8 * time.Second)
			f.await("the upstream is known", func() bool { return n.log.has(pomelorelay.EventUpstreamListed) })
			status := make(chan int)
			go func() {
				got, _ := f.call(n, "/a/")
				status <- got
			}()
			<-started
			leave(f, u)
			f.await("the upstream is known to leave", func() bool {
				return n.log.has(pomelorelay.EventUpstreamLeaving) || n.log.has(pomelorelay.EventUpstreamGone)
			})
			close(end)
			if got := <-status; got != 502 {
				t.Errorf("the request is answered with %d, want 502", got)
			}
			f.await("the end of the upstream is noticed", func() bool { return n.log.has(pomelorelay.EventUpstreamCrashed) })
			// The gauge is updated once a second.
			time.Sleep(1200 * time.Millisecond)
			f.awaitGauge(n, "crash_suspects", 0)
		})
	}
}
