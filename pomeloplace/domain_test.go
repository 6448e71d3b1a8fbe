package pomeloplace_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloplace"
)

// hangs is how long a connection attempt to a host that does not answer takes.
const hangs = 500 * time.Millisecond

// darkPlay is a router before engines in two failure domains, one of which falls silent.
type darkPlay struct {
	t       *testing.T
	p       *pomeloplace.Placer
	now     time.Time
	pending []pendingRun
	seq     uint64
	// hung counts the requests whose connections hung, reached those that the silent domain answered.
	hung, reached int
}

type pendingRun struct {
	at     time.Time
	run    *pomeloplace.Run
	result pomeloplace.Result
}

func newDarkPlay(t *testing.T, without pomeloplace.Mechanisms, perDomain int) *darkPlay {
	p := pomeloplace.New(pomeloplace.Config{
		Self: pomelorelay.Peer{Node: "r1", Domain: "a", Region: "ra"}, Regions: map[pomelorelay.DomainID]pomelorelay.RegionID{"a": "ra", "b": "ra"}, Disabled: without,
	})
	p.SetConfig(&pomelorelay.FleetConfig{Routes: routes, Services: []pomelorelay.ServiceSpec{{Name: engines, Engine: &pomelorelay.EngineSpec{Slots: 64, KVCapacity: 500_000, TokensPerEvent: 7}}}})
	for i := range perDomain {
		for _, domain := range []pomelorelay.DomainID{"a", "b"} {
			p.PutUpstream(start, engineIn(pomelorelay.UpstreamID(fmt.Sprintf("%s%d", domain, i)), domain))
		}
	}
	return &darkPlay{t: t, p: p, now: start}
}

// run sends so many requests a second; dark tells whether domain b is silent.
func (d *darkPlay) run(length time.Duration, perSecond int, dark bool) {
	for end := d.now.Add(length); d.now.Before(end); {
		d.now = d.now.Add(time.Second / time.Duration(perSecond))
		d.settle()
		d.seq++
		got := d.p.Place(d.now, prompt(d.seq, 300, 100))
		if got.Reason != pomeloplace.ReasonNone {
			d.t.Fatalf("refused: %s", got.Reason)
		}
		one := pendingRun{at: d.now.Add(60 * time.Millisecond), run: got.Run, result: pomeloplace.ResultCompleted}
		if got.Upstream.Domain == "b" {
			if dark {
				one.at, one.result = d.now.Add(hangs), pomeloplace.ResultUnreachable
				d.hung++
			} else {
				d.reached++
			}
		}
		d.pending = append(d.pending, one)
	}
}

func (d *darkPlay) settle() {
	kept := d.pending[:0]
	for _, one := range d.pending {
		if one.at.After(d.now) {
			kept = append(kept, one)
			continue
		}
		if one.result == pomeloplace.ResultCompleted {
			d.p.RecordAnswerStart(one.at, one.run)
		}
		d.p.RecordEnd(one.at, one.run, one.result)
	}
	d.pending = kept
}

// Guards against a router that finds a lost failure domain out upstream by upstream: each of its callers that tries one is late.
func TestALostDomainIsLeftAloneAsAWhole(t *testing.T) {
	play := func(without pomeloplace.Mechanisms) int {
		d := newDarkPlay(t, without, 40)
		d.run(3*time.Second, 40, false)
		d.run(8*time.Second, 40, true)
		return d.hung
	}
	whole, each := play(pomeloplace.Mechanisms{}), play(pomeloplace.Mechanisms{DomainRests: true})
	t.Logf("%d of 320 requests hung, %d where each upstream is found out by itself", whole, each)
	if whole > 25 || each < 2*whole {
		t.Errorf("%d requests hung, %d where each upstream is found out by itself", whole, each)
	}
}

// Guards against a failure domain that stays unused after it is back.
func TestADomainThatIsBackIsUsedAgain(t *testing.T) {
	d := newDarkPlay(t, pomeloplace.Mechanisms{}, 40)
	d.run(3*time.Second, 40, false)
	d.run(8*time.Second, 40, true)
	d.reached = 0
	d.run(3*time.Second, 40, false)
	if d.reached < 10 {
		t.Errorf("%d of 120 requests went to the domain in the 3 s after it was back", d.reached)
	}
}

// Guards against a failure domain that is left alone because some of its upstreams are down while others answer.
func TestADomainThatAnswersIsNotLeftAlone(t *testing.T) {
	d := newDarkPlay(t, pomeloplace.Mechanisms{}, 12)
	down := func(id pomelorelay.UpstreamID) bool { return id == "b0" || id == "b1" || id == "b2" || id == "b3" }
	for range 400 {
		d.now = d.now.Add(25 * time.Millisecond)
		d.settle()
		d.seq++
		got := place(t, d.p, d.now, prompt(d.seq, 300, 100))
		one := pendingRun{at: d.now.Add(60 * time.Millisecond), run: got.Run, result: pomeloplace.ResultCompleted}
		switch {
		case down(got.Upstream.ID):
			one.at, one.result = d.now.Add(hangs), pomeloplace.ResultUnreachable
		case got.Upstream.Domain == "b":
			d.reached++
		}
		d.pending = append(d.pending, one)
	}
	if d.reached < 100 {
		t.Errorf("%d of 400 requests went to the upstreams that answer in the domain", d.reached)
	}
}
