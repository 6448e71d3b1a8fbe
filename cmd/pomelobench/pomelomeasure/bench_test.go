package pomelomeasure_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay/cmd/pomelobench/pomelomeasure"
	"github.com/pomelorelay/pomelorelay/pomelofake"
)

// BenchmarkTwoRouters is meant for profiling: it runs the load of the latency command through two routers for 3 s.
func BenchmarkTwoRouters(b *testing.B) {
	fleet, err := pomelomeasure.NewFleet(pomelomeasure.FleetConfig{
		Address: netip.MustParseAddr("127.8.9.2"), FirstPort: 8400, Routers: 2,
		Plain: pomelofake.PlainConfig{Slots: 64, MinRunTime: time.Nanosecond, RunTimeSpread: time.Nanosecond},
	})
	if err != nil {
		b.Fatal(err)
	}
	defer fleet.Close()
	for b.Loop() {
		results, err := pomelomeasure.MeasureLatency(context.Background(), pomelomeasure.LatencyConfig{
			Targets: []pomelomeasure.Target{fleet.DirectTarget("direct"), fleet.RoutedTarget("routed")},
			Token:   fleet.Token(), Body: "{}", RequestsPerSecond: 1000, DurationPerTarget: 3 * time.Second, SliceDuration: time.Second,
		})
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(results[1].AddedP50Milliseconds, "added-p50-ms")
		b.ReportMetric(results[1].AddedP99Milliseconds, "added-p99-ms")
	}
}
