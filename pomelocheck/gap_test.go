package pomelocheck_test

import (
	"math"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelocheck"
	"pgregory.net/rapid"
)

// One account receives more service than its weight allows. This happens when all its requests are at a router that holds more
// than its fair share of the upstream slots, so that they are served before those of other accounts.
func TestDetectsGapOverBound(t *testing.T) {
	both := []pomelocheck.Event{backlogged("recife", 0, true), backlogged("olinda", 0, true)}
	with := func(events ...pomelocheck.Event) []pomelocheck.Event {
		return append(append([]pomelocheck.Event(nil), both...), events...)
	}
	half := served("olinda", 0, 100*time.Second, 200)
	half.Weight = 2
	runCases(t, pomelocheck.Config{GapBounds: map[pomelorelay.PoolID]pomelorelay.Tag{"p": 10}, MaxWait: time.Hour}, []checkCase{
		{"even", with(served("recife", 0, 100*time.Second, 100), served("olinda", 0, 100*time.Second, 100)), nil},
		{"even by weight", with(served("recife", 0, 100*time.Second, 100), half), nil},
		{"uneven", with(served("recife", 0, 100*time.Second, 100), served("olinda", 0, 100*time.Second, 80)), []pomelocheck.Kind{pomelocheck.GapOverBound}},
		{"uneven only within the period", with(
			served("recife", 0, 50*time.Second, 100), served("olinda", 50*time.Second, 100*time.Second, 100),
		), []pomelocheck.Kind{pomelocheck.GapOverBound}},
		{"other account not backlogged", with(
			backlogged("olinda", 5*time.Second, false), served("recife", 0, 100*time.Second, 100),
		), nil},
		{"no credit for idle time", []pomelocheck.Event{
			backlogged("recife", 0, true), backlogged("olinda", 50*time.Second, true),
			served("recife", 0, 100*time.Second, 100), served("olinda", 50*time.Second, 100*time.Second, 50),
		}, nil},
	})
}

func TestGapReportsAccountsAndValue(t *testing.T) {
	c := pomelocheck.New(pomelocheck.Config{})
	for _, e := range []pomelocheck.Event{
		backlogged("recife", 0, true), backlogged("olinda", 0, true),
		served("olinda", 0, 100*time.Second, 100), served("recife", 0, 100*time.Second, 60),
	} {
		c.Observe(e)
	}
	gaps := c.Gaps(at(100 * time.Second))
	if len(gaps) != 1 || gaps[0].MostServed != "olinda" || gaps[0].LeastServed != "recife" {
		t.Fatalf("got %+v, want olinda above recife", gaps)
	}
	if math.Abs(float64(gaps[0].Value)-40) > 0.1 {
		t.Errorf("got a gap of %v, want 40", gaps[0].Value)
	}
}

// The gap of a random history equals the one found by comparing every pair of samples.
func TestGapEqualsExhaustiveSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := pomelocheck.New(pomelocheck.Config{GapSampleInterval: time.Second})
		const seconds = 20
		difference := make([]float64, seconds+1)
		for i := range seconds {
			a := rapid.IntRange(0, 5).Draw(t, "a")
			b := rapid.IntRange(0, 5).Draw(t, "b")
			from, to := time.Duration(i)*time.Second, time.Duration(i+1)*time.Second
			c.Observe(served("recife", from, to, pomelorelay.Cost(a)))
			c.Observe(served("olinda", from, to, pomelorelay.Cost(b)))
			difference[i+1] = difference[i] + float64(a-b)
		}
		c.Observe(backlogged("recife", 0, true))
		c.Observe(backlogged("olinda", 0, true))
		want := 0.0
		for i := range difference {
			for j := range difference {
				want = max(want, difference[i]-difference[j])
			}
		}
		got := c.Gaps(at(seconds * time.Second))
		if math.Abs(float64(got[0].Value)-want) > 1e-9 {
			t.Fatalf("got a gap of %v, exhaustive search finds %v", got[0].Value, want)
		}
	})
}

func TestWindowGapsUseOnlyAccountsBackloggedThroughout(t *testing.T) {
	c := pomelocheck.New(pomelocheck.Config{})
	for _, e := range []pomelocheck.Event{
		backlogged("recife", 0, true), backlogged("olinda", 0, true), backlogged("natal", 15*time.Second, true),
		served("recife", 0, 100*time.Second, 100), served("olinda", 0, 100*time.Second, 50),
	} {
		c.Observe(e)
	}
	got := c.WindowGaps(at(10*time.Second), at(20*time.Second))
	if len(got) != 1 || math.Abs(float64(got["p"])-5) > 1e-9 {
		t.Errorf("got window gaps %v, want 5 for pool p", got)
	}
}
