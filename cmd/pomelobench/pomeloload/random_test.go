package pomeloload_test

import (
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomelorelay/pomelorelay/cmd/pomelobench/pomeloload"
	"pgregory.net/rapid"
)

// The same seed gives the same faults, each of them is cleared, and none lasts into the fault-free end.
func TestRandomStepsAreReproducibleAndCleared(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := directPlan()
		p.Seed = rapid.Uint64().Draw(t, "seed")
		p.Duration = time.Duration(rapid.IntRange(6, 120).Draw(t, "seconds")) * time.Second
		steps, err := pomeloload.RandomSteps(p)
		if err != nil {
			t.Fatal(err)
		}
		again, err := pomeloload.RandomSteps(p)
		if err != nil || !reflect.DeepEqual(steps, again) {
			t.Fatalf("the same seed drew %v and %v, want equal steps", steps, again)
		}
		if len(steps)%2 != 0 {
			t.Fatalf("drew %d steps, want an even number: each fault is set and cleared", len(steps))
		}
		for _, s := range steps {
			if s.After > p.Duration-5*time.Second {
				t.Fatalf("step %+v is in the last 5 s, want those free of steps", s)
			}
		}
	})
}

// Without a router that handles them, random faults must appear as violations in the result. Each of these seeds selects at least one
// harmful fault; in a short run, a seed may select only harmless ones, such as refusals.
func TestRandomFaultsWithoutRouterAreDetected(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		synctest.Test(t, func(t *testing.T) {
			network := newTestNetwork(t)
			p := directPlan()
			p.Seed = seed
			p.Duration = 40 * time.Second
			p.Accounts = p.Accounts[:1]
			steps, err := pomeloload.RandomSteps(p)
			if err != nil {
				t.Fatal(err)
			}
			p.Steps = steps
			report := runPlan(t, network, p)
			if len(report.Result.Failures()) == 0 {
				t.Errorf("seed %d: %d faults caused no violation, want at least one", seed, len(steps)/2)
			}
		})
	}
}
