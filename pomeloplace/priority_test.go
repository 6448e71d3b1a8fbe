package pomeloplace_test

import (
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloplace"

	"pgregory.net/rapid"
)

// withPriorities returns a placer with one engine and a route of each priority.
func withPriorities(slots int, priorities ...int) *pomeloplace.Placer {
	p := withEngines(1)
	p.SetConfig(priorityConfig(slots, priorities...))
	return p
}

func priorityConfig(slots int, priorities ...int) *pomelorelay.FleetConfig {
	config := &pomelorelay.FleetConfig{Services: []pomelorelay.ServiceSpec{{Name: engines, Engine: &pomelorelay.EngineSpec{Slots: pomelorelay.Slots(slots), KVCapacity: 500_000, TokensPerEvent: 7}}}}
	for _, priority := range priorities {
		config.Routes = append(config.Routes, pomelorelay.Route{Priority: priority, TargetLatency: time.Second, Shares: []pomelorelay.RouteShare{{Service: engines, Weight: 1}}})
	}
	return config
}

// fill places requests like r until one is refused, and returns the runs.
func fill(p *pomeloplace.Placer, now time.Time, r pomeloplace.Request) []*pomeloplace.Run {
	r.Service, r.PromptTokens, r.OutputTokens, r.Target, r.MaxWait = engines, 1, 1, time.Second, 10*time.Second
	var runs []*pomeloplace.Run
	for {
		d := p.Place(now, r)
		if d.Run == nil {
			return runs
		}
		runs = append(runs, d.Run)
	}
}

// fillAfterDenial returns how many requests like r run at once after a request of the given priority was refused.
func fillAfterDenial(p *pomeloplace.Placer, age time.Duration, denied int, r pomeloplace.Request) int {
	for _, run := range fill(p, start, pomeloplace.Request{Priority: denied, WithinShare: true}) {
		p.RecordEnd(start, run, pomeloplace.ResultCompleted)
	}
	return len(fill(p, start.Add(age), r))
}

// Guards against requests of low priority that starve: they may leave at most a quarter of the slots free, whatever was refused.
func TestLowerPriorityLeavesAtMostQuarterOfSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 64).Draw(t, "slots")
		priorities := rapid.SliceOfN(rapid.IntRange(0, 9), 1, 5).Draw(t, "priorities")
		age := time.Duration(rapid.IntRange(0, 2000).Draw(t, "age")) * time.Millisecond
		denied, priority := rapid.IntRange(0, 9).Draw(t, "denied"), rapid.IntRange(0, 9).Draw(t, "priority")
		r := pomeloplace.Request{Priority: priority, WithinShare: rapid.Bool().Draw(t, "within")}
		got := fillAfterDenial(withPriorities(slots, priorities...), age, denied, r)
		want := fillAfterDenial(withPriorities(slots, 0), age, 0, pomeloplace.Request{WithinShare: r.WithinShare})
		if got < 1 || got < want-slots/4 || got > want {
			t.Fatalf("%d requests run of %d slots, want %d less at most a quarter of the slots, and at least 1", got, slots, want)
		}
	})
}

// Guards against a priority that has no effect, or one that lasts after requests of higher priority are served again.
func TestLowerPriorityYieldsWhileHigherIsRefused(t *testing.T) {
	for _, c := range []struct {
		age              time.Duration
		denied, priority int
		want             int
	}{
		{0, 0, 2, 9}, {0, 0, 1, 11}, {0, 1, 2, 9}, {0, 2, 0, 12}, {0, 0, 0, 12}, {700 * time.Millisecond, 0, 2, 12}, {2 * time.Second, 0, 2, 12}, {0, 0, 7, 9},
	} {
		if got := fillAfterDenial(withPriorities(12, 0, 1, 2), c.age, c.denied, pomeloplace.Request{Priority: c.priority, WithinShare: true}); got != c.want {
			t.Errorf("%v after priority %d was refused, %d requests of priority %d run, want %d", c.age, c.denied, got, c.priority, c.want)
		}
	}
}

// Guards against priorities that change placements although all requests have the same one, and against a configuration that removes priorities
// while requests of them are in progress.
func TestEqualPrioritiesChangeNothing(t *testing.T) {
	results := make(map[string]bool)
	for _, priority := range []int{0, 5} {
		s := newSimulation(1, 4, 8)
		s.slots, s.overShare = 12, 0.5
		for _, r := range s.routers {
			r.SetConfig(priorityConfig(12, 0, 1))
			r.SetConfig(priorityConfig(12, priority, priority))
		}
		s.choose = func(s *simulation, router int, r pomeloplace.Request) pomeloplace.Decision {
			r.Priority = priority
			return s.routers[router].Place(s.now, r)
		}
		s.run(240, 5*time.Second)
		results[s.String()] = true
	}
	if len(results) != 1 {
		t.Errorf("results by priority of all requests: %v, want the same", results)
	}
}

// Guards against requests that are sent although their callers will have gone before an answer can begin, and against refusing those that estimates
// of the prefill time alone make look hopeless.
func TestRequestIsRefusedWhenRemainingTimeCannotSuffice(t *testing.T) {
	for _, c := range []struct {
		timeLeft time.Duration
		want     pomeloplace.Reason
	}{
		{50 * time.Millisecond, pomeloplace.ReasonTimeTooShort}, {300 * time.Millisecond, pomeloplace.ReasonNone}, {10 * time.Second, pomeloplace.ReasonNone}, {0, pomeloplace.ReasonNone},
	} {
		r := prompt(1, 10_000, 10_000)
		r.Target, r.MaxWait = time.Second, c.timeLeft
		if d := withEngines(1).Place(start, r); d.Reason != c.want || (c.want != pomeloplace.ReasonNone && d.RetryAfter <= 0) {
			t.Errorf("with %v left and %v expected: %q with Retry-After %v, want %q", c.timeLeft, d.ExpectedLatency, d.Reason, d.RetryAfter, c.want)
		}
	}
}

// Guards against a low priority that keeps an account from half of what others get: it would leave slots free for them whatever it was served.
func TestOwedAccountYieldsLess(t *testing.T) {
	for _, c := range []struct {
		owed float64
		want int
	}{{0, 9}, {0.25, 11}, {0.5, 12}, {1, 12}} {
		if got := fillAfterDenial(withPriorities(12, 0, 1, 2), 0, 0, pomeloplace.Request{Priority: 2, WithinShare: true, Owed: c.owed}); got != c.want {
			t.Errorf("owed %.2f of the level: %d of 12 slots filled, want %d", c.owed, got, c.want)
		}
	}
}

// Guards against a flood of high priority whose refusals make others yield although it has been served more than they have.
func TestLimitedAccountMakesNobodyYield(t *testing.T) {
	for _, standing := range []pomelorelay.Standing{{Withheld: 0.01}, {Behind: "other"}} {
		p := withPriorities(12, 0, 1, 2)
		for _, run := range fill(p, start, pomeloplace.Request{Priority: 0, WithinShare: true, Standing: standing}) {
			p.RecordEnd(start, run, pomeloplace.ResultCompleted)
		}
		if got := len(fill(p, start, pomeloplace.Request{Priority: 2, WithinShare: true})); got != 12 {
			t.Errorf("%d of 12 slots filled after an account with the standing %+v was refused, want all", got, standing)
		}
	}
}
