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

// schedule lets a random one of the held messages go, get lost or go twice.
func (w *world) schedule(t *rapid.T) {
	if len(w.flying) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.flying)-1).Draw(t, "message")
	l := w.flying[i]
	fate := rapid.IntRange(0, 9).Draw(t, "fate")
	if fate != 0 {
		w.flying = append(w.flying[:i], w.flying[i+1:]...)
	}
	if fate != 1 {
		w.deliver(l)
	}
}

func TestNothingIsLostOrCountedTwice(t *testing.T) {
	// Reports are lost, repeated, crossed and sent to two hosts, and the host is replaced by an empty one in the middle. An account counted twice is served too late, one forgotten too early.
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld("north", "north", "south")
		replaced := 0
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			switch rapid.IntRange(0, 11).Draw(t, "what") {
			case 0, 1, 2:
				r := w.routers[rapid.IntRange(0, 2).Draw(t, "router")]
				w.serve(r, rapid.SampledFrom(accounts).Draw(t, "account"), pomelorelay.Cost(rapid.IntRange(1, 9).Draw(t, "cost")))
			case 3, 4, 5:
				w.advance()
			case 6:
				replaced = min(replaced+1, 15)
				w.host(0, replaced)
			default:
				w.schedule(t)
			}
			w.neverAbove(t)
		}
		w.calm(30 * time.Second)
		w.neverAbove(t)
		w.exact(t)
	})
}

func TestRestartsAndDeathsNeverCountTwice(t *testing.T) {
	// Routers restart, die, and come back from behind a partition with their old process, while the host is replaced. What a dead router reported must stay, and must not be added again when it turns out to live.
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld("north", "north")
		replaced := 0
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			r := w.routers[rapid.IntRange(0, 2).Draw(t, "router")]
			switch rapid.IntRange(0, 13).Draw(t, "what") {
			case 0, 1, 2:
				if r.up {
					w.serve(r, rapid.SampledFrom(accounts).Draw(t, "account"), pomelorelay.Cost(rapid.IntRange(1, 9).Draw(t, "cost")))
				}
			case 3, 4, 5:
				w.advance()
			case 6:
				replaced = min(replaced+1, 15)
				w.host(0, replaced)
			case 7:
				r.up = !r.up
				w.ledgers[w.hosts["d0"]].MemberGone(w.now, r.node)
			case 8:
				w.now = w.now.Add(step)
				w.restart(r)
			case 9:
				w.calm(time.Duration(rapid.IntRange(1, 80).Draw(t, "calm")) * time.Second)
			default:
				w.schedule(t)
			}
			w.neverAbove(t)
		}
	})
}

func TestDepartedServiceSurvivesTheHost(t *testing.T) {
	// A router dies, and later the host that remembered its service. The new host hears of it only from the other domain.
	w := newWorld("north", "north")
	w.serve(w.routers[0], accounts[0], 70)
	w.serve(w.routers[1], accounts[0], 30)
	w.calm(10 * time.Second)
	w.routers[1].up = false
	delete(w.ledgers, w.hosts["d0"])
	w.host(0, 1)
	w.calm(10 * time.Second)
	w.serve(w.routers[0], accounts[0], 5)
	w.calm(10 * time.Second)
	w.exact(t)
	w.routers[1].up = true
	w.serve(w.routers[1], accounts[0], 2)
	w.calm(10 * time.Second)
	w.neverAbove(t)
	w.exact(t)
}

func TestNotReadyBeforeItHasAsked(t *testing.T) {
	// A new host that answered with what it has would hand out zeroes, and accounts that got most would go first.
	w := newWorld("north", "north")
	w.serve(w.routers[0], accounts[0], 50)
	w.calm(10 * time.Second)
	w.routers[2].up = true
	delete(w.ledgers, w.hosts["d0"])
	w.host(0, 1)
	l := w.ledgers[w.hosts["d0"]]
	out := l.HandleReport(w.now, "r1", w.routers[1].inc, &pomelorelay.LedgerReport{Interest: accounts}, nil)
	if len(out) != 1 || out[0].Message.(*pomelorelay.LedgerTotals).Ready {
		t.Fatalf("%+v", out)
	}
	w.calm(time.Second)
	if _, ready := l.ShardStatus(0); !ready || l.RebuildTimedOut(0) {
		t.Error("not rebuilt within a second without faults")
	}
	w.exact(t)
	w.hosts["d1"] = "d1-lost"
	w.host(0, 2)
	for range 40 {
		w.advance()
		w.flying = nil
	}
	if _, ready := w.ledgers[w.hosts["d0"]].ShardStatus(0); !ready || !w.ledgers[w.hosts["d0"]].RebuildTimedOut(0) {
		t.Error("not opened at the time limit")
	}
}

func TestRegionsExchangeOnce(t *testing.T) {
	// Links between regions are paid by volume. Six domains that all told each other would send each change nine times.
	w := newWorld("north", "north", "north", "south", "south", "south")
	w.calm(20 * time.Second)
	w.serve(w.routers[0], accounts[0], 10)
	w.calm(30 * time.Second)
	w.exact(t)
	t.Logf("one change crossed regions %d times in 6 exchanges, repeats and refreshes included", w.crossed)
	if w.crossed > 7 {
		t.Errorf("%d times", w.crossed)
	}
}

func TestMergeDoesNotAllocate(t *testing.T) {
	w := newWorld("north")
	w.calm(5 * time.Second)
	l := w.ledgers[w.hosts["d0"]]
	report := &pomelorelay.LedgerReport{}
	for i := range 100 {
		report.Entries = append(report.Entries, pomelorelay.LedgerEntry{Pool: "p", Account: pomelorelay.AccountID(fmt.Sprintf("account-%d", i)), Served: 1})
	}
	out := make([]pomelorelay.Outgoing, 0, 4)
	allocated := testing.AllocsPerRun(100, func() {
		report.Entries[5].Served++
		l.HandleReport(w.now, "r0", w.routers[0].inc, report, out)
	})
	if allocated > 1 {
		t.Errorf("%v allocations for 100 entries; the answer is one", allocated)
	}
}

func BenchmarkMerge(b *testing.B) {
	w := newWorld("north")
	w.calm(5 * time.Second)
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
		l.HandleReport(w.now, "r0", w.routers[0].inc, report, out)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/512, "ns/entry")
	b.ReportMetric(float64(len(data))/512, "B/entry")
}

// BenchmarkState reports the memory of an account with two origins and five other domains.
func BenchmarkState(b *testing.B) {
	const n = 10_000
	for b.Loop() {
		before := heap()
		w := newWorld("north")
		w.calm(5 * time.Second)
		l := w.ledgers[w.hosts["d0"]]
		for i := range n {
			key := pomelorelay.AccountID(fmt.Sprintf("workshop-%05d", i))
			report := &pomelorelay.LedgerReport{Entries: []pomelorelay.LedgerEntry{{Pool: "assistant/small", Account: key, Served: 1}}}
			l.HandleReport(w.now, "r0", w.routers[0].inc, report, nil)
			l.HandleReport(w.now, "r1", w.routers[1].inc, report, nil)
			for d := range 5 {
				l.HandleComponent(w.now, "x", &pomelorelay.LedgerComponent{Domain: pomelorelay.DomainID(fmt.Sprintf("x%d", d)), Entries: []pomelorelay.LedgerComponentEntry{{Pool: "assistant/small", Account: key, Sum: 1}}}, nil)
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
