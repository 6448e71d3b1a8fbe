package pomelospeed_test

import (
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelospeed"

	"pgregory.net/rapid"
)

// Answers come after any time, clocks stand still, and another router tells sums that no answers have. Whatever they were, a request must be given a
// time that is a number: with none, every upstream would look as good as any other.
func TestALineAlwaysExpectsATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := pomelospeed.NewFirstTokenModel(pomelospeed.PrefillRate(rapid.Float64Range(-10, 1e6).Draw(t, "guess")))
		now := start
		var told pomelorelay.SpeedSums
		t.Repeat(map[string]func(*rapid.T){
			"answer": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "passed")))
				l.Observe(now, rapid.Float64Range(0, 1e6).Draw(t, "tokens"), time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "took")))
			},
			"report": func(t *rapid.T) {
				sum := func(name string) float64 { return rapid.Float64Range(-1e9, 1e9).Draw(t, name) }
				next := pomelorelay.SpeedSums{
					Answers: sum("answers"), Weight: sum("weight"), Read: sum("read"), Took: sum("took"), ReadRead: sum("read read"), ReadTook: sum("read took"),
				}
				l.Merge(now, told, next)
				told = next
			},
			"": func(t *rapid.T) {
				if r := l.PrefillRate(); !(r >= 0.5 && r <= 5001) {
					t.Fatalf("reads %v tokens a millisecond", r)
				}
				if e := l.ExpectedTime(1000); e <= 0 || e > time.Hour*24*365 {
					t.Fatalf("expects %v", e)
				}
			},
		})
	})
}
