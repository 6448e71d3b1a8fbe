package pomelonode_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// maxLeaveDelay is how long an upstream may still get new requests after the host list shows it as leaving.
const maxLeaveDelay = 3 * time.Second

// checkLeaving makes the upstream of the status service in the first failure domain leave, and fails the test if that upstream gets
// requests from the given routers after maxLeaveDelay.
func (f *fleet) checkLeaving(t *testing.T, routers ...int) {
	t.Helper()
	server := f.statuses[domains[0]]
	shown, _ := f.hosts.MarkLeaving("status-" + string(domains[0]))
	for n := 0; time.Since(shown) < maxLeaveDelay; n++ {
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
	// The platform removes a server. One router cannot read the host list, and the LeavingNotice messages to that router are lost. If that
	// router continued to send to the server, callers would get errors from a server that is being shut down.
	f := newFleet(t, 4)
	f.awaitReady()
	uninformed := f.routers[2]
	uninformed.hosts.unreachable.Store(true)
	f.network.SetMessageLoss(func(to pomelorelay.Peer, m pomelorelay.Message) bool {
		_, notice := m.(*pomelorelay.LeavingNotice)
		return notice && to.Node == uninformed.settings.Host.Name
	})
	f.checkLeaving(t, 0, 1, 2, 3)
}

func TestLeavingUpstreamWithPartitionedOwnerGetsNoNewWork(t *testing.T) {
	// The router that owns the slots of a server is behind a network partition when the server starts leaving, so that the slots that it
	// granted last are not revoked. If these grants were used after maxLeaveDelay, requests would be sent to a server that no longer
	// exists.
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
	ownerNode := f.routers[owner].settings.Host.Name
	f.routers[owner].hosts.unreachable.Store(true)
	f.network.SetPartition(func(from, to pomelorelay.Peer) bool { return from.Node == ownerNode || to.Node == ownerNode })
	f.checkLeaving(t, others...)
}
