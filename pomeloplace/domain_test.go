package pomeloplace_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloplace"
)

// connectTimeout is how long a connection attempt to an unresponsive host takes to fail.
const connectTimeout = 500 * time.Millisecond

// domainOutage simulates one router and engines in two failure domains, of which domain b can be made unresponsive.
type domainOutage struct {
	t       *testing.T
	p       *pomeloplace.Placer
	now     time.Time
	pending []pendingRun
	seq     uint64
	// hung counts requests whose connections hung; reached counts requests answered by domain b.
	hung, reached int
}

type pendingRun struct {
	at     time.Time
	run    *pomeloplace.Run
	result pomeloplace.Result
}

func newDomainOutage(t *testing.T, disabled pomeloplace.Mechanisms, perDomain int) *domainOutage {
	p := pomeloplace.New(pomeloplace.Config{
		Self: pomelorelay.Peer{Node: "r1", Domain: "a", Region: "ra"}, Regions: map[pomelorelay.DomainID]pomelorelay.RegionID{"a": "ra", "b": "ra"}, DisabledMechanisms: disabled,
	})
	p.SetConfig(&pomelorelay.FleetConfig{Routes: routes, Services: []pomelorelay.ServiceSpec{{Name: engines, Engine: &pomelorelay.EngineSpec{Slots: 64, KVCapacity: 500_000, TokensPerEvent: 7}}}})
	for i := range perDomain {
		for _, domain := range []pomelorelay.DomainID{"a", "b"} {
			p.PutUpstream(start, engineIn(pomelorelay.UpstreamID(fmt.Sprintf("%s%d", domain, i)), domain))
		}
	}
	return &domainOutage{t: t, p: p, now: start}
}

// run sends requests at a constant rate; outage makes domain b unresponsive.
func (d *domainOutage) run(length time.Duration, perSecond int, outage bool) {
	for end := d.now.Add(length); d.now.Before(end); {
		d.now = d.now.Add(time.Second / time.Duration(perSecond))
		d.endDueRuns()
		d.seq++
		got := d.p.Place(d.now, prompt(d.seq, 300, 100))
		if got.Reason != pomeloplace.ReasonNone {
			d.t.Fatalf("refused: %s", got.Reason)
		}
		pending := pendingRun{at: d.now.Add(60 * time.Millisecond), run: got.Run, result: pomeloplace.ResultCompleted}
		if got.Upstream.Domain == "b" {
			if outage {
				pending.at, pending.result = d.now.Add(connectTimeout), pomeloplace.ResultUnreachable
				d.hung++
			} else {
				d.reached++
			}
		}
		d.pending = append(d.pending, pending)
	}
}

func (d *domainOutage) endDueRuns() {
	remaining := d.pending[:0]
	for _, pending := range d.pending {
		if pending.at.After(d.now) {
			remaining = append(remaining, pending)
			continue
		}
		if pending.result == pomeloplace.ResultCompleted {
			d.p.RecordAnswerStart(pending.at, pending.run)
		}
		d.p.RecordEnd(pending.at, pending.run, pending.result)
	}
	d.pending = remaining
}

// Guards against a router that detects a lost failure domain one upstream at a time, delaying a caller on each attempt.
func TestUnreachableDomainIsBackedOffAsAWhole(t *testing.T) {
	hungRequests := func(disabled pomeloplace.Mechanisms) int {
		d := newDomainOutage(t, disabled, 40)
		d.run(3*time.Second, 40, false)
		d.run(8*time.Second, 40, true)
		return d.hung
	}
	perDomain, perUpstream := hungRequests(pomeloplace.Mechanisms{}), hungRequests(pomeloplace.Mechanisms{DomainBackoff: true})
	t.Logf("%d of 320 requests hung, %d with backoff of single upstreams only", perDomain, perUpstream)
	if perDomain > 25 || perUpstream < 2*perDomain {
		t.Errorf("%d requests hung, want at most 25; %d with backoff of single upstreams only, want at least twice as many", perDomain, perUpstream)
	}
}

// Guards against a failure domain that stays unused after it has recovered.
func TestRecoveredDomainIsUsedAgain(t *testing.T) {
	d := newDomainOutage(t, pomeloplace.Mechanisms{}, 40)
	d.run(3*time.Second, 40, false)
	d.run(8*time.Second, 40, true)
	d.reached = 0
	d.run(3*time.Second, 40, false)
	if d.reached < 10 {
		t.Errorf("%d of 120 requests went to the domain in the 3 s after its recovery, want at least 10", d.reached)
	}
}

// Guards against backoff of a whole failure domain when only some of its upstreams are down.
func TestPartlyDownDomainIsNotBackedOff(t *testing.T) {
	d := newDomainOutage(t, pomeloplace.Mechanisms{}, 12)
	down := func(id pomelorelay.UpstreamID) bool { return id == "b0" || id == "b1" || id == "b2" || id == "b3" }
	for range 400 {
		d.now = d.now.Add(25 * time.Millisecond)
		d.endDueRuns()
		d.seq++
		got := place(t, d.p, d.now, prompt(d.seq, 300, 100))
		pending := pendingRun{at: d.now.Add(60 * time.Millisecond), run: got.Run, result: pomeloplace.ResultCompleted}
		switch {
		case down(got.Upstream.ID):
			pending.at, pending.result = d.now.Add(connectTimeout), pomeloplace.ResultUnreachable
		case got.Upstream.Domain == "b":
			d.reached++
		}
		d.pending = append(d.pending, pending)
	}
	if d.reached < 100 {
		t.Errorf("%d of 400 requests went to the responsive upstreams of the domain, want at least 100", d.reached)
	}
}
