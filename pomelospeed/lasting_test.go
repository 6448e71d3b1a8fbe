package pomelospeed_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay/pomelospeed"
)

// observeLasting records n answers of 100 ms on average at 18 a second, with a time that varies by a factor of 1.8, at an engine that is slower by
// the given factor.
func observeLasting(r *pomelospeed.LastingRatio, random *rand.Rand, n int, slower float64, check func(now time.Time)) time.Time {
	now := start
	for range n {
		now = now.Add(55 * time.Millisecond)
		expected := time.Duration((20 + random.ExpFloat64()*80) * float64(time.Millisecond))
		r.Observe(now, time.Duration(slower*math.Exp(0.6*random.NormFloat64()-0.18)*float64(expected)), expected)
		if check != nil {
			check(now)
		}
	}
	return now
}

// Guards against missing an engine at half of the others' speed, whose answers begin late, for longer than a few seconds.
func TestEngineAtHalfSpeedIsRecognised(t *testing.T) {
	const seeds = 200
	recognised, sum := 0, 0.0
	for seed := range uint64(seeds) {
		var r pomelospeed.LastingRatio
		got := r.RelativeTo(observeLasting(&r, rand.New(rand.NewPCG(seed, 1)), 90, 2, nil), 1)
		sum += got
		if got >= 1.5 {
			recognised++
		}
	}
	t.Logf("mean ratio %.2f after 5 s, %d of %d recognised", sum/seeds, recognised, seeds)
	if mean := sum / seeds; mean < 1.7 || mean > 2.2 {
		t.Errorf("mean ratio %.2f after 5 s, want about 2", mean)
	}
	if recognised < seeds*19/20 {
		t.Errorf("%d of %d engines recognised after 5 s, want at least 19 of 20", recognised, seeds)
	}
}

// Guards against ratios that follow single responses: all routers would send to the engine that had the shortest ones, at once.
func TestNoiseOfSingleResponsesCountsAsNone(t *testing.T) {
	changed, total := 0, 0
	for seed := range uint64(20) {
		var r pomelospeed.LastingRatio
		observeLasting(&r, rand.New(rand.NewPCG(seed, 2)), 400, 1, func(now time.Time) {
			total++
			if r.RelativeTo(now, 1) != 1 {
				changed++
			}
		})
	}
	t.Logf("a ratio other than 1 after %.3f of the responses", float64(changed)/float64(total))
	if changed > total/20 {
		t.Errorf("a ratio other than 1 after %d of %d responses of an engine of median speed, want at most a twentieth", changed, total)
	}
}
