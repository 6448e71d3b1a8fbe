package pomeloentry_test

import (
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloentry"
	"github.com/pomelorelay/pomelorelay/pomeloforward"
	"github.com/pomelorelay/pomelorelay/pomeloplace"
)

// Guards against a flooding account whose retries after unreachable upstreams skip the share check: the flood would take the live
// engines, and requests of other accounts would be refused.
func TestFloodStaysOverShareWhenUpstreamsAreDown(t *testing.T) {
	d := pomeloentry.NewPlacementControl(pomelorelay.FleetConfig{
		Limits:   pomelorelay.CallerLimits{TokensPerSecond: 1000},
		Services: []pomelorelay.ServiceSpec{{Name: "s", Engine: &pomelorelay.EngineSpec{Slots: 10, KVCapacity: 500_000, TokensPerEvent: 7}}},
	}, pomelorelay.FleetUpstream{ID: "u", Service: "s", Domain: "a", Slots: 10})
	now := time.Now()
	flood := func(retry, charged bool) pomeloplace.Reason {
		now = now.Add(time.Millisecond)
		return d.Place(now, pomeloforward.PlacementRequest{Account: "flood", Cost: 1000, Retry: retry, Charged: charged, Request: pomeloplace.Request{
			Service: "s", PromptTokens: 100, OutputTokens: 100, Target: time.Second, MaxWait: 10 * time.Second,
		}}).Reason
	}
	placed := 0
	for flood(false, false) == pomeloplace.ReasonNone {
		placed++
	}
	if placed == 0 {
		t.Fatal("no request was placed on an idle engine")
	}
	for _, c := range []struct {
		name           string
		retry, charged bool
		want           pomeloplace.Reason
	}{
		{"is placed for the first time", false, false, pomeloplace.ReasonOverShare},
		{"found an upstream down", true, false, pomeloplace.ReasonOverShare},
		{"ran and failed", true, true, pomeloplace.ReasonNone},
	} {
		if got := flood(c.retry, c.charged); got != c.want {
			t.Errorf("a request that %s: %q, want %q", c.name, got, c.want)
		}
	}
}

// Guards against capacity that stays reserved for routers that never report. A router that starts while another region is cut off
// would assume that each router there sends as much as itself, reserve most of each engine for them, and refuse requests although
// engines are idle.
func TestUnreportedRoutersStopCountingAfterTimeout(t *testing.T) {
	for _, c := range []struct {
		passed time.Duration
		want   int
	}{
		{0, 1},
		{time.Second, 1},
		{10 * time.Second, 0},
	} {
		if got := pomeloentry.UnreportedAfter(c.passed); got != c.want {
			t.Errorf("%v after the registration, %d routers count as unreported, want %d", c.passed, got, c.want)
		}
	}
}

// Guards against underestimating the demand of an account whose requests full routers refuse unread. If the load balancer sends
// most callers of the account to a full host, the routers would assume that the account is satisfied, and another account would get
// twice as much while requests of the first one are refused.
func TestRequestsRefusedByFullRouterCountAsDemand(t *testing.T) {
	d := pomeloentry.NewPlacementControl(pomelorelay.FleetConfig{
		Limits:   pomelorelay.CallerLimits{TokensPerSecond: 10_000},
		Services: []pomelorelay.ServiceSpec{{Name: "s", Engine: &pomelorelay.EngineSpec{Slots: 64, KVCapacity: 500_000, TokensPerEvent: 7}}},
	}, pomelorelay.FleetUpstream{ID: "u", Service: "s", Domain: "a", Slots: 64})
	now := time.Now()
	other := func() pomeloplace.ShareState {
		now = now.Add(500 * time.Millisecond)
		return d.Place(now, pomeloforward.PlacementRequest{Account: "other", Cost: 5000, Request: pomeloplace.Request{
			Service: "s", PromptTokens: 100, OutputTokens: 10, Target: time.Second, MaxWait: 10 * time.Second,
		}}).Share
	}
	for range 6 {
		other()
	}
	alone := other()
	for range 10 {
		d.RefusedUnread(now, "short", 4000)
	}
	if contended := other(); !alone.WithinShare || contended.WithinShare {
		t.Errorf("within its share: %v alone, want true, and %v beside an account whose requests are all refused, want false; fair share %.0f and %.0f", alone.WithinShare, contended.WithinShare, alone.FairShare, contended.FairShare)
	}
}

// Guards against applying late load reports, as when two relays forward the same reports or a report comes from the process before a
// restart. Applied after a newer report, an old one restores finished requests; the engine appears full, and requests are refused.
func TestLateReportsAreIgnored(t *testing.T) {
	d := pomeloentry.NewPlacementControl(pomelorelay.FleetConfig{
		Limits:   pomelorelay.CallerLimits{TokensPerSecond: 1000},
		Services: []pomelorelay.ServiceSpec{{Name: "s", Engine: &pomelorelay.EngineSpec{Slots: 10, KVCapacity: 500_000, TokensPerEvent: 7}}},
	}, pomelorelay.FleetUpstream{ID: "u", Service: "s", Domain: "a", Slots: 10})
	now := time.Now()
	running := func() int {
		now = now.Add(time.Millisecond)
		return d.Place(now, pomeloforward.PlacementRequest{Request: pomeloplace.Request{Service: "s", PromptTokens: 100, Target: time.Nanosecond, MaxWait: time.Nanosecond}}).Running
	}
	report := func(seq uint64, runs uint32, served pomelorelay.Cost) *pomelorelay.LoadReport {
		return &pomelorelay.LoadReport{
			Seq: seq, Upstreams: []pomelorelay.UpstreamLoad{{Upstream: "u", Running: runs}},
			Accounts: []pomelorelay.AccountUse{{Account: "acct", Requested: served, Served: served}},
		}
	}
	for at := time.Duration(0); at < 5*time.Second; at += 100 * time.Millisecond {
		now = now.Add(100 * time.Millisecond)
		running()
	}
	for _, c := range []struct {
		name        string
		incarnation pomelorelay.Incarnation
		report      *pomelorelay.LoadReport
		running     int
		served      pomelorelay.Cost
	}{
		{"the first", 1, report(5, 8, 100), 8, 100},
		{"a newer one", 1, report(7, 2, 300), 2, 300},
		{"a late one", 1, report(6, 9, 200), 2, 300},
		{"a repeated one", 1, report(7, 2, 300), 2, 300},
		{"the first of a new start", 2, report(1, 1, 50), 1, 350},
		{"one of the former start", 1, report(8, 9, 900), 1, 350},
	} {
		d.Report(now, "peer", c.incarnation, c.report)
		if got := running(); got != c.running {
			t.Errorf("%s: %d requests running, want %d", c.name, got, c.running)
		}
		if got := d.Served("acct"); got != c.served {
			t.Errorf("%s: %v served, want %v", c.name, got, c.served)
		}
	}
}

// Guards against a request that is refused for its account's standing after an upstream has begun to run it: what it costs was charged before, and its caller
// would lose a stream midway.
func TestRequestThatMayHaveRunIsNotLimitedByStanding(t *testing.T) {
	d := pomeloentry.NewPlacementControl(pomelorelay.FleetConfig{
		Limits:   pomelorelay.CallerLimits{TokensPerSecond: 10_000},
		Services: []pomelorelay.ServiceSpec{{Name: "s", Engine: &pomelorelay.EngineSpec{Slots: 64, KVCapacity: 500_000, TokensPerEvent: 7}}},
	}, pomelorelay.FleetUpstream{ID: "u", Service: "s", Domain: "a", Slots: 64})
	now := time.Now()
	standing := func(charged bool) pomelorelay.Standing {
		now = now.Add(100 * time.Millisecond)
		d.RefusedUnread(now, "short", 4000)
		return d.Place(now, pomeloforward.PlacementRequest{Account: "flood", Cost: 5000, Retry: charged, Charged: charged, Request: pomeloplace.Request{
			Service: "s", PromptTokens: 100, OutputTokens: 10, Target: time.Second, MaxWait: 10 * time.Second,
		}}).Standing
	}
	for range 20 {
		standing(false)
	}
	if first, again := standing(false), standing(true); !first.Limited() || again.Limited() {
		t.Errorf("standing %+v of a first attempt, want a limit, and %+v of one that may have run before, want none", first, again)
	}
}

// Guards against an account that is limited for the sake of one which the configuration keeps out of its region.
func TestAccountOfAnotherRegionDoesNotLimit(t *testing.T) {
	for _, c := range []struct {
		short   []pomelorelay.RegionID
		limited bool
	}{{nil, true}, {[]pomelorelay.RegionID{"ra"}, true}, {[]pomelorelay.RegionID{"rb"}, false}} {
		d := pomeloentry.NewPlacementControl(pomelorelay.FleetConfig{
			Accounts: []pomelorelay.AccountSpec{{Name: "flood"}, {Name: "short", Regions: c.short}},
			Services: []pomelorelay.ServiceSpec{{Name: "s", Engine: &pomelorelay.EngineSpec{Slots: 64, KVCapacity: 500_000, TokensPerEvent: 7}}},
		}, pomelorelay.FleetUpstream{ID: "u", Service: "s", Domain: "a", Slots: 64})
		now, standing := time.Now(), pomelorelay.Standing{}
		for range 20 {
			now = now.Add(50 * time.Millisecond)
			d.RefusedUnread(now, "short", 4000)
			standing = d.Place(now, pomeloforward.PlacementRequest{Account: "flood", Cost: 5000, Request: pomeloplace.Request{
				Service: "s", PromptTokens: 100, OutputTokens: 10, Target: time.Second, MaxWait: 10 * time.Second,
			}}).Standing
		}
		if standing.Limited() != c.limited {
			t.Errorf("the other account is allowed in %v: standing %+v in ra, want a limit: %v", c.short, standing, c.limited)
		}
	}
}
