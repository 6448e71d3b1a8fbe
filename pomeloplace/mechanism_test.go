package pomeloplace_test

import (
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloplace"
)

func TestParseMechanismsByName(t *testing.T) {
	for _, name := range pomeloplace.MechanismNames() {
		mechanisms, err := pomeloplace.ParseMechanisms([]string{name})
		if err != nil || mechanisms == (pomeloplace.Mechanisms{}) {
			t.Errorf("%s: %+v, %v", name, mechanisms, err)
		}
	}
	if _, err := pomeloplace.ParseMechanisms([]string{"Copies", "Magic"}); !pomelorelay.IsErrCode(err, pomelorelay.CodeSettingsInvalid) {
		t.Error(err)
	}
}

// The round trip to another region takes longer than the initial estimate. Guards against routers that do not learn that time: they would
// underestimate the latency of the other region, and answers to requests sent there would be late.
func TestRegionLatencyIsLearnt(t *testing.T) {
	p := newPlacer()
	far := engine("e0")
	far.Domain = "b"
	p.PutUpstream(start, far)
	near := engine("e1")
	p.PutUpstream(start, near)
	now := start
	placeAvoiding := func(avoid pomelorelay.UpstreamID, rtt time.Duration) pomeloplace.Decision {
		now = now.Add(200 * time.Millisecond)
		r := prompt(uint64(now.UnixNano()), 500, 500)
		r.Avoid = []pomelorelay.UpstreamID{avoid}
		d := place(t, p, now, r)
		p.RecordAnswerStart(now.Add(40*time.Millisecond+rtt), d.Run)
		p.RecordEnd(now.Add(50*time.Millisecond+rtt), d.Run, pomeloplace.ResultCompleted)
		return d
	}
	const rtt = 100 * time.Millisecond
	var remote, local pomeloplace.Decision
	for range 1000 {
		remote, local = placeAvoiding("e1", rtt), placeAvoiding("e0", 0)
	}
	if got := remote.ExpectedLatency - local.ExpectedLatency; got < rtt*3/4 || got > rtt*5/4 {
		t.Errorf("learnt a round trip of %v to the other region, want about %v", got, rtt)
	}
}
