package pomelofair_test

import (
	"testing"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelofair"
)

func TestRejoinIsForgivenBeyondCatchUp(t *testing.T) {
	// Two sides of a partition each served an account; another was served by one side only. At the heal the first one's
	// total jumps. Without a cap it would be seen to stand still until the other has had as much.
	q := pomelofair.New(pomelofair.Config{Charge: pomelofair.ChargeOptions{CatchUp: 60}})
	push(t, q, 1, "both")
	push(t, q, 2, "one")
	for _, served := range []pomelorelay.Cost{100, 110} {
		fleet(q, "both", served, true)
		fleet(q, "one", served, true)
	}
	fleet(q, "both", 700, true)
	fleet(q, "one", 115, true)
	if got := lift(q, "one"); got != 525 {
		t.Errorf("lift %v, want 525: 60 under 700", got)
	}
}

func TestCrestOfAnotherDomain(t *testing.T) {
	// A failure domain that was cut off was served less than another. The other's accounts must not wait until it is level.
	q := pomelofair.New(pomelofair.Config{Charge: pomelofair.ChargeOptions{CatchUp: 60}})
	push(t, q, 1, "a")
	q.SetVirtual(pool, 100)
	fleet(q, "a", 100, true)
	q.SetCrest(pool, 900)
	fleet(q, "a", 100, true)
	if got := lift(q, "a"); got != 740 {
		t.Errorf("lift %v, want 740", got)
	}
}
