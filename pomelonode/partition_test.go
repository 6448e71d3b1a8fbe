package pomelonode_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// apart loses every message between the failure domains.
func apart(from, to pomelorelay.Peer) bool { return from.Domain != to.Domain }

// generationsMet reports whether every router has the generation in force.
func (f *fleet) generationsMet(want pomelorelay.Generation) bool {
	for _, r := range f.routers {
		if r.generation() != want {
			return false
		}
	}
	return true
}

func TestPartedDomainsServeAndMeetAgain(t *testing.T) {
	// The failure domains lose each other, one of them also the store; an operator changes the configuration meanwhile and a
	// router dies. Each domain should go on with its own upstreams, a booking sent on both sides should run once, and after
	// the cut heals the change should be in force everywhere.
	f := newFleet(t, 4)
	f.awaitReady()
	f.network.SetPartition(apart)
	for _, r := range f.routers {
		if r.settings.Host.FailureDomain == domains[1] {
			r.store.cut.Store(true)
			r.hosts.cut.Store(true)
		}
	}
	f.content.Accounts[0].Share = 2
	root := f.publish("during the cut")
	await(t, "the change is in force where the store is reached", func() bool {
		return f.routers[0].generation() == root.Generation && f.routers[2].generation() == root.Generation
	})
	f.routers[2].node.Close()
	f.servesEverywhere(t, 0, 1, 3)
	var inside answer
	await(t, "the side with the store takes the booking", func() bool {
		inside = f.routers[0].call(http.MethodPost, "/booking/jobs", "both-sides", `{"piece":"ring"}`)
		return inside.status == http.StatusOK
	})
	outside := f.routers[1].call(http.MethodPost, "/booking/jobs", "both-sides", `{"piece":"ring"}`)
	if outside.status != http.StatusServiceUnavailable || outside.header.Get("Ran") != "No" {
		t.Errorf("the side without the store answered a booking %d, Ran %q", outside.status, outside.header.Get("Ran"))
	}
	f.network.SetPartition(nil)
	healed := time.Now()
	f.start(2)
	await(t, "the change is in force everywhere", func() bool { return f.generationsMet(root.Generation) })
	t.Logf("in force everywhere %v after the cut healed, with the store still out of reach there", time.Since(healed))
	for _, r := range f.routers {
		r.store.cut.Store(false)
		r.hosts.cut.Store(false)
	}
	await(t, "the repeat gets the kept answer", func() bool {
		got := f.routers[1].call(http.MethodPost, "/booking/jobs", "both-sides", `{"piece":"ring"}`)
		return got.status == http.StatusOK && got.body == inside.body
	})
	if n := f.bookedRuns("both-sides"); n != 1 {
		t.Errorf("the booking ran %d times", n)
	}
}

func (f *fleet) servesEverywhere(t *testing.T, routers ...int) {
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

func TestDomainWhoseRoutersDieIsServedByItsRegion(t *testing.T) {
	// Both routers of a failure domain are lost with their rack; its upstreams are not. Left without an owner they would idle
	// while requests wait for the others.
	f := newFleet(t, 4)
	f.awaitReady()
	f.routers[1].node.Close()
	f.routers[3].node.Close()
	before := len(f.statuses[domains[1]].Runs(0))
	await(t, "the upstream of the lost routers' domain works again", func() bool {
		f.atOnce(3*slotsPerUpstream, func(int) { f.routers[0].call(http.MethodPost, "/status/jobs", "", "{}") })
		return len(f.statuses[domains[1]].Runs(0)) > before
	})
}
