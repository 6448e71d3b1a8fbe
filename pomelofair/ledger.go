package pomelofair

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// mark notes that the account's entry changed.
func (q *Queues) mark(a *account) {
	if a.dirty {
		return
	}
	a.dirty = true
	q.changed = append(q.changed, a)
}

// SetVirtualTime takes the pool's virtual time, the level at which the fleet serves it now.
func (q *Queues) SetVirtualTime(id pomelorelay.PoolID, tag pomelorelay.Tag) {
	p := q.pools[id]
	if p == nil {
		return
	}
	p.virtual, p.told = tag, true
	p.crest = max(p.crest, tag)
}

// RaiseMaxVirtualTime takes the highest virtual time of the failure domains within reach. Backlogged accounts catch up with it to
// within the catch-up bound. The virtual time itself can't be that mark: after a partition only those that are behind
// are granted, it falls to their level, and whoever got more would be seen to stand still until they are level.
func (q *Queues) RaiseMaxVirtualTime(id pomelorelay.PoolID, tag pomelorelay.Tag) {
	if p := q.pools[id]; p != nil {
		p.crest = max(p.crest, tag)
	}
}

// SetFleetTotals takes an account's fleet totals, this router's own part included.
func (q *Queues) SetFleetTotals(now time.Time, e pomelorelay.LedgerEntry) {
	p := q.pools[e.Pool]
	if p == nil {
		return
	}
	a := p.accounts[e.Account]
	if a == nil {
		return
	}
	before := a.lift
	// Totals may be older than the last ones, or come from a host that forgot: taken as they are, an account's place would
	// fall and it would be served alone for a while. Sums only rise, so the larger one is the newer.
	others := max(a.others, pomelorelay.Tag(e.Served)-a.reported)
	jump := pomelorelay.Cost(others-a.others) * pomelorelay.Cost(a.weight)
	a.learnOthers(others)
	a.toldAt = now
	a.lift = max(a.lift, e.Lift)
	if !a.asking && jump > pomelorelay.Cost(a.pool.options.CatchUp) {
		// A partition healed: the account was served on the other side too.
		p.crest = max(p.crest, a.served())
	}
	q.raise(a, e.Waiting)
	if a.lift > before {
		q.mark(a)
	}
	p.lower(a)
}

// stepShare is the weight of the newest step in the running means of steps.
const stepShare = 16

// learnOthers takes what the rest of the fleet has been charged and how it compares with this router's charges.
func (a *account) learnOthers(others pomelorelay.Tag) {
	a.othersStep += (others - a.others - a.othersStep) / stepShare
	a.ownStep += (a.reported - a.told - a.ownStep) / stepShare
	a.others, a.told = others, a.reported
}

// staleAfter is the age from which an account's totals are not taken for its place when it begins to wait.
const staleAfter = 2 * time.Second

// wake begins a backlogged period. What the ledger said earlier may be out of date: taking it as it is would let an
// account use service that it left unclaimed while idle, or had elsewhere, seen as one account served alone for a while.
// So the account starts at the virtual time, or at the catch-up bound when requests of it run here, until totals arrive.
func (q *Queues) wake(now time.Time, a *account) {
	switch {
	case a.waiting > 0 || a.asking:
		return
	case a.running == 0:
		a.ownStep, a.othersStep = 0, 0
		a.floor = a.pool.virtual - a.own
	case now.Sub(a.toldAt) > staleAfter:
		a.floor = a.pool.virtual - a.pool.options.CatchUp - a.own
	default:
		return
	}
	a.asking = true
	q.mark(a)
}

// raise lifts a backlogged account that came back from idleness to the virtual time, and one that was behind elsewhere
// to the catch-up bound. Without it, service left unclaimed (while idle, or on the far side of a partition) would be
// claimed at once and every other account would be seen to stand still.
func (q *Queues) raise(a *account, elsewhere bool) {
	if a.idle() {
		return
	}
	target := a.pool.crest - a.pool.options.CatchUp
	if a.asking && !elsewhere {
		target = a.floor + a.own
	}
	if a.asking {
		a.asking = false
		q.mark(a)
	}
	if behind := target - a.served(); behind > 0 {
		a.lift += behind
	}
}

// report takes note of what is reported now.
func (a *account) report() {
	a.base = a.own + a.pending
	a.reported = max(a.reported, a.base)
}

// entry is this router's own part. Waiting is not reported before totals have come: the answer would then say that the
// account waits somewhere, here, and it could not be told from one that waits elsewhere.
func (a *account) entry() pomelorelay.LedgerEntry {
	return pomelorelay.LedgerEntry{
		Pool:    a.pool.id,
		Account: a.id,
		Served:  pomelorelay.Cost(a.reported),
		Lift:    a.lift,
		Waiting: !a.idle() && !a.asking,
	}
}

// ChangedEntries appends this router's own cumulative totals that changed since the last call.
func (q *Queues) ChangedEntries(out []pomelorelay.LedgerEntry) []pomelorelay.LedgerEntry {
	for i, a := range q.changed {
		a.dirty = false
		a.report()
		out = append(out, a.entry())
		q.changed[i] = nil
	}
	q.changed = q.changed[:0]
	return out
}

// All appends this router's own cumulative totals of every account; a new ledger host asks for them.
func (q *Queues) All(out []pomelorelay.LedgerEntry) []pomelorelay.LedgerEntry {
	for _, p := range q.order {
		for _, a := range p.order {
			a.report()
			out = append(out, a.entry())
		}
	}
	return out
}

// WaitingAccounts appends the accounts that wait here, whose fleet totals decide.
func (q *Queues) WaitingAccounts(out []pomelorelay.LedgerKey) []pomelorelay.LedgerKey {
	for _, p := range q.order {
		for _, a := range p.heap {
			out = append(out, pomelorelay.LedgerKey{Pool: p.id, Account: a.id})
		}
	}
	return out
}
