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

// engine answers as an engine of the rate and overhead does, with the waits that nobody could know of.
type engine struct {
	rng   *rand.Rand
	rate     float64
	overhead time.Duration
	// spread is how much times differ: the standard deviation of their logarithm.
	spread float64
}

func (e *engine) firstTokenTime(tokens float64) time.Duration {
	ms := tokens/e.rate + float64(e.overhead.Milliseconds())
	return time.Duration(ms * math.Exp(e.spread*e.rng.NormFloat64()-e.spread*e.spread/2) * float64(time.Millisecond))
}

// promptTokens draws tokens to be read: most prompts are short, some are thirty times as long.
func (e *engine) promptTokens() float64 { return min(60000, 1500*math.Exp(e.rng.NormFloat64())) }

// Engines of a service that nobody has measured read ten times slower or faster than the first guess. Until the routers know, they send
// far too much, and answers are late, or refuse what the engines could serve.
func TestFitConvergesForEnginesOfAnySpeed(t *testing.T) {
	const (
		tolerance   = 0.1
		fleets  = 10
		engines = 8
		length  = 2 * time.Second
		load    = 0.5
		meanTokens    = 2500 // tokens of a prompt
	)
	for _, rate := range []float64{10, 30, 100, 300} {
		for _, guess := range []pomelospeed.Rate{20, 50, 200} {
			t.Run(fmt.Sprintf("%.0f guessed %.0f", rate, guess), func(t *testing.T) {
				answers := int(load * engines * rate * float64(length.Milliseconds()) / meanTokens)
				rateError, expectError := 0.0, 0.0
				for seed := range uint64(fleets) {
					e := &engine{rng: rand.New(rand.NewPCG(seed, uint64(rate))), rate: rate, overhead: 40 * time.Millisecond, spread: 0.3}
					l := newTrained(e, guess, answers, length)
					rateError += math.Abs(float64(l.Rate())/rate-1) / fleets
					expectError += math.Abs(l.Expect(200*rate).Seconds()/0.24-1) / fleets
				}
				if rateError > tolerance || expectError > tolerance {
					t.Errorf("after %d answers the rate is off by %.2f in the mean, the time to read for 0.2 s by %.2f; want %.1f", answers, rateError, expectError, tolerance)
				}
			})
		}
	}
}

// newTrained returns a line that has seen so many answers within the time.
func newTrained(e *engine, guess pomelospeed.Rate, answers int, length time.Duration) *pomelospeed.Line {
	l := pomelospeed.NewLine(guess)
	now := start
	for range answers {
		now = now.Add(length / time.Duration(answers))
		tokens := e.promptTokens()
		l.Note(now, tokens, e.firstTokenTime(tokens))
	}
	return l
}

// A router starts in a fleet that knows its engines. Until it knew them too, it would send too much to slow engines and none of the answers
// would be in time.
func TestNewRouterLearnsTheRateFromOneReport(t *testing.T) {
	e := &engine{rng: rand.New(rand.NewPCG(2, 2)), rate: 25, overhead: 60 * time.Millisecond, spread: 0.3}
	established, started := pomelospeed.NewLine(200), pomelospeed.NewLine(200)
	now := start
	for range 500 {
		now = now.Add(10 * time.Millisecond)
		tokens := e.promptTokens()
		established.Note(now, tokens, e.firstTokenTime(tokens))
	}
	started.Merge(now, pomelorelay.SpeedSums{}, established.Own())
	if got := float64(started.Rate()); math.Abs(got/25-1) > 0.1 {
		t.Errorf("%.1f tokens a millisecond after the first report, want 25", got)
	}
	// Reports may be repeated; what they said before does not count again.
	before := started.Rate()
	started.Merge(now, established.Own(), established.Own())
	if started.Rate() != before {
		t.Errorf("a repeated report changed %v to %v", before, started.Rate())
	}
}

// Engines stand still for seconds, and a few answers come after a hundred times the time that was expected. Taken as they are, they make
// all engines look slow, and requests are refused beside free engines.
func TestOutliersBarelyMoveTheRate(t *testing.T) {
	e := &engine{rng: rand.New(rand.NewPCG(3, 3)), rate: 100, overhead: 30 * time.Millisecond, spread: 0.2}
	l := pomelospeed.NewLine(100)
	now := start
	for i := range 400 {
		now = now.Add(10 * time.Millisecond)
		tokens := e.promptTokens()
		took := e.firstTokenTime(tokens)
		if i%100 == 99 {
			took = 20 * time.Second
		}
		l.Note(now, tokens, took)
	}
	if got := float64(l.Rate()); math.Abs(got/100-1) > 0.25 {
		t.Errorf("%.1f tokens a millisecond, want about 100", got)
	}
}

// One engine turns slow by a factor of four. Requests that go on being sent there are late, and those that run there hold its callers up.
func TestSlowEngineIsDetectedWithinASecond(t *testing.T) {
	random := rand.New(rand.NewPCG(4, 4))
	const expected = 200 * time.Millisecond
	var slow, healthy pomelospeed.Factor
	observe := func(f *pomelospeed.Factor, now time.Time, factor float64) {
		f.Note(now, time.Duration(factor*math.Exp(0.3*random.NormFloat64())*float64(expected)), expected)
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
	if got := slow.Beside(now, healthy.Ratio(now)); got != 1 {
		t.Errorf("counts %.2f times as slow as the others while it is like them", got)
	}
	run(10, 4)
	if got := slow.Beside(now, healthy.Ratio(now)); got < 2.5 {
		t.Errorf("counts %.2f times as slow after a second at a quarter of the speed", got)
	}
	run(20, 1)
	if got := slow.Beside(now, healthy.Ratio(now)); got != 1 {
		t.Errorf("counts %.2f times as slow two seconds after it is sound again", got)
	}
}

func TestPauseWeightFollowsThePausedStreams(t *testing.T) {
	for _, c := range []struct {
		name   string
		paused int // of a hundred streams
		minWeight  float64
		maxWeight   float64
	}{
		{"never", 0, 0, 0.3},
		{"seldom", 3, 0.1, 0.6},
		{"often", 30, 1, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			local, remote := pomelospeed.NewPauses(), pomelospeed.NewPauses()
			now := start
			for i := range 100 {
				now = now.Add(20 * time.Millisecond)
				sums := pomelospeed.Sums{Of: 1}
				if i < c.paused {
					sums.Amount = 1
				}
				local.Note(now, sums)
			}
			remote.Merge(now, pomelospeed.Sums{}, local.Own())
			for name, p := range map[string]*pomelospeed.Ratio{"told": local, "heard": remote} {
				if got := pomelospeed.PauseWeight(p.Value(now)); got < c.minWeight || got > c.maxWeight {
					t.Errorf("%s: weight %.2f, want %.2f to %.2f", name, got, c.minWeight, c.maxWeight)
				}
			}
		})
	}
	if got := pomelospeed.PauseWeight(pomelospeed.NewPauses().Value(start)); got != 1 {
		t.Errorf("weight %.2f before anything is known, want 1", got)
	}
}

// Engines were full when routers copied parts between them, and the copies seemed to take longer than reading. Nobody copies any more then, so
// that nobody sees it get better: shared parts would be read again for as long as the routers live.
func TestCopyTimeEstimateRecoversWithoutCopies(t *testing.T) {
	copies := pomelospeed.NewCopies()
	copies.Note(start, pomelospeed.Sums{Amount: 400_000, Of: 200_000})
	if got := copies.Value(start); got < 1 {
		t.Fatalf("copies take %.2f of the time to read, want 1 or more", got)
	}
	if got := copies.Value(start.Add(time.Minute)); got >= 1 {
		t.Errorf("copies still take %.2f of the time to read after a minute without any", got)
	}
}
