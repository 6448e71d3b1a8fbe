package pomeloslot_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pomelorelay/pomelorelay"
)

// TestMain sets a fixed seed to make the results reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
	m.Run()
}

// drawFleet draws a small fleet with accounts of random weights, costs, hints and routers.
func drawFleet(t *rapid.T) fleetConfig {
	cfg := fleetConfig{
		seed:             rapid.Uint64().Draw(t, "seed"),
		routers:          rapid.IntRange(1, 6).Draw(t, "routers"),
		upstreams:        rapid.IntRange(1, 8).Draw(t, "upstreams"),
		slots:            rapid.IntRange(1, 8).Draw(t, "slots"),
		ledgerInterval:   time.Duration(rapid.SampledFrom([]int{250, 1000, 4000}).Draw(t, "ledger")) * time.Millisecond,
		digestInterval:   time.Duration(rapid.SampledFrom([]int{100, 250, 1000}).Draw(t, "digest")) * time.Millisecond,
		progressInterval: 100 * time.Millisecond,
		sigma:            rapid.Float64Range(0, 1.5).Draw(t, "sigma"),
		maxCost:          30,
		dropFraction:     rapid.SampledFrom([]float64{0, 0, 0.01, 0.05}).Draw(t, "drop"),
	}
	for i := range rapid.IntRange(2, 10).Draw(t, "accounts") {
		a := testAccount{
			id:         pomelorelay.AccountID(fmt.Sprintf("a%02d", i)),
			weight:     float64(rapid.IntRange(1, 8).Draw(t, "weight")),
			meanCost:   rapid.SampledFrom([]float64{0.1, 0.5, 2, 10}).Draw(t, "mean"),
			costHint:   rapid.SampledFrom([]float64{0, 0.001, 1, 1000}).Draw(t, "hint"),
			queueDepth: rapid.IntRange(10, 40).Draw(t, "depth"),
		}
		for r := range cfg.routers {
			if rapid.Bool().Draw(t, "here") {
				a.routers = append(a.routers, r)
			}
		}
		if len(a.routers) == 0 {
			a.routers = []int{i % cfg.routers}
		}
		cfg.accounts = append(cfg.accounts, a)
	}
	return cfg
}

func TestGapStaysWithinBound(t *testing.T) {
	maxFraction := 0.0
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(drawFleet(t))
		for d := time.Duration(0); d < 10*time.Second; d += 100 * time.Millisecond {
			f.runUntil(d)
			gap, bound := f.gap(), float64(f.gapBound())
			maxFraction = max(maxFraction, gap/max(bound, 1))
			if gap > bound {
				t.Fatalf("%v: gap %.2f exceeds its bound %.2f", d, gap, bound)
			}
		}
	})
	t.Logf("the gap reached at most %.3f of its bound", maxFraction)
}

func TestGapExceedsBoundWithoutCoordination(t *testing.T) {
	// With fixed shares and no coordination, an account that is alone at its router receives far more than accounts
	// that share a router. The gap must then exceed the bound; otherwise the bound could not detect unfairness.
	cfg := referenceConfig(1)
	cfg.fixedShares = true
	f := newFleet(cfg)
	f.runUntil(3 * time.Minute)
	if f.gap() <= float64(f.gapBound()) {
		t.Errorf("gap %.0f does not exceed its bound %.0f", f.gap(), float64(f.gapBound()))
	}
}
