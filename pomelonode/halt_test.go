package pomelonode_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

func TestHaltedRouterSendsNothingToAnUpstreamThatLeft(t *testing.T) {
	// A router's control goroutine stands still for seconds, here in a send, and a status server leaves meanwhile. Requests that pass
	// it, and those that wait until it goes on, would be sent to a server that is being shut down.
	f := newFleet(t, 2)
	f.awaitReady()
	r := f.routers[0]
	await(t, "requests are served", func() bool {
		return r.call(http.MethodPost, "/status/jobs", "", "{}").status == http.StatusOK
	})
	release := make(chan struct{})
	var once sync.Once
	goOn := func() { once.Do(func() { close(release) }) }
	defer goOn()
	f.network.SetPartition(func(from, _ pomelorelay.Peer) bool {
		if from.Node == r.settings.Host.Name {
			<-release
		}
		return false
	})
	shown, _ := f.hosts.MarkLeaving("status-" + string(domains[0]))
	await(t, "the deadline of 3 s", func() bool { return time.Since(shown) > 3*time.Second })
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
	goOn()
	waiting.Wait()
	if n := len(f.statuses[domains[0]].Runs(0)) - before; n != 0 {
		t.Errorf("the leaving upstream got %d new requests", n)
	}
}
