package pomeloplace_test

import (
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloplace"
)

// smallEngine returns a placer with one engine of the given slots, to which another router sends the given number of requests every 100 ms.
func smallEngine(slots pomelorelay.Slots, sends int, counted bool, disabled pomeloplace.Mechanisms) (*pomeloplace.Placer, time.Time) {
	p := newPlacerWithout(disabled)
	p.SetConfig(&pomelorelay.FleetConfig{Routes: routes, Services: []pomelorelay.ServiceSpec{{Name: engines, Engine: &pomelorelay.EngineSpec{Slots: slots, KVCapacity: 500_000, TokensPerEvent: 7}}}})
	p.PutUpstream(start, engine("e0"))
	now := start
	for n := range 30 {
		now = now.Add(100 * time.Millisecond)
		l := pomelorelay.UpstreamLoad{Upstream: "e0", Running: uint32(7 + n%2*sends)}
		if counted {
			l.RequestsSent = uint64(1 + n*sends)
		}
		p.ApplyReport(now, "other", 1, &pomelorelay.LoadReport{Full: true, Upstreams: []pomelorelay.UpstreamLoad{l}})
		p.Tick(now)
	}
	last := pomelorelay.UpstreamLoad{Upstream: "e0", Running: 8}
	if counted {
		last.RequestsSent = uint64(29*sends + 1)
	}
	p.ApplyReport(now, "other", 1, &pomelorelay.LoadReport{Upstreams: []pomelorelay.UpstreamLoad{last}})
	return p, now
}

func overShare(own pomelorelay.Tokens) pomeloplace.Request {
	r := prompt(1, 0, own)
	r.WithinShare = false
	return r
}

// An engine of 12 slots runs 8 requests, and the reports are fresh. Guards against refusing a request beyond its account's share there, and against
// admitting one where the reserve must be the fixed one: without reports of all routers, for accounts that are ahead, and at large engines.
func TestOverShareRequestUsesSpareSlots(t *testing.T) {
	for _, c := range []struct {
		name     string
		slots    pomelorelay.Slots
		sends    int
		disabled pomeloplace.Mechanisms
		change   func(p *pomeloplace.Placer, r *pomeloplace.Request)
		want     pomeloplace.Bound
	}{
		{"fresh reports", 12, 0, pomeloplace.Mechanisms{}, nil, pomeloplace.BoundNone},
		{"mechanism disabled", 12, 0, pomeloplace.Mechanisms{MeasuredReserve: true}, nil, pomeloplace.BoundSlots},
		{"other routers send much", 12, 6, pomeloplace.Mechanisms{}, nil, pomeloplace.BoundSlots},
		{"unreported routers", 12, 0, pomeloplace.Mechanisms{}, func(p *pomeloplace.Placer, _ *pomeloplace.Request) { p.SetUnreportedRouters(1) }, pomeloplace.BoundSlots},
		{"forgotten router", 12, 0, pomeloplace.Mechanisms{}, func(p *pomeloplace.Placer, _ *pomeloplace.Request) {
			p.ForgetRouter("other")
			p.Tick(start.Add(3 * time.Second))
			for range 8 {
				p.Place(start.Add(3*time.Second), prompt(1, 0, 10))
			}
		}, pomeloplace.BoundSlots},
		{"slightly ahead", 12, 0, pomeloplace.Mechanisms{}, func(_ *pomeloplace.Placer, r *pomeloplace.Request) { r.Standing.Withheld = 0.01 }, pomeloplace.BoundNone},
		{"ahead", 12, 0, pomeloplace.Mechanisms{}, func(_ *pomeloplace.Placer, r *pomeloplace.Request) { r.Standing.Withheld = 0.36 }, pomeloplace.BoundSlots},
		{"ahead within the share", 12, 0, pomeloplace.Mechanisms{}, func(_ *pomeloplace.Placer, r *pomeloplace.Request) { r.WithinShare, r.Standing.Withheld = true, 0.36 }, pomeloplace.BoundSlots},
		{"late with the unreported requests", 12, 0, pomeloplace.Mechanisms{}, func(_ *pomeloplace.Placer, r *pomeloplace.Request) { r.Target = 20 * time.Millisecond }, pomeloplace.BoundSlots},
	} {
		p, now := smallEngine(c.slots, c.sends, true, c.disabled)
		r := overShare(50)
		if c.change != nil {
			c.change(p, &r)
		}
		if d := p.Place(now, r); d.Bound != c.want {
			t.Errorf("%s: bound %q with %d running and reserve %+v, want %q", c.name, d.Bound, d.Running, d.Reserve, c.want)
		}
	}
}

// Guards against a long over-share prompt in one of the last slots, whose prefill keeps the next in-share request from being admitted.
func TestOverShareRequestLeavesTheQueueShort(t *testing.T) {
	p, now := smallEngine(12, 0, true, pomeloplace.Mechanisms{})
	long := overShare(1)
	for p.Place(now, long).Bound == pomeloplace.BoundNone && long.PromptTokens < 100_000 {
		p, now = smallEngine(12, 0, true, pomeloplace.Mechanisms{})
		long = overShare(long.PromptTokens*3/2 + 100)
	}
	p, now = smallEngine(12, 0, true, pomeloplace.Mechanisms{})
	longest := overShare((long.PromptTokens - 100) * 2 / 3)
	if d := p.Place(now, longest); d.Bound != pomeloplace.BoundNone {
		t.Fatalf("%d tokens refused for %q, want the longest admissible prompt", longest.PromptTokens, d.Bound)
	}
	if d := p.Place(now, prompt(2, 0, 50)); d.Reason != pomeloplace.ReasonNone {
		t.Errorf("in-share request refused for %q after an over-share prompt of %d tokens", d.Bound, longest.PromptTokens)
	}
}

// Routers of the earlier version report no sends. Guards against taking their engines for quiet: a rate of zero would leave one slot free.
func TestSendsOfEarlierVersionsAreSeenInRunning(t *testing.T) {
	p, now := smallEngine(12, 4, false, pomeloplace.Mechanisms{})
	d := p.Place(now, overShare(50))
	if got := d.Reserve.SendsPerSecond; got < 10 || got > 30 {
		t.Errorf("%.1f sends per second, want about 20 from increases by 4 every 200 ms", got)
	}
}

// Guards against reports without sends, from which other routers would take this one for one of the earlier version.
func TestReportsHoldRequestsSent(t *testing.T) {
	p, now := smallEngine(12, 0, true, pomeloplace.Mechanisms{})
	for range 3 {
		p.RecordEnd(now, place(t, p, now, prompt(1, 0, 10)).Run, pomeloplace.ResultCompleted)
	}
	var m pomelorelay.LoadReport
	p.FillReport(&m)
	if len(m.Upstreams) != 1 || m.Upstreams[0].RequestsSent != 3 {
		t.Errorf("report %+v, want 3 requests sent", m.Upstreams)
	}
}

// A configuration removes the engine of a service while a request runs. Guards against a run that stays among those of the upstream for good and
// distorts the time until a slot becomes free once the engine is configured again.
func TestRunEndsAfterItsEngineWasRemoved(t *testing.T) {
	p, now := smallEngine(12, 0, true, pomeloplace.Mechanisms{})
	d := place(t, p, now, prompt(1, 0, 10))
	if got := p.Runs("e0"); got != 1 {
		t.Fatalf("%d runs after a send, want 1", got)
	}
	p.SetConfig(&pomelorelay.FleetConfig{Routes: routes, Services: []pomelorelay.ServiceSpec{{Name: engines}}})
	p.RecordEnd(now.Add(time.Second), d.Run, pomeloplace.ResultCompleted)
	if got := p.Runs("e0"); got != 0 {
		t.Errorf("%d runs after the end, want 0", got)
	}
}
