package pomelopromise_test

import (
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelopromise"
)

const wait = 100 * time.Millisecond

// Guards against a router that cannot tell whether its Retry-After was of use, or counts another caller's request as a return.
func TestPromiseIsKeptOrBrokenOnce(t *testing.T) {
	start := time.Now()
	for _, c := range []struct {
		after    time.Duration
		admitted bool
		want     pomelopromise.Outcome
	}{
		{50 * time.Millisecond, true, pomelopromise.OutcomeNone},
		{95 * time.Millisecond, true, pomelopromise.OutcomeKept},
		{wait, true, pomelopromise.OutcomeKept},
		{500 * time.Millisecond, false, pomelopromise.OutcomeBroken},
		{1200 * time.Millisecond, true, pomelopromise.OutcomeNone},
	} {
		p := pomelopromise.New()
		p.RecordRefusal(start, 1, wait)
		if got := p.RecordReturn(start.Add(c.after), 2, c.admitted); got != pomelopromise.OutcomeNone {
			t.Errorf("another request after %v: %q, want no outcome", c.after, got)
		}
		if got := p.RecordReturn(start.Add(c.after), 1, c.admitted); got != c.want {
			t.Errorf("a return after %v: %q, want %q", c.after, got, c.want)
		}
		if got := p.RecordReturn(start.Add(600*time.Millisecond), 1, true); c.want != pomelopromise.OutcomeNone && got != pomelopromise.OutcomeNone {
			t.Errorf("the second return is %q, want no outcome", got)
		}
	}
}

// Guards against memory that grows with the number of refused requests, or that a clock which steps back keeps for long.
func TestPromisesAreBoundedAndExpire(t *testing.T) {
	start := time.Now()
	for _, at := range []time.Time{start.Add(wait + 1100*time.Millisecond), start.Add(-time.Hour)} {
		p := pomelopromise.New()
		p.RecordRefusal(start, 0, time.Hour)
		for i := range 10_000 {
			p.RecordRefusal(start, pomelorelay.Fingerprint(i+1), wait)
		}
		if p.Len() == 0 || p.Len() > 4096 {
			t.Errorf("%d promises are remembered, want some and at most 4096", p.Len())
		}
		if p.Expire(at); p.Len() != 0 {
			t.Errorf("%d promises are remembered at %v, want none", p.Len(), at.Sub(start))
		}
	}
}
