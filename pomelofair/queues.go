package pomelofair

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Queues holds the waiting and running requests of one router.
type Queues struct {
	cfg   Config
	pools map[pomelorelay.PoolID]*pool
	// order is by first use, so that the same calls always give the same answers.
	order    []*pool
	requests map[pomelorelay.RequestID]*request
	changed  []*account
	oldest   *request
	newest   *request
	free     *request
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

// Push queues a request; it fails with CodeQueueCount, CodeQueueBytes or CodeRequestRepeated, none of which ran.
func (q *Queues) Push(now time.Time, r Request) error {
	if _, found := q.requests[r.ID]; found {
		return pomelorelay.NewError(pomelorelay.CodeRequestRepeated, "", nil)
	}
	a := q.account(r.Pool, r.Account)
	if err := q.checkLimits(a, r); err != nil {
		return err
	}
	q.wake(now, a)
	req := q.newRequest()
	req.id, req.account, req.bytes, req.hint, req.pushed = r.ID, a, r.Bytes, r.Hint, now
	q.requests[r.ID] = req
	a.append(req)
	q.appendAge(req)
	a.pool.enter(a)
	return nil
}

// Head returns the lowest tag of the pool's waiting accounts and how many requests wait; false when none does.
func (q *Queues) Head(_ time.Time, id pomelorelay.PoolID) (pomelorelay.Tag, int, bool) {
	p := q.pools[id]
	if p == nil || p.waiting == 0 {
		return 0, 0, false
	}
	return p.lowest().tag(), p.waiting, true
}

// Pop takes the first request of the lowest account and charges the admission fraction of its expected cost;
// the tag is the account's before the charge.
func (q *Queues) Pop(now time.Time, id pomelorelay.PoolID) (pomelorelay.RequestID, pomelorelay.Tag, bool) {
	p := q.pools[id]
	if p == nil || p.waiting == 0 {
		return 0, 0, false
	}
	a := p.lowest()
	tag := a.tag()
	p.observe(tag)
	a.notePop(now)
	r := a.first
	q.unqueue(r)
	q.admit(r)
	q.mark(a)
	p.settle(a)
	return r.id, tag, true
}

// Requeue puts a popped request that was not sent back at the head of its account and takes its charge back.
func (q *Queues) Requeue(_ time.Time, id pomelorelay.RequestID) {
	r := q.requests[id]
	if r == nil || !r.running {
		return
	}
	a := r.account
	a.release(r)
	r.accrued, r.running = 0, false
	a.prepend(r)
	q.insertAge(r)
	a.pool.enter(a)
}

// Cancel forgets a waiting request; one that runs is left to Finish.
func (q *Queues) Cancel(_ time.Time, id pomelorelay.RequestID) {
	r := q.requests[id]
	if r == nil || r.running {
		return
	}
	q.drop(r)
}

// Expire appends the requests that waited past the bound and forgets them; each is to be refused with WaitError.
func (q *Queues) Expire(now time.Time, out []pomelorelay.RequestID) []pomelorelay.RequestID {
	for q.oldest != nil && now.Sub(q.oldest.pushed) >= q.cfg.Limit.MaxWait {
		r := q.oldest
		out = append(out, r.id)
		q.drop(r)
	}
	return out
}

// drop forgets a waiting request.
func (q *Queues) drop(r *request) {
	a := r.account
	q.unqueue(r)
	a.pool.settle(a)
	q.forget(r)
	if a.idle() {
		q.mark(a)
	}
}

// unqueue takes a waiting request out of its account's queue and the list by age.
func (q *Queues) unqueue(r *request) {
	r.account.remove(r)
	q.removeAge(r)
	r.account.pool.waiting--
}

// forget gives the request's memory back for the next one.
func (q *Queues) forget(r *request) {
	delete(q.requests, r.id)
	*r = request{next: q.free}
	q.free = r
}

func (q *Queues) newRequest() *request {
	r := q.free
	if r == nil {
		return &request{}
	}
	q.free = r.next
	*r = request{}
	return r
}

func (q *Queues) pool(id pomelorelay.PoolID) *pool {
	p := q.pools[id]
	if p == nil {
		p = &pool{id: id, accounts: make(map[pomelorelay.AccountID]*account), mean: q.cfg.Charge.FirstCost, options: q.poolOptions(PoolOptions{})}
		q.pools[id] = p
		q.order = append(q.order, p)
	}
	return p
}

func (q *Queues) account(id pomelorelay.PoolID, name pomelorelay.AccountID) *account {
	p := q.pool(id)
	a := p.accounts[name]
	if a == nil {
		a = &account{id: name, pool: p, place: noPlace, weight: q.weight(id, name)}
		p.accounts[name] = a
		p.order = append(p.order, a)
	}
	return a
}

func (q *Queues) weight(id pomelorelay.PoolID, name pomelorelay.AccountID) pomelorelay.Weight {
	if q.cfg.Weights == nil {
		return 1
	}
	return q.cfg.Weights.Weight(id, name)
}

// SetWeights takes new shares; what was charged before stays as it was charged.
func (q *Queues) SetWeights(w pomelorelay.Weights) {
	q.cfg.Weights = w
	for _, p := range q.order {
		for _, a := range p.order {
			a.weight = q.weight(p.id, a.id)
		}
	}
}

// SetPoolOptions sets what differs from pool to pool; zero fields take what New was given.
func (q *Queues) SetPoolOptions(id pomelorelay.PoolID, o PoolOptions) {
	q.pool(id).options = q.poolOptions(o)
}

func (q *Queues) poolOptions(o PoolOptions) PoolOptions {
	if o.CatchUp == 0 {
		o.CatchUp = q.cfg.Charge.CatchUp
	}
	if o.MaxWaiting == 0 {
		o.MaxWaiting = q.cfg.Limit.Count
	}
	if o.MaxWaitingBytes == 0 {
		o.MaxWaitingBytes = q.cfg.Limit.Bytes
	}
	return o
}
