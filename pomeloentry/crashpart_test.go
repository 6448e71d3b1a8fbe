package pomeloentry_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelofake"
)

// Guards against requests that share a prompt part and crash one upstream after another because each is unlike the others.
func TestUnlikeRequestsWithACrashingPartAreRefused(t *testing.T) {
	f := newFleet(t)
	f.ignoresHostDelay = true
	f.store.PublishConfig(f.config(1, "/a/"))
	for _, id := range []pomelorelay.UpstreamID{"u1", "u2", "u3", "u4"} {
		f.crashingUpstream(id, true)
	}
	first, second := f.start(8*time.Second), f.start(8*time.Second)
	f.awaitPeers(1)
	f.awaitGauge(first, "upstreams", 4)
	f.awaitGauge(second, "upstreams", 4)
	for i, n := range []*node{first, second, first, second} {
		if status, _ := f.callWithParts(n, fmt.Sprint("/a/", i), fmt.Sprintf("%d:10 7:10 %d:10", i, 100+i)); status != http.StatusBadGateway {
			t.Fatalf("a request whose upstream crashed is answered with %d, want 502", status)
		}
		// Longer than the routers take to tell each other.
		time.Sleep(100 * time.Millisecond)
	}
	f.awaitGauge(first, "quarantined_requests", 1)
	f.awaitGauge(second, "quarantined_requests", 1)
	f.upstream("u5", 0)
	for _, n := range f.nodes {
		f.awaitStatus(n, "/a/sound", http.StatusOK)
		if status, _ := f.callWithParts(n, "/a/other", "1:10 8:10 200:10"); status != http.StatusOK {
			t.Errorf("a request with other parts is answered with %d, want 200", status)
		}
		if status, _ := f.callWithParts(n, "/a/new", "9:10 7:10 300:10"); status != http.StatusServiceUnavailable {
			t.Errorf("a request with the part is answered with %d, want 503", status)
		}
	}
}

// startBeforeDroppingUpstreams starts a router with three upstreams that take connections, and close them after work without an answer.
func (f *fleet) startBeforeDroppingUpstreams(work func()) *node {
	f.t.Helper()
	f.store.PublishConfig(f.config(1, "/a/"))
	for _, id := range []pomelorelay.UpstreamID{"u1", "u2", "u3"} {
		f.crashingUpstreamAfter(id, false, work)
	}
	n := f.start(8 * time.Second)
	f.awaitGauge(n, "upstreams", 3)
	return n
}

// Guards against refusing a proper request that is sent to addresses whose upstreams have ended already.
func TestSendsToEndedProcessesAreNoCrashes(t *testing.T) {
	f := newFleet(t)
	n := f.startBeforeDroppingUpstreams(func() {})
	call := func(path string) {
		if status, _ := f.call(n, path); status != http.StatusBadGateway {
			t.Fatalf("%s is answered with %d, want 502", path, status)
		}
		// Longer than a tick.
		time.Sleep(100 * time.Millisecond)
	}
	for i := range 3 {
		call(fmt.Sprint("/a/ran-then", i))
	}
	for range 6 {
		call("/a/proper")
	}
}

// undelimitedUpstream registers an upstream that answers without length and ends the connection, and then its listener if it crashes.
func (f *fleet) undelimitedUpstream(id pomelorelay.UpstreamID, crashes bool) {
	f.t.Helper()
	var server *httptest.Server
	server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if crashes {
			server.Listener.Close()
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			f.t.Error(err)
			return
		}
		defer conn.Close()
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n\r\nwhole", pomelofake.TestHeaderRequestID, r.Header.Get(pomelofake.TestHeaderRequestID), pomelofake.TestHeaderSignedBy, id)
	}))
	f.t.Cleanup(server.Close)
	f.store.PutUpstream(pomelorelay.FleetUpstream{ID: id, Service: "s", Addr: netip.MustParseAddrPort(server.Listener.Addr().String()), Domain: "a", Slots: 8, StartUnixMilli: 1})
}

// Guards against an answer without length that proves nothing although its upstream lives on.
func TestAnswerWithoutLengthIsProofOnceItsUpstreamLivesOn(t *testing.T) {
	f := newFleet(t)
	f.store.PublishConfig(f.config(1, "/a/"))
	f.crashingUpstream("u1", true)
	n := f.start(8 * time.Second)
	f.awaitStatus(n, "/a/", http.StatusBadGateway)
	f.awaitGauge(n, "crash_suspects", 1)
	f.undelimitedUpstream("u2", false)
	f.store.DeleteUpstream("u1")
	f.awaitStatus(n, "/a/", http.StatusOK)
	time.Sleep(200 * time.Millisecond)
	answeredAgain := time.Now()
	f.awaitStatus(n, "/a/other", http.StatusOK)
	f.awaitGauge(n, "crash_suspects", 0)
	if took := time.Since(answeredAgain); took > 6*time.Second {
		t.Errorf("the crash was cleared after %v", took)
	}
}

// Guards against taking an answer that the end of its upstream's process cut short for proof that the request crashes no upstream.
func TestAnswerThatTheEndOfItsProcessCutIsACrash(t *testing.T) {
	for _, c := range []struct {
		name            string
		stopsListening  bool
		status, crashes int
	}{
		{"address refuses connections", true, http.StatusBadGateway, 1},
		{"address accepts connections", false, http.StatusOK, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t)
			f.store.PublishConfig(f.config(1, "/a/"))
			f.undelimitedUpstream("u1", c.stopsListening)
			n := f.start(8 * time.Second)
			f.awaitStatus(n, "/a/", c.status)
			f.awaitGauge(n, "crash_suspects", c.crashes)
			f.store.PutUpstream(pomelorelay.FleetUpstream{ID: "u1", Service: "s", Addr: netip.MustParseAddrPort("127.0.0.1:1"), Domain: "a", Slots: 8, StartUnixMilli: 2})
			f.awaitGauge(n, "crash_suspects", 1)
		})
	}
}

// Guards against a request that crashes upstreams and is not counted because a connection to each of them had broken before.
func TestRunThatLastedMayHaveCrashedItsUpstream(t *testing.T) {
	f := newFleet(t)
	n := f.startBeforeDroppingUpstreams(func() { time.Sleep(150 * time.Millisecond) })
	for i := range 3 {
		f.call(n, fmt.Sprint("/a/other", i))
	}
	for range 3 {
		f.call(n, "/a/crashing")
		// Longer than a tick.
		time.Sleep(100 * time.Millisecond)
	}
	if status, _ := f.call(n, "/a/crashing"); status != http.StatusServiceUnavailable || !n.log.has(pomelorelay.EventQuarantined) {
		t.Errorf("after three broken runs the request is answered with %d, want 503 as quarantined", status)
	}
}
