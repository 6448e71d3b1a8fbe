package pomelospeed_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelospeed"
)

var start = time.Unix(1000, 0)

// engine simulates the times to first token of an engine, with the random delays that routers cannot predict.
type engine struct {
	rng      *rand.Rand
	rate     float64
	overhead time.Duration
	// spread is the standard deviation of the logarithm of the times.
	spread float64
}

func (e *engine) firstTokenTime(tokens float64) time.Duration {
	ms := tokens/e.rate + float64(e.overhead.Milliseconds())
	return time.Duration(ms * math.Exp(e.spread*e.rng.NormFloat64()-e.spread*e.spread/2) * float64(time.Millisecond))
}

// promptTokens returns a random prompt length: most prompts are short, some are thirty times as long.
func (e *engine) promptTokens() float64 { return min(60000, 1500*math.Exp(e.rng.NormFloat64())) }

// Guards against slow convergence where engines prefill up to ten times slower or faster than the prior rate: until the fit has converged,
// routers either overload slow engines, whose answers are then late, or refuse requests that fast engines could serve.
func TestFitConvergesForEnginesOfAnySpeed(t *testing.T) {
	const (
		tolerance  = 0.1
		fleets     = 10
		engines    = 8
		length     = 2 * time.Second
		load       = 0.5
		meanTokens = 2500 // tokens of a prompt
	)
	for _, rate := range []float64{10, 30, 100, 300} {
		for _, prior := range []pomelospeed.PrefillRate{20, 50, 200} {
			t.Run(fmt.Sprintf("rate %.0f, prior %.0f", rate, prior), func(t *testing.T) {
				answers := int(load * engines * rate * float64(length.Milliseconds()) / meanTokens)
				rateError, expectError := 0.0, 0.0
				for seed := range uint64(fleets) {
					e := &engine{rng: rand.New(rand.NewPCG(seed, uint64(rate))), rate: rate, overhead: 40 * time.Millisecond, spread: 0.3}
					m := newTrained(e, prior, answers, length)
					rateError += math.Abs(float64(m.PrefillRate())/rate-1) / fleets
					expectError += math.Abs(m.ExpectedTime(200*rate).Seconds()/0.24-1) / fleets
				}
				if rateError > tolerance || expectError > tolerance {
					t.Errorf("after %d answers the mean relative error is %.2f for the rate and %.2f for the time of a 0.2 s prefill, want at most %.1f", answers, rateError, expectError, tolerance)
				}
			})
		}
	}
}

// newTrained returns a model after the given number of answers, spread evenly over the time.
func newTrained(e *engine, prior pomelospeed.PrefillRate, answers int, length time.Duration) *pomelospeed.FirstTokenModel {
	m := pomelospeed.NewFirstTokenModel(prior)
	now := start
	for range answers {
		now = now.Add(length / time.Duration(answers))
		tokens := e.promptTokens()
		m.Observe(now, tokens, e.firstTokenTime(tokens))
	}
	return m
}

// Guards against a router that starts in a running fleet and learns the rates only from its own answers: until then it would overload slow
// engines, and none of the answers would be in time.
func TestNewRouterLearnsTheRateFromOneReport(t *testing.T) {
	e := &engine{rng: rand.New(rand.NewPCG(2, 2)), rate: 25, overhead: 60 * time.Millisecond, spread: 0.3}
	established, started := pomelospeed.NewFirstTokenModel(200), pomelospeed.NewFirstTokenModel(200)
	now := start
	for range 500 {
		now = now.Add(10 * time.Millisecond)
		tokens := e.promptTokens()
		established.Observe(now, tokens, e.firstTokenTime(tokens))
	}
	started.Merge(now, pomelorelay.SpeedSums{}, established.LocalSums())
	if got := float64(started.PrefillRate()); math.Abs(got/25-1) > 0.1 {
		t.Errorf("%.1f tokens per millisecond after the first report, want 25", got)
	}
	// A repeated report must not count again.
	before := started.PrefillRate()
	started.Merge(now, established.LocalSums(), established.LocalSums())
	if started.PrefillRate() != before {
		t.Errorf("a repeated report changed %v to %v", before, started.PrefillRate())
	}
}

// Guards against a rate that drops because of a few outliers: when engines stall for seconds, their answers take a hundred times the expected
// time. Without clamping, all engines would look slow, and requests would be refused while engines are idle.
func TestOutliersBarelyMoveTheRate(t *testing.T) {
	e := &engine{rng: rand.New(rand.NewPCG(3, 3)), rate: 100, overhead: 30 * time.Millisecond, spread: 0.2}
	m := pomelospeed.NewFirstTokenModel(100)
	now := start
	for i := range 400 {
		now = now.Add(10 * time.Millisecond)
		tokens := e.promptTokens()
		took := e.firstTokenTime(tokens)
		if i%100 == 99 {
			took = 20 * time.Second
		}
		m.Observe(now, tokens, took)
	}
	if got := float64(m.PrefillRate()); math.Abs(got/100-1) > 0.25 {
		t.Errorf("%.1f tokens per millisecond, want about 100", got)
	}
}

// Guards against slow detection of an engine that becomes four times slower: requests sent there meanwhile are late,
// and requests already running there delay their callers.
func TestSlowEngineIsDetectedWithinASecond(t *testing.T) {
	random := rand.New(rand.NewPCG(4, 4))
	const expected = 200 * time.Millisecond
	var slow, healthy pomelospeed.SlowdownFactor
	observe := func(f *pomelospeed.SlowdownFactor, now time.Time, factor float64) {
		f.Observe(now, time.Duration(factor*math.Exp(0.3*random.NormFloat64())*float64(expected)), expected)
	}
	now := start
	run := func(n int, factor float64) {
		for range n {
			now = now.Add(100 * time.Millisecond)
			observe(&slow, now, factor)
			observe(&healthy, now, 1)
		}
	}
	run(50, 1)
	if got := slow.RelativeTo(now, healthy.Ratio(now)); got != 1 {
		t.Errorf("%.2f times slower than the others at the same speed, want 1", got)
	}
	run(10, 4)
	if got := slow.RelativeTo(now, healthy.Ratio(now)); got < 2.5 {
		t.Errorf("%.2f times slower after a second at a quarter of the speed, want at least 2.5", got)
	}
	run(20, 1)
	if got := slow.RelativeTo(now, healthy.Ratio(now)); got != 1 {
		t.Errorf("%.2f times slower two seconds after recovery, want 1", got)
	}
}

func TestPauseWeightGrowsWithPausedStreams(t *testing.T) {
	for _, c := range []struct {
		name      string
		paused    int // streams out of 100
		minWeight float64
		maxWeight float64
	}{
		{"never", 0, 0, 0.3},
		{"seldom", 3, 0.1, 0.6},
		{"often", 30, 1, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			local, remote := pomelospeed.NewPauseRatio(), pomelospeed.NewPauseRatio()
			now := start
			for i := range 100 {
				now = now.Add(20 * time.Millisecond)
				sums := pomelospeed.RatioSums{Denominator: 1}
				if i < c.paused {
					sums.Numerator = 1
				}
				local.Observe(now, sums)
			}
			remote.Merge(now, pomelospeed.RatioSums{}, local.LocalSums())
			for name, p := range map[string]*pomelospeed.DecayingRatio{"local": local, "remote": remote} {
				if got := pomelospeed.PauseWeight(p.Value(now)); got < c.minWeight || got > c.maxWeight {
					t.Errorf("%s: weight %.2f, want %.2f to %.2f", name, got, c.minWeight, c.maxWeight)
				}
			}
		})
	}
	if got := pomelospeed.PauseWeight(pomelospeed.NewPauseRatio().Value(start)); got != 1 {
		t.Errorf("weight %.2f without observations, want 1", got)
	}
}

// Guards against copying that is disabled for good: copies between full engines take longer than prefilling, so routers stop copying and cannot
// observe that copies have become faster. Shared prompt parts would be prefilled again until the routers restart.
func TestCopyTimeEstimateRecoversWithoutCopies(t *testing.T) {
	copies := pomelospeed.NewCopyTimeRatio()
	copies.Observe(start, pomelospeed.RatioSums{Numerator: 400_000, Denominator: 200_000})
	if got := copies.Value(start); got < 1 {
		t.Fatalf("copies take %.2f of the prefill time, want 1 or more", got)
	}
	if got := copies.Value(start.Add(time.Minute)); got >= 1 {
		t.Errorf("copies take %.2f of the prefill time after a minute without any, want less than 1", got)
	}
}
