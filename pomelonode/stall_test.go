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

// stallCalls are made before and during a stall.
const stallCalls = 60

// median sends calls that may be repeated through a router, fails unless all are answered, and returns the middle time.
func median(t *testing.T, r *router) time.Duration {
	t.Helper()
	var times []time.Duration
	for range stallCalls {
		began := time.Now()
		if got := r.call(http.MethodPost, "/status/jobs", "", "{}"); got.status != http.StatusOK {
			t.Fatalf("answered %d %v: %s", got.status, got.err, got.body)
		}
		times = append(times, time.Since(began))
	}
	slices.Sort(times)
	return times[len(times)/2]
}

func TestStalledStoreHoldsNoCallThatMayBeRepeated(t *testing.T) {
	// The store takes seconds for every call. A router that waited for it anywhere on the path of a status check would keep
	// the counter staff waiting as well.
	f := newFleet(t, 2)
	f.awaitReady()
	before := median(t, f.routers[0])
	f.store.SetFaults(pomelofake.StoreFaults{Slow: time.Minute})
	t.Cleanup(func() { f.store.SetFaults(pomelofake.StoreFaults{}) })
	t.Logf("median %v before, %v with the store stalled", before, median(t, f.routers[0]))
}

// stuckWriter blocks every write until it is released, as a full disk or a hung collector does.
type stuckWriter struct{ release chan struct{} }

func (w *stuckWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

func TestStalledLogHoldsNoRequest(t *testing.T) {
	// What reads the router's log hangs. A router that writes events from its requests or its control goroutine would stand still
	// with it.
	f, _, _ := newKeyedFleet(t, 2)
	stuck := &stuckWriter{release: make(chan struct{})}
	logger := pomelolog.New(pomelolog.Config{Node: "router-0", Level: pomelorelay.LevelDebug, Writer: stuck})
	t.Cleanup(func() { logger.Close() })
	t.Cleanup(func() { close(stuck.release) })
	f.routers[0].logger = logger
	for i := range f.routers {
		f.start(i)
	}
	f.awaitReady()
	// More lines than wait for the writer.
	for range 10_000 {
		logger.Log(pomelorelay.EventMeshLinkUp)
	}
	stuckMedian := median(t, f.routers[0])
	t.Logf("median %v with the log stalled, %v through the other router", stuckMedian, median(t, f.routers[1]))
}

func TestStalledOwnerHoldsNoCallForLong(t *testing.T) {
	// The router that owns the slots of the domain's service is paused: its links stay open and it answers nothing. Calls through
	// the other router of the domain have to be served by another domain, or by the next owner once it is taken for dead.
	f := newFleet(t, 4)
	f.awaitReady()
	called, paused := f.routers[0], f.routers[2]
	await(t, "the service has an owner", func() bool {
		return called.owns("status-recife-a") || paused.owns("status-recife-a")
	})
	if called.owns("status-recife-a") {
		called, paused = paused, called
	}
	before := median(t, called)
	f.network.SetPartition(func(from, to pomelorelay.Peer) bool {
		return from.Node == paused.settings.Host.Name || to.Node == paused.settings.Host.Name
	})
	began := time.Now()
	if got := called.call(http.MethodPost, "/status/jobs", "", "{}"); got.status != http.StatusOK {
		t.Errorf("answered %d %v: %s", got.status, got.err, got.body)
	}
	first := time.Since(began)
	during := median(t, called)
	f.network.SetPartition(nil)
	t.Logf("median %v before; with the owner silent the first call %v, median %v", before, first, during)
}

// owns reports whether the router grants the upstream's slots.
func (r *router) owns(upstream pomelorelay.UpstreamID) bool {
	for _, u := range r.readStatus().Upstreams {
		if u.Upstream == upstream {
			return true
		}
	}
	return false
}
