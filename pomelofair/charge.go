package pomelofair

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// chargeAdmission charges the admission fraction of the expected cost.
func (q *Queues) chargeAdmission(r *request) {
	a := r.account
	r.running = true
	r.pending = (q.expectedCost(r) * pomelorelay.Cost(q.cfg.Charge.AdmissionFraction)).Normalise(a.weight)
	a.pending += r.pending
	a.running++
}

// expectedCost is the account's mean cost, moved by the hint within bounds. An unbounded hint would let a caller choose its
// own place: one that says one for a thousand would be seen to hold every slot until its requests end.
func (q *Queues) expectedCost(r *request) pomelorelay.Cost {
	mean := r.account.meanCost
	if mean == 0 {
		mean = r.account.pool.meanCost
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
	r.account.pool.decreaseKey(r.account)
}

// accrue moves cost from pending to served; what goes beyond pending raises the tag.
func (q *Queues) accrue(r *request, accrued pomelorelay.Cost) {
	if accrued <= r.accrued {
		return
	}
	a := r.account
	step := (accrued - r.accrued).Normalise(a.weight)
	r.accrued = accrued
	a.ownServed += step
	covered := min(step, r.pending)
	r.pending -= covered
	a.pending -= covered
	q.markChanged(a)
}

// Finish settles a running request at its final cost and forgets it; a final cost under what has accrued counts as accrued.
func (q *Queues) Finish(_ time.Time, id pomelorelay.RequestID, final pomelorelay.Cost) {
	r := q.requests[id]
	if r == nil || !r.running {
		return
	}
	a := r.account
	q.accrue(r, final)
	a.releaseCharge(r)
	if r.accrued > 0 { // one that never ran says nothing of what its like cost
		q.updateMeans(a, r.accrued)
	}
	q.recycle(r)
	a.pool.decreaseKey(a)
	if a.idle() {
		q.markChanged(a)
	}
}

// Charge charges an account for service that it got without being queued here.
func (q *Queues) Charge(_ time.Time, id pomelorelay.PoolID, name pomelorelay.AccountID, cost pomelorelay.Cost) {
	if cost <= 0 {
		return
	}
	a := q.account(id, name)
	a.ownServed += cost.Normalise(a.weight)
	q.markChanged(a)
}

// updateMeans moves the running means by the cost of a finished request.
func (q *Queues) updateMeans(a *account, cost pomelorelay.Cost) {
	smoothing := pomelorelay.Cost(q.cfg.Charge.MeanSmoothing)
	if a.meanCost == 0 {
		a.meanCost = cost
	} else {
		a.meanCost += (cost - a.meanCost) * smoothing
	}
	p := a.pool
	if !p.hasMeanCost {
		p.meanCost, p.hasMeanCost = cost, true
		return
	}
	p.meanCost += (cost - p.meanCost) * smoothing
}
