package pomelospeed_test

import (
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelospeed"

	"pgregory.net/rapid"
)

// Guards against an expected time that is not a finite positive number, with which all upstreams would compare as equal. The inputs include
// answers of any duration, a clock that stands still, and sums from another router that cannot result from answers.
func TestExpectedTimeIsAlwaysFinite(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := pomelospeed.NewFirstTokenModel(pomelospeed.PrefillRate(rapid.Float64Range(-10, 1e6).Draw(t, "prior rate")))
		now := start
		var reported pomelorelay.SpeedSums
		t.Repeat(map[string]func(*rapid.T){
			"answer": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "passed")))
				m.Observe(now, rapid.Float64Range(0, 1e6).Draw(t, "tokens"), time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "took")))
			},
			"report": func(t *rapid.T) {
				sum := func(name string) float64 { return rapid.Float64Range(-1e9, 1e9).Draw(t, name) }
				next := pomelorelay.SpeedSums{
					Answers: sum("answers"), WeightSum: sum("weight sum"), TokenSum: sum("token sum"), TimeSum: sum("time sum"), TokenSquareSum: sum("token square sum"), TokenTimeSum: sum("token time sum"),
				}
				m.Merge(now, reported, next)
				reported = next
			},
			"": func(t *rapid.T) {
				if r := m.PrefillRate(); !(r >= 0.5 && r <= 5001) {
					t.Fatalf("rate of %v tokens per millisecond", r)
				}
				if e := m.ExpectedTime(1000); e <= 0 || e > time.Hour*24*365 {
					t.Fatalf("expected time of %v", e)
				}
			},
		})
	})
}
