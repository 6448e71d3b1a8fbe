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
