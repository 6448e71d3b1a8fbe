package pomelonode_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// leaveWithin is the time from the host list's saying that an upstream leaves to its last new request.
const leaveWithin = 3 * time.Second

// leave lets the status server of the first failure domain leave, waits for the deadline, and fails when it then gets anything
// new through the routers.
func (f *fleet) leave(t *testing.T, routers ...int) {
	t.Helper()
	server := f.statuses[domains[0]]
	shown, _ := f.hosts.MarkLeaving("status-" + string(domains[0]))
	for n := 0; time.Since(shown) < leaveWithin; n++ {
		f.routers[routers[n%len(routers)]].call(http.MethodPost, "/status/jobs", "", fmt.Sprintf(`{"before":%d}`, n))
	}
	before := len(server.Runs(0))
	for n := range 40 {
		got := f.routers[routers[n%len(routers)]].call(http.MethodPost, "/status/jobs", "", fmt.Sprintf(`{"n":%d}`, n))
		if got.status != http.StatusOK {
			t.Fatalf("a request was answered %d: %s", got.status, got.body)
		}
	}
	if n := len(server.Runs(0)) - before; n != 0 {
		t.Errorf("the leaving upstream got %d new requests", n)
	}
}

func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	// The platform takes a status server away. One router cannot read the host list, and the notices of the leaving to it are lost.
	// If it went on sending there, callers would get errors from a server that is being shut down.
	f := newFleet(t, 4)
	f.awaitReady()
	deaf := f.routers[2]
	deaf.hosts.cut.Store(true)
	f.network.SetMessageLoss(func(to pomelorelay.Peer, m pomelorelay.Message) bool {
		_, notice := m.(*pomelorelay.LeavingNotice)
		return notice && to.Node == deaf.settings.Host.Name
	})
	f.leave(t, 0, 1, 2, 3)
}

func TestLeavingUpstreamWhoseOwnerIsCutOffGetsNoNewWork(t *testing.T) {
	// The router that grants the slots of a status server is cut off just as the server begins to leave. Its last grants are still
	// with the others, and nobody revokes them; used after the deadline they would send callers to a server that is gone.
	f := newFleet(t, 6)
	f.awaitReady()
	upstream := pomelorelay.UpstreamID("status-" + string(domains[0]))
	owner := -1
	await(t, "the upstream has an owner", func() bool {
		for i, r := range f.routers {
			if r.owns(upstream) {
				owner = i
			}
		}
		return owner >= 0
	})
	var others []int
	for i := range f.routers {
		if i != owner {
			others = append(others, i)
		}
	}
	alone := f.routers[owner].settings.Host.Name
	f.routers[owner].hosts.cut.Store(true)
	f.network.SetPartition(func(from, to pomelorelay.Peer) bool { return from.Node == alone || to.Node == alone })
	f.leave(t, others...)
}
