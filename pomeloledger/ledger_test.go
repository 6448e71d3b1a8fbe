package pomeloledger_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelomesh"

	"pgregory.net/rapid"
)

// deliverRandom picks a held message at random and delivers it, drops it, or delivers it and keeps a duplicate.
func (w *testFleet) deliverRandom(t *rapid.T) {
	if len(w.held) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.held)-1).Draw(t, "message")
	l := w.held[i]
	outcome := rapid.IntRange(0, 9).Draw(t, "fate")
	if outcome != 0 {
		w.held = append(w.held[:i], w.held[i+1:]...)
	}
	if outcome != 1 {
		w.deliver(l)
	}
}

func TestTotalsAreExactAfterMessageFaults(t *testing.T) {
	// Messages are lost, duplicated, reordered and sent to two hosts, and hosts are replaced by empty ones. An account
	// whose service is counted twice would be served too late, and one whose service is lost too early.
	rapid.Check(t, func(t *rapid.T) {
		w := newTestFleet("north", "north", "south")
		replaced := 0
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			switch rapid.IntRange(0, 11).Draw(t, "what") {
			case 0, 1, 2:
				r := w.routers[rapid.IntRange(0, 2).Draw(t, "router")]
				w.recordServed(r, rapid.SampledFrom(accounts).Draw(t, "account"), pomelorelay.Cost(rapid.IntRange(1, 9).Draw(t, "cost")))
			case 3, 4, 5:
				w.advance()
			case 6:
				replaced = min(replaced+1, 15)
				w.replaceHost(0, replaced)
			default:
				w.deliverRandom(t)
			}
			w.checkNotAboveExpected(t)
		}
		w.runWithoutFaults(30 * time.Second)
		w.checkNotAboveExpected(t)
		w.checkExact(t)
	})
}

func TestRouterFailuresNeverOvercount(t *testing.T) {
	// Routers restart, die, or return from a partition with the same incarnation while hosts are replaced. Service reported
	// by a router considered dead must be kept, and must not be added again when the router returns.
	rapid.Check(t, func(t *rapid.T) {
		w := newTestFleet("north", "north")
		replaced := 0
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			r := w.routers[rapid.IntRange(0, 2).Draw(t, "router")]
			switch rapid.IntRange(0, 13).Draw(t, "what") {
			case 0, 1, 2:
				if r.up {
					w.recordServed(r, rapid.SampledFrom(accounts).Draw(t, "account"), pomelorelay.Cost(rapid.IntRange(1, 9).Draw(t, "cost")))
				}
			case 3, 4, 5:
				w.advance()
			case 6:
				replaced = min(replaced+1, 15)
				w.replaceHost(0, replaced)
			case 7:
				r.up = !r.up
				w.ledgers[w.hosts["d0"]].MemberGone(w.now, r.node)
			case 8:
				w.now = w.now.Add(tickInterval)
				w.restart(r)
			case 9:
				w.runWithoutFaults(time.Duration(rapid.IntRange(1, 80).Draw(t, "calm")) * time.Second)
			default:
				w.deliverRandom(t)
			}
			w.checkNotAboveExpected(t)
		}
	})
}

func TestDepartedServiceSurvivesHostChange(t *testing.T) {
	// A router dies, and then the ledger host that recorded its service dies too. The new host can learn that service
	// only from the other domain.
	w := newTestFleet("north", "north")
	w.recordServed(w.routers[0], accounts[0], 70)
	w.recordServed(w.routers[1], accounts[0], 30)
	w.runWithoutFaults(10 * time.Second)
	w.routers[1].up = false
	delete(w.ledgers, w.hosts["d0"])
	w.replaceHost(0, 1)
	w.runWithoutFaults(10 * time.Second)
	w.recordServed(w.routers[0], accounts[0], 5)
	w.runWithoutFaults(10 * time.Second)
	w.checkExact(t)
	w.routers[1].up = true
	w.recordServed(w.routers[1], accounts[0], 2)
	w.runWithoutFaults(10 * time.Second)
	w.checkNotAboveExpected(t)
	w.checkExact(t)
}

func TestNotReadyBeforeRebuild(t *testing.T) {
	// A new host must not answer with totals before its rebuild is complete: they would be zero, and the accounts that
	// have received the most service would be preferred.
	w := newTestFleet("north", "north")
	w.recordServed(w.routers[0], accounts[0], 50)
	w.runWithoutFaults(10 * time.Second)
	w.routers[2].up = true
	delete(w.ledgers, w.hosts["d0"])
	w.replaceHost(0, 1)
	l := w.ledgers[w.hosts["d0"]]
	out := l.HandleReport(w.now, "r1", w.routers[1].incarnation, &pomelorelay.LedgerReport{Interest: accounts}, nil)
	if len(out) != 1 || out[0].Message.(*pomelorelay.LedgerTotals).Ready {
		t.Fatalf("got %+v, want one answer that is not ready", out)
	}
	w.runWithoutFaults(time.Second)
	if _, ready := l.ShardStatus(0); !ready || l.RebuildTimedOut(0) {
		t.Error("rebuild without faults is not complete after 1 s")
	}
	w.checkExact(t)
	w.hosts["d1"] = "d1-lost"
	w.replaceHost(0, 2)
	for range 40 {
		w.advance()
		w.held = nil
	}
	if _, ready := w.ledgers[w.hosts["d0"]].ShardStatus(0); !ready || !w.ledgers[w.hosts["d0"]].RebuildTimedOut(0) {
		t.Error("rebuild did not end at its timeout")
	}
}

func TestChangeCrossesRegionsOnce(t *testing.T) {
	// Traffic between regions is billed by volume, so one domain of each region exchanges changes for the others. With
	// a full mesh between the six domains, each change would cross regions nine times.
	w := newTestFleet("north", "north", "north", "south", "south", "south")
	w.runWithoutFaults(20 * time.Second)
	w.recordServed(w.routers[0], accounts[0], 10)
	w.runWithoutFaults(30 * time.Second)
	w.checkExact(t)
	t.Logf("one change crossed regions %d times in 6 exchanges, including repeats and refreshes", w.crossRegionEntries)
	if w.crossRegionEntries > 7 {
		t.Errorf("one change crossed regions %d times, want at most 7", w.crossRegionEntries)
	}
}

func TestMergeDoesNotAllocate(t *testing.T) {
	w := newTestFleet("north")
	w.runWithoutFaults(5 * time.Second)
	l := w.ledgers[w.hosts["d0"]]
	report := &pomelorelay.LedgerReport{}
	for i := range 100 {
		report.Entries = append(report.Entries, pomelorelay.LedgerEntry{Pool: "p", Account: pomelorelay.AccountID(fmt.Sprintf("account-%d", i)), Served: 1})
	}
	out := make([]pomelorelay.Outgoing, 0, 4)
	allocs := testing.AllocsPerRun(100, func() {
		report.Entries[5].Served++
		l.HandleReport(w.now, "r0", w.routers[0].incarnation, report, out)
	})
	if allocs > 1 {
		t.Errorf("%v allocations for 100 entries, want at most 1 for the answer", allocs)
	}
}

func BenchmarkMerge(b *testing.B) {
	w := newTestFleet("north")
	w.runWithoutFaults(5 * time.Second)
	l := w.ledgers[w.hosts["d0"]]
	report := &pomelorelay.LedgerReport{}
	for i := range 512 {
		report.Entries = append(report.Entries, pomelorelay.LedgerEntry{Pool: "assistant/small", Account: pomelorelay.AccountID(fmt.Sprintf("workshop-%05d", i)), Served: 1234.5, Waiting: true})
	}
	data, err := pomelomesh.EncodeMessage(report)
	if err != nil {
		b.Fatal(err)
	}
	out := make([]pomelorelay.Outgoing, 0, 4)
	b.ReportAllocs()
	for b.Loop() {
		l.HandleReport(w.now, "r0", w.routers[0].incarnation, report, out)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/512, "ns/entry")
	b.ReportMetric(float64(len(data))/512, "B/entry")
}

// BenchmarkState measures the memory of an account with reports from two routers and five other domains.
func BenchmarkState(b *testing.B) {
	const n = 10_000
	for b.Loop() {
		before := heap()
		w := newTestFleet("north")
		w.runWithoutFaults(5 * time.Second)
		l := w.ledgers[w.hosts["d0"]]
		for i := range n {
			key := pomelorelay.AccountID(fmt.Sprintf("workshop-%05d", i))
			report := &pomelorelay.LedgerReport{Entries: []pomelorelay.LedgerEntry{{Pool: "assistant/small", Account: key, Served: 1}}}
			l.HandleReport(w.now, "r0", w.routers[0].incarnation, report, nil)
			l.HandleReport(w.now, "r1", w.routers[1].incarnation, report, nil)
			for d := range 5 {
				l.HandleComponent(w.now, "x", &pomelorelay.LedgerComponent{Domain: pomelorelay.DomainID(fmt.Sprintf("x%d", d)), Entries: []pomelorelay.LedgerComponentEntry{{Pool: "assistant/small", Account: key, Served: 1}}}, nil)
			}
		}
		b.ReportMetric(float64(heap()-before)/n, "B/account")
		runtime.KeepAlive(l)
	}
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
