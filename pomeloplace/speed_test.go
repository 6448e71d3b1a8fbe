package pomeloplace_test

import (
	"math"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloplace"
)

// Engines prefill four times as slowly as the configured capacity suggests. A router that starts without the learnt rate would send four
// times what they can serve in time.
func TestPrefillSpeedIsSharedBetweenRouters(t *testing.T) {
	const rate = 25.0
	running, started := withEngines(4), withEngines(4)
	now := prefillAtRate(t, running, rate)
	if got := speedOf(t, running); math.Abs(float64(got.PrefillRate)/rate-1) > 0.1 {
		t.Errorf("learnt a rate of %.1f tokens/ms, want %.0f", got.PrefillRate, rate)
	}
	var m pomelorelay.LoadReport
	running.FillReport(&m)
	started.ApplyReport(now, "old", 1, &m)
	if got := speedOf(t, started); math.Abs(float64(got.PrefillRate)/rate-1) > 0.1 {
		t.Errorf("rate from the report is %.1f tokens/ms, want %.0f", got.PrefillRate, rate)
	}
}

// A router starts while the fleet is idle. If speeds were reported only when they change, it would begin the next load peak with the
// configured rate and overload slow engines.
func TestNewRouterLearnsPrefillSpeedFromIdleFleet(t *testing.T) {
	const rate = 25.0
	running, started := withEngines(4), withEngines(4)
	prefillAtRate(t, running, rate)
	running.FillReport(&pomelorelay.LoadReport{Full: true})
	m := pomelorelay.LoadReport{Full: true}
	running.FillReport(&m)
	started.ApplyReport(start, "old", 1, &m)
	if got := speedOf(t, started); math.Abs(float64(got.PrefillRate)/rate-1) > 0.1 {
		t.Errorf("rate from the report is %.1f tokens/ms, want %.0f", got.PrefillRate, rate)
	}
}

// prefillAtRate simulates 200 answers from engines with the given prefill rate and returns the time of the last one.
func prefillAtRate(t *testing.T, p *pomeloplace.Placer, rate float64) time.Time {
	t.Helper()
	now := start
	for i := range 200 {
		now = now.Add(time.Second)
		tokens := pomelorelay.Tokens(200 + 20*i)
		d := place(t, p, now, pomeloplace.Request{Service: engines, PromptTokens: tokens, OutputTokens: 10, WithinShare: true, Target: time.Second, MaxWait: 10 * time.Second})
		took := 30*time.Millisecond + time.Duration(float64(tokens)/rate*float64(time.Millisecond))
		p.RecordAnswerStart(now.Add(took), d.Run)
		p.RecordEnd(now.Add(took), d.Run, pomeloplace.ResultCompleted)
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
	t.Fatal("no speed estimate for the engines")
	return pomeloplace.Speed{}
}
