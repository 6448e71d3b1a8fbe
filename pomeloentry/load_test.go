package pomeloentry_test

import (
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloentry"
)

// A flood of streams comes to a host whose processor carries fewer of them than was thought, or more. Taking too many, its run queue
// grows to seconds and callers are gone before their requests are sent; taking too few, they are refused beside a free processor.
func TestTheLimitFindsWhatTheProcessorCarries(t *testing.T) {
	const (
		ticks  = 400
		settle = 100
	)
	for name, carries := range map[string]int64{"fewer": 110, "as many": 200, "more": 450} {
		t.Run(name, func(t *testing.T) {
			e := pomeloentry.NewLimited(pomelorelay.FleetSettings{Self: pomelorelay.Peer{CPUSpeed: 0.2}, MemoryLimit: 112 << 20})
			limit, late := int64(200), 0
			for tick := range ticks {
				running, lag := limit, time.Duration(0)
				if running > carries {
					lag = 50 * time.Millisecond
				}
				if tick > settle && lag > 0 {
					late++
				}
				limit = e.TickWith(lag, running)
				if tick > settle && (limit < carries*8/10 || limit > carries*11/10) {
					t.Fatalf("tick %d: the limit is %d, the processor carries %d", tick, limit, carries)
				}
			}
			if late > (ticks-settle)/4 {
				t.Errorf("%d of %d ticks were late", late, ticks-settle)
			}
		})
	}
}
