package pomeloslot_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// domainConfig returns the configuration of one failure domain at the target size: 60 routers and 100 upstreams of 8 slots.
func domainConfig(accounts, queueDepth int, meanCost float64) fleetConfig {
	random := rand.New(rand.NewPCG(1, 2))
	cfg := fleetConfig{
		seed: 1, routers: 60, upstreams: 100, slots: 8,
		ledgerInterval: time.Second, digestInterval: time.Second, progressInterval: 250 * time.Millisecond,
		sigma: 1, maxCost: 60,
	}
	for i := range accounts {
		cfg.accounts = append(cfg.accounts, testAccount{
			id:         pomelorelay.AccountID(fmt.Sprintf("a%03d", i)),
			weight:     1,
			meanCost:   meanCost * (0.5 + float64(i%10)/9),
			queueDepth: queueDepth,
			routers:    random.Perm(cfg.routers)[:1+i%7],
		})
	}
	return cfg
}

func reportFleet(b *testing.B, f *fleet, m measurement) {
	b.ReportMetric(m.median, "gap-median")
	b.ReportMetric(m.highest, "gap-highest")
	b.ReportMetric(m.utilisation, "utilisation")
	b.ReportMetric(m.bytesPerNode, "B/s/node")
	b.ReportMetric(0, "ns/op")
	_ = f
}

// BenchmarkDomain simulates one failure domain at the target size for one minute.
func BenchmarkDomain(b *testing.B) {
	for _, c := range []struct {
		name   string
		change func(*fleetConfig)
	}{
		{"AllRouters", func(*fleetConfig) {}},
		{"ThreeRouters", func(c *fleetConfig) {
			for i := range c.accounts {
				for k := range c.accounts[i].routers {
					c.accounts[i].routers[k] %= 3
				}
			}
		}},
		{"ThreeAccounts", func(c *fleetConfig) {
			c.accounts = c.accounts[:3]
			for i := range c.accounts {
				c.accounts[i].queueDepth = 200
				c.accounts[i].routers = []int{i}
			}
		}},
	} {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				cfg := domainConfig(600, 4, 3)
				c.change(&cfg)
				f := newFleet(cfg)
				reportFleet(b, f, f.measure(30*time.Second, 30*time.Second, nil))
			}
		})
	}
}

// BenchmarkOpenLoad sends 9 requests per second to each router, two thirds of the capacity of the upstreams.
func BenchmarkOpenLoad(b *testing.B) {
	for b.Loop() {
		f := newFleet(domainConfig(600, 0, 1))
		random := rand.New(rand.NewPCG(3, 4))
		for _, r := range f.routers {
			f.scheduleArrival(r, random)
		}
		m := f.measure(10*time.Second, 20*time.Second, nil)
		slices.Sort(f.waits)
		reportFleet(b, f, m)
		b.ReportMetric(f.waits[len(f.waits)/2].Seconds()*1000, "wait-p50-ms")
		b.ReportMetric(f.waits[len(f.waits)*99/100].Seconds()*1000, "wait-p99-ms")
		b.ReportMetric(float64(f.messageCounts["Grant"])/float64(len(f.waits)), "grants/request")
		b.ReportMetric(float64(f.messageCounts["Demand"])/float64(len(f.waits)), "demands/request")
	}
}

func (f *fleet) scheduleArrival(r *testRouter, random *rand.Rand) {
	const rate = 9
	f.after(time.Duration(random.ExpFloat64()/rate*float64(time.Second)), func() {
		f.push(r, random.IntN(len(f.cfg.accounts)))
		f.pushedAt[testRequest{r.index, r.nextID}] = f.now
		f.updateDemand(r)
		f.scheduleArrival(r, random)
	})
}
