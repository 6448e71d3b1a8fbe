package pomeloclaim_test

import (
	"container/heap"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloclaim"
)

// fleet runs routers, their store and a plain service on virtual time. Faults are drawn from one seed.
type fleet struct {
	now     time.Time
	rng     *rand.Rand
	events  eventQueue
	seq     int
	records map[pomelorelay.StoreKey]pomelorelay.Record
	writes  int
	reads   int
	routers []*router
	cfg     pomeloclaim.KeeperConfig
	shards  uint32

	// Faults.
	outage    bool
	loss      float64 // of messages
	lostReply float64 // of store answers, after the operation took effect or before
	cut       map[[2]int]bool
	keeperOf  func(shard pomelorelay.ShardID, asker int) int

	runs        map[string]int
	told        map[string][]told
	twoVerdicts int
	latencies   []time.Duration
}

// told is what a caller heard of one send of its request.
type told struct {
	state pomelorelay.ClaimState
	ran   bool
}

type router struct {
	n      int
	name   pomelorelay.NodeID
	alive  bool
	paused bool
	held   []func()
	keeper *pomeloclaim.Keeper
	asker  *pomeloclaim.Requester
	life   int
	calls  map[pomelorelay.ClaimNonce]*call
}

type call struct {
	key   string
	began time.Time
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func newFleet(seed uint64, routers int, cfg pomeloclaim.KeeperConfig, shards uint32) *fleet {
	f := &fleet{
		now:     time.Unix(1_700_000_000, 0),
		rng:     rand.New(rand.NewPCG(seed, 1)),
		records: make(map[pomelorelay.StoreKey]pomelorelay.Record),
		cfg:     cfg,
		shards:  shards,
		cut:     make(map[[2]int]bool),
		runs:    make(map[string]int),
		told:    make(map[string][]told),
	}
	f.keeperOf = func(shard pomelorelay.ShardID, _ int) int { return int(shard) % routers }
	for n := range routers {
		f.routers = append(f.routers, &router{n: n, name: pomelorelay.NodeID(fmt.Sprint("router-", n))})
		f.start(n)
	}
	return f
}

// start begins a router's process with empty state.
func (f *fleet) start(n int) {
	r := f.routers[n]
	r.life++
	r.alive, r.paused, r.held = true, false, nil
	r.calls = make(map[pomelorelay.ClaimNonce]*call)
	cfg := f.cfg
	cfg.Alive = func(node pomelorelay.NodeID) bool { return f.byName(node).alive }
	r.keeper = pomeloclaim.NewKeeper(cfg)
	r.asker = pomeloclaim.NewRequester(pomeloclaim.RequesterConfig{
		Node: r.name, Incarnation: pomelorelay.Incarnation(f.now.UnixNano()), Shards: f.shards,
		Keeper: func(shard pomelorelay.ShardID) (pomelorelay.NodeID, bool) {
			return f.routers[f.keeperOf(shard, n)].name, true
		},
	})
	f.own(r)
	f.tick(r, r.life)
}

func (f *fleet) byName(node pomelorelay.NodeID) *router {
	for _, r := range f.routers {
		if r.name == node {
			return r
		}
	}
	return nil
}

// own gives a router the shards that it keeps by its own view.
func (f *fleet) own(r *router) {
	var out pomeloclaim.Output
	for shard := range pomelorelay.ShardID(f.shards) {
		if f.keeperOf(shard, r.n) == r.n {
			r.keeper.AddShard(f.now, shard, &out)
		} else {
			r.keeper.RemoveShard(shard)
		}
	}
	f.carry(r, out)
}

func (f *fleet) after(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.events, event{f.now.Add(d), f.seq, do})
}

// on runs do at the router unless its process has ended; a paused process runs it when it goes on.
func (f *fleet) on(r *router, life int, do func()) {
	if !r.alive || r.life != life {
		return
	}
	if r.paused {
		r.held = append(r.held, func() { f.on(r, life, do) })
		return
	}
	do()
}

func (f *fleet) tick(r *router, life int) {
	f.after(50*time.Millisecond, func() {
		if r.life != life || !r.alive {
			return
		}
		f.on(r, life, func() {
			var out pomeloclaim.Output
			r.keeper.Tick(f.now, &out)
			r.asker.Tick(f.now, &out)
			f.carry(r, out)
		})
		f.tick(r, life)
	})
}

func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.events) > 0 && !f.events[0].at.After(end) {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.do()
	}
	f.now = end
}

func (f *fleet) carry(r *router, out pomeloclaim.Output) {
	for _, m := range out.Messages {
		f.message(r, m)
	}
	for _, op := range out.StoreOps {
		f.store(r, op)
	}
	for _, v := range out.Verdicts {
		f.verdict(r, v)
	}
}

func (f *fleet) message(from *router, m pomelorelay.Outgoing) {
	to := f.byName(m.To)
	if f.cut[[2]int{from.n, to.n}] || (from != to && f.rng.Float64() < f.loss) {
		return
	}
	life := to.life
	f.after(time.Duration(500+f.rng.IntN(1000))*time.Microsecond, func() {
		f.on(to, life, func() {
			var out pomeloclaim.Output
			switch x := m.Message.(type) {
			case *pomelorelay.ClaimAsk:
				to.keeper.HandleAsk(f.now, from.name, x, &out)
			case *pomelorelay.ClaimSettle:
				to.keeper.HandleSettle(f.now, from.name, x, &out)
			case *pomelorelay.ClaimAnswer:
				to.asker.HandleAnswer(f.now, x, &out)
			case *pomelorelay.ClaimSettled:
				to.asker.HandleSettled(x)
			}
			f.carry(to, out)
		})
	})
}

// store carries out an operation a little later; in an outage it does nothing, and an answer may be lost on either way.
func (f *fleet) store(r *router, op pomeloclaim.StoreOp) {
	life := r.life
	reply := func(d time.Duration, res pomeloclaim.StoreResult) {
		f.after(d, func() {
			f.on(r, life, func() {
				var out pomeloclaim.Output
				r.keeper.HandleStoreResult(f.now, res, &out)
				f.carry(r, out)
			})
		})
	}
	if f.outage {
		reply(time.Millisecond, pomeloclaim.StoreResult{ID: op.ID, Err: pomelorelay.NewError(pomelorelay.CodeStoreUnavailable, "", nil)})
		return
	}
	lost := f.rng.Float64() < f.lostReply
	delay := time.Duration(1+f.rng.IntN(3)) * time.Millisecond
	if lost && f.rng.IntN(2) == 0 {
		// The write takes effect long after its writer gave it up.
		delay = time.Duration(f.rng.IntN(4000)) * time.Millisecond
	}
	f.after(delay, func() {
		res := f.apply(op)
		if !lost {
			reply(time.Millisecond, res)
		}
	})
	if lost {
		reply(time.Second, pomeloclaim.StoreResult{ID: op.ID, Err: pomelorelay.NewError(pomelorelay.CodeStoreUnknown, "", nil)})
	}
}

func (f *fleet) apply(op pomeloclaim.StoreOp) pomeloclaim.StoreResult {
	record := f.records[op.Key]
	record.Key = op.Key
	if op.Value == nil {
		f.reads++
		return pomeloclaim.StoreResult{ID: op.ID, Record: record}
	}
	f.writes++
	if record.Revision != op.ExpectedRevision {
		return pomeloclaim.StoreResult{ID: op.ID, Err: pomelorelay.NewError(pomelorelay.CodeStoreConflict, "", nil)}
	}
	record.Value, record.Revision = op.Value, record.Revision+1
	f.records[op.Key] = record
	return pomeloclaim.StoreResult{ID: op.ID, Revision: record.Revision}
}

func keyOf(name string) pomelorelay.ClaimKey { return sha256.Sum256([]byte(name)) }

// send is a caller's send of a request through a router.
func (f *fleet) send(n int, key string) {
	r := f.routers[n]
	f.on(r, r.life, func() {
		var out pomeloclaim.Output
		nonce := r.asker.Claim(f.now, keyOf(key), 1, &out)
		r.calls[nonce] = &call{key: key, began: f.now}
		f.carry(r, out)
	})
}

// verdict plays the traffic path: a fresh claim's request runs at the plain service, unless it finds no connection or
// its router dies first, and its outcome is settled.
func (f *fleet) verdict(r *router, v pomeloclaim.Verdict) {
	c, ok := r.calls[v.Nonce]
	if !ok {
		f.twoVerdicts++
		return
	}
	delete(r.calls, v.Nonce)
	f.latencies = append(f.latencies, f.now.Sub(c.began))
	if v.State != pomelorelay.ClaimFresh {
		f.told[c.key] = append(f.told[c.key], told{state: v.State})
		return
	}
	settle := func(released bool, state pomelorelay.ClaimState, o pomelorelay.ClaimOutcome) {
		var out pomeloclaim.Output
		r.asker.Settle(f.now, v.Nonce, released, state, o, &out)
		f.carry(r, out)
	}
	life := r.life
	switch f.rng.IntN(8) {
	case 0:
		// No byte left: the caller hears "not run".
		settle(true, 0, pomelorelay.ClaimOutcome{})
		f.told[c.key] = append(f.told[c.key], told{state: pomelorelay.ClaimRefused})
	case 1:
		f.runs[c.key]++
		f.told[c.key] = append(f.told[c.key], told{state: pomelorelay.ClaimUnknown, ran: true})
		f.after(20*time.Millisecond, func() {
			f.on(r, life, func() { settle(false, pomelorelay.ClaimUnknown, pomelorelay.ClaimOutcome{}) })
		})
	default:
		f.runs[c.key]++
		f.told[c.key] = append(f.told[c.key], told{state: pomelorelay.ClaimFresh, ran: true})
		f.after(time.Duration(5+f.rng.IntN(200))*time.Millisecond, func() {
			f.on(r, life, func() {
				settle(false, pomelorelay.ClaimDone, pomelorelay.ClaimOutcome{Status: 201, Body: []byte("booked " + c.key)})
			})
		})
	}
}

// faults lists what the promises were broken by: runs beyond one, and outcomes of a run that was none.
func (f *fleet) faults() string {
	var found []string
	if f.twoVerdicts > 0 {
		found = append(found, fmt.Sprint(f.twoVerdicts, " sends got two verdicts"))
	}
	for key, n := range f.runs {
		if n > 1 {
			found = append(found, fmt.Sprintf("%s ran %d times", key, n))
		}
	}
	for key, list := range f.told {
		for _, t := range list {
			if t.state == pomelorelay.ClaimDone && f.runs[key] == 0 {
				found = append(found, key+" got an outcome and never ran")
			}
		}
	}
	return strings.Join(found, "; ")
}
