package pomeloplace_test

import (
	"math"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloplace"
)

// Engines read a fourth as fast as the operators' figure lets expect, and a router starts beside one that knows it. Until it learns that too, it
// sends four times what they can begin in time.
func TestRoutersTellEachOtherHowFastEnginesRead(t *testing.T) {
	const rate = 25.0
	old, fresh := withEngines(4), withEngines(4)
	now := start
	for i := range 200 {
		now = now.Add(time.Second)
		tokens := pomelorelay.Tokens(200 + 20*i)
		d := place(t, old, now, pomeloplace.Request{Service: engines, Prompt: tokens, Output: 10, Owed: true, Target: time.Second, Left: 10 * time.Second})
		took := 30*time.Millisecond + time.Duration(float64(tokens)/rate*float64(time.Millisecond))
		old.Begun(now.Add(took), d.Run)
		old.Ended(now.Add(took), d.Run, pomeloplace.ResultGood)
	}
	if got := speedOf(t, old); math.Abs(float64(got.Rate)/rate-1) > 0.1 {
		t.Errorf("learnt %.1f tokens a millisecond, want %.0f", got.Rate, rate)
	}
	var m pomelorelay.LoadReport
	old.Report(&m)
	fresh.Heard(now, "old", 1, &m)
	if got := speedOf(t, fresh); math.Abs(float64(got.Rate)/rate-1) > 0.1 {
		t.Errorf("told %.1f tokens a millisecond, want %.0f", got.Rate, rate)
	}
}

func speedOf(t *testing.T, p *pomeloplace.Placer) pomeloplace.Speed {
	t.Helper()
	for _, s := range p.Speeds() {
		if s.Service == engines {
			return s
		}
	}
	t.Fatal("nothing is known of the engines")
	return pomeloplace.Speed{}
}
