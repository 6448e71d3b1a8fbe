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
	// own is what this router served, others what the rest of the fleet did.
	own    pomelorelay.Tag
	others pomelorelay.Tag
	// ownStep and othersStep are how far own and others lately rose from one totals to the next.
	ownStep    pomelorelay.Tag
	othersStep pomelorelay.Tag
	told       pomelorelay.Tag
	// toldAt is when totals last came.
	toldAt time.Time
	// reported is the highest sum of own and pending that was reported.
	reported pomelorelay.Tag
	// base is own and pending at the last report.
	base pomelorelay.Tag
	lift pomelorelay.Tag
	// pending is the part of the admission charges that has not accrued yet.
	pending pomelorelay.Tag
	// floor plus own is the least place of an account whose fleet totals are being asked for.
	floor    pomelorelay.Tag
	asking   bool
	dirty    bool
	place    int
	key      pomelorelay.Tag
	mean     pomelorelay.Cost
	first    *request
	last     *request
	waiting  int
	running  int
	bytes    pomelorelay.Bytes
	lastPop  time.Time
	interval time.Duration
}

// maxForecast bounds how many times its own charges a router takes the rest of the fleet's to be.
const maxForecast = 16

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
func (a *account) served() pomelorelay.Tag { return a.own + a.others + a.lift }

// forecast is what the rest of the fleet has probably been charged since totals last came: as many times this router's
// own charges as it was lately. Every router sees the same account lowest until the next totals; if each made up for the
// whole of its deficit, it would be seen to get as many times that as it has routers.
func (a *account) forecast() pomelorelay.Tag {
	since := a.own + a.pending - a.base
	if since <= 0 || a.othersStep <= 0 {
		return 0
	}
	ratio := pomelorelay.Tag(maxForecast)
	if a.othersStep < maxForecast*a.ownStep {
		ratio = a.othersStep / a.ownStep
	}
	return ratio * since
}

// tag is the account's place.
func (a *account) tag() pomelorelay.Tag {
	served := a.served() + a.forecast()
	if a.asking {
		served = max(served, a.floor+a.own)
	}
	return served + a.pending
}

// release takes the rest of a running request's admission charge back.
func (a *account) release(r *request) {
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
	a.count(r)
}

func (a *account) prepend(r *request) {
	r.prev, r.next = nil, a.first
	if a.first == nil {
		a.last = r
	} else {
		a.first.prev = r
	}
	a.first = r
	a.count(r)
}

func (a *account) count(r *request) {
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

// intervalShare is the weight of the newest interval between pops in its running mean.
const intervalShare = 8

func (a *account) notePop(now time.Time) {
	if !a.lastPop.IsZero() {
		a.interval += (now.Sub(a.lastPop) - a.interval) / intervalShare
	}
	a.lastPop = now
}
