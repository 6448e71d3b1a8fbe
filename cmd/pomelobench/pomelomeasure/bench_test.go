package pomelomeasure_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay/cmd/pomelobench/pomelomeasure"
	"github.com/pomelorelay/pomelorelay/pomelofake"
)

// BenchmarkTwoRouters is there to be profiled: the load of the latency command through two routers for 3 s.
func BenchmarkTwoRouters(b *testing.B) {
	fleet, err := pomelomeasure.NewFleet(pomelomeasure.FleetConfig{
		Address: netip.MustParseAddr("127.8.9.2"), Port: 8400, Routers: 2,
		Plain: pomelofake.PlainConfig{Slots: 64, MinRunTime: time.Nanosecond, RunTimeSpread: time.Nanosecond},
	})
	if err != nil {
		b.Fatal(err)
	}
	defer fleet.Close()
	for b.Loop() {
		results, err := pomelomeasure.Latency(context.Background(), pomelomeasure.LatencyConfig{
			Targets: []pomelomeasure.Target{fleet.Direct("direct"), fleet.Routed("routed")},
			Token:   fleet.Token(), Body: "{}", Rate: 1000, Duration: 3 * time.Second, Slice: time.Second,
		})
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(results[1].AddedP50Milliseconds, "added-p50-ms")
		b.ReportMetric(results[1].AddedP99Milliseconds, "added-p99-ms")
	}
}
