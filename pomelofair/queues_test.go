package pomelofair_test

import (
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelofair"
)

const pool = pomelorelay.PoolID("assistant")

var start = time.Unix(1_000_000, 0)

// accountWeights maps accounts to weights; all others have weight 1.
type accountWeights map[pomelorelay.AccountID]pomelorelay.Weight

// Weight implements pomelorelay.Weights.
func (s accountWeights) Weight(_ pomelorelay.PoolID, account pomelorelay.AccountID) pomelorelay.Weight {
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

func setTotals(q *pomelofair.Queues, account pomelorelay.AccountID, served pomelorelay.Cost, waiting bool) {
	q.SetFleetTotals(start, pomelorelay.LedgerEntry{Pool: pool, Account: account, Served: served, Waiting: waiting})
}

func liftOf(q *pomelofair.Queues, account pomelorelay.AccountID) pomelorelay.Tag {
	for _, e := range q.AllLedgerEntries(nil) {
		if e.Account == account {
			return e.Lift
		}
	}
	return -1
}

func TestLowestTagFirstAndFIFOWithinAccount(t *testing.T) {
	q := pomelofair.New(pomelofair.Config{Weights: accountWeights{"b": 2}})
	for i := 1; i <= 4; i++ {
		push(t, q, i, "a")
		push(t, q, 10+i, "b")
	}
	// Each request costs 1, so account b with weight 2 receives two for each one of a.
	for _, id := range []int{1, 11, 12, 2, 13, 14, 3, 4} {
		pop(t, q, id)
		q.Finish(start, pomelorelay.RequestID(id), 1)
	}
}

func TestQueueLimits(t *testing.T) {
	// An account floods its router with more requests than it may queue. Without limits per account, the flood would
	// exhaust the router's memory and other accounts' requests would be rejected too.
	q := pomelofair.New(pomelofair.Config{Limit: pomelofair.LimitOptions{MaxWaiting: 2, MaxWaitingBytes: 100, MaxWait: time.Second}})
	push(t, q, 1, "flood")
	push(t, q, 2, "flood")
	for _, c := range []struct {
		r    pomelofair.Request
		code pomelorelay.ResultCode
	}{
		{pomelofair.Request{ID: 3, Pool: pool, Account: "flood"}, pomelorelay.CodeQueueCountFull},
		{pomelofair.Request{ID: 4, Pool: pool, Account: "large", Bytes: 101}, pomelorelay.CodeQueueBytesFull},
		{pomelofair.Request{ID: 1, Pool: pool, Account: "other"}, pomelorelay.CodeRequestRepeated},
	} {
		err := q.Push(start, c.r)
		if !pomelorelay.IsErrCode(err, c.code) {
			t.Errorf("got %v, want code %d", err, c.code)
		}
		if refusal, ok := err.(*pomelorelay.Error); !ok || refusal.Ran != pomelorelay.RanNo {
			t.Errorf("error %v does not state that the request did not run", err)
		}
	}
	push(t, q, 5, "other")
	if got := q.Expire(start.Add(time.Second-1), nil); len(got) != 0 {
		t.Errorf("requests %v expired early", got)
	}
	if got := q.Expire(start.Add(time.Second), nil); len(got) != 3 {
		t.Errorf("expired %v, want all three", got)
	}
	if err := q.WaitTimeoutError(pool, "flood"); err.RetryAfter < time.Second || err.Ran != pomelorelay.RanNo {
		t.Errorf("wait error %+v, want RetryAfter of at least 1s and Ran no", err)
	}
	if _, waiting, ok := q.Head(start, pool); ok || waiting != 0 {
		t.Errorf("%d requests are still waiting", waiting)
	}
}

func TestRequeueReversesCharge(t *testing.T) {
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
		t.Error("a cancelled request is still waiting")
	}
}

func TestIdleAccountGainsNoCredit(t *testing.T) {
	// An account is idle while others are served, then sends many requests. If its unused service were credited, it alone
	// would be served until it had caught up, and no other account would make progress.
	q := pomelofair.New(pomelofair.Config{})
	push(t, q, 1, "busy")
	q.SetVirtualTime(pool, 500)
	setTotals(q, "busy", 500, true)
	push(t, q, 2, "back")
	push(t, q, 3, "back")
	setTotals(q, "back", 20, false)
	if got := liftOf(q, "back"); got != 480 {
		t.Errorf("lift %v, want 480", got)
	}
	tag, _, _ := q.Head(start, pool)
	if tag != 500 {
		t.Errorf("head %v, want 500", tag)
	}
}

func TestBackloggedAccountKeepsItsTagWithinCatchUp(t *testing.T) {
	// A backlogged account appears at another router, or its router was partitioned for long. The account may catch up
	// only within the limit; otherwise it would take every slot after the partition heals.
	for _, c := range []struct {
		served pomelorelay.Cost
		lift   pomelorelay.Tag
	}{{470, 0}, {100, 340}} {
		q := pomelofair.New(pomelofair.Config{Charge: pomelofair.ChargeOptions{CatchUp: 60}})
		push(t, q, 1, "first")
		q.SetVirtualTime(pool, 500)
		push(t, q, 2, "a")
		setTotals(q, "a", c.served, true)
		if got := liftOf(q, "a"); got != c.lift {
			t.Errorf("served %v: lift %v, want %v", c.served, got, c.lift)
		}
	}
}

func TestNewRouterStartsAtVirtualTime(t *testing.T) {
	// A router starts with empty state. If it treated all accounts as never served, it would serve them in arbitrary order,
	// and lifts computed from zero would later place accounts far above their actual service.
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
		t.Errorf("second tag %v, want 305: the router's own service counts before totals arrive", tag)
	}
	if got := liftOf(q, "a"); got != 0 {
		t.Errorf("lift %v before totals arrived, want 0", got)
	}
	setTotals(q, "a", 1000, false)
	if tag, _, _ := q.Head(start, pool); tag < 1000 {
		t.Errorf("head %v after totals of 1000, want 1000 or more", tag)
	}
}

func TestStaleTotalsNeverLowerTag(t *testing.T) {
	// Totals arrive late, twice, or from a new ledger host that has not received all reports. If they lowered an
	// account's tag, only that account would be served for a while.
	q := pomelofair.New(pomelofair.Config{})
	push(t, q, 1, "a")
	for _, served := range []pomelorelay.Cost{100, 100, 40, 0} {
		setTotals(q, "a", served, true)
		if tag, _, _ := q.Head(start, pool); tag != 100 {
			t.Errorf("head %v after totals of %v, want 100", tag, served)
		}
	}
}

func TestWeightChangeKeepsTag(t *testing.T) {
	// An operator halves an account's weight. If past service were normalised by the new weight, the account's tag would
	// double, and it would wait until the tags of all others had doubled too.
	weights := accountWeights{"a": 2}
	q := pomelofair.New(pomelofair.Config{Weights: weights})
	push(t, q, 1, "a")
	push(t, q, 2, "a")
	pop(t, q, 1)
	q.Finish(start, 1, 1000)
	q.SetWeights(accountWeights{"a": 1})
	if tag := pop(t, q, 2); tag != 500 {
		t.Errorf("tag %v after the change, want 500", tag)
	}
	q.Finish(start, 2, 10)
	push(t, q, 3, "a")
	if tag := pop(t, q, 3); tag != 510 {
		t.Errorf("tag %v, want 510: new cost is normalised by the new weight", tag)
	}
}

func TestHintEffectIsBounded(t *testing.T) {
	// A caller's hint is a thousandth or a thousand times the cost of its requests. The admission charge must stay
	// between half and twice the account's mean cost.
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
