package pomelomeasure_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/cmd/pomelobench/pomelomeasure"
	"github.com/pomelorelay/pomelorelay/pomeloconfig"
	"github.com/pomelorelay/pomelorelay/pomelofake"
)

func TestLatencyCountsEachTargetSeparately(t *testing.T) {
	fleet, err := pomelomeasure.NewFleet(pomelomeasure.FleetConfig{
		Address: netip.MustParseAddr("127.8.9.1"), FirstPort: 8400, Routers: 2,
		Plain: pomelofake.PlainConfig{Slots: 8, MinRunTime: time.Nanosecond, RunTimeSpread: time.Nanosecond},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer fleet.Close()
	absent := pomelomeasure.Target{Name: "absent", URLs: []string{"http://127.8.9.1:1/"}}
	results, err := pomelomeasure.MeasureLatency(context.Background(), pomelomeasure.LatencyConfig{
		Targets: []pomelomeasure.Target{fleet.DirectTarget("direct"), fleet.RoutedTarget("routed"), absent},
		Token:   fleet.Token(), Body: "{}", RequestsPerSecond: 100, DurationPerTarget: 400 * time.Millisecond, SliceDuration: 200 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	for i, want := range []struct{ requests, failures int64 }{{40, 0}, {40, 0}, {0, 40}} {
		got := results[i]
		if got.Requests != want.requests || got.Failures != want.failures {
			t.Errorf("target %+v, want requests and failures %+v", got, want)
		}
	}
	if results[0].P50Milliseconds <= 0 || results[1].AddedP50Milliseconds != results[1].P50Milliseconds-results[0].P50Milliseconds {
		t.Errorf("got %+v, want a positive p50 and the added p50 as the difference from the first target", results)
	}
}

func TestMeasureLatencyRequiresTargets(t *testing.T) {
	if _, err := pomelomeasure.MeasureLatency(context.Background(), pomelomeasure.LatencyConfig{}); !pomelorelay.IsErrCode(err, pomelorelay.CodeBenchPlan) {
		t.Errorf("got error %v, want CodeBenchPlan", err)
	}
}

func TestAddAccountsCreatesUniqueNames(t *testing.T) {
	c := pomeloconfig.Configuration{
		Teams:    []pomeloconfig.Team{{Name: "jewellers", ShareTotal: 1}},
		Accounts: []pomeloconfig.Account{{Name: "workshop", Team: "jewellers", Share: 1, TokenHashes: []string{pomeloconfig.HashToken("t")}}},
	}
	pomelomeasure.AddAccounts(&c, 50)
	seen := make(map[pomelorelay.AccountID]bool)
	for _, a := range c.Accounts {
		seen[a.Name] = true
	}
	if len(seen) != 50 || c.Teams[0].ShareTotal != 0 {
		t.Errorf("%d accounts with share total %v, want 50 and 0", len(seen), c.Teams[0].ShareTotal)
	}
}
