package pomeloentry_test

import (
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloentry"
	"github.com/pomelorelay/pomelorelay/pomeloforward"
	"github.com/pomelorelay/pomelorelay/pomeloplace"
)

// Many upstreams are down, and one account floods the fleet. Its requests find those that are down and ask for another place; let in
// there as if they were within its share, the flood takes the engines that live, and other accounts see their requests refused.
func TestAFloodStaysBeyondItsShareWhenUpstreamsAreDown(t *testing.T) {
	d := pomeloentry.NewDecider(pomelorelay.FleetConfig{
		Limits:   pomelorelay.CallerLimits{TokensPerSecond: 1000},
		Services: []pomelorelay.ServiceSpec{{Name: "s", Engine: &pomelorelay.EngineSpec{Slots: 10, Memory: 500_000, EventTokens: 7}}},
	}, pomelorelay.FleetUpstream{ID: "u", Service: "s", Domain: "a", Slots: 10})
	now := time.Now()
	flood := func(again, charged bool) pomeloplace.Reason {
		now = now.Add(time.Millisecond)
		return d.Place(now, pomeloforward.Work{Account: "flood", Cost: 1000, Again: again, Charged: charged, Place: pomeloplace.Request{
			Service: "s", Prompt: 100, Output: 100, Target: time.Second, Left: 10 * time.Second,
		}}).Reason
	}
	placed := 0
	for flood(false, false) == pomeloplace.ReasonNone {
		placed++
	}
	if placed == 0 {
		t.Fatal("nothing was placed on an engine that is free")
	}
	for _, c := range []struct {
		name           string
		again, charged bool
		want           pomeloplace.Reason
	}{
		{"first asked", false, false, pomeloplace.ReasonShare},
		{"found an upstream down", true, false, pomeloplace.ReasonShare},
		{"ran and failed", true, true, pomeloplace.ReasonNone},
	} {
		if got := flood(c.again, c.charged); got != c.want {
			t.Errorf("a request that %s: %q, want %q", c.name, got, c.want)
		}
	}
}
