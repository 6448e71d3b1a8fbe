package pomelocapacity

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelofair"
	"github.com/pomelorelay/pomelorelay/pomeloquarantine"
)

// EntryFigures is what a router's own queues cost, by the accounts that it knows; a tenth of them waits.
type EntryFigures struct {
	// Request is the processor time of one request's whole way, Collect that of gathering what changed and what is of interest.
	Request, Collect, Memory Series
	// Waiting is the memory of one waiting request.
	Waiting Series
}

const entryRequests = 20_000

// queues returns queues that know the accounts, of which every tenth waits.
func queues(t Target, accounts int) *pomelofair.Queues {
	q := pomelofair.New(pomelofair.Config{})
	var id pomelorelay.RequestID
	for a := range accounts {
		id++
		_ = q.Push(start, request(t, id, a))
		q.SetFleet(start, pomelorelay.LedgerEntry{Pool: poolName(a % t.Pools), Account: accountName(a), Served: pomelorelay.Cost(a % 977), Waiting: true})
	}
	for p := range t.Pools {
		for {
			popped, _, ok := q.Pop(start, poolName(p))
			if !ok {
				break
			}
			q.Finish(start, popped, 1)
		}
	}
	for a := 0; a < accounts; a += 10 {
		for range t.Depth {
			id++
			_ = q.Push(start, request(t, id, a))
		}
	}
	q.Changed(nil)
	return q
}

func request(t Target, id pomelorelay.RequestID, account int) pomelofair.Request {
	return pomelofair.Request{ID: id, Pool: poolName(account % t.Pools), Account: accountName(account)}
}

// serve takes requests through: pushed, popped, charged as they go, ended.
func serve(t Target, q *pomelofair.Queues, names []int) {
	id := pomelorelay.RequestID(1 << 30)
	for i := range entryRequests {
		id++
		a := names[i%len(names)]
		_ = q.Push(start, request(t, id, a))
		popped, _, _ := q.Pop(start, poolName(a%t.Pools))
		for accrued := range 4 {
			q.Progress(start, popped, pomelorelay.Cost(accrued))
		}
		q.Finish(start, popped, 4)
	}
}

func measureEntry(t Target) EntryFigures {
	var f EntryFigures
	var way, collect, memory, waiting []Point
	for _, accounts := range []int{100, 1_000, 10_000, t.Accounts} {
		var names []int
		for a := 0; a < accounts; a += 10 {
			names = append(names, a)
		}
		x := float64(accounts)
		way = append(way, Point{x, micros(timed(func() func() {
			q := queues(t, accounts)
			return func() { serve(t, q, names) }
		})) / entryRequests})
		q := queues(t, accounts)
		collect = append(collect, Point{x, collectTime(q)})
		memory = append(memory, Point{x, held(func() any { return queues(t, accounts) })})
	}
	for _, n := range []int{100, 1_000, 10_000} {
		waiting = append(waiting, Point{float64(n), held(func() any { return waitingQueues(t, n) })})
	}
	const role, sizes = "Entry queues", "accounts known to the router"
	f.Request = Series{role, "processor time of a request", "µs", sizes, Fit(way)}
	f.Collect = Series{role, "processor time of one collecting", "µs", sizes, Fit(collect)}
	f.Memory = Series{role, "memory", "B a node", sizes, Fit(memory)}
	f.Waiting = Series{role, "memory", "B a node", "waiting requests", Fit(waiting)}
	return f
}

// collectTime is what a tick and a ledger interval ask of the queues, though nothing changed.
func collectTime(q *pomelofair.Queues) float64 {
	const times = 200
	var entries []pomelorelay.LedgerEntry
	var keys []pomelorelay.LedgerKey
	var expired []pomelorelay.RequestID
	spent := timed(func() func() {
		return func() {
			for range times {
				entries = q.Changed(entries[:0])
				keys = q.Interest(keys[:0])
				expired = q.Expire(start.Add(time.Second), expired[:0])
			}
		}
	})
	return micros(spent) / times
}

func waitingQueues(t Target, n int) *pomelofair.Queues {
	q := pomelofair.New(pomelofair.Config{})
	const accounts = 100
	for i := range n {
		_ = q.Push(start, request(t, pomelorelay.RequestID(i+1), i%accounts))
	}
	return q
}

// QuarantineFigures is what remembering crash suspects costs.
type QuarantineFigures struct {
	Memory Series
	// Crash is what one crash makes every router send in all, and Tick the processor time of a tick at most suspects.
	Crash flow
	Tick  float64
}

func measureQuarantine(t Target) QuarantineFigures {
	var f QuarantineFigures
	var memory []Point
	for _, n := range []int{100, 1_000, 4_096} {
		memory = append(memory, Point{float64(n), held(func() any { return suspects(n) })})
	}
	f.Memory = Series{"Quarantine", "memory", "B a node", "suspects", Fit(memory)}
	table := suspects(4_096)
	const ticks = 1000
	var out pomeloquarantine.Output
	f.Tick = micros(timed(func() func() {
		return func() {
			for range ticks {
				table.Tick(start.Add(time.Second), &out)
			}
		}
	})) / ticks
	notice := &pomelorelay.SuspectNotice{Upstream: upstreamName(0, 1), Crash: 1 << 60}
	for i := range t.Slots() / t.Routers() {
		notice.Fingerprints = append(notice.Fingerprints, pomelorelay.Fingerprint(1<<63+uint64(i)))
	}
	f.Crash = flow{float64(t.Nodes), float64(t.Nodes) * size(notice)}
	return f
}

func suspects(n int) *pomeloquarantine.Table {
	table := pomeloquarantine.NewTable(pomeloquarantine.Config{Members: func() []pomelorelay.NodeID { return nil }})
	var out pomeloquarantine.Output
	for i := range n {
		table.Notice(start, &pomelorelay.SuspectNotice{Upstream: upstreamName(0, i%100), Crash: uint64(i), Fingerprints: []pomelorelay.Fingerprint{pomelorelay.Fingerprint(i)}}, &out)
	}
	table.Snapshot()
	return table
}
