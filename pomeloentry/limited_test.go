package pomeloentry_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloentry"
	"github.com/pomelorelay/pomelorelay/pomeloforward"
	"github.com/pomelorelay/pomelorelay/pomeloplace"
)

// Guards against routers that take a limited neighbour for one with capacity, or the reverse: a flag that a lost message leaves set, one that is
// summed up by a relay, or capacity assumed at neighbours that a cut-off router no longer hears.
func TestNeighboursAreKnownByTheirOwnNotices(t *testing.T) {
	now := time.Now()
	f := pomeloentry.NewUpdateControl("a-1", 4*time.Second, peersOf(1, 15))
	check := func(what string, known int, limited ...string) {
		t.Helper()
		routers := f.DomainRouters(now)
		var got []string
		for _, r := range routers {
			if r.Limited {
				got = append(got, string(r.Node))
			}
		}
		if len(routers) != known || !slices.Equal(got, limited) {
			t.Errorf("%s: %d routers are known, %v limited; want %d and %v", what, len(routers), got, known, limited)
		}
	}
	check("nothing is heard", 1)
	f.ReceiveReport(now, "a-0", &pomelorelay.LoadReport{Limited: true})
	f.ReceiveReport(now, "a-2", &pomelorelay.LoadReport{Limited: true})
	check("two neighbours are limited", 15, "a-0", "a-2")
	f.ReceiveSummary(now, "a-3", &pomelorelay.LoadSummary{Report: &pomelorelay.LoadReport{Seq: 1, Full: true, Limited: true}})
	check("a summary carries the flag of a false sender", 15, "a-0", "a-2")
	f.ReceiveReport(now, "a-0", &pomelorelay.LoadReport{})
	check("one is no longer limited", 15, "a-2")
	now = now.Add(1600 * time.Millisecond)
	f.ReceiveReport(now, "a-4", &pomelorelay.LoadReport{Seq: 1, Full: true})
	check("the last notice of the other is old", 15)
	now = now.Add(1600 * time.Millisecond)
	check("cut off", 1)
}

// Guards against routers that leave the rotation for a flood in another failure domain, against slow ones that stay although a neighbour is limited, and
// against fast ones that leave with them.
func TestSlowRoutersLeaveForLimitedNeighboursOfTheirDomain(t *testing.T) {
	for name, c := range map[string]struct {
		self, limited pomelorelay.NodeID
		away          bool
	}{"slow": {"a-0", "a-3", true}, "fast": {"a-3", "a-1", false}, "another domain": {"a-0", "b-3", false}} {
		t.Run(name, func(t *testing.T) {
			now, peers := time.Now(), peersOf(2, 4)
			for i := range peers {
				peers[i].CPUSpeed = 0.8
				if strings.HasSuffix(string(peers[i].Node), "-0") {
					peers[i].CPUSpeed = 0.144
				}
			}
			f := pomeloentry.NewUpdateControl(c.self, 4*time.Second, peers)
			for _, p := range peers {
				if p.Node != c.self {
					f.ReceiveReport(now, p.Node, &pomelorelay.LoadReport{})
				}
			}
			f.ReceiveReport(now, c.limited, &pomelorelay.LoadReport{Limited: true})
			f.TickLimited(now, false)
			if f.Away() != c.away {
				t.Errorf("away %v, want %v", f.Away(), c.away)
			}
		})
	}
}

// Guards against neighbours that are not told that an overloaded router limits its admissions, or that it no longer does, against a notice in each tick,
// and against a notice that is applied as a load report.
func TestLimitedRouterNotifiesItsNeighbours(t *testing.T) {
	now := time.Now()
	f := pomeloentry.NewUpdateControl("a-1", 4*time.Second, peersOf(2, 3))
	sent := 0
	for range 20 {
		now = now.Add(50 * time.Millisecond)
		for node, reports := range f.TickLimited(now, true) {
			if !strings.HasPrefix(string(node), "a-") || !reports[0].Limited || reports[0].Seq != 0 {
				t.Errorf("%+v to %s, want only notices of the limit to routers of domain a", reports[0], node)
			}
			sent += len(reports)
		}
	}
	if sent != 2*2 {
		t.Errorf("%d notices in a second, want 2 to each of 2 neighbours", sent)
	}
	if end := f.TickLimited(now, false)["a-0"]; len(end) != 1 || end[0].Limited {
		t.Errorf("%v at the end of the limit, want one notice", end)
	}
	if later := f.TickLimited(now.Add(time.Second), false); len(later) != 0 {
		t.Errorf("%v after the end, want nothing", later)
	}
}

// Guards against a relay whose sums name itself as limited because one of its neighbours is.
func TestSumsOfReportsAreNotLimited(t *testing.T) {
	sum := pomeloentry.NewAggregate()
	sum.Add(time.Now(), "r0", 1, &pomelorelay.LoadReport{Seq: 1, Full: true, Limited: true})
	if sum.Reports(true, "r1")["r1"].Limited {
		t.Error("the sum of reports is limited, want not")
	}
}

// Guards against an overloaded router that spends a placement on each request of a flood beyond its share although none finds a slot, and against a
// Retry-After of 10 ms for requests that would be refused at any router.
func TestOverShareRequestsWithoutSlotsAreRefusedAtOnce(t *testing.T) {
	f, n := overloaded(t)
	f.await("a request gets the Retry-After of the last refused placement", func() bool {
		n.router.Overload()
		n.router.RefuseForSlots("acct", "s", 300*time.Millisecond)
		resp, text, err := exchange(n.settings.CallerAddr, rawRequest(100))
		if err != nil {
			t.Fatal(err)
		}
		return resp.StatusCode == 503 && resp.Header.Get("Retry-After") == "0.300" && strings.Contains(text, fmt.Sprintf(`"Code":%d`, pomelorelay.CodeShareSpent))
	})
	// A request that arrives before the configuration is refused as well, but not placed.
	if n.log.hasWith(pomelorelay.EventRequestRefused, func(l pomelorelay.Field) bool {
		return l.Key == "Code" && l.Value != int(pomelorelay.CodeNotReady)
	}) {
		t.Error("a refused request was placed, want none")
	}
}

// Guards against an account whose over-share requests find no slot and are placed one by one all the same, against one that is refused although slots
// became free, and against accounts whose share is not known to handlers.
func TestPlacementsMarkAccountsWithoutSlots(t *testing.T) {
	d := pomeloentry.NewPlacementControl(pomelorelay.FleetConfig{
		Limits:   pomelorelay.CallerLimits{TokensPerSecond: 1000},
		Accounts: []pomelorelay.AccountSpec{{Name: "flood"}, {Name: "short"}},
		Services: []pomelorelay.ServiceSpec{{Name: "s", Engine: &pomelorelay.EngineSpec{Slots: 10, KVCapacity: 500_000, TokensPerEvent: 7}}},
	}, pomelorelay.FleetUpstream{ID: "u", Service: "s", Domain: "a", Slots: 10})
	now := time.Now()
	place := func(account pomelorelay.AccountID, cost pomelorelay.Cost, tokens pomelorelay.Tokens) pomeloplace.Decision {
		now = now.Add(time.Millisecond)
		return d.Place(now, pomeloforward.PlacementRequest{Account: account, Cost: cost, Request: pomeloplace.Request{
			Service: "s", PromptTokens: tokens, OutputTokens: 10, Target: time.Second, MaxWait: 10 * time.Second,
		}})
	}
	place("short", 500, 400_000)
	refused := place("flood", 30_000, 10)
	for refused.Reason == pomeloplace.ReasonNone {
		refused = place("flood", 30_000, 10)
	}
	if refused.Reason != pomeloplace.ReasonOverShare || refused.Bound != pomeloplace.BoundSlots {
		t.Fatalf("refused for %q, bound %q; want the share and slots", refused.Reason, refused.Bound)
	}
	if wait, ok := d.FullServiceRetryAfter("flood", "s", 0); !ok || wait != refused.RetryAfter {
		t.Errorf("Retry-After %v, %v just after the refusal, want %v", wait, ok, refused.RetryAfter)
	}
	if _, ok := d.FullServiceRetryAfter("flood", "s", 50*time.Millisecond); ok {
		t.Error("refused without a placement 50 ms after the last refusal, want a placement")
	}
	if _, ok := d.FullServiceRetryAfter("short", "s", 0); ok {
		t.Error("another account is refused without a placement")
	}
	if got := d.OverShare(); !got["flood"] || got["short"] {
		t.Errorf("accounts beyond their share: %v, want only flood", got)
	}
}

// Guards against an overloaded router that refuses an account's requests first because it was served a little more than others, although nothing bounds what
// accounts may have: a few refused requests put some account above the level of what is served.
func TestNoAccountIsOverShareWhileCapacityIsUnknown(t *testing.T) {
	d := pomeloentry.NewPlacementControl(pomelorelay.FleetConfig{
		Accounts: []pomelorelay.AccountSpec{{Name: "more"}, {Name: "less"}},
		Services: []pomelorelay.ServiceSpec{{Name: "s", Engine: &pomelorelay.EngineSpec{Slots: 64, KVCapacity: 500_000, TokensPerEvent: 7}}},
	}, pomelorelay.FleetUpstream{ID: "u", Service: "s", Domain: "a", Slots: 64})
	now := time.Now()
	for range 10 {
		for account, cost := range map[pomelorelay.AccountID]pomelorelay.Cost{"more": 1200, "less": 1000} {
			now = now.Add(50 * time.Millisecond)
			d.RefusedUnread(now, account, 100)
			d.Place(now, pomeloforward.PlacementRequest{Account: account, Cost: cost, Request: pomeloplace.Request{Service: "s", PromptTokens: 100, OutputTokens: 10, Target: time.Second, MaxWait: 10 * time.Second}})
		}
	}
	if got := d.OverShare(); len(got) > 0 {
		t.Errorf("accounts beyond their share: %v, want none", got)
	}
}
