package pomeloentry_test

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloentry"
	"github.com/pomelorelay/pomelorelay/pomeloforward"
	"github.com/pomelorelay/pomelorelay/pomeloplace"
)

func accountRequest(id int, account pomelorelay.AccountID, cost pomelorelay.Cost) pomeloforward.PlacementRequest {
	return pomeloforward.PlacementRequest{
		Account: account, Cost: cost, Fingerprint: pomelorelay.Fingerprint(id),
		Request: pomeloplace.Request{Service: "s", PromptTokens: 1, OutputTokens: 1, Target: time.Second, MaxWait: 9 * time.Second},
	}
}

// floodedControl returns a router that has refused a request of a flooding account for its share, with the request's number and the refusal.
func floodedControl(t *testing.T, now time.Time) (pomeloentry.PlacementControl, int, pomeloplace.Decision) {
	t.Helper()
	d := pomeloentry.NewPlacementControl(pomelorelay.FleetConfig{
		Limits:   pomelorelay.CallerLimits{TokensPerSecond: 1000},
		Services: []pomelorelay.ServiceSpec{{Name: "s", Engine: &pomelorelay.EngineSpec{Slots: 200, KVCapacity: 5_000_000, TokensPerEvent: 7}}},
	}, pomelorelay.FleetUpstream{ID: "u", Service: "s", Domain: "a", Slots: 200})
	for i := range 50 {
		if got := d.Place(now, accountRequest(i, "calm", 1)); got.Reason != pomeloplace.ReasonNone {
			t.Fatalf("a request at an idle engine is refused: %+v", got)
		}
	}
	// Another account is short of its demand, which full routers refused.
	d.RefusedUnread(now, "short", 200_000)
	for i := 50; i < 1000; i++ {
		if got := d.Place(now, accountRequest(i, "flood", 1000)); got.Reason == pomeloplace.ReasonOverShare {
			return d, i, got
		}
	}
	t.Fatal("no request of the flooding account was refused for its share")
	return d, 0, pomeloplace.Decision{}
}

// Guards against operators that cannot see from metrics who is served and refused and whether returns after the Retry-After are served, and against
// counters for any number of accounts.
func TestPromisesAndAccountsAreCounted(t *testing.T) {
	now := time.Now()
	d, id, refused := floodedControl(t, now)
	if refused.RetryAfter < 100*time.Millisecond || refused.RetryAfter > time.Second/2 {
		t.Errorf("Retry-After %v, want at least 100 ms and at most half of the target", refused.RetryAfter)
	}
	// The engine is as full as before, so that the return is refused again.
	d.Place(now.Add(refused.RetryAfter), accountRequest(id, "flood", 1000))
	d.RefusedByOverload("flood", 1)
	for i := range 300 {
		d.Place(now.Add(20*time.Second), accountRequest(3000+i, pomelorelay.AccountID(fmt.Sprint("n", i)), 1))
	}
	w := httptest.NewRecorder()
	d.Metrics().ServeHTTP(w, httptest.NewRequest("GET", "/", nil))
	text, account := w.Body.String(), "pomelorelay_account_requests_total{account="
	for _, want := range []string{
		`pomelorelay_promises_total{outcome="made"}`, `pomelorelay_promises_total{outcome="broken"} 1`, account + `"calm",event="requested"} 50`, account + `"calm",event="within_share"} 50`,
		account + `"flood",event="refused_Share"} 2`, account + `"flood",event="refused_Overload"} 1`, account + `"short",event="refused_Unread"} 1`, account + `"(other)",event="requested"}`,
	} {
		if !strings.Contains(text, want) {
			t.Errorf("the metrics do not contain %s", want)
		}
	}
	if n := strings.Count(text, account); n > 1000 {
		t.Errorf("%d counters of accounts, want a bounded number", n)
	}
}
