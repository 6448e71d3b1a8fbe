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
	now := readAt(t, old, rate)
	if got := speedOf(t, old); math.Abs(float64(got.PrefillRate)/rate-1) > 0.1 {
		t.Errorf("learnt %.1f tokens a millisecond, want %.0f", got.PrefillRate, rate)
	}
	var m pomelorelay.LoadReport
	old.FillReport(&m)
	fresh.ApplyReport(now, "old", 1, &m)
	if got := speedOf(t, fresh); math.Abs(float64(got.PrefillRate)/rate-1) > 0.1 {
		t.Errorf("told %.1f tokens a millisecond, want %.0f", got.PrefillRate, rate)
	}
}

// The fleet is idle for a moment while a router starts. Told speeds only when there are new ones, it would begin the next busy minute with the
// operators' figure, and send slow engines far too much.
func TestARouterThatStartsInACalmMomentLearnsHowFastEnginesRead(t *testing.T) {
	const rate = 25.0
	old, fresh := withEngines(4), withEngines(4)
	readAt(t, old, rate)
	old.FillReport(&pomelorelay.LoadReport{Full: true})
	m := pomelorelay.LoadReport{Full: true}
	old.FillReport(&m)
	fresh.ApplyReport(start, "old", 1, &m)
	if got := speedOf(t, fresh); math.Abs(float64(got.PrefillRate)/rate-1) > 0.1 {
		t.Errorf("told %.1f tokens a millisecond, want %.0f", got.PrefillRate, rate)
	}
}

// readAt lets a router see two hundred answers of engines that read at the rate, and returns when the last one came.
func readAt(t *testing.T, p *pomeloplace.Placer, rate float64) time.Time {
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
	t.Fatal("nothing is known of the engines")
	return pomeloplace.Speed{}
}
