package pomelofair

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// chargeAdmission marks a request as running and charges the admission fraction of its expected cost.
func (q *Queues) chargeAdmission(r *request) {
	a := r.account
	r.running = true
	r.pending = (q.expectedCost(r) * pomelorelay.Cost(q.cfg.Charge.AdmissionFraction)).Normalise(a.weight)
	a.pending += r.pending
	a.running++
}

// expectedCost returns the caller's hint, limited to a range around the account's mean cost, or the mean without a hint.
// With an unlimited hint, a caller that declared far too low a cost could occupy all slots until its requests end.
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

// Progress updates the total cost that a running request has accrued since its start and charges what exceeds its admission charge; a decrease is ignored.
func (q *Queues) Progress(_ time.Time, id pomelorelay.RequestID, accrued pomelorelay.Cost) {
	r := q.requests[id]
	if r == nil || !r.running {
		return
	}
	q.accrue(r, accrued)
	r.account.pool.decreaseKey(r.account)
}

// accrue charges a request's further cost to ownServed and reduces pending by as much; only cost in excess of pending
// raises the tag.
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

// Finish charges a running request at its final cost, or the accrued cost if that is higher, and removes it.
func (q *Queues) Finish(_ time.Time, id pomelorelay.RequestID, final pomelorelay.Cost) {
	r := q.requests[id]
	if r == nil || !r.running {
		return
	}
	a := r.account
	q.accrue(r, final)
	a.releaseCharge(r)
	if r.accrued > 0 { // the cost of a request that never ran must not lower the means
		q.updateMeans(a, r.accrued)
	}
	q.recycle(r)
	a.pool.decreaseKey(a)
	if a.idle() {
		q.markChanged(a)
	}
}

// Charge charges an account for the cost of a request that was not queued at this router.
func (q *Queues) Charge(_ time.Time, id pomelorelay.PoolID, name pomelorelay.AccountID, cost pomelorelay.Cost) {
	if cost <= 0 {
		return
	}
	a := q.account(id, name)
	a.ownServed += cost.Normalise(a.weight)
	q.markChanged(a)
}

// updateMeans adds the cost of a finished request to the moving averages of its account and pool.
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
