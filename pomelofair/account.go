package pomelofair

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// account is one client account in one pool; all of its service is normalised when it is charged.
type account struct {
	id     pomelorelay.AccountID
	pool   *pool
	weight pomelorelay.Weight
	// ownServed is what this router served, others what the rest of the fleet did.
	ownServed    pomelorelay.Tag
	othersServed pomelorelay.Tag
	// ownIncrease and othersStep are how far own and others lately rose from one totals to the next.
	ownIncrease    pomelorelay.Tag
	othersIncrease pomelorelay.Tag
	ownAtTotals    pomelorelay.Tag
	// totalsAt is when totals last came.
	totalsAt time.Time
	// reported is the highest sum of own and pending that was reported.
	reported pomelorelay.Tag
	// chargedAtReport is own and pending at the last report.
	chargedAtReport pomelorelay.Tag
	lift            pomelorelay.Tag
	// pending is the part of the admission charges that has not accrued yet.
	pending pomelorelay.Tag
	// floor plus own is the least place of an account whose fleet totals are being asked for.
	floor          pomelorelay.Tag
	awaitingTotals bool
	dirty          bool
	heapIndex      int
	heapKey        pomelorelay.Tag
	meanCost       pomelorelay.Cost
	first          *request
	last           *request
	waiting        int
	running        int
	bytes          pomelorelay.Bytes
	lastPop        time.Time
	popInterval    time.Duration
}

// maxForecastRatio bounds how many times its own charges a router takes the rest of the fleet's to be.
const maxForecastRatio = 16

// request is one caller's request, waiting or running.
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
	// older and newer link the waiting requests of all accounts by age.
	older, newer *request
}

// served is the account's normalised service as this router knows it.
func (a *account) served() pomelorelay.Tag { return a.ownServed + a.othersServed + a.lift }

// forecastOthers is what the rest of the fleet has probably been charged since totals last came: as many times this router's
// own charges as it was lately. Every router sees the same account lowest until the next totals; if each made up for the
// whole of its deficit, it would be seen to get as many times that as it has routers.
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

// tag is the account's place.
func (a *account) tag() pomelorelay.Tag {
	served := a.served() + a.forecastOthers()
	if a.awaitingTotals {
		served = max(served, a.floor+a.ownServed)
	}
	return served + a.pending
}

// releaseCharge takes the rest of a running request's admission charge back.
func (a *account) releaseCharge(r *request) {
	a.pending -= r.pending
	r.pending = 0
	a.running--
	if a.running == 0 {
		a.pending = 0 // rounding must not pile up over millions of requests
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

// popIntervalDivisor is the weight of the newest interval between pops in its running mean.
const popIntervalDivisor = 8

func (a *account) recordPop(now time.Time) {
	if !a.lastPop.IsZero() {
		a.popInterval += (now.Sub(a.lastPop) - a.popInterval) / popIntervalDivisor
	}
	a.lastPop = now
}
