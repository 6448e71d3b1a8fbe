package pomelofair

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Queues holds the waiting and running requests of one router in fair queues.
type Queues struct {
	cfg   Config
	pools map[pomelorelay.PoolID]*pool
	// orderedPools is in order of first use to make the results deterministic.
	orderedPools    []*pool
	requests        map[pomelorelay.RequestID]*request
	changedAccounts []*account
	// oldest and newest are the ends of the age list of waiting requests.
	oldest *request
	newest *request
	// freeRequests is a free list of recycled requests, linked by request.next.
	freeRequests *request
}

// New returns empty queues.
func New(cfg Config) *Queues {
	cfg.Charge = cfg.Charge.withDefaults()
	cfg.Limit = cfg.Limit.withDefaults()
	return &Queues{
		cfg:      cfg,
		pools:    make(map[pomelorelay.PoolID]*pool),
		requests: make(map[pomelorelay.RequestID]*request),
	}
}

// Push queues a request or fails with CodeQueueCountFull, CodeQueueBytesFull or CodeRequestRepeated; these errors state that the request did not run.
func (q *Queues) Push(now time.Time, r Request) error {
	if _, found := q.requests[r.ID]; found {
		return pomelorelay.NewError(pomelorelay.CodeRequestRepeated, "", nil)
	}
	a := q.account(r.Pool, r.Account)
	if err := q.checkLimits(a, r); err != nil {
		return err
	}
	q.startBacklog(now, a)
	req := q.newRequest()
	req.id, req.account, req.bytes, req.hint, req.pushed = r.ID, a, r.Bytes, r.Hint, now
	q.requests[r.ID] = req
	a.append(req)
	q.appendByAge(req)
	a.pool.insert(a)
	return nil
}

// Head returns the lowest tag of the pool's waiting accounts and the number of waiting requests, or false if none wait.
func (q *Queues) Head(_ time.Time, id pomelorelay.PoolID) (pomelorelay.Tag, int, bool) {
	p := q.pools[id]
	if p == nil || p.waiting == 0 {
		return 0, 0, false
	}
	return p.lowest().tag(), p.waiting, true
}

// Pop dequeues the first request of the account with the lowest tag and charges the admission fraction of its expected
// cost; it returns the account's tag before the charge, or false if no request waits.
func (q *Queues) Pop(now time.Time, id pomelorelay.PoolID) (pomelorelay.RequestID, pomelorelay.Tag, bool) {
	p := q.pools[id]
	if p == nil || p.waiting == 0 {
		return 0, 0, false
	}
	a := p.lowest()
	tag := a.tag()
	p.raiseVirtualTime(tag)
	a.recordPop(now)
	r := a.first
	q.dequeue(r)
	q.chargeAdmission(r)
	q.markChanged(a)
	p.removeIfEmpty(a)
	return r.id, tag, true
}

// Requeue puts a popped but unsent request back at the head of its account's queue and reverses its charge.
func (q *Queues) Requeue(_ time.Time, id pomelorelay.RequestID) {
	r := q.requests[id]
	if r == nil || !r.running {
		return
	}
	a := r.account
	a.releaseCharge(r)
	r.accrued, r.running = 0, false
	a.prepend(r)
	q.insertByAge(r)
	a.pool.insert(a)
}

// Cancel removes a waiting request; it has no effect on a running one, which ends with Finish.
func (q *Queues) Cancel(_ time.Time, id pomelorelay.RequestID) {
	r := q.requests[id]
	if r == nil || r.running {
		return
	}
	q.dropWaiting(r)
}

// Expire removes the requests that have waited for the maximum time and appends them to out; the caller must reject them.
func (q *Queues) Expire(now time.Time, out []pomelorelay.RequestID) []pomelorelay.RequestID {
	for q.oldest != nil && now.Sub(q.oldest.pushed) >= q.cfg.Limit.MaxWait {
		r := q.oldest
		out = append(out, r.id)
		q.dropWaiting(r)
	}
	return out
}

// dropWaiting removes a waiting request.
func (q *Queues) dropWaiting(r *request) {
	a := r.account
	q.dequeue(r)
	a.pool.removeIfEmpty(a)
	q.recycle(r)
	if a.idle() {
		q.markChanged(a)
	}
}

// dequeue removes a waiting request from its account's queue and the age list.
func (q *Queues) dequeue(r *request) {
	r.account.remove(r)
	q.unlinkByAge(r)
	r.account.pool.waiting--
}

// recycle removes a request and puts it on the free list.
func (q *Queues) recycle(r *request) {
	delete(q.requests, r.id)
	*r = request{next: q.freeRequests}
	q.freeRequests = r
}

func (q *Queues) newRequest() *request {
	r := q.freeRequests
	if r == nil {
		return &request{}
	}
	q.freeRequests = r.next
	*r = request{}
	return r
}

func (q *Queues) pool(id pomelorelay.PoolID) *pool {
	p := q.pools[id]
	if p == nil {
		p = &pool{id: id, accounts: make(map[pomelorelay.AccountID]*account), meanCost: q.cfg.Charge.InitialCost, options: q.poolOptions(PoolOptions{})}
		q.pools[id] = p
		q.orderedPools = append(q.orderedPools, p)
	}
	return p
}

func (q *Queues) account(id pomelorelay.PoolID, name pomelorelay.AccountID) *account {
	p := q.pool(id)
	a := p.accounts[name]
	if a == nil {
		a = &account{id: name, pool: p, heapIndex: notInHeap, weight: q.weight(id, name)}
		p.accounts[name] = a
		p.orderedAccounts = append(p.orderedAccounts, a)
	}
	return a
}

func (q *Queues) weight(id pomelorelay.PoolID, name pomelorelay.AccountID) pomelorelay.Weight {
	if q.cfg.Weights == nil {
		return 1
	}
	return q.cfg.Weights.Weight(id, name)
}

// SetWeights replaces the weights for future charges; past charges keep the weight with which they were normalised.
func (q *Queues) SetWeights(w pomelorelay.Weights) {
	q.cfg.Weights = w
	for _, p := range q.orderedPools {
		for _, a := range p.orderedAccounts {
			a.weight = q.weight(p.id, a.id)
		}
	}
}

// SetPoolOptions sets the options of a pool; zero fields take those given to New.
func (q *Queues) SetPoolOptions(id pomelorelay.PoolID, o PoolOptions) {
	q.pool(id).options = q.poolOptions(o)
}

func (q *Queues) poolOptions(o PoolOptions) PoolOptions {
	if o.CatchUp == 0 {
		o.CatchUp = q.cfg.Charge.CatchUp
	}
	if o.MaxWaiting == 0 {
		o.MaxWaiting = q.cfg.Limit.MaxWaiting
	}
	if o.MaxWaitingBytes == 0 {
		o.MaxWaitingBytes = q.cfg.Limit.MaxWaitingBytes
	}
	return o
}
