package pomeloentry_test

import (
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloentry"
)

// Guards against a request limit above the processor's capacity, where the run queue grows to seconds and callers give up before
// their requests are sent, and against one below it, where requests are refused although the processor is idle.
func TestRequestLimitConvergesToProcessorCapacity(t *testing.T) {
	const (
		ticks  = 400
		settle = 100
	)
	for name, capacity := range map[string]int64{"below the initial limit": 110, "at the initial limit": 200, "above the initial limit": 450} {
		t.Run(name, func(t *testing.T) {
			e := pomeloentry.NewRequestLimiter(pomelorelay.FleetSettings{Self: pomelorelay.Peer{CPUSpeed: 0.2}, MemoryLimit: 112 << 20})
			limit, late := int64(200), 0
			for tick := range ticks {
				running, lag := limit, time.Duration(0)
				if running > capacity {
					lag = 50 * time.Millisecond
				}
				if tick > settle && lag > 0 {
					late++
				}
				limit = e.TickWithLag(lag, running)
				if tick > settle && (limit < capacity*8/10 || limit > capacity*11/10) {
					t.Fatalf("tick %d: request limit %d, processor capacity %d", tick, limit, capacity)
				}
			}
			if late > (ticks-settle)/4 {
				t.Errorf("%d of %d ticks were late", late, ticks-settle)
			}
		})
	}
}
