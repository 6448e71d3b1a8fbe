package pomelonode_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Guards against routers that send new work to an evacuated failure domain, and against a domain that gets no work after its evacuation has
// ended.
func TestEvacuatedDomainGetsNoNewWork(t *testing.T) {
	f := newFleet(t, 4)
	f.awaitReady()
	server := f.statuses[domains[0]]
	call := func(n int) int {
		return f.routers[n%len(f.routers)].call(http.MethodPost, "/status/jobs", "", fmt.Sprintf(`{"n":%d}`, n)).status
	}
	f.content.Evacuated = []pomelorelay.DomainID{domains[0]}
	f.publish("evacuate")
	accepted := time.Now()
	for n := 0; time.Since(accepted) < maxLeaveDelay; n++ {
		call(n)
	}
	before := len(server.Runs(0))
	for n := range 40 {
		if status := call(n); status != http.StatusOK {
			t.Fatalf("a request was answered %d", status)
		}
	}
	if n := len(server.Runs(0)) - before; n != 0 {
		t.Errorf("the evacuated domain got %d new requests", n)
	}
	f.content.Evacuated = nil
	f.publish("take it back")
	await(t, "the domain gets requests again", func() bool {
		for n := range 20 {
			call(n)
		}
		return len(server.Runs(0)) > before
	})
}
