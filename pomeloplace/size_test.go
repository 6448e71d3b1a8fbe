package pomeloplace_test

import (
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloplace"
)

// servedBySize returns the fractions of over-share requests with short and with long prompts that are served under the load.
func servedBySize(t *testing.T, slots pomelorelay.Slots, sessions uint64, perSecond float64) (short, long float64) {
	t.Helper()
	var requested, served [2]float64
	refused := make(map[pomeloplace.Bound]int)
	for seed := range uint64(4) {
		s := newSimulation(seed, 4, 8)
		s.slots, s.overShare, s.sessionFactor, s.reportDelay = int(slots), 1, sessions, 60*time.Millisecond
		for _, r := range s.routers {
			r.SetConfig(&pomelorelay.FleetConfig{
				Routes:   []pomelorelay.Route{{TargetLatency: 400 * time.Millisecond, Shares: []pomelorelay.RouteShare{{Service: engines, Weight: 1}}}},
				Services: []pomelorelay.ServiceSpec{{Name: engines, Engine: &pomelorelay.EngineSpec{Slots: slots, KVCapacity: 403_914, TokensPerEvent: 7}}},
			})
		}
		s.choose = func(s *simulation, router int, r pomeloplace.Request) pomeloplace.Decision {
			d, size := s.routers[router].Place(s.now, r), 0
			if r.Target > 400*time.Millisecond {
				size = 1
				refused[d.Bound]++
			}
			requested[size]++
			if d.Reason == pomeloplace.ReasonNone {
				served[size]++
			}
			return d
		}
		s.run(perSecond, 10*time.Second)
	}
	short, long = served[0]/requested[0], served[1]/requested[1]
	t.Logf("%d slots, sessions times %d, %.0f requests/s: short %.3f, long %.3f, ratio %.2f; bounds of long ones %v", slots, sessions, perSecond, short, long, long/short, refused)
	return short, long
}

// Guards against over-share requests with long prompts that are crowded out by short ones: an account whose requests are long would be served far
// less often than others under the same overload.
func TestLongOverSharePromptsAreServedThreeQuartersAsOften(t *testing.T) {
	for _, slots := range []pomelorelay.Slots{12, 64} {
		for _, sessions := range []uint64{1, 8} {
			for _, perSecond := range []float64{60, 240, 480} {
				if short, long := servedBySize(t, slots, sessions, perSecond); long < 0.75*short {
					t.Errorf("%d slots, sessions times %d, %.0f requests/s: long prompts are served with a frequency of %.3f, short ones of %.3f, want at least three quarters of that", slots, sessions, perSecond, long, short)
				}
			}
		}
	}
}
