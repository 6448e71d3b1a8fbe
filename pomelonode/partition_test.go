package pomelonode_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// crossesDomains reports whether two routers are in different failure domains; as a partition rule it separates the domains from each
// other.
func crossesDomains(from, to pomelorelay.Peer) bool { return from.Domain != to.Domain }

// allHaveGeneration reports whether the generation is active on every router.
func (f *fleet) allHaveGeneration(want pomelorelay.Generation) bool {
	for _, r := range f.routers {
		if r.generation() != want {
			return false
		}
	}
	return true
}

func TestPartitionedDomainsServeAndRecover(t *testing.T) {
	// The failure domains are partitioned from each other, and one of them also from the store, while an operator changes the configuration
	// and a router dies. Each domain must serve with its own upstreams, a booking sent on both sides must run once, and after the partition
	// heals the change must become active on every router.
	f := newFleet(t, 4)
	f.awaitReady()
	f.network.SetPartition(crossesDomains)
	for _, r := range f.routers {
		if r.settings.Host.FailureDomain == domains[1] {
			r.store.unreachable.Store(true)
			r.hosts.unreachable.Store(true)
		}
	}
	f.content.Accounts[0].Share = 2
	root := f.publish("during the cut")
	await(t, "the change is active where the store is reachable", func() bool {
		return f.routers[0].generation() == root.Generation && f.routers[2].generation() == root.Generation
	})
	f.routers[2].node.Close()
	f.assertServedBy(t, 0, 1, 3)
	var inside answer
	await(t, "the side with the store accepts the booking", func() bool {
		inside = f.routers[0].call(http.MethodPost, "/booking/jobs", "both-sides", `{"piece":"ring"}`)
		return inside.status == http.StatusOK
	})
	outside := f.routers[1].call(http.MethodPost, "/booking/jobs", "both-sides", `{"piece":"ring"}`)
	if outside.status != http.StatusServiceUnavailable || outside.header.Get("Ran") != "No" {
		t.Errorf("the side without the store answered a booking with %d, Ran %q", outside.status, outside.header.Get("Ran"))
	}
	f.network.SetPartition(nil)
	healed := time.Now()
	f.start(2)
	await(t, "the change is active on every router", func() bool { return f.allHaveGeneration(root.Generation) })
	t.Logf("active on every router %v after the partition healed, with the store still unreachable from one side", time.Since(healed))
	for _, r := range f.routers {
		r.store.unreachable.Store(false)
		r.hosts.unreachable.Store(false)
	}
	await(t, "the retry gets the stored answer", func() bool {
		got := f.routers[1].call(http.MethodPost, "/booking/jobs", "both-sides", `{"piece":"ring"}`)
		return got.status == http.StatusOK && got.body == inside.body
	})
	if n := f.bookingRuns("both-sides"); n != 1 {
		t.Errorf("the booking ran %d times", n)
	}
}

func (f *fleet) assertServedBy(t *testing.T, routers ...int) {
	t.Helper()
	for _, i := range routers {
		for _, path := range []string{"/status/jobs", "/assistant/v1/chat/completions"} {
			got := f.routers[i].call(http.MethodPost, path, "", chat)
			if got.status != http.StatusOK {
				t.Errorf("router %d answered %s with %d: %s", i, path, got.status, got.body)
			}
		}
	}
}

func TestUpstreamsOfDomainWithoutRoutersAreServedByRegion(t *testing.T) {
	// Both routers of a failure domain fail, but its upstreams do not. If no other router took over the upstreams' slots, these upstreams
	// would be unused while requests wait for upstreams of other domains.
	f := newFleet(t, 4)
	f.awaitReady()
	f.routers[1].node.Close()
	f.routers[3].node.Close()
	before := len(f.statuses[domains[1]].Runs(0))
	await(t, "the upstream of the failed routers' domain gets requests", func() bool {
		f.concurrently(3*slotsPerUpstream, func(int) { f.routers[0].call(http.MethodPost, "/status/jobs", "", "{}") })
		return len(f.statuses[domains[1]].Runs(0)) > before
	})
}
