package pomelofair

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// account is the state of a client account in one pool; all service is divided by the weight at the time of its charge.
type account struct {
	id     pomelorelay.AccountID
	pool   *pool
	weight pomelorelay.Weight
	// ownServed is the service charged by this router, othersServed that charged by the other routers.
	ownServed    pomelorelay.Tag
	othersServed pomelorelay.Tag
	// ownIncrease and othersIncrease are moving averages of the increase of this router's service (the field reported)
	// and of the other routers' service (othersServed) between two updates of the fleet totals.
	ownIncrease    pomelorelay.Tag
	othersIncrease pomelorelay.Tag
	// ownAtTotals is the value of the field reported at the last update of the fleet totals.
	ownAtTotals pomelorelay.Tag
	// totalsAt is when fleet totals were last received.
	totalsAt time.Time
	// reported is the highest sum of ownServed and pending that was reported to the ledger.
	reported pomelorelay.Tag
	// chargedAtReport is the sum of ownServed and pending at the last report.
	chargedAtReport pomelorelay.Tag
	// lift is the normalised service that counts as received because the tag was raised to the virtual time or the
	// catch-up limit.
	lift pomelorelay.Tag
	// pending is the part of the running requests' admission charges that is not yet covered by accrued cost.
	pending pomelorelay.Tag
	// While awaitingTotals is set, the account's service is assumed to be at least floor plus ownServed, so that outdated totals give it no
	// credit, or at most CatchUp if it has running requests, for service that it left unused while idle or received at other routers.
	floor pomelorelay.Tag
	// awaitingTotals is set from the start of a backlogged period until fleet totals are received.
	awaitingTotals bool
	// dirty is set while the account is in Queues.changedAccounts, the accounts to include in the next ledger report.
	dirty       bool
	heapIndex   int
	heapKey     pomelorelay.Tag
	meanCost    pomelorelay.Cost
	first       *request
	last        *request
	waiting     int
	running     int
	bytes       pomelorelay.Bytes
	lastPop     time.Time
	popInterval time.Duration
}

// maxForecastRatio limits the forecast of the other routers' charges to this multiple of this router's own charges.
const maxForecastRatio = 16

// request is a waiting or running request.
type request struct {
	id         pomelorelay.RequestID
	account    *account
	bytes      pomelorelay.Bytes
	hint       pomelorelay.Cost
	pushed     time.Time
	accrued    pomelorelay.Cost
	pending    pomelorelay.Tag
	running    bool
	prev, next *request
	// older and newer link the waiting requests of all accounts in order of age.
	older, newer *request
}

// served returns the account's normalised service across the fleet as known to this router, plus its lift, which counts
// as received.
func (a *account) served() pomelorelay.Tag { return a.ownServed + a.othersServed + a.lift }

// forecastOthers estimates what the other routers have charged since the last report: this router's own charges times
// the recent ratio of their charges to its own. Until the next totals arrive, the same account has the lowest tag at
// all routers; without the forecast, each router would serve the account's whole deficit, which the account would thus
// receive once per router.
func (a *account) forecastOthers() pomelorelay.Tag {
	since := a.ownServed + a.pending - a.chargedAtReport
	if since <= 0 || a.othersIncrease <= 0 {
		return 0
	}
	ratio := pomelorelay.Tag(maxForecastRatio)
	if a.othersIncrease < maxForecastRatio*a.ownIncrease {
		ratio = a.othersIncrease / a.ownIncrease
	}
	return ratio * since
}

// tag returns the account's place in the order of service; the lowest tag is served first.
func (a *account) tag() pomelorelay.Tag {
	served := a.served() + a.forecastOthers()
	if a.awaitingTotals {
		served = max(served, a.floor+a.ownServed)
	}
	return served + a.pending
}

// releaseCharge reverses the part of a running request's admission charge that has not accrued.
func (a *account) releaseCharge(r *request) {
	a.pending -= r.pending
	r.pending = 0
	a.running--
	if a.running == 0 {
		a.pending = 0 // prevents rounding errors from accumulating over millions of requests
	}
}

func (a *account) idle() bool { return a.waiting == 0 && a.running == 0 }

func (a *account) append(r *request) {
	r.prev, r.next = a.last, nil
	if a.last == nil {
		a.first = r
	} else {
		a.last.next = r
	}
	a.last = r
	a.countWaiting(r)
}

func (a *account) prepend(r *request) {
	r.prev, r.next = nil, a.first
	if a.first == nil {
		a.last = r
	} else {
		a.first.prev = r
	}
	a.first = r
	a.countWaiting(r)
}

func (a *account) countWaiting(r *request) {
	a.waiting++
	a.bytes += r.bytes
	a.pool.waiting++
}

func (a *account) remove(r *request) {
	if r.prev == nil {
		a.first = r.next
	} else {
		r.prev.next = r.next
	}
	if r.next == nil {
		a.last = r.prev
	} else {
		r.next.prev = r.prev
	}
	r.prev, r.next = nil, nil
	a.waiting--
	a.bytes -= r.bytes
}

// popIntervalDivisor is the inverse of the weight that the newest interval has in popInterval, a moving average.
const popIntervalDivisor = 8

func (a *account) recordPop(now time.Time) {
	if !a.lastPop.IsZero() {
		a.popInterval += (now.Sub(a.lastPop) - a.popInterval) / popIntervalDivisor
	}
	a.lastPop = now
}
