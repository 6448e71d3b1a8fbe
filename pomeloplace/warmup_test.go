package pomeloplace_test

import (
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloplace"
)

const (
	coldFor  = 3 * time.Second
	coldRate = 15.0
)

// withColdEngines returns the placer of the named router, one of the two routers in the engines' region. The engines are cold after a start.
func withColdEngines(self pomelorelay.NodeID, listed ...pomelorelay.FleetUpstream) *pomeloplace.Placer {
	peers := []pomelorelay.Peer{{Node: "r1", Domain: "a", Region: "ra"}, {Node: "r2", Domain: "a", Region: "ra"}, {Node: "far", Domain: "b", Region: "rb"}}
	var own pomelorelay.Peer
	var others []pomelorelay.Peer
	for _, p := range peers {
		if p.Node == self {
			own = p
			continue
		}
		others = append(others, p)
	}
	p := pomeloplace.New(pomeloplace.Config{
		Self: own, Regions: map[pomelorelay.DomainID]pomelorelay.RegionID{"a": "ra", "b": "rb"}, ColdBounds: pomelorelay.ColdBounds{Ratio: 1.5, Slack: 5},
	})
	p.SetConfig(&pomelorelay.FleetConfig{Routes: routes, Services: []pomelorelay.ServiceSpec{
		{Name: engines, ColdPeriod: coldFor, ColdRate: coldRate, Engine: &pomelorelay.EngineSpec{Slots: 64, KVCapacity: 500_000, TokensPerEvent: 7}},
	}})
	p.SetRouters(others)
	for _, u := range listed {
		p.PutUpstream(start, u)
	}
	return p
}

func coldEngine(id pomelorelay.UpstreamID, remaining time.Duration) pomelorelay.FleetUpstream {
	u := engine(id)
	u.ColdRemaining = remaining
	return u
}

// Guards against a cold engine that looks idle and attracts requests of every router, and against one that stays unused once it is warm.
func TestColdEngineUnusedWhileWarmOnesAreAvailable(t *testing.T) {
	p := withColdEngines("r1", engine("e0"), coldEngine("e1", coldFor))
	now := start
	for now.Before(start.Add(coldFor)) {
		d := place(t, p, now, prompt(uint64(now.UnixNano()), 500, 100))
		if d.Upstream.ID != "e0" {
			t.Fatalf("sent to %s after %v, want e0 while e1 is cold", d.Upstream.ID, now.Sub(start))
		}
		p.RecordEnd(now, d.Run, pomeloplace.ResultCompleted)
		now = now.Add(10 * time.Millisecond)
	}
	drained := engine("e0")
	drained.Draining = true
	p.PutUpstream(now, drained)
	if d := place(t, p, now, prompt(1, 500, 100)); d.Upstream.ID != "e1" {
		t.Errorf("sent to %s after e1 became warm, want e1", d.Upstream.ID)
	}
}

// Guards against refusing all requests of a service while its engines are cold, and against sending the engines more requests than their limit.
func TestColdEnginesServeWithinTheirBound(t *testing.T) {
	sent := 0
	var refused pomeloplace.Decision
	routers := []*pomeloplace.Placer{withColdEngines("r1", coldEngine("e0", coldFor)), withColdEngines("r2", coldEngine("e0", coldFor))}
	for now := start; now.Before(start.Add(coldFor)); now = now.Add(10 * time.Millisecond) {
		for _, p := range routers {
			d := p.Place(now, prompt(uint64(now.UnixNano()), 500, 100))
			if d.Reason != pomeloplace.ReasonNone {
				refused = d
				continue
			}
			sent++
			p.RecordEnd(now, d.Run, pomeloplace.ResultCompleted)
		}
	}
	if limit := coldFor.Seconds() * coldRate; sent < 10 || float64(sent) > limit {
		t.Errorf("%d requests in %v, want 10 to %.0f", sent, coldFor, limit)
	}
	if refused.Reason != pomeloplace.ReasonCold || refused.RetryAfter <= 0 || refused.RetryAfter > coldFor {
		t.Errorf("refused with reason %q and Retry-After %v, want Cold", refused.Reason, refused.RetryAfter)
	}
}

// Guards against sending the requests of the whole fleet to a crashed engine that is reachable again but whose restart is not yet listed in the
// store.
func TestUnreachableEngineIsColdForTheWholeFleet(t *testing.T) {
	near, other, far := withColdEngines("r1", engine("e0"), engine("e1")), withColdEngines("r2", engine("e0"), engine("e1")), withColdEngines("far", engine("e0"), engine("e1"))
	now := start
	for range 100 {
		d := near.Place(now, prompt(uint64(now.UnixNano()), 500, 100))
		if d.Upstream.ID == "e1" {
			near.RecordEnd(now.Add(time.Millisecond), d.Run, pomeloplace.ResultUnreachable)
			break
		}
		near.RecordEnd(now, d.Run, pomeloplace.ResultCompleted)
		now = now.Add(20 * time.Millisecond)
	}
	if !near.ReportUrgent() {
		t.Error("no urgent report to the other routers")
	}
	var m pomelorelay.LoadReport
	near.FillReport(&m)
	if len(m.Starts) != 1 || !m.Starts[0].Unreachable || m.Starts[0].Upstream != "e1" {
		t.Fatalf("reported %+v, want e1 as unreachable", m.Starts)
	}
	other.ApplyReport(now, "r1", 1, &m)
	far.ApplyReport(now, "r1", 1, &m)
	for range 50 {
		now = now.Add(20 * time.Millisecond)
		if d := place(t, far, now, prompt(uint64(now.UnixNano()), 500, 100)); d.Upstream.ID == "e1" {
			t.Fatal("a router of another region used the unreachable engine")
		}
	}
}

// Guards against a partitioned router that assumes that all upstreams have restarted, or reports this to others.
func TestPartitionedRouterDoesNotAssumeRestarts(t *testing.T) {
	p := withColdEngines("r1", engine("e0"), engine("e1"))
	now := start
	for range 4 {
		d := p.Place(now, prompt(1, 500, 100))
		if d.Reason == pomeloplace.ReasonNone {
			p.RecordEnd(now.Add(500*time.Millisecond), d.Run, pomeloplace.ResultUnreachable)
		}
		now = now.Add(time.Second)
	}
	var m pomelorelay.LoadReport
	p.FillReport(&m)
	if len(m.Starts) != 0 {
		t.Errorf("reported %+v, want nothing", m.Starts)
	}
	if d := p.Place(now.Add(3*time.Second), prompt(1, 500, 100)); d.Reason != pomeloplace.ReasonNone {
		t.Errorf("refused after the partition: %s", d.Reason)
	}
}
