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
func TestPrefillSpeedIsSharedBetweenRouters(t *testing.T) {
	const rate = 25.0
	running, started := withEngines(4), withEngines(4)
	now := prefillAtRate(t, running, rate)
	if got := speedOf(t, running); math.Abs(float64(got.Rate)/rate-1) > 0.1 {
		t.Errorf("learnt %.1f tokens a millisecond, want %.0f", got.Rate, rate)
	}
	var m pomelorelay.LoadReport
	running.Report(&m)
	started.TakeReport(now, "old", 1, &m)
	if got := speedOf(t, started); math.Abs(float64(got.Rate)/rate-1) > 0.1 {
		t.Errorf("told %.1f tokens a millisecond, want %.0f", got.Rate, rate)
	}
}

// The fleet is idle for a moment while a router starts. Told speeds only when there are new ones, it would begin the next busy minute with the
// operators' figure, and send slow engines far too much.
func TestNewRouterLearnsPrefillSpeedFromIdleFleet(t *testing.T) {
	const rate = 25.0
	running, started := withEngines(4), withEngines(4)
	prefillAtRate(t, running, rate)
	running.Report(&pomelorelay.LoadReport{Whole: true})
	m := pomelorelay.LoadReport{Whole: true}
	running.Report(&m)
	started.TakeReport(start, "old", 1, &m)
	if got := speedOf(t, started); math.Abs(float64(got.Rate)/rate-1) > 0.1 {
		t.Errorf("told %.1f tokens a millisecond, want %.0f", got.Rate, rate)
	}
}

// prefillAtRate lets a router see two hundred answers of engines that read at the rate, and returns when the last one came.
func prefillAtRate(t *testing.T, p *pomeloplace.Placer, rate float64) time.Time {
	t.Helper()
	now := start
	for i := range 200 {
		now = now.Add(time.Second)
		tokens := pomelorelay.Tokens(200 + 20*i)
		d := place(t, p, now, pomeloplace.Request{Service: engines, Prompt: tokens, Output: 10, Owed: true, Target: time.Second, Left: 10 * time.Second})
		took := 30*time.Millisecond + time.Duration(float64(tokens)/rate*float64(time.Millisecond))
		p.Begun(now.Add(took), d.Run)
		p.Ended(now.Add(took), d.Run, pomeloplace.ResultGood)
	}
	return now
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
