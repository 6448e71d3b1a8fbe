package pomelonode_test

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelofake"
	"github.com/pomelorelay/pomelorelay/pomelolog"
)

// medianCalls is the number of calls per measurement of the median.
const medianCalls = 60

// medianLatency sends idempotent calls through a router, fails the test unless all succeed, and returns their median latency.
func medianLatency(t *testing.T, r *router) time.Duration {
	t.Helper()
	var times []time.Duration
	for range medianCalls {
		began := time.Now()
		if got := r.call(http.MethodPost, "/status/jobs", "", "{}"); got.status != http.StatusOK {
			t.Fatalf("answered %d %v: %s", got.status, got.err, got.body)
		}
		times = append(times, time.Since(began))
	}
	slices.Sort(times)
	return times[len(times)/2]
}

func TestStalledStoreDoesNotBlockIdempotentRequests(t *testing.T) {
	// The store delays its answer to every call. Idempotent requests must not wait for the store at any point.
	f := newFleet(t, 2)
	f.awaitReady()
	before := medianLatency(t, f.routers[0])
	f.store.SetFaults(pomelofake.StoreFaults{Slow: time.Minute})
	t.Cleanup(func() { f.store.SetFaults(pomelofake.StoreFaults{}) })
	t.Logf("median %v before, %v with the store stalled", before, medianLatency(t, f.routers[0]))
}

// blockedWriter blocks every write until it is released, like a full disk or a hung log collector.
type blockedWriter struct{ release chan struct{} }

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

func TestStalledLogDoesNotBlockRequests(t *testing.T) {
	// The process that reads the router's log hangs. If the goroutines that handle requests or the control goroutine wrote events
	// synchronously, they would block too.
	f, _, _ := newTLSFleet(t, 2)
	writer := &blockedWriter{release: make(chan struct{})}
	logger := pomelolog.New(pomelolog.Config{Node: "router-0", Level: pomelorelay.LevelDebug, Writer: writer})
	t.Cleanup(func() { logger.Close() })
	t.Cleanup(func() { close(writer.release) })
	f.routers[0].logger = logger
	for i := range f.routers {
		f.start(i)
	}
	f.awaitReady()
	// More lines than the logger buffers.
	for range 10_000 {
		logger.Log(pomelorelay.EventMeshLinkUp)
	}
	stalledMedian := medianLatency(t, f.routers[0])
	t.Logf("median %v with the log stalled, %v through the other router", stalledMedian, medianLatency(t, f.routers[1]))
}

func TestPausedSlotOwnerDoesNotBlockRequests(t *testing.T) {
	// The router that owns the slots of an upstream is paused: its links stay open, but it does not answer. Calls through the other router
	// of the failure domain must be served by upstreams of another domain, or by this upstream once the paused router is declared dead and
	// another router owns the upstream's slots.
	f := newFleet(t, 4)
	f.awaitReady()
	active, paused := f.routers[0], f.routers[2]
	await(t, "the service has an owner", func() bool {
		return active.owns("status-recife-a") || paused.owns("status-recife-a")
	})
	if active.owns("status-recife-a") {
		active, paused = paused, active
	}
	before := medianLatency(t, active)
	f.network.SetPartition(func(from, to pomelorelay.Peer) bool {
		return from.Node == paused.settings.Host.Name || to.Node == paused.settings.Host.Name
	})
	began := time.Now()
	if got := active.call(http.MethodPost, "/status/jobs", "", "{}"); got.status != http.StatusOK {
		t.Errorf("answered %d %v: %s", got.status, got.err, got.body)
	}
	first := time.Since(began)
	during := medianLatency(t, active)
	f.network.SetPartition(nil)
	t.Logf("median %v before; with the owner paused first call %v, median %v", before, first, during)
}

// owns reports whether the router owns the upstream's slots.
func (r *router) owns(upstream pomelorelay.UpstreamID) bool {
	for _, u := range r.readStatus().Upstreams {
		if u.Upstream == upstream {
			return true
		}
	}
	return false
}
