package pomeloentry_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelofake"
)

// errorEngine answers with an error whose body is cut short while fails is set, and serves streams otherwise.
type errorEngine struct {
	versionedEngine
	fails atomic.Bool
}

func (e *errorEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !e.fails.Load() {
		e.versionedEngine.ServeHTTP(w, r)
		return
	}
	conn, rw, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	fmt.Fprintf(rw, "HTTP/1.1 404 Not Found\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\nno chunk\r\n", pomelofake.TestHeaderRequestID, r.Header.Get(pomelofake.TestHeaderRequestID))
	rw.Flush()
	_, _ = io.Copy(io.Discard, conn)
}

// Guards against a stream that counts as begun at an upstream which only sent a part of an error, and that its caller resumes at that upstream's version.
func TestStreamBeginsAtUpstreamOfItsFirstEvent(t *testing.T) {
	f := newVersionFleet(t, 2)
	failing := &errorEngine{versionedEngine: versionedEngine{id: "u1", version: "v1"}}
	failing.fails.Store(true)
	server := httptest.NewServer(failing)
	t.Cleanup(server.Close)
	f.store.PutUpstream(pomelorelay.FleetUpstream{ID: "u1", Service: "s", Addr: netip.MustParseAddrPort(server.Listener.Addr().String()), Domain: "a", Slots: 64, Version: "v1"})
	serving := f.engine("a1", "v2")
	serving.breakAfter.Store(3)
	close(serving.release)
	f.awaitReady(2)
	var begun []streamed
	for i := range 40 {
		if s := f.stream(f.nodes[i%2], 0, ""); s.events > 0 {
			begun = append(begun, s)
		}
	}
	if len(begun) < 8 {
		t.Fatalf("%d streams began, want 8 at least", len(begun))
	}
	failing.fails.Store(false)
	// Longer than the interval of reports.
	time.Sleep(300 * time.Millisecond)
	for i, s := range begun {
		if rest := f.stream(f.nodes[i/2%2], s.events, s.id); len(rest.versions) > 0 && rest.versions[0] != s.versions[0] {
			t.Errorf("a stream that began with %d events of %v continues at %v", s.events, s.versions, rest.versions)
		}
	}
}

// Guards against a stream that continues at another version because its route may no longer be resumed.
func TestStreamKeepsItsVersionWhenItsRouteIsNoLongerResumable(t *testing.T) {
	for _, resumes := range []bool{true, false} {
		t.Run(fmt.Sprint("callers name the first attempt ", resumes), func(t *testing.T) {
			f := newVersionFleet(t, 1)
			old := f.engine("u1", "v1")
			f.awaitReady(1)
			f.awaitWindow()
			old.breakAfter.Store(3)
			close(old.release)
			var begun []streamed
			for range 8 {
				begun = append(begun, f.stream(f.nodes[0], 0, ""))
			}
			for _, id := range []pomelorelay.UpstreamID{"a1", "a2", "a3"} {
				f.engine(id, "v2")
			}
			f.drain(old)
			f.store.PublishConfig(f.configWith(2, func(c *pomelorelay.FleetConfig) { c.Routes[0].Kind = pomelorelay.RouteStream }, "/s/"))
			f.awaitGauge("generation", 2)
			f.awaitReady(4)
			f.awaitDraining("u1")
			for _, s := range begun {
				id := ""
				if resumes {
					id = s.id
				}
				if rest := f.stream(f.nodes[0], s.events, id); s.events != 3 || len(rest.versions) > 0 && rest.versions[0] != s.versions[0] {
					t.Errorf("a stream that began with %d events of %v continues at %v", s.events, s.versions, rest.versions)
				}
			}
		})
	}
}

// Guards against a router that has known the versions for as long as streams may be resumed, but not for as long as upstreams serve that had left before
// its start, and continues streams that began at one of them meanwhile.
func TestRouterThatStartsAfterVersionLeftGuessesNoVersion(t *testing.T) {
	network := pomelofake.NewNetwork()
	f := newVersionFleetOn(network, t, 1)
	old := f.engine("u1", "v1")
	f.awaitReady(1)
	outOfStep := f.nodes[0]
	outOfStep.view.SetPartitioned(true)
	network.SetPartition(func(_, _ pomelorelay.Peer) bool { return true })
	f.engine("a1", "v2")
	f.store.DeleteUpstream("u1")
	removed := time.Now()
	fresh := f.startWith(8*time.Second, func(s *pomelorelay.FleetSettings) { s.DrainTimeout = versionDrainTimeout })
	f.await("the router is ready", func() bool { return f.ready(fresh) })
	time.Sleep(time.Until(removed.Add(versionDrainTimeout - 500*time.Millisecond)))
	old.breakAfter.Store(3)
	close(old.release)
	var begun []streamed
	for range 8 {
		begun = append(begun, f.stream(outOfStep, 0, ""))
	}
	// Within the callers' own timeout of 4 s, and later than the route's of 5 s after the router's start.
	time.Sleep(3500 * time.Millisecond)
	f.checkContinued(fresh, begun)
}

// Guards against a version that is forgotten while callers may resume streams of it, because these wait for longer than the route's timeout.
func TestVersionCountsForAsLongAsCallersMayResume(t *testing.T) {
	const timeout, drainTimeout = time.Second, 500 * time.Millisecond
	f := versionFleet{newFleet(t)}
	f.publishTimeout(1, timeout)
	f.startWith(8*time.Second, func(s *pomelorelay.FleetSettings) { s.DrainTimeout = drainTimeout })
	old := f.engine("u1", "v1")
	f.awaitReady(1)
	f.awaitWindow()
	old.breakAfter.Store(3)
	close(old.release)
	var begun []streamed
	for range 8 {
		begun = append(begun, f.stream(f.nodes[0], 0, ""))
	}
	f.engine("a1", "v2")
	f.drain(old)
	f.awaitDraining("u1")
	f.store.DeleteUpstream("u1")
	f.awaitGauge("upstreams", 1)
	// Within the callers' own timeout of 4 s.
	time.Sleep(timeout + drainTimeout + 500*time.Millisecond)
	for _, s := range begun {
		rest := f.stream(f.nodes[0], s.events, "")
		if s.events != 3 || len(rest.versions) > 0 && rest.versions[0] != s.versions[0] {
			t.Errorf("a stream that began with %d events of %v continues at %v", s.events, s.versions, rest.versions)
		}
	}
}
