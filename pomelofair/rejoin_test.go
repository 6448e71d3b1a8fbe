package pomelofair_test

import (
	"testing"
	"time"

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
	q.SetVirtualTime(pool, 100)
	fleet(q, "a", 100, true)
	q.RaiseMaxVirtualTime(pool, 900)
	fleet(q, "a", 100, true)
	if got := lift(q, "a"); got != 740 {
		t.Errorf("lift %v, want 740", got)
	}
}

func TestAccountThatRunsWithoutWaitingIsAskedForAgain(t *testing.T) {
	// An account has one long request running here and nothing waiting, so no totals of it come, while other routers
	// serve it a lot. Its next request must not be placed by totals from a minute ago.
	q := pomelofair.New(pomelofair.Config{Charge: pomelofair.ChargeOptions{CatchUp: 60}})
	push(t, q, 1, "a")
	fleet(q, "a", 10, true)
	pop(t, q, 1)
	q.SetVirtualTime(pool, 500)
	later := start.Add(time.Minute)
	if err := q.Push(later, pomelofair.Request{ID: 2, Pool: pool, Account: "a"}); err != nil {
		t.Fatal(err)
	}
	if tag, _, _ := q.Head(later, pool); tag < 440 {
		t.Errorf("head %v, want 440 or more", tag)
	}
}
