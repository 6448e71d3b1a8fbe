package pomelofair

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// markChanged schedules the account's entry for the next report to the ledger.
func (q *Queues) markChanged(a *account) {
	if a.dirty {
		return
	}
	a.dirty = true
	q.changedAccounts = append(q.changedAccounts, a)
}

// SetVirtualTime sets the pool's virtual time, the tag at which the fleet currently serves it.
func (q *Queues) SetVirtualTime(id pomelorelay.PoolID, tag pomelorelay.Tag) {
	p := q.pools[id]
	if p == nil {
		return
	}
	p.virtualTime, p.virtualTimeSet = tag, true
	p.maxVirtualTime = max(p.maxVirtualTime, tag)
}

// RaiseMaxVirtualTime raises the pool's maximum virtual time across failure domains; backlogged accounts are lifted to
// at most CatchUp below it. The current virtual time cannot be used instead: after a partition it falls to the tags of
// the accounts that received less, and the others would receive no service until these had caught up completely.
func (q *Queues) RaiseMaxVirtualTime(id pomelorelay.PoolID, tag pomelorelay.Tag) {
	if p := q.pools[id]; p != nil {
		p.maxVirtualTime = max(p.maxVirtualTime, tag)
	}
}

// SetFleetTotals updates an account from its fleet totals, which include this router's own service.
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
	// Totals may be older than the last ones, or come from a ledger host that lacks entries. Applied as they are, they
	// would lower the tag of an account, and only that account would be served for a while. Sums only increase, so the
	// larger of two sums is the newer one.
	others := max(a.othersServed, pomelorelay.Tag(e.Served)-a.reported)
	increase := pomelorelay.Cost(others-a.othersServed) * pomelorelay.Cost(a.weight)
	a.updateOthers(others)
	a.totalsAt = now
	a.lift = max(a.lift, e.Lift)
	if !a.awaitingTotals && increase > pomelorelay.Cost(a.pool.options.CatchUp) {
		// The increase exceeds CatchUp after a partition, when the totals first include the service from the other
		// side.
		p.maxVirtualTime = max(p.maxVirtualTime, a.served())
	}
	q.liftToTarget(a, e.Waiting)
	if a.lift > before {
		q.markChanged(a)
	}
	p.decreaseKey(a)
}

// increaseDivisor is the inverse of the weight that the newest increase has in ownIncrease and othersIncrease.
const increaseDivisor = 16

// updateOthers sets the service charged by the other routers and updates the moving averages of the increases.
func (a *account) updateOthers(others pomelorelay.Tag) {
	a.othersIncrease += (others - a.othersServed - a.othersIncrease) / increaseDivisor
	a.ownIncrease += (a.reported - a.ownAtTotals - a.ownIncrease) / increaseDivisor
	a.othersServed, a.ownAtTotals = others, a.reported
}

// totalsMaxAge is the age above which totals are considered stale at the start of a backlogged period.
const totalsMaxAge = 2 * time.Second

// startBacklog starts a backlogged period. With outdated totals, an account would be credited for service that it left
// unused while idle or received at other routers, and only that account would be served for a while. Until new totals
// arrive, it starts at the virtual time if it was idle, or CatchUp below that time if it has running requests and stale
// totals.
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

// liftToTarget lifts an account that was idle to the virtual time, and one that was already backlogged at any router to
// CatchUp below the maximum virtual time. Without the lift, the account would be credited for all service that it did
// not use while idle or partitioned, and no other account would be served meanwhile.
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

// recordReport records the charges that are included in the current report.
func (a *account) recordReport() {
	a.chargedAtReport = a.ownServed + a.pending
	a.reported = max(a.reported, a.chargedAtReport)
}

// ledgerEntry returns this router's own entry of the account. Waiting is false while awaitingTotals is set: otherwise
// this router would find its own entry in the fleet totals and take the account for backlogged at another router.
func (a *account) ledgerEntry() pomelorelay.LedgerEntry {
	return pomelorelay.LedgerEntry{
		Pool:    a.pool.id,
		Account: a.id,
		Served:  pomelorelay.Cost(a.reported),
		Lift:    a.lift,
		Waiting: !a.idle() && !a.awaitingTotals,
	}
}

// ChangedLedgerEntries appends to out this router's own cumulative entries that changed since the last call.
func (q *Queues) ChangedLedgerEntries(out []pomelorelay.LedgerEntry) []pomelorelay.LedgerEntry {
	for i, a := range q.changedAccounts {
		a.dirty = false
		a.recordReport()
		out = append(out, a.ledgerEntry())
		q.changedAccounts[i] = nil
	}
	q.changedAccounts = q.changedAccounts[:0]
	return out
}

// AllLedgerEntries appends to out this router's own cumulative entries of all accounts, as requested by a new ledger host.
func (q *Queues) AllLedgerEntries(out []pomelorelay.LedgerEntry) []pomelorelay.LedgerEntry {
	for _, p := range q.orderedPools {
		for _, a := range p.orderedAccounts {
			a.recordReport()
			out = append(out, a.ledgerEntry())
		}
	}
	return out
}

// WaitingAccounts appends to out the accounts with waiting requests, whose fleet totals the router needs.
func (q *Queues) WaitingAccounts(out []pomelorelay.LedgerKey) []pomelorelay.LedgerKey {
	for _, p := range q.orderedPools {
		for _, a := range p.heap {
			out = append(out, pomelorelay.LedgerKey{Pool: p.id, Account: a.id})
		}
	}
	return out
}
