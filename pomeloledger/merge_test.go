package pomeloledger_test

import (
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloledger"
)

func entriesServed(served pomelorelay.Cost) []pomelorelay.LedgerEntry {
	return []pomelorelay.LedgerEntry{{Pool: accounts[0].Pool, Account: accounts[0].Account, Served: served}}
}

func checkServed(t *testing.T, l *pomeloledger.Ledger, now time.Time, want pomelorelay.Cost) {
	t.Helper()
	if e, _ := l.Total(now, accounts[0]); e.Served != want {
		t.Errorf("served total is %v, want %v", e.Served, want)
	}
}

func TestLateReportDoesNotLowerTotal(t *testing.T) {
	// Reports arrive out of order. If an older value replaced a newer one, the account's total would fall, and the
	// account would be preferred as if it had not received the difference.
	w := newTestFleet("north")
	w.runWithoutFaults(time.Second)
	l := w.ledgers[w.hosts["d0"]]
	l.HandleReport(w.now, "r0", w.routers[0].incarnation, &pomelorelay.LedgerReport{Entries: entriesServed(10)}, nil)
	l.HandleReport(w.now, "r0", w.routers[0].incarnation, &pomelorelay.LedgerReport{Entries: entriesServed(4)}, nil)
	l.HandleReport(w.now, "r1", w.routers[1].incarnation, &pomelorelay.LedgerReport{Entries: entriesServed(5)}, nil)
	checkServed(t, l, w.now, 15)
}

func TestLateReportOfPreviousIncarnationCountsOnce(t *testing.T) {
	// A router restarts, and a report of its previous incarnation arrives after that incarnation's service was added to
	// the sum of ended incarnations. The service must count once.
	w := newTestFleet("north")
	w.runWithoutFaults(time.Second)
	l := w.ledgers[w.hosts["d0"]]
	previous := w.routers[0].incarnation
	l.HandleReport(w.now, "r0", previous, &pomelorelay.LedgerReport{Entries: entriesServed(10)}, nil)
	w.restart(w.routers[0])
	l.HandleReport(w.now, "r0", w.routers[0].incarnation, &pomelorelay.LedgerReport{Entries: entriesServed(1)}, nil)
	w.runWithoutFaults(2 * time.Minute)
	l.HandleReport(w.now, "r0", previous, &pomelorelay.LedgerReport{Entries: entriesServed(10)}, nil)
	checkServed(t, l, w.now, 11)
}

func TestLateComponentIsNotCountedAsDeparted(t *testing.T) {
	// A new host receives a router's full report and then the other domain's answer, which contains a later report of
	// that router that the previous host had passed on. The service of the later report must not count twice.
	w := newTestFleet("north", "north")
	w.runWithoutFaults(10 * time.Second)
	w.replaceHost(0, 1)
	l := w.ledgers["d0-host1"]
	w.now = w.now.Add(1600 * time.Millisecond)
	var round uint64
	for _, o := range l.Tick(w.now, nil) {
		if query, ok := o.Message.(*pomelorelay.LedgerQuery); ok {
			round = query.Round
		}
	}
	sendFullReport := func(node int, value pomelorelay.Cost) {
		r := w.routers[node]
		l.HandleReport(w.now, r.node, r.incarnation, &pomelorelay.LedgerReport{Full: true, Round: round, Entries: entriesServed(value)}, nil)
	}
	sendFullReport(0, 90)
	lateComponent := &pomelorelay.LedgerComponent{Domain: "d0", Full: true, Entries: []pomelorelay.LedgerComponentEntry{{Pool: accounts[0].Pool, Account: accounts[0].Account, Served: 100}}}
	l.HandleComponent(w.now, w.hosts["d1"], lateComponent, nil)
	sendFullReport(1, 0)
	sendFullReport(2, 0)
	if _, ready := l.ShardStatus(0); !ready {
		t.Fatal("rebuild is not complete after all routers reported")
	}
	l.HandleReport(w.now, "r0", w.routers[0].incarnation, &pomelorelay.LedgerReport{Entries: entriesServed(100)}, nil)
	checkServed(t, l, w.now, 100)
}

func TestReportForEarlierQueryDoesNotEndRebuild(t *testing.T) {
	// A new host receives full reports that answer the query of an earlier host. They may lack service that other
	// domains already know, so they must not end the rebuild.
	w := newTestFleet("north")
	l := w.ledgers[w.hosts["d0"]]
	w.held = nil
	for _, r := range w.routers {
		l.HandleReport(w.now, r.node, r.incarnation, &pomelorelay.LedgerReport{Full: true, Round: 1, Entries: entriesServed(1)}, nil)
	}
	if _, ready := l.ShardStatus(0); ready {
		t.Error("rebuild completed from answers to an earlier query")
	}
}

func TestEndedIncarnationClearsWaiting(t *testing.T) {
	// A router dies or restarts while it holds an account's only queued requests. The account must not stay backlogged,
	// neither in this domain nor in the other one.
	for _, restarts := range []bool{false, true} {
		w := newTestFleet("north", "north")
		w.runWithoutFaults(5 * time.Second)
		w.recordServed(w.routers[0], accounts[0], 10)
		w.runWithoutFaults(5 * time.Second)
		if e, _ := w.ledgers[w.hosts["d1"]].Total(w.now, accounts[0]); !e.Waiting {
			t.Fatal("account is not reported as backlogged")
		}
		if restarts {
			w.restart(w.routers[0])
		} else {
			w.routers[0].up = false
			w.ledgers[w.hosts["d0"]].MemberGone(w.now, "r0")
		}
		w.runWithoutFaults(5 * time.Second)
		for _, domain := range w.domains {
			if e, _ := w.ledgers[w.hosts[domain.ID]].Total(w.now, accounts[0]); e.Waiting || e.Served != 10 {
				t.Errorf("restarts %v: domain %s has %+v, want 10 served and not waiting", restarts, domain.ID, e)
			}
		}
	}
}

func TestLostReportIsResent(t *testing.T) {
	// The only report of an account's last request is lost, and no later request triggers another report. The router
	// must resend the lost one.
	w := newTestFleet("north")
	w.runWithoutFaults(5 * time.Second)
	w.recordServed(w.routers[0], accounts[0], 10)
	for range 12 {
		w.advance()
		w.held = nil
	}
	w.runWithoutFaults(5 * time.Second)
	w.checkExact(t)
}
