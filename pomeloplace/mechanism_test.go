package pomeloplace_test

import (
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloplace"
)

func TestMechanismsAreSwitchedOffByName(t *testing.T) {
	for _, name := range pomeloplace.MechanismNames() {
		set, err := pomeloplace.ParseMechanisms([]string{name})
		if err != nil || set == (pomeloplace.Mechanisms{}) {
			t.Errorf("%s: %+v, %v", name, set, err)
		}
	}
	if _, err := pomeloplace.ParseMechanisms([]string{"Copies", "Magic"}); !pomelorelay.IsErrCode(err, pomelorelay.CodeSettingsInvalid) {
		t.Error(err)
	}
}

// A fleet stands in two regions, and the way between them takes longer than anybody said. Routers that do not learn it expect answers too
// early, and send requests to the other region that are late there.
func TestTheWayToAnotherRegionIsLearnt(t *testing.T) {
	p := newPlacer()
	far := engine("e0")
	far.Domain = "b"
	p.PutUpstream(start, far)
	near := engine("e1")
	p.PutUpstream(start, near)
	now := start
	ask := func(avoid pomelorelay.UpstreamID, way time.Duration) pomeloplace.Decision {
		now = now.Add(200 * time.Millisecond)
		r := prompt(uint64(now.UnixNano()), 500, 500)
		r.Avoid = []pomelorelay.UpstreamID{avoid}
		d := place(t, p, now, r)
		p.RecordAnswerStart(now.Add(40*time.Millisecond+way), d.Run)
		p.RecordEnd(now.Add(50*time.Millisecond+way), d.Run, pomeloplace.ResultCompleted)
		return d
	}
	const way = 100 * time.Millisecond
	var there, here pomeloplace.Decision
	for range 1000 {
		there, here = ask("e1", way), ask("e0", 0)
	}
	if got := there.ExpectedLatency - here.ExpectedLatency; got < way*3/4 || got > way*5/4 {
		t.Errorf("the other region is taken to be %v further, want about %v", got, way)
	}
}
