package pomelocheck_test

import (
	"math"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelocheck"
	"pgregory.net/rapid"
)

// One account's requests are all at a router that gets more slots than its share. The others see it served first.
func TestGapOverItsBoundIsFound(t *testing.T) {
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
		{"uneven in the middle only", with(
			served("recife", 0, 50*time.Second, 100), served("olinda", 50*time.Second, 100*time.Second, 100),
		), []pomelocheck.Kind{pomelocheck.GapOverBound}},
		{"not backlogged meanwhile", with(
			backlogged("olinda", 5*time.Second, false), served("recife", 0, 100*time.Second, 100),
		), nil},
		{"idle one banks nothing", []pomelocheck.Event{
			backlogged("recife", 0, true), backlogged("olinda", 50*time.Second, true),
			served("recife", 0, 100*time.Second, 100), served("olinda", 50*time.Second, 100*time.Second, 50),
		}, nil},
	})
}

func TestGapNamesAccountsAndValue(t *testing.T) {
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

// The gap of any history equals the one found by trying every pair of samples, whatever the accounts were served.
func TestGapEqualsExhaustiveSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := pomelocheck.New(pomelocheck.Config{GapStep: time.Second})
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
			t.Fatalf("got %v, want %v", got[0].Value, want)
		}
	})
}

func TestWindowGapTakesOnlyAccountsBackloggedThroughout(t *testing.T) {
	c := pomelocheck.New(pomelocheck.Config{})
	for _, e := range []pomelocheck.Event{
		backlogged("recife", 0, true), backlogged("olinda", 0, true), backlogged("natal", 15*time.Second, true),
		served("recife", 0, 100*time.Second, 100), served("olinda", 0, 100*time.Second, 50),
	} {
		c.Observe(e)
	}
	got := c.WindowGaps(at(10*time.Second), at(20*time.Second))
	if len(got) != 1 || math.Abs(float64(got["p"])-5) > 1e-9 {
		t.Errorf("got %v, want 5", got)
	}
}
