package pomeloslot_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// referenceConfig returns the configuration of the reference measurements: 16 accounts on 8 routers that share 10 upstreams of 8 slots.
func referenceConfig(seed uint64) fleetConfig {
	random := rand.New(rand.NewPCG(seed, 2))
	cfg := fleetConfig{
		seed:             seed,
		routers:          8,
		upstreams:        10,
		slots:            8,
		ledgerInterval:   250 * time.Millisecond,
		digestInterval:   250 * time.Millisecond,
		progressInterval: 100 * time.Millisecond,
		sigma:            1,
		maxCost:          60,
	}
	for i := range 16 {
		cfg.accounts = append(cfg.accounts, testAccount{
			id:         pomelorelay.AccountID(fmt.Sprintf("a%02d", i)),
			weight:     1,
			meanCost:   0.7 * math.Pow(10, float64(i)/15),
			queueDepth: 20,
			routers:    random.Perm(8)[:1+i%7],
		})
	}
	return cfg
}

// expectation is a variant of the reference configuration with the results that it must reach; gaps are in slot
// seconds.
type expectation struct {
	name                  string
	change                func(*fleetConfig)
	maxMedian, maxHighest float64
	minUtilisation        float64
	seeds                 uint64
	span                  time.Duration
}

const referenceSeeds = 3

// warmUp is the simulated time before a measurement starts.
const warmUp = time.Minute

// referenceSpan is the simulated time of the reference measurements.
const referenceSpan = 210 * time.Second

// variedLoadMaxGap is the largest fairness gap, in slot seconds, that the tests with varied loads accept. The largest
// measured was 56.2, when one account ran nine of its longest requests at the same time.
const variedLoadMaxGap = 60

func (e expectation) check(t *testing.T) {
	for seed := range e.seeds {
		cfg := referenceConfig(seed + 1)
		e.change(&cfg)
		f := newFleet(cfg)
		m := f.measure(warmUp, e.span, nil)
		t.Logf("%s, seed %d: gap %.1f / %.1f, bound %.0f, utilisation %.4f, %.0f B/s a node, in flight %d", e.name, seed+1,
			m.median, m.highest, float64(f.gapBound()), m.utilisation, m.bytesPerNode, f.maxInFlight)
		if m.median > e.maxMedian || m.highest > e.maxHighest {
			t.Errorf("%s, seed %d: gap %.1f / %.1f, want at most %.0f / %.0f", e.name, seed+1, m.median, m.highest, e.maxMedian, e.maxHighest)
		}
		if m.utilisation < e.minUtilisation {
			t.Errorf("%s, seed %d: utilisation %.4f, want at least %.3f", e.name, seed+1, m.utilisation, e.minUtilisation)
		}
	}
}

func TestGapAndUtilisation(t *testing.T) {
	for _, e := range []expectation{
		{"ledger interval 250 ms", func(*fleetConfig) {}, 12, 25, 0.995, referenceSeeds, referenceSpan},
		{"ledger interval 1 s", func(c *fleetConfig) { c.ledgerInterval = time.Second }, 15, 33, 0.995, referenceSeeds, referenceSpan},
	} {
		t.Run(e.name, e.check)
	}
}

func TestFixedSharesBaseline(t *testing.T) {
	// Each router serves its accounts with a fixed share of the slots, as fleets without coordination do: an account at
	// one router receives far less than one at seven routers. If this gap disappeared, the other tests could not show
	// that coordination removes it.
	cfg := referenceConfig(1)
	cfg.fixedShares = true
	m := newFleet(cfg).measure(warmUp, 210*time.Second, nil)
	t.Logf("gap %.1f / %.1f, utilisation %.4f", m.median, m.highest, m.utilisation)
	if m.median < 300 {
		t.Errorf("gap %.1f, want at least 300: the baseline does not show the unfairness that coordination removes", m.median)
	}
}

func TestGapUnderVariedLoads(t *testing.T) {
	for _, e := range []expectation{
		{"weights 1 to 4", func(c *fleetConfig) {
			for i := range c.accounts {
				c.accounts[i].weight = float64(1 + i%4)
			}
		}, 12, variedLoadMaxGap, 0.995, 1, time.Minute},
		{"costs that differ 100-fold", func(c *fleetConfig) {
			for i := range c.accounts {
				c.accounts[i].meanCost = 0.1 * math.Pow(100, float64(i)/15)
			}
		}, 12, variedLoadMaxGap, 0.995, 1, time.Minute},
		{"one account hints a tenth of its cost", func(c *fleetConfig) {
			c.accounts[13].costHint = c.accounts[13].meanCost / 10
		}, 12, variedLoadMaxGap, 0.995, 1, time.Minute},
		{"one account hints ten times its cost", func(c *fleetConfig) {
			c.accounts[13].costHint = c.accounts[13].meanCost * 10
		}, 12, variedLoadMaxGap, 0.995, 1, time.Minute},
		{"one account floods every router", func(c *fleetConfig) {
			c.accounts[15].routers = []int{0, 1, 2, 3, 4, 5, 6, 7}
			c.accounts[15].queueDepth = 200
		}, 12, variedLoadMaxGap, 0.995, 1, time.Minute},
		{"low-cost accounts at one router", func(c *fleetConfig) {
			for i := range 8 {
				c.accounts[i].routers = []int{3}
			}
		}, 12, variedLoadMaxGap, 0.995, 1, time.Minute},
		{"all accounts at one router", func(c *fleetConfig) {
			for i := range c.accounts {
				c.accounts[i].routers = []int{3}
			}
		}, 12, variedLoadMaxGap, 0.995, 1, time.Minute},
	} {
		t.Run(e.name, e.check)
	}
}
