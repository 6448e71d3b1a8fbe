package pomeloslot_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelofair"
)

// tableConfig is the setting of the design's table.
func tableConfig(seed uint64) fleetConfig {
	random := rand.New(rand.NewPCG(seed, 2))
	cfg := fleetConfig{
		seed:      seed,
		routers:   8,
		upstreams: 10,
		slots:     8,
		ledger:    250 * time.Millisecond,
		digest:    250 * time.Millisecond,
		progress:  100 * time.Millisecond,
		sigma:     1,
		maxCost:   60,
	}
	for i := range 16 {
		cfg.accounts = append(cfg.accounts, testAccount{
			id:      pomelorelay.AccountID(fmt.Sprintf("a%02d", i)),
			weight:  1,
			mean:    0.7 * math.Pow(10, float64(i)/15),
			depth:   20,
			routers: random.Perm(8)[:1+i%7],
		})
	}
	return cfg
}

func TestTable(t *testing.T) {
	rows := []struct {
		name   string
		change func(*fleetConfig)
	}{
		{"fixed share", func(c *fleetConfig) { c.local = true }},
		{"0.25 s", func(*fleetConfig) {}},
		{"1 s", func(c *fleetConfig) { c.ledger = time.Second }},
		{"4 s", func(c *fleetConfig) { c.ledger = 4 * time.Second }},
		{"f=0.05", func(c *fleetConfig) { c.charge = pomelofair.ChargeOptions{AdmissionFraction: 0.05} }},
		{"f=0.1", func(c *fleetConfig) { c.charge = pomelofair.ChargeOptions{AdmissionFraction: 0.1} }},
		{"f=0.5", func(c *fleetConfig) { c.charge = pomelofair.ChargeOptions{AdmissionFraction: 0.5} }},
		{"f=1", func(c *fleetConfig) { c.charge = pomelofair.ChargeOptions{AdmissionFraction: 1} }},
	}
	for _, row := range rows {
		for seed := range uint64(2) {
			cfg := tableConfig(seed + 1)
			row.change(&cfg)
			f := newFleet(cfg)
			m := f.measure(30*time.Second, 210*time.Second, nil)
			t.Logf("%-12s seed %d: gap %.1f / %.1f, utilisation %.4f, bytes/node/s %.0f, largest cost %.1f, messages %v", row.name, seed+1, m.median, m.highest, m.utilisation, m.bytesPerNode, f.largest, f.messages)
		}
	}
}
