package pomeloroom_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloroom"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// Two kinds of request have long and short runs, and the estimates of output tokens are right at the median but a third of them are off by more
// than 1.4. Guards against expected durations that are wrong as a whole: over-share requests would be admitted into slots that do not become free.
// The actual durations grow with the running requests, which one time per token cannot follow.
func TestPredictedDurationIsRightAtTheMedian(t *testing.T) {
	random, now := rand.New(rand.NewPCG(1, 2)), start
	s, unaware := pomeloroom.NewSlotTime(), pomeloroom.NewSlotTime()
	var ratios, unawareRatios []float64
	for n := range 4000 {
		now = now.Add(50 * time.Millisecond)
		plan := pomeloroom.Plan{Route: "long", Estimated: 385, Running: 1 + random.IntN(12), FirstToken: 150 * time.Millisecond}
		if n%2 == 1 {
			plan = pomeloroom.Plan{Route: "short", Estimated: 22, Running: plan.Running, FirstToken: 60 * time.Millisecond}
		}
		output := max(1, math.Round(float64(plan.Estimated)*math.Exp(0.35*random.NormFloat64())))
		took := plan.FirstToken + time.Duration((8+output*(2.9+0.12*float64(plan.Running)))*math.Exp(0.1*random.NormFloat64())*float64(time.Millisecond))
		predicted := s.Expected(now, plan)
		if n > 200 {
			ratios = append(ratios, float64(took)/float64(predicted))
		}
		s.Observe(now, pomeloroom.Sample{Plan: plan, Output: pomelorelay.Tokens(output), Predicted: predicted, Duration: took})
		plan.Running = 0
		if n > 200 {
			unawareRatios = append(unawareRatios, float64(took)/float64(unaware.Expected(now, plan)))
		}
		unaware.Observe(now, pomeloroom.Sample{Plan: plan, Output: pomelorelay.Tokens(output), Duration: took})
	}
	if got, without := spread(ratios), spread(unawareRatios); got >= without {
		t.Errorf("spread %.4f with the running requests, %.4f without: want a better fit", got, without)
	} else {
		t.Logf("spread %.4f with the running requests, %.4f without", got, without)
	}
	slices.Sort(ratios)
	median, p90 := ratios[len(ratios)/2], ratios[len(ratios)*9/10]
	reported, reportedP90, _ := s.Errors()
	t.Logf("actual over predicted: median %.3f, p90 %.3f; metric %.3f, %.3f", median, p90, reported, reportedP90)
	if median < 0.9 || median > 1.1 || p90 > 1.5 {
		t.Errorf("actual over predicted: median %.3f, p90 %.3f, want 0.9 to 1.1 and at most 1.5", median, p90)
	}
	if math.Abs(reported/median-1) > 0.1 || math.Abs(reportedP90/p90-1) > 0.1 {
		t.Errorf("the metric says %.3f and %.3f, want %.3f and %.3f", reported, reportedP90, median, p90)
	}
}

// spread returns the root mean square of the logarithms of ratios.
func spread(ratios []float64) float64 {
	sum := 0.0
	for _, r := range ratios {
		sum += math.Log(r) * math.Log(r)
	}
	return math.Sqrt(sum / float64(len(ratios)))
}

// A route's estimates are three times too long. Guards against an expected duration that follows the estimates of all routes together.
func TestOutputRatioIsLearntByRoute(t *testing.T) {
	s := pomeloroom.NewSlotTime()
	for n := range 400 {
		now := start.Add(time.Duration(n) * 50 * time.Millisecond)
		for route, output := range map[pomelorelay.RouteID]pomelorelay.Tokens{"true": 300, "padded": 100} {
			plan := pomeloroom.Plan{Route: route, Estimated: 300, Running: 4}
			s.Observe(now, pomeloroom.Sample{Plan: plan, Output: output, Duration: time.Duration(output) * 3 * time.Millisecond})
		}
	}
	now := start.Add(20 * time.Second)
	for route, want := range map[pomelorelay.RouteID]float64{"true": 1, "padded": 1.0 / 3} {
		if got := s.OutputRatio(now, route); math.Abs(got/want-1) > 0.1 {
			t.Errorf("%s: output ratio %.3f, want %.3f", route, got, want)
		}
	}
	if got := s.Expected(now, pomeloroom.Plan{Route: "padded", Estimated: 300, Running: 4}); got < 250*time.Millisecond || got > 350*time.Millisecond {
		t.Errorf("expected duration %v, want about 300ms", got)
	}
}

// Guards against a wait for a slot of zero, negative or unbounded length, with which a full engine would be taken for an idle one. The inputs
// include runs that are all alike, overdue runs and a clock that stands still.
func TestTimesArePositive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now := pomeloroom.NewSlotTime(), start
		alike := rapid.Bool().Draw(t, "alike")
		for range rapid.IntRange(0, 60).Draw(t, "runs") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "passed")))
			o := pomeloroom.Sample{Plan: pomeloroom.Plan{Route: "r", Estimated: 100, Running: 3}, Output: 100, Duration: 300 * time.Millisecond}
			if !alike {
				o.Estimated, o.Running = pomelorelay.Tokens(rapid.IntRange(0, 5000).Draw(t, "estimated")), rapid.IntRange(0, 24).Draw(t, "running")
				o.Output, o.Duration = pomelorelay.Tokens(rapid.IntRange(0, 5000).Draw(t, "output")), time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "duration"))
			}
			s.Observe(now, o)
		}
		known, others := rapid.IntRange(0, 24).Draw(t, "known"), rapid.IntRange(0, 24).Draw(t, "others")
		remaining := time.Duration(known) * pomeloroom.Remaining(now, now.Add(-time.Second), time.Second)
		free, expected := s.UntilFree(remaining, known, others), s.Expected(now, pomeloroom.Plan{Route: "r", Estimated: 100, Running: 5})
		if !s.Known() || known+others == 0 {
			if free != 0 {
				t.Fatalf("%v until a slot is free, want 0 while it is unknown", free)
			}
			return
		}
		if free <= 0 || free > time.Hour || expected <= 0 || expected > time.Hour {
			t.Fatalf("%v until a slot is free, %v expected, want positive bounded times", free, expected)
		}
	})
}

// drawReserve returns a reserve with drawn traffic, which ends at the returned time.
func drawReserve(t *rapid.T, factor float64) (*pomeloroom.Reserve, time.Time) {
	r, now := &pomeloroom.Reserve{}, start
	for n := range 40 {
		now = now.Add(100 * time.Millisecond)
		r.RecordReported(now, factor*float64(n%3), float64(n%2))
	}
	return r, now
}

func drawConditions(t *rapid.T) pomeloroom.Conditions {
	return pomeloroom.Conditions{
		Slots:           rapid.IntRange(1, pomeloroom.MaxSlots).Draw(t, "slots"),
		ReportAge:       time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "age")),
		UntilFree:       time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "until free")),
		InShareFraction: rapid.Float64Range(0, 1).Draw(t, "in share"), InShareRefused: rapid.Float64Range(0, 1).Draw(t, "refused"),
		Unreported: rapid.IntRange(0, 9).Draw(t, "unreported") == 0,
	}
}

// Guards against a reserve beyond the slots, with which an idle engine would refuse, and against one that falls as reports get older or as other
// routers send more, with which a cut link would open the engines to over-share requests.
func TestReserveIsBoundedAndMonotonic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, factor := drawConditions(t), rapid.Float64Range(0, 10).Draw(t, "rate")
		r, now := drawReserve(t, factor)
		got := r.Compute(now, c)
		limit := pomeloroom.MaxReserve(c.Slots)
		if got.Slots > limit || got.Slots < min(1, limit) || float64(c.Slots)-got.Slots <= 0 {
			t.Fatalf("reserve %v of %d slots, want %v to %v", got.Slots, c.Slots, min(1, limit), limit)
		}
		if c.Unreported && got.Slots != limit {
			t.Fatalf("reserve %v while routers are unreported, want %v", got.Slots, limit)
		}
		older := c
		older.ReportAge += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "older"))
		if next := r.Compute(now, older); next.Slots < got.Slots {
			t.Fatalf("reserve %v with older reports, %v before", next.Slots, got.Slots)
		}
		// A higher rate of sends that are all beyond their shares or all within them takes at least as many slots.
		busier, _ := drawReserve(t, factor+rapid.Float64Range(0, 5).Draw(t, "more"))
		if next := busier.Compute(now, c); next.Slots < got.Slots {
			t.Fatalf("reserve %v with more sends, %v before", next.Slots, got.Slots)
		}
	})
}

// Guards against a reserve that ignores the reports' age: with fresh reports an engine of 12 slots would keep five free for nobody.
func TestFreshReportsNeedASmallReserve(t *testing.T) {
	r := &pomeloroom.Reserve{}
	if got := r.Compute(start, pomeloroom.Conditions{Slots: 12}).Slots; got != pomeloroom.MaxReserve(12) {
		t.Errorf("reserve %v without reports, want %v", got, pomeloroom.MaxReserve(12))
	}
	now := start
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		r.RecordReported(now, 0.6, 0.6)
	}
	conditions := func(age time.Duration) pomeloroom.Conditions { return pomeloroom.Conditions{Slots: 12, ReportAge: age} }
	fresh, old := r.Compute(now, conditions(20*time.Millisecond)), r.Compute(now, conditions(300*time.Millisecond))
	t.Logf("fresh %+v, old %+v", fresh, old)
	if fresh.Slots > 2 || old.Slots < 4 {
		t.Errorf("reserve %.2f with fresh reports and %.2f with old ones, want at most 2 and at least 4", fresh.Slots, old.Slots)
	}
}
