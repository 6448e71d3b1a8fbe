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
	random   *rand.Rand
	rate     float64
	overhead time.Duration
	// spread is how much times differ: the standard deviation of their logarithm.
	spread float64
}

func (e *engine) answer(tokens float64) time.Duration {
	ms := tokens/e.rate + float64(e.overhead.Milliseconds())
	return time.Duration(ms * math.Exp(e.spread*e.random.NormFloat64()-e.spread*e.spread/2) * float64(time.Millisecond))
}

// prompt draws tokens to be read: most prompts are short, some are thirty times as long.
func (e *engine) prompt() float64 { return min(60000, 1500*math.Exp(e.random.NormFloat64())) }

// Engines of a service that nobody has measured read ten times slower or faster than the first guess. Until the routers know, they send
// far too much, and answers are late, or refuse what the engines could serve.
func TestALineFitsEnginesOfAnySpeed(t *testing.T) {
	const (
		tenth   = 0.1
		fleets  = 10
		engines = 8
		length  = 2 * time.Second
		load    = 0.5
		mean    = 2500 // tokens of a prompt
	)
	for _, rate := range []float64{10, 30, 100, 300} {
		for _, guess := range []pomelospeed.PrefillRate{20, 50, 200} {
			t.Run(fmt.Sprintf("%.0f guessed %.0f", rate, guess), func(t *testing.T) {
				answers := int(load * engines * rate * float64(length.Milliseconds()) / mean)
				rateOff, expectOff := 0.0, 0.0
				for seed := range uint64(fleets) {
					e := &engine{random: rand.New(rand.NewPCG(seed, uint64(rate))), rate: rate, overhead: 40 * time.Millisecond, spread: 0.3}
					l := learnt(e, guess, answers, length)
					rateOff += math.Abs(float64(l.PrefillRate())/rate-1) / fleets
					expectOff += math.Abs(l.ExpectedTime(200*rate).Seconds()/0.24-1) / fleets
				}
				if rateOff > tenth || expectOff > tenth {
					t.Errorf("after %d answers the rate is off by %.2f in the mean, the time to read for 0.2 s by %.2f; want %.1f", answers, rateOff, expectOff, tenth)
				}
			})
		}
	}
}

// learnt returns a line that has seen so many answers within the time.
func learnt(e *engine, guess pomelospeed.PrefillRate, answers int, length time.Duration) *pomelospeed.FirstTokenModel {
	l := pomelospeed.NewFirstTokenModel(guess)
	now := start
	for range answers {
		now = now.Add(length / time.Duration(answers))
		tokens := e.prompt()
		l.Observe(now, tokens, e.answer(tokens))
	}
	return l
}

// A router starts in a fleet that knows its engines. Until it knew them too, it would send too much to slow engines and none of the answers
// would be in time.
func TestOneReportTeachesARouterThatStarts(t *testing.T) {
	e := &engine{random: rand.New(rand.NewPCG(2, 2)), rate: 25, overhead: 60 * time.Millisecond, spread: 0.3}
	old, fresh := pomelospeed.NewFirstTokenModel(200), pomelospeed.NewFirstTokenModel(200)
	now := start
	for range 500 {
		now = now.Add(10 * time.Millisecond)
		tokens := e.prompt()
		old.Observe(now, tokens, e.answer(tokens))
	}
	fresh.Merge(now, pomelorelay.SpeedSums{}, old.LocalSums())
	if got := float64(fresh.PrefillRate()); math.Abs(got/25-1) > 0.1 {
		t.Errorf("%.1f tokens a millisecond after the first report, want 25", got)
	}
	// Reports may be repeated; what they said before does not count again.
	before := fresh.PrefillRate()
	fresh.Merge(now, old.LocalSums(), old.LocalSums())
	if fresh.PrefillRate() != before {
		t.Errorf("a repeated report changed %v to %v", before, fresh.PrefillRate())
	}
}

// Engines stand still for seconds, and a few answers come after a hundred times the time that was expected. Taken as they are, they make
// all engines look slow, and requests are refused beside free engines.
func TestOddAnswersCountLittle(t *testing.T) {
	e := &engine{random: rand.New(rand.NewPCG(3, 3)), rate: 100, overhead: 30 * time.Millisecond, spread: 0.2}
	l := pomelospeed.NewFirstTokenModel(100)
	now := start
	for i := range 400 {
		now = now.Add(10 * time.Millisecond)
		tokens := e.prompt()
		took := e.answer(tokens)
		if i%100 == 99 {
			took = 20 * time.Second
		}
		l.Observe(now, tokens, took)
	}
	if got := float64(l.PrefillRate()); math.Abs(got/100-1) > 0.25 {
		t.Errorf("%.1f tokens a millisecond, want about 100", got)
	}
}

// One engine turns slow by a factor of four. Requests that go on being sent there are late, and those that run there hold its callers up.
func TestASlowEngineIsKnownWithinASecond(t *testing.T) {
	random := rand.New(rand.NewPCG(4, 4))
	const expected = 200 * time.Millisecond
	var slow, sound pomelospeed.SlowdownFactor
	note := func(f *pomelospeed.SlowdownFactor, now time.Time, times float64) {
		f.Observe(now, time.Duration(times*math.Exp(0.3*random.NormFloat64())*float64(expected)), expected)
	}
	now := start
	at := func(n int, times float64) {
		for range n {
			now = now.Add(100 * time.Millisecond)
			note(&slow, now, times)
			note(&sound, now, 1)
		}
	}
	at(50, 1)
	if got := slow.RelativeTo(now, sound.Ratio(now)); got != 1 {
		t.Errorf("counts %.2f times as slow as the others while it is like them", got)
	}
	at(10, 4)
	if got := slow.RelativeTo(now, sound.Ratio(now)); got < 2.5 {
		t.Errorf("counts %.2f times as slow after a second at a quarter of the speed", got)
	}
	at(20, 1)
	if got := slow.RelativeTo(now, sound.Ratio(now)); got != 1 {
		t.Errorf("counts %.2f times as slow two seconds after it is sound again", got)
	}
}

func TestLongReadingCountsWhereStreamsPause(t *testing.T) {
	for _, c := range []struct {
		name   string
		paused int // of a hundred streams
		least  float64
		most   float64
	}{
		{"never", 0, 0, 0.3},
		{"seldom", 3, 0.1, 0.6},
		{"often", 30, 1, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			told, heard := pomelospeed.NewPauseRatio(), pomelospeed.NewPauseRatio()
			now := start
			for i := range 100 {
				now = now.Add(20 * time.Millisecond)
				sums := pomelospeed.RatioSums{Denominator: 1}
				if i < c.paused {
					sums.Numerator = 1
				}
				told.Observe(now, sums)
			}
			heard.Merge(now, pomelospeed.RatioSums{}, told.LocalSums())
			for who, p := range map[string]*pomelospeed.DecayingRatio{"told": told, "heard": heard} {
				if got := pomelospeed.PauseWeight(p.Value(now)); got < c.least || got > c.most {
					t.Errorf("%s: weight %.2f, want %.2f to %.2f", who, got, c.least, c.most)
				}
			}
		})
	}
	if got := pomelospeed.PauseWeight(pomelospeed.NewPauseRatio().Value(start)); got != 1 {
		t.Errorf("weight %.2f before anything is known, want 1", got)
	}
}

// Engines were full when routers copied parts between them, and the copies seemed to take longer than reading. Nobody copies any more then, so
// that nobody sees it get better: shared parts would be read again for as long as the routers live.
func TestCopyingIsTriedAgain(t *testing.T) {
	copies := pomelospeed.NewCopyTimeRatio()
	copies.Observe(start, pomelospeed.RatioSums{Numerator: 400_000, Denominator: 200_000})
	if got := copies.Value(start); got < 1 {
		t.Fatalf("copies take %.2f of the time to read, want 1 or more", got)
	}
	if got := copies.Value(start.Add(time.Minute)); got >= 1 {
		t.Errorf("copies still take %.2f of the time to read after a minute without any", got)
	}
}
