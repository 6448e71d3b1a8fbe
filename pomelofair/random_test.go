package pomelofair_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelofair"
)

// TestMain sets a fixed seed to make the results reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
	m.Run()
}

// queuesModel applies random operations to queues and tracks the waiting and running requests independently.
type queuesModel struct {
	q       *pomelofair.Queues
	now     time.Time
	next    pomelorelay.RequestID
	waiting map[pomelorelay.RequestID]pomelorelay.AccountID
	running map[pomelorelay.RequestID]pomelorelay.Cost
	served  pomelorelay.Cost
}

func (m *queuesModel) push(t *rapid.T) {
	m.next++
	account := pomelorelay.AccountID(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "account")))
	hint := pomelorelay.Cost(rapid.Float64Range(0, 100).Draw(t, "hint"))
	if err := m.q.Push(m.now, pomelofair.Request{ID: m.next, Pool: pool, Account: account, Hint: hint}); err != nil {
		t.Fatal(err)
	}
	m.waiting[m.next] = account
}

func (m *queuesModel) pop(t *rapid.T) {
	lowest, _, _ := m.q.Head(m.now, pool)
	id, tag, ok := m.q.Pop(m.now, pool)
	if ok != (len(m.waiting) > 0) {
		t.Fatalf("Pop returned %v with %d requests waiting", ok, len(m.waiting))
	}
	if !ok {
		return
	}
	if _, found := m.waiting[id]; !found {
		t.Fatalf("popped request %d, which is not waiting", id)
	}
	if tag != lowest {
		t.Fatalf("popped tag %v, want the head tag %v", tag, lowest)
	}
	delete(m.waiting, id)
	m.running[id] = 0
}

// pickRequest returns the lowest matching ID that is not below a drawn one, so that equal draws select equal requests.
func pickRequest(t *rapid.T, maxID pomelorelay.RequestID, matches func(pomelorelay.RequestID) bool) (pomelorelay.RequestID, bool) {
	from := pomelorelay.RequestID(rapid.Uint64Range(0, uint64(maxID)).Draw(t, "from"))
	for id := from; id <= maxID; id++ {
		if matches(id) {
			return id, true
		}
	}
	return 0, false
}

func (m *queuesModel) isRunning(id pomelorelay.RequestID) bool { _, ok := m.running[id]; return ok }
func (m *queuesModel) isWaiting(id pomelorelay.RequestID) bool { _, ok := m.waiting[id]; return ok }

func (m *queuesModel) progress(t *rapid.T) {
	if id, ok := pickRequest(t, m.next, m.isRunning); ok {
		cost := pomelorelay.Cost(rapid.IntRange(0, 50).Draw(t, "accrued"))
		m.q.Progress(m.now, id, cost)
		m.running[id] = max(m.running[id], cost)
	}
}

func (m *queuesModel) finish(t *rapid.T) {
	if id, ok := pickRequest(t, m.next, m.isRunning); ok {
		cost := pomelorelay.Cost(rapid.IntRange(0, 50).Draw(t, "final"))
		m.q.Finish(m.now, id, cost)
		m.served += max(m.running[id], cost)
		delete(m.running, id)
	}
}

func (m *queuesModel) requeue(t *rapid.T) {
	id, ok := pickRequest(t, m.next, m.isRunning)
	if ok && m.running[id] == 0 {
		m.q.Requeue(m.now, id)
		delete(m.running, id)
		m.waiting[id] = ""
	}
}

func (m *queuesModel) cancel(t *rapid.T) {
	if id, ok := pickRequest(t, m.next, m.isWaiting); ok {
		m.q.Cancel(m.now, id)
		delete(m.waiting, id)
	}
}

func (m *queuesModel) setTotals(t *rapid.T) {
	_ = m.q.ChangedLedgerEntries(nil)
	e := pomelorelay.LedgerEntry{
		Pool:    pool,
		Account: pomelorelay.AccountID(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "account"))),
		Served:  pomelorelay.Cost(rapid.IntRange(0, 1000).Draw(t, "fleet")),
		Waiting: rapid.Bool().Draw(t, "waiting"),
	}
	m.q.SetVirtualTime(pool, pomelorelay.Tag(rapid.IntRange(0, 500).Draw(t, "virtual")))
	m.q.SetFleetTotals(m.now, e)
}

func TestRandomOperationsKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &queuesModel{
			q: pomelofair.New(pomelofair.Config{}), now: start,
			waiting: make(map[pomelorelay.RequestID]pomelorelay.AccountID),
			running: make(map[pomelorelay.RequestID]pomelorelay.Cost),
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": m.push, "pop": m.pop, "progress": m.progress, "finish": m.finish,
			"requeue": m.requeue, "cancel": m.cancel, "totals": m.setTotals,
			"": func(t *rapid.T) { m.check(t) },
		})
	})
}

func (m *queuesModel) check(t *rapid.T) {
	_, waiting, ok := m.q.Head(m.now, pool)
	if waiting != len(m.waiting) || ok != (waiting > 0) {
		t.Fatalf("%d requests waiting, want %d", waiting, len(m.waiting))
	}
	accrued := m.served
	for _, cost := range m.running {
		accrued += cost
	}
	reported := pomelorelay.Cost(0)
	for _, e := range m.q.AllLedgerEntries(nil) {
		reported += e.Served
	}
	if reported < accrued-1e-6 {
		t.Fatalf("reported service %v, want at least the accrued %v", reported, accrued)
	}
}
