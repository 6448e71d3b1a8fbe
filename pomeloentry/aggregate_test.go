package pomeloentry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloentry"
	"github.com/pomelorelay/pomelorelay/pomeloplace"

	"pgregory.net/rapid"
)

// reporter is a router whose reports are aggregated, with the sum of the other routers' reports that it received.
type reporter struct {
	incarnation pomelorelay.Incarnation
	load        map[pomelorelay.UpstreamID]pomelorelay.UpstreamLoad
	others      map[pomelorelay.UpstreamID]pomelorelay.UpstreamLoad
}

func newReporter(incarnation pomelorelay.Incarnation) *reporter {
	return &reporter{
		incarnation: incarnation, load: make(map[pomelorelay.UpstreamID]pomelorelay.UpstreamLoad),
		others: make(map[pomelorelay.UpstreamID]pomelorelay.UpstreamLoad),
	}
}

// Guards against an aggregate that differs from the sum that each router would compute from all other routers' reports: engines would
// appear full or idle.
func TestAggregateMatchesReportsOfOthers(t *testing.T) {
	nodes := []pomelorelay.NodeID{"r0", "r1", "r2", "r3"}
	upstreams := []pomelorelay.UpstreamID{"u0", "u1", "u2"}
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(1000, 0)
		sum := pomeloentry.NewAggregate()
		routers := make(map[pomelorelay.NodeID]*reporter)
		for _, node := range nodes {
			routers[node] = newReporter(1)
			sum.Add(now, node, 1, &pomelorelay.LoadReport{Full: true})
		}
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			node := rapid.SampledFrom(nodes).Draw(rt, "router")
			r := routers[node]
			switch rapid.IntRange(0, 9).Draw(rt, "step kind") {
			case 0:
				others := r.others
				*r = *newReporter(r.incarnation + 1)
				r.others = others
				sum.Add(now, node, r.incarnation, &pomelorelay.LoadReport{Full: true})
			case 1:
				full := &pomelorelay.LoadReport{Full: true}
				for _, l := range r.load {
					full.Upstreams = append(full.Upstreams, l)
				}
				sum.Add(now, node, r.incarnation, full)
			default:
				id := rapid.SampledFrom(upstreams).Draw(rt, "upstream")
				l := r.load[id]
				more := pomelorelay.Tokens(rapid.IntRange(0, 900).Draw(rt, "sent"))
				l.Upstream, l.Running, l.PromptTokensSent = id, uint32(rapid.IntRange(0, 9).Draw(rt, "running")), l.PromptTokensSent+more
				l.RequestsSent += uint64(more)
				l.PendingPrefill, l.KVTokens = pomelorelay.Tokens(l.Running)*100, pomelorelay.Tokens(l.Running)*300
				r.load[id] = l
				sum.Add(now, node, r.incarnation, &pomelorelay.LoadReport{Upstreams: []pomelorelay.UpstreamLoad{l}})
			}
			if rapid.Bool().Draw(rt, "flush") {
				deliver(sum, routers, nodes, rapid.Bool().Draw(rt, "full"))
			}
		}
		deliver(sum, routers, nodes, false)
		for _, node := range nodes {
			checkOthers(rt, node, routers, upstreams)
		}
	})
}

func deliver(sum pomeloentry.Aggregate, routers map[pomelorelay.NodeID]*reporter, nodes []pomelorelay.NodeID, full bool) {
	for node, m := range sum.Reports(full, nodes...) {
		for _, l := range m.Upstreams {
			routers[node].others[l.Upstream] = l
		}
	}
}

func checkOthers(t *rapid.T, node pomelorelay.NodeID, routers map[pomelorelay.NodeID]*reporter, upstreams []pomelorelay.UpstreamID) {
	for _, id := range upstreams {
		var want pomelorelay.UpstreamLoad
		for other, r := range routers {
			if other != node {
				want.Running += r.load[id].Running
				want.PendingPrefill += r.load[id].PendingPrefill
				want.KVTokens += r.load[id].KVTokens
			}
		}
		got := routers[node].others[id]
		if got.Running != want.Running || got.PendingPrefill != want.PendingPrefill || got.KVTokens != want.KVTokens {
			t.Fatalf("%s: the other routers' sum for %s is %+v, want %+v", node, id, got, want)
		}
	}
}

// Guards against requests of a removed router that stay counted, and against a new relay that reads the first value of each router's running total
// of tokens as an increase, although it grew over hours.
func TestAggregateRemovesSilentSourcesAndStartsAtBaseline(t *testing.T) {
	now := time.Unix(1000, 0)
	sum := pomeloentry.NewAggregate()
	load := func(running uint32, sent pomelorelay.Tokens) *pomelorelay.LoadReport {
		return &pomelorelay.LoadReport{
			Full:      true,
			Upstreams: []pomelorelay.UpstreamLoad{{Upstream: "u", Running: running, PromptTokensSent: sent, RequestsSent: uint64(sent) / 100}},
			Accounts:  []pomelorelay.AccountUse{{Account: "a", Requested: 2 * pomelorelay.Cost(sent), Served: pomelorelay.Cost(sent)}},
		}
	}
	sum.Add(now, "old", 1, load(5, 1_000_000))
	sum.Add(now, "old", 1, load(6, 1_000_700))
	m := sum.Reports(false, "other")["other"]
	if len(m.Upstreams) != 1 || m.Upstreams[0].Running != 6 || m.Upstreams[0].PromptTokensSent != 700 || m.Upstreams[0].RequestsSent != 7 || m.Accounts[0].Requested != 1400 || m.Accounts[0].Served != 700 {
		t.Errorf("after a router's first two reports: %s", fmt.Sprint(m.Upstreams, m.Accounts))
	}
	sum.RemoveSilent(now.Add(4*time.Second), 3*time.Second)
	m = sum.Reports(false, "other")["other"]
	if len(m.Upstreams) != 1 || m.Upstreams[0].Running != 0 || m.Upstreams[0].PromptTokensSent != 700 || m.Upstreams[0].RequestsSent != 7 {
		t.Errorf("after the silent router was removed: %v", m.Upstreams)
	}
}

// Guards against a relay that does not forward reports that an upstream may have restarted (UpstreamStart), or that sends them back to the
// router they came from.
func TestAggregateForwardsStarts(t *testing.T) {
	s := pomeloentry.NewAggregate()
	s.Add(time.Now(), "r1", 1, &pomelorelay.LoadReport{Seq: 1, Starts: []pomelorelay.UpstreamStart{{Upstream: "u", Unreachable: true}}})
	reports := s.Reports(false, "r1", "r2")
	if len(reports["r1"].Starts) != 0 || len(reports["r2"].Starts) != 1 {
		t.Errorf("starts forwarded to their source: %+v, to the other router: %+v; want none and one", reports["r1"].Starts, reports["r2"].Starts)
	}
	if second := s.Reports(false, "r2")["r2"]; len(second.Starts) != 0 {
		t.Errorf("starts reported twice: %+v", second.Starts)
	}
}

// A relay counts a router's sends from a baseline above zero, and the upstream restarts, so that the router's counter begins at zero again.
// Guards against taking the wrapped difference for about 1.8e19 sends, which would keep all slots reserved.
func TestRestartedCounterAddsNoSends(t *testing.T) {
	const service = "engines"
	now := time.Unix(1000, 0)
	p := pomeloplace.New(pomeloplace.Config{Self: pomelorelay.Peer{Node: "r1", Domain: "a"}})
	p.SetConfig(&pomelorelay.FleetConfig{Services: []pomelorelay.ServiceSpec{{Name: service, Engine: &pomelorelay.EngineSpec{Slots: 12, KVCapacity: 500_000}}}})
	p.PutUpstream(now, pomelorelay.FleetUpstream{ID: "u", Service: service, Domain: "a", Slots: 12})
	sum := pomeloentry.NewAggregate()
	for _, requests := range []uint64{1000, 1010, 2, 5} {
		now = now.Add(100 * time.Millisecond)
		sum.Add(now, "r0", 1, &pomelorelay.LoadReport{Full: true, Upstreams: []pomelorelay.UpstreamLoad{{Upstream: "u", RequestsSent: requests}}})
		p.ApplyReport(now, "relay", 1, sum.ReportsAt(now, true, "r1")["r1"])
		p.Tick(now)
	}
	if got := p.SlotTimes(now)[0].SendsPerSecond; got <= 0 || got > 200 {
		t.Errorf("%g sends per second to the engine, want more than 0 and at most 200 after 13 sends", got)
	}
}
