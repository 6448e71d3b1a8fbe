package pomelofair_test

import (
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelofair"
)

func TestCatchUpIsBoundedAfterPartition(t *testing.T) {
	// Both sides of a partition serve one account, and only one side serves another. When the partition heals, the
	// total of the first account jumps; without a catch-up limit, that account would receive nothing until the other
	// had caught up completely.
	q := pomelofair.New(pomelofair.Config{Charge: pomelofair.ChargeOptions{CatchUp: 60}})
	push(t, q, 1, "both")
	push(t, q, 2, "one")
	for _, served := range []pomelorelay.Cost{100, 110} {
		setTotals(q, "both", served, true)
		setTotals(q, "one", served, true)
	}
	setTotals(q, "both", 700, true)
	setTotals(q, "one", 115, true)
	if got := liftOf(q, "one"); got != 525 {
		t.Errorf("lift %v, want 525, which is 60 below 700", got)
	}
}

func TestMaxVirtualTimeOfAnotherDomain(t *testing.T) {
	// The accounts of a partitioned failure domain received less service than those of another domain. After the
	// partition, the accounts of the other domain must not wait until those of the partitioned one have caught up
	// completely.
	q := pomelofair.New(pomelofair.Config{Charge: pomelofair.ChargeOptions{CatchUp: 60}})
	push(t, q, 1, "a")
	q.SetVirtualTime(pool, 100)
	setTotals(q, "a", 100, true)
	q.RaiseMaxVirtualTime(pool, 900)
	setTotals(q, "a", 100, true)
	if got := liftOf(q, "a"); got != 740 {
		t.Errorf("lift %v, want 740", got)
	}
}

func TestRunningAccountIgnoresStaleTotals(t *testing.T) {
	// An account has one long request running and none waiting. A router requests fleet totals of served cost only for
	// accounts with waiting requests, so it does not learn how much service the account receives at other routers. The
	// account's next request must not be ordered by totals that are a minute old.
	q := pomelofair.New(pomelofair.Config{Charge: pomelofair.ChargeOptions{CatchUp: 60}})
	push(t, q, 1, "a")
	setTotals(q, "a", 10, true)
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
