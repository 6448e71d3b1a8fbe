package pomelofair

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// admit charges the admission fraction of the expected cost.
func (q *Queues) admit(r *request) {
	a := r.account
	r.running = true
	r.pending = (q.expected(r) * pomelorelay.Cost(q.cfg.Charge.AdmissionFraction)).Normalise(a.weight)
	a.pending += r.pending
	a.running++
}

// expected is the account's mean cost, moved by the hint within bounds. An unbounded hint would let a caller choose its
// own place: one that says one for a thousand would be seen to hold every slot until its requests end.
func (q *Queues) expected(r *request) pomelorelay.Cost {
	mean := r.account.mean
	if mean == 0 {
		mean = r.account.pool.mean
	}
	if r.hint <= 0 {
		return mean
	}
	factor := pomelorelay.Cost(q.cfg.Charge.HintFactor)
	return min(max(r.hint, mean/factor), mean*factor)
}

// Progress charges what a running request has accrued since its start beyond what it was charged; a lower figure than before is ignored.
func (q *Queues) Progress(_ time.Time, id pomelorelay.RequestID, accrued pomelorelay.Cost) {
	r := q.requests[id]
	if r == nil || !r.running {
		return
	}
	q.accrue(r, accrued)
	r.account.pool.lower(r.account)
}

// accrue moves cost from pending to served; what goes beyond pending raises the tag.
func (q *Queues) accrue(r *request, accrued pomelorelay.Cost) {
	if accrued <= r.accrued {
		return
	}
	a := r.account
	step := (accrued - r.accrued).Normalise(a.weight)
	r.accrued = accrued
	a.own += step
	covered := min(step, r.pending)
	r.pending -= covered
	a.pending -= covered
	q.mark(a)
}

// Finish settles a running request at its final cost and forgets it; a final cost under what has accrued counts as accrued.
func (q *Queues) Finish(_ time.Time, id pomelorelay.RequestID, final pomelorelay.Cost) {
	r := q.requests[id]
	if r == nil || !r.running {
		return
	}
	a := r.account
	q.accrue(r, final)
	a.release(r)
	if r.accrued > 0 { // one that never ran says nothing of what its like cost
		q.learn(a, r.accrued)
	}
	q.forget(r)
	a.pool.lower(a)
	if a.idle() {
		q.mark(a)
	}
}

// Charge charges an account for service that it got without being queued here.
func (q *Queues) Charge(_ time.Time, id pomelorelay.PoolID, name pomelorelay.AccountID, cost pomelorelay.Cost) {
	if cost <= 0 {
		return
	}
	a := q.account(id, name)
	a.own += cost.Normalise(a.weight)
	q.mark(a)
}

// learn moves the running means by the cost of a finished request.
func (q *Queues) learn(a *account, cost pomelorelay.Cost) {
	share := pomelorelay.Cost(q.cfg.Charge.MeanShare)
	if a.mean == 0 {
		a.mean = cost
	} else {
		a.mean += (cost - a.mean) * share
	}
	p := a.pool
	if !p.meanSeen {
		p.mean, p.meanSeen = cost, true
		return
	}
	p.mean += (cost - p.mean) * share
}
