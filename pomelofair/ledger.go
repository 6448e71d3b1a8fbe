package pomelofair

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// markChanged notes that the account's entry changed.
func (q *Queues) markChanged(a *account) {
	if a.dirty {
		return
	}
	a.dirty = true
	q.changedAccounts = append(q.changedAccounts, a)
}

// SetVirtual takes the pool's virtual time, the level at which the fleet serves it now.
func (q *Queues) SetVirtual(id pomelorelay.PoolID, tag pomelorelay.Tag) {
	p := q.pools[id]
	if p == nil {
		return
	}
	p.virtualTime, p.virtualTimeSet = tag, true
	p.maxVirtualTime = max(p.maxVirtualTime, tag)
}

// SetCrest takes the highest virtual time of the failure domains within reach. Backlogged accounts catch up with it to
// within the catch-up bound. The virtual time itself can't be that mark: after a partition only those that are behind
// are granted, it falls to their level, and whoever got more would be seen to stand still until they are level.
func (q *Queues) SetCrest(id pomelorelay.PoolID, tag pomelorelay.Tag) {
	if p := q.pools[id]; p != nil {
		p.maxVirtualTime = max(p.maxVirtualTime, tag)
	}
}

// SetFleet takes an account's fleet totals, this router's own part included.
func (q *Queues) SetFleet(now time.Time, e pomelorelay.LedgerEntry) {
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
	others := max(a.othersServed, pomelorelay.Tag(e.Served)-a.reported)
	increase := pomelorelay.Cost(others-a.othersServed) * pomelorelay.Cost(a.weight)
	a.updateOthers(others)
	a.totalsAt = now
	a.lift = max(a.lift, e.Lift)
	if !a.awaitingTotals && increase > pomelorelay.Cost(a.pool.options.CatchUp) {
		// A partition healed: the account was served on the other side too.
		p.maxVirtualTime = max(p.maxVirtualTime, a.served())
	}
	q.liftToTarget(a, e.Waiting)
	if a.lift > before {
		q.markChanged(a)
	}
	p.decreaseKey(a)
}

// increaseDivisor is the weight of the newest step in the running means of steps.
const increaseDivisor = 16

// updateOthers takes what the rest of the fleet has been charged and how it compares with this router's charges.
func (a *account) updateOthers(others pomelorelay.Tag) {
	a.othersIncrease += (others - a.othersServed - a.othersIncrease) / increaseDivisor
	a.ownIncrease += (a.reported - a.ownAtTotals - a.ownIncrease) / increaseDivisor
	a.othersServed, a.ownAtTotals = others, a.reported
}

// totalsMaxAge is the age from which an account's totals are not taken for its place when it begins to wait.
const totalsMaxAge = 2 * time.Second

// startBacklog begins a backlogged period. What the ledger said earlier may be out of date: taking it as it is would let an
// account use service that it left unclaimed while idle, or had elsewhere, seen as one account served alone for a while.
// So the account starts at the virtual time, or at the catch-up bound when requests of it run here, until totals arrive.
func (q *Queues) startBacklog(now time.Time, a *account) {
	switch {
	case a.waiting > 0 || a.awaitingTotals:
		return
	case a.running == 0:
		a.ownIncrease, a.othersIncrease = 0, 0
		a.floor = a.pool.virtualTime - a.ownServed
	case now.Sub(a.totalsAt) > totalsMaxAge:
		a.floor = a.pool.virtualTime - a.pool.options.CatchUp - a.ownServed
	default:
		return
	}
	a.awaitingTotals = true
	q.markChanged(a)
}

// liftToTarget lifts a backlogged account that came back from idleness to the virtual time, and one that was behind elsewhere
// to the catch-up bound. Without it, service left unclaimed (while idle, or on the far side of a partition) would be
// claimed at once and every other account would be seen to stand still.
func (q *Queues) liftToTarget(a *account, elsewhere bool) {
	if a.idle() {
		return
	}
	target := a.pool.maxVirtualTime - a.pool.options.CatchUp
	if a.awaitingTotals && !elsewhere {
		target = a.floor + a.ownServed
	}
	if a.awaitingTotals {
		a.awaitingTotals = false
		q.markChanged(a)
	}
	if behind := target - a.served(); behind > 0 {
		a.lift += behind
	}
}

// recordReport takes note of what is reported now.
func (a *account) recordReport() {
	a.chargedAtReport = a.ownServed + a.pending
	a.reported = max(a.reported, a.chargedAtReport)
}

// ledgerEntry is this router's own part. Waiting is not reported before totals have come: the answer would then say that the
// account waits somewhere, here, and it could not be told from one that waits elsewhere.
func (a *account) ledgerEntry() pomelorelay.LedgerEntry {
	return pomelorelay.LedgerEntry{
		Pool:    a.pool.id,
		Account: a.id,
		Served:  pomelorelay.Cost(a.reported),
		Lift:    a.lift,
		Waiting: !a.idle() && !a.awaitingTotals,
	}
}

// Changed appends this router's own cumulative totals that changed since the last call.
func (q *Queues) Changed(out []pomelorelay.LedgerEntry) []pomelorelay.LedgerEntry {
	for i, a := range q.changedAccounts {
		a.dirty = false
		a.recordReport()
		out = append(out, a.ledgerEntry())
		q.changedAccounts[i] = nil
	}
	q.changedAccounts = q.changedAccounts[:0]
	return out
}

// AllEntries appends this router's own cumulative totals of every account; a new ledger host asks for them.
func (q *Queues) AllEntries(out []pomelorelay.LedgerEntry) []pomelorelay.LedgerEntry {
	for _, p := range q.orderedPools {
		for _, a := range p.orderedAccounts {
			a.recordReport()
			out = append(out, a.ledgerEntry())
		}
	}
	return out
}

// Interest appends the accounts that wait here, whose fleet totals decide.
func (q *Queues) Interest(out []pomelorelay.LedgerKey) []pomelorelay.LedgerKey {
	for _, p := range q.orderedPools {
		for _, a := range p.heap {
			out = append(out, pomelorelay.LedgerKey{Pool: p.id, Account: a.id})
		}
	}
	return out
}
