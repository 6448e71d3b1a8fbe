package pomeloentry_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelofake"
)

// reportingEngine is an engine that reports when its process started.
type reportingEngine struct {
	versionedEngine
	server *httptest.Server
	born   atomic.Int64
}

func (e *reportingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == (pomelofake.TestWireFormat{}).ReportPath() {
		fmt.Fprint(w, e.born.Load())
		return
	}
	e.versionedEngine.ServeHTTP(w, r)
}

func (f versionFleet) reportingEngine(id pomelorelay.UpstreamID, version pomelorelay.SoftwareVersion) *reportingEngine {
	f.t.Helper()
	e := &reportingEngine{versionedEngine: versionedEngine{id: id, version: version, release: make(chan struct{})}}
	e.born.Store(1)
	e.server = httptest.NewServer(e)
	f.t.Cleanup(e.server.Close)
	addr := netip.MustParseAddrPort(e.server.Listener.Addr().String())
	e.entry = pomelorelay.FleetUpstream{ID: id, Service: "s", Addr: addr, Domain: "a", Slots: 64, Version: version, StartUnixMilli: e.born.Load()}
	f.store.PutUpstream(e.entry)
	return e
}

// restart starts the engine again with another version, under its ID and address, and registers it.
func (f versionFleet) restart(e *reportingEngine, version pomelorelay.SoftwareVersion) {
	f.t.Helper()
	e.server.CloseClientConnections()
	e.version = version
	e.entry.Version, e.entry.StartUnixMilli = version, e.born.Add(1)
	f.store.PutUpstream(e.entry)
	for _, n := range f.nodes {
		f.await("the new registration is read", func() bool {
			return n.log.hasWith(pomelorelay.EventUpstreamListed, func(l pomelorelay.Field) bool { return l.Key == "Born" && l.Value == e.entry.StartUnixMilli })
		})
	}
}

// Guards against refusing streams that began at a registered process once that was started again with another version, although their version is certain.
func TestStreamOfConfirmedProcessContinuesAfterItWasReplaced(t *testing.T) {
	f := newVersionFleet(t, 2)
	u := f.reportingEngine("u1", "v1")
	f.awaitReady(1)
	u.breakAfter.Store(3)
	close(u.release)
	var begun []streamed
	for i := range 8 {
		s := f.stream(f.nodes[i%2], 0, "")
		if s.events != 3 || s.versions[0] != "v1" {
			t.Fatalf("a stream has %d events of %v before it breaks off, want 3 of v1", s.events, s.versions)
		}
		begun = append(begun, s)
	}
	f.engine("u2", "v1")
	f.restart(u, "v2")
	f.awaitGauge("upstreams", 2)
	// Longer than the interval of reports.
	time.Sleep(300 * time.Millisecond)
	for i, s := range begun {
		if rest := f.stream(f.nodes[i/2%2], s.events, s.id); !rest.whole || rest.events != versionEvents-3 || rest.versions[0] != "v1" {
			t.Errorf("a stream that began at v1 is answered with %d and versions %v, want the rest at v1", rest.status, rest.versions)
		}
	}
}
