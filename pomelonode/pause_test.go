package pomelonode_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

func TestPausedRouterSendsNothingToLeavingUpstream(t *testing.T) {
	// A router's control goroutine is blocked for seconds, here while it sends a message, and meanwhile an upstream of the status service
	// starts leaving: it is about to be shut down. Requests that bypass the control goroutine, and those that are granted a slot right
	// after it resumes, could be sent to this upstream while it shuts down.
	f := newFleet(t, 2)
	f.awaitReady()
	r := f.routers[0]
	await(t, "requests are served", func() bool {
		return r.call(http.MethodPost, "/status/jobs", "", "{}").status == http.StatusOK
	})
	release := make(chan struct{})
	var once sync.Once
	resume := func() { once.Do(func() { close(release) }) }
	defer resume()
	f.network.SetPartition(func(from, _ pomelorelay.Peer) bool {
		if from.Node == r.settings.Host.Name {
			<-release
		}
		return false
	})
	shown, _ := f.hosts.MarkLeaving("status-" + string(domains[0]))
	await(t, "3 s have passed since the upstream started leaving", func() bool { return time.Since(shown) > 3*time.Second })
	before := len(f.statuses[domains[0]].Runs(0))
	var waiting sync.WaitGroup
	for i := range 8 {
		waiting.Go(func() {
			got := r.call(http.MethodPost, "/status/jobs", "", fmt.Sprintf(`{"n":%d}`, i))
			if got.status != http.StatusOK {
				t.Errorf("a request was answered %d: %s", got.status, got.body)
			}
		})
	}
	time.Sleep(time.Second)
	f.network.SetPartition(nil)
	resume()
	waiting.Wait()
	if n := len(f.statuses[domains[0]].Runs(0)) - before; n != 0 {
		t.Errorf("the leaving upstream got %d new requests", n)
	}
}
