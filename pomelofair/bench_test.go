package pomelofair_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelofair"
)

const knownAccounts = 37_000

// newLoadedQueues returns queues with knownAccounts accounts, of which one in ten has two waiting requests.
func newLoadedQueues(b *testing.B) (*pomelofair.Queues, []pomelorelay.AccountID) {
	b.Helper()
	q := pomelofair.New(pomelofair.Config{})
	names := make([]pomelorelay.AccountID, knownAccounts)
	id := pomelorelay.RequestID(0)
	for i := range names {
		names[i] = pomelorelay.AccountID(fmt.Sprintf("account-%05d", i))
		id++
		if err := q.Push(start, pomelofair.Request{ID: id, Pool: pool, Account: names[i]}); err != nil {
			b.Fatal(err)
		}
		setTotals(q, names[i], pomelorelay.Cost(i%977), true)
	}
	for range knownAccounts {
		popped, _, _ := q.Pop(start, pool)
		q.Finish(start, popped, 1)
	}
	for i := 0; i < knownAccounts; i += 10 {
		for range 2 {
			id++
			_ = q.Push(start, pomelofair.Request{ID: id, Pool: pool, Account: names[i]})
		}
	}
	_ = q.ChangedLedgerEntries(nil)
	return q, names
}

func BenchmarkPushPopFinish(b *testing.B) {
	q, names := newLoadedQueues(b)
	entries := make([]pomelorelay.LedgerEntry, 0, knownAccounts)
	id := pomelorelay.RequestID(1 << 30)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		id++
		_ = q.Push(start, pomelofair.Request{ID: id, Pool: pool, Account: names[i*10%knownAccounts]})
		popped, _, _ := q.Pop(start, pool)
		q.Progress(start, popped, 1)
		q.Finish(start, popped, 2)
		if i%256 == 0 {
			entries = q.ChangedLedgerEntries(entries[:0])
		}
	}
}

func BenchmarkProgress(b *testing.B) {
	q, _ := newLoadedQueues(b)
	id, _, _ := q.Pop(start, pool)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		q.Progress(start, id, pomelorelay.Cost(i))
	}
}

func BenchmarkSetFleet(b *testing.B) {
	q, names := newLoadedQueues(b)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		setTotals(q, names[i*10%knownAccounts], pomelorelay.Cost(i), true)
	}
}

func BenchmarkChanged(b *testing.B) {
	q, names := newLoadedQueues(b)
	entries := make([]pomelorelay.LedgerEntry, 0, knownAccounts)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		q.Charge(start, pool, names[i%knownAccounts], 1)
		entries = q.ChangedLedgerEntries(entries[:0])
	}
}

func BenchmarkBytesPerKnownAccount(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	q, names := newLoadedQueues(b)
	runtime.GC()
	runtime.ReadMemStats(&after)
	for b.Loop() {
		_, _, _ = q.Head(start, pool)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(len(names)), "B/account")
	runtime.KeepAlive(q)
}
