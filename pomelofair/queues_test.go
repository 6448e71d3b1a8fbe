package pomelofair_test

import (
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelofair"
)

const pool = pomelorelay.PoolID("assistant")

var start = time.Unix(1_000_000, 0)

// shares gives weights by account; others have one.
type shares map[pomelorelay.AccountID]pomelorelay.Weight

// Weight implements pomelorelay.Weights.
func (s shares) Weight(_ pomelorelay.PoolID, account pomelorelay.AccountID) pomelorelay.Weight {
	if w, found := s[account]; found {
		return w
	}
	return 1
}

func push(t *testing.T, q *pomelofair.Queues, id int, account pomelorelay.AccountID) {
	t.Helper()
	r := pomelofair.Request{ID: pomelorelay.RequestID(id), Pool: pool, Account: account, Bytes: 10}
	if err := q.Push(start, r); err != nil {
		t.Fatal(err)
	}
}

func pop(t *testing.T, q *pomelofair.Queues, want int) pomelorelay.Tag {
	t.Helper()
	id, tag, ok := q.Pop(start, pool)
	if !ok || id != pomelorelay.RequestID(want) {
		t.Fatalf("popped %d %v, want %d", id, ok, want)
	}
	return tag
}

func fleet(q *pomelofair.Queues, account pomelorelay.AccountID, served pomelorelay.Cost, waiting bool) {
	q.SetFleetTotals(start, pomelorelay.LedgerEntry{Pool: pool, Account: account, Served: served, Waiting: waiting})
}

func lift(q *pomelofair.Queues, account pomelorelay.AccountID) pomelorelay.Tag {
	for _, e := range q.All(nil) {
		if e.Account == account {
			return e.Lift
		}
	}
	return -1
}

func TestLowestAccountFirstAndInOrder(t *testing.T) {
	q := pomelofair.New(pomelofair.Config{Weights: shares{"b": 2}})
	for i := 1; i <= 4; i++ {
		push(t, q, i, "a")
		push(t, q, 10+i, "b")
	}
	// Each costs 1: b of weight 2 gets two for a's one.
	for _, id := range []int{1, 11, 12, 2, 13, 14, 3, 4} {
		pop(t, q, id)
		q.Finish(start, pomelorelay.RequestID(id), 1)
	}
}

func TestRefusals(t *testing.T) {
	// One account floods its router with more than it may have waiting. Without bounds of its own the flood would
	// take the router's memory and everybody else's requests would be refused too.
	q := pomelofair.New(pomelofair.Config{Limit: pomelofair.LimitOptions{Count: 2, Bytes: 100, MaxWait: time.Second}})
	push(t, q, 1, "flood")
	push(t, q, 2, "flood")
	for _, c := range []struct {
		r    pomelofair.Request
		code pomelorelay.ResultCode
	}{
		{pomelofair.Request{ID: 3, Pool: pool, Account: "flood"}, pomelorelay.CodeQueueCount},
		{pomelofair.Request{ID: 4, Pool: pool, Account: "large", Bytes: 101}, pomelorelay.CodeQueueBytes},
		{pomelofair.Request{ID: 1, Pool: pool, Account: "other"}, pomelorelay.CodeRequestRepeated},
	} {
		err := q.Push(start, c.r)
		if !pomelorelay.IsErrCode(err, c.code) {
			t.Errorf("got %v, want code %d", err, c.code)
		}
		if refusal, ok := err.(*pomelorelay.Error); !ok || refusal.Ran != pomelorelay.RanNo {
			t.Errorf("%v does not say that it did not run", err)
		}
	}
	push(t, q, 5, "other")
	if got := q.Expire(start.Add(time.Second-1), nil); len(got) != 0 {
		t.Errorf("%v expired early", got)
	}
	if got := q.Expire(start.Add(time.Second), nil); len(got) != 3 {
		t.Errorf("expired %v, want all three", got)
	}
	if err := q.WaitTimeoutError(pool, "flood"); err.RetryAfter < time.Second || err.Ran != pomelorelay.RanNo {
		t.Errorf("refusal %+v", err)
	}
	if _, waiting, ok := q.Head(start, pool); ok || waiting != 0 {
		t.Errorf("%d still wait", waiting)
	}
}

func TestRequeueTakesTheChargeBack(t *testing.T) {
	q := pomelofair.New(pomelofair.Config{})
	push(t, q, 1, "a")
	push(t, q, 2, "a")
	first := pop(t, q, 1)
	q.Requeue(start, 1)
	if again := pop(t, q, 1); again != first {
		t.Errorf("tag %v after requeue, %v before", again, first)
	}
	q.Cancel(start, 2)
	if _, _, ok := q.Head(start, pool); ok {
		t.Error("a cancelled request waits")
	}
}

func TestIdleAccountBanksNoCredit(t *testing.T) {
	// An account stays away while others are served, then comes back with many requests. If its unclaimed service
	// counted, it alone would be served until it had caught up, and everybody else would see the fleet stand still.
	q := pomelofair.New(pomelofair.Config{})
	push(t, q, 1, "busy")
	q.SetVirtualTime(pool, 500)
	fleet(q, "busy", 500, true)
	push(t, q, 2, "back")
	push(t, q, 3, "back")
	fleet(q, "back", 20, false)
	if got := lift(q, "back"); got != 480 {
		t.Errorf("lift %v, want 480", got)
	}
	tag, _, _ := q.Head(start, pool)
	if tag != 500 {
		t.Errorf("head %v, want 500", tag)
	}
}

func TestBacklogElsewhereKeepsItsPlaceWithinCatchUp(t *testing.T) {
	// A backlogged account's callers come to a further router, or its router was cut off for long. It may catch up,
	// but only by the bound: else the rejoin of a partition would be seen as one account taking every slot.
	for _, c := range []struct {
		served pomelorelay.Cost
		lift   pomelorelay.Tag
	}{{470, 0}, {100, 340}} {
		q := pomelofair.New(pomelofair.Config{Charge: pomelofair.ChargeOptions{CatchUp: 60}})
		push(t, q, 1, "first")
		q.SetVirtualTime(pool, 500)
		push(t, q, 2, "a")
		fleet(q, "a", c.served, true)
		if got := lift(q, "a"); got != c.lift {
			t.Errorf("served %v: lift %v, want %v", c.served, got, c.lift)
		}
	}
}

func TestColdRouterServesAtTheVirtualTime(t *testing.T) {
	// A router starts with empty state. If it took every account as never served, it would serve in any order, and
	// lifts computed from zero would later put accounts far ahead of what they had.
	q := pomelofair.New(pomelofair.Config{})
	push(t, q, 1, "other")
	q.SetVirtualTime(pool, 300)
	push(t, q, 2, "a")
	push(t, q, 3, "a")
	push(t, q, 4, "a")
	q.Cancel(start, 1)
	if tag := pop(t, q, 2); tag != 300 {
		t.Errorf("first tag %v, want 300", tag)
	}
	q.Finish(start, 2, 5)
	if tag := pop(t, q, 3); tag != 305 {
		t.Errorf("second tag %v, want 305: own service counts before totals come", tag)
	}
	if got := lift(q, "a"); got != 0 {
		t.Errorf("lift %v before totals came", got)
	}
	fleet(q, "a", 1000, false)
	if tag, _, _ := q.Head(start, pool); tag < 1000 {
		t.Errorf("head %v after totals of 1000", tag)
	}
}

func TestLateAndRepeatedTotalsLowerNothing(t *testing.T) {
	// Totals come late, twice, or from a ledger host that was replaced and has not heard everybody. A place that
	// falls would be seen as an account served alone for a while.
	q := pomelofair.New(pomelofair.Config{})
	push(t, q, 1, "a")
	for _, served := range []pomelorelay.Cost{100, 100, 40, 0} {
		fleet(q, "a", served, true)
		if tag, _, _ := q.Head(start, pool); tag != 100 {
			t.Errorf("head %v after totals of %v, want 100", tag, served)
		}
	}
}

func TestChangeOfWeightMovesNobody(t *testing.T) {
	// An operator halves an account's share. If its whole past were divided by the new weight, its place would double
	// and the account would wait until everybody else had doubled theirs.
	weights := shares{"a": 2}
	q := pomelofair.New(pomelofair.Config{Weights: weights})
	push(t, q, 1, "a")
	push(t, q, 2, "a")
	pop(t, q, 1)
	q.Finish(start, 1, 1000)
	q.SetWeights(shares{"a": 1})
	if tag := pop(t, q, 2); tag != 500 {
		t.Errorf("tag %v after the change, want 500", tag)
	}
	q.Finish(start, 2, 10)
	push(t, q, 3, "a")
	if tag := pop(t, q, 3); tag != 510 {
		t.Errorf("tag %v, want 510: new cost counts by the new weight", tag)
	}
}

func TestHintsMoveTheChargeWithinBounds(t *testing.T) {
	// A caller hints at one thousandth, or a thousandfold, of what its requests cost.
	for _, c := range []struct {
		hint pomelorelay.Cost
		want pomelorelay.Tag
	}{{0, 10}, {0.01, 5}, {10_000, 20}, {12, 12}} {
		q := pomelofair.New(pomelofair.Config{Charge: pomelofair.ChargeOptions{AdmissionFraction: 1}})
		push(t, q, 1, "a")
		pop(t, q, 1)
		q.Finish(start, 1, 10)
		_ = q.Push(start, pomelofair.Request{ID: 2, Pool: pool, Account: "a", Hint: c.hint})
		push(t, q, 3, "a")
		before := pop(t, q, 2)
		after, _, _ := q.Head(start, pool)
		if got := after - before; got != c.want {
			t.Errorf("hint %v charged %v, want %v", c.hint, got, c.want)
		}
	}
}
