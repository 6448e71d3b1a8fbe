package pomeloentry_test

import (
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay/pomeloentry"
)

// Changes pause, and a relay's call that waits for one follows a call that was answered at once. Should its neighbours give it up before it
// can speak, each of a large fleet asks the store whenever changes pause; should they rely on it for too long, an upstream that leaves would
// get requests past its bound when the relay is gone.
func TestNewsOutlastTheRelaysLongestPause(t *testing.T) {
	for _, drain := range []time.Duration{2500 * time.Millisecond, 4 * time.Second} {
		last, pause := pomeloentry.NewsLast(drain), pomeloentry.LongestPause(drain)
		if last < pause+drain/20 {
			t.Errorf("bound %v: news last %v, the relay pauses for %v", drain, last, pause)
		}
		if last+pomeloentry.Look > drain*3/4 {
			t.Errorf("bound %v: a router whose relay is gone asks the store only after %v", drain, last+pomeloentry.Look)
		}
	}
}

// When a fleet starts, several routers take themselves for their domain's relay for a moment and tell their news. Remembered, that would make
// every router read the routers' entries once more, much later and all of them.
func TestOnlyAnotherRelayMakesARouterLookAgain(t *testing.T) {
	if !pomeloentry.LooksAgain("r1", "r2") {
		t.Error("another router relays and nobody looks")
	}
	if pomeloentry.LooksAgain("r2", "r1") {
		t.Error("the relay is the one that is known, and the router looks again")
	}
}
