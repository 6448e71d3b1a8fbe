package pomeloentry_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Guards against requests that share a prompt part and crash one upstream after another because each is unlike the others.
func TestUnlikeRequestsWithACrashingPartAreRefused(t *testing.T) {
	f := newFleet(t)
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

// Guards against refusing a proper request that is sent to addresses whose upstreams have ended already.
func TestSendsToEndedProcessesAreNoCrashes(t *testing.T) {
	f := newFleet(t)
	f.store.PublishConfig(f.config(1, "/a/"))
	for _, id := range []pomelorelay.UpstreamID{"u1", "u2", "u3"} {
		f.crashingUpstream(id, false)
	}
	n := f.start(8 * time.Second)
	f.awaitGauge(n, "upstreams", 3)
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
