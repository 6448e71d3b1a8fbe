package pomeloledger_test

import (
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloledger"
)

func entry(served pomelorelay.Cost) []pomelorelay.LedgerEntry {
	return []pomelorelay.LedgerEntry{{Pool: accounts[0].Pool, Account: accounts[0].Account, Served: served}}
}

func served(t *testing.T, l *pomeloledger.Ledger, now time.Time, want pomelorelay.Cost) {
	t.Helper()
	if e, _ := l.Total(now, accounts[0]); e.Served != want {
		t.Errorf("counts %v, want %v", e.Served, want)
	}
}

func TestLateReportLowersNothing(t *testing.T) {
	// An older report overtakes a newer one on its way. Taken as it is, it would give the account credit for what it had.
	w := newWorld("north")
	w.calm(time.Second)
	l := w.ledgers[w.hosts["d0"]]
	l.HandleReport(w.now, "r0", w.routers[0].inc, &pomelorelay.LedgerReport{Entries: entry(10)}, nil)
	l.HandleReport(w.now, "r0", w.routers[0].inc, &pomelorelay.LedgerReport{Entries: entry(4)}, nil)
	l.HandleReport(w.now, "r1", w.routers[1].inc, &pomelorelay.LedgerReport{Entries: entry(5)}, nil)
	served(t, l, w.now, 15)
}

func TestLateReportOfAFormerProcessCountsOnce(t *testing.T) {
	// A router restarts. Minutes later a report of its former process arrives, whose service has been folded into the departed part.
	w := newWorld("north")
	w.calm(time.Second)
	l := w.ledgers[w.hosts["d0"]]
	former := w.routers[0].inc
	l.HandleReport(w.now, "r0", former, &pomelorelay.LedgerReport{Entries: entry(10)}, nil)
	w.restart(w.routers[0])
	l.HandleReport(w.now, "r0", w.routers[0].inc, &pomelorelay.LedgerReport{Entries: entry(1)}, nil)
	w.calm(2 * time.Minute)
	l.HandleReport(w.now, "r0", former, &pomelorelay.LedgerReport{Entries: entry(10)}, nil)
	served(t, l, w.now, 11)
}

func TestLateAnswerOfADomainIsNotCountedAsDeparted(t *testing.T) {
	// The other domain answers a new host only after a router has, and knows a later report of that router by way of the former host.
	w := newWorld("north", "north")
	w.calm(10 * time.Second)
	w.host(0, 1)
	l := w.ledgers["d0-host1"]
	w.now = w.now.Add(1600 * time.Millisecond)
	var round uint64
	for _, o := range l.Tick(w.now, nil) {
		if query, ok := o.Message.(*pomelorelay.LedgerQuery); ok {
			round = query.Round
		}
	}
	full := func(node int, value pomelorelay.Cost) {
		r := w.routers[node]
		l.HandleReport(w.now, r.node, r.inc, &pomelorelay.LedgerReport{Full: true, Round: round, Entries: entry(value)}, nil)
	}
	full(0, 90)
	late := &pomelorelay.LedgerComponent{Domain: "d0", Full: true, Entries: []pomelorelay.LedgerComponentEntry{{Pool: accounts[0].Pool, Account: accounts[0].Account, Sum: 100}}}
	l.HandleComponent(w.now, w.hosts["d1"], late, nil)
	full(1, 0)
	full(2, 0)
	if _, ready := l.ShardStatus(0); !ready {
		t.Fatal("not rebuilt")
	}
	l.HandleReport(w.now, "r0", w.routers[0].inc, &pomelorelay.LedgerReport{Entries: entry(100)}, nil)
	served(t, l, w.now, 100)
}

func TestAnswerToAFormerQueryDoesNotEndTheRebuild(t *testing.T) {
	// A full report that a router sent to an earlier host of the shard arrives late, older than what the domains know by now.
	w := newWorld("north")
	l := w.ledgers[w.hosts["d0"]]
	w.flying = nil
	for _, r := range w.routers {
		l.HandleReport(w.now, r.node, r.inc, &pomelorelay.LedgerReport{Full: true, Round: 1, Entries: entry(1)}, nil)
	}
	if _, ready := l.ShardStatus(0); ready {
		t.Error("rebuilt from answers to a former query")
	}
}

func TestNothingWaitsAtADeadRouter(t *testing.T) {
	// A router dies or restarts with an account's only requests in its queues. The account must not count as backlogged for ever, here or in the other domain.
	for _, restarts := range []bool{false, true} {
		w := newWorld("north", "north")
		w.calm(5 * time.Second)
		w.serve(w.routers[0], accounts[0], 10)
		w.calm(5 * time.Second)
		if e, _ := w.ledgers[w.hosts["d1"]].Total(w.now, accounts[0]); !e.Waiting {
			t.Fatal("not known to wait")
		}
		if restarts {
			w.restart(w.routers[0])
		} else {
			w.routers[0].up = false
			w.ledgers[w.hosts["d0"]].MemberGone(w.now, "r0")
		}
		w.calm(5 * time.Second)
		for _, domain := range w.domains {
			if e, _ := w.ledgers[w.hosts[domain.ID]].Total(w.now, accounts[0]); e.Waiting || e.Served != 10 {
				t.Errorf("restarts %v: %s has %+v", restarts, domain.ID, e)
			}
		}
	}
}

func TestLostReportIsSentAgain(t *testing.T) {
	// The one report that carries an account's last request is lost, and the account is quiet from then on.
	w := newWorld("north")
	w.calm(5 * time.Second)
	w.serve(w.routers[0], accounts[0], 10)
	for range 12 {
		w.advance()
		w.flying = nil
	}
	w.calm(5 * time.Second)
	w.exact(t)
}
