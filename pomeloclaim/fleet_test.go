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

// fleet simulates routers, their store and a plain service on virtual time. Faults are drawn from one seed.
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

	// Injected faults.
	outage         bool
	messageLoss    float64 // probability that a message is lost
	storeReplyLoss float64 // probability that a store result is lost; the operation takes effect, in half of the cases late
	partitioned    map[[2]int]bool
	keeperOf       func(shard pomelorelay.ShardID, requester int) int

	runs              map[string]int
	replies           map[string][]reply
	duplicateVerdicts int
	latencies         []time.Duration
}

// reply is what a caller received for one send of its request.
type reply struct {
	state pomelorelay.ClaimState
	ran   bool
}

type router struct {
	index       int
	name        pomelorelay.NodeID
	alive       bool
	paused      bool
	deferred    []func()
	keeper      *pomeloclaim.Keeper
	requester   *pomeloclaim.Requester
	incarnation int
	calls       map[pomelorelay.ClaimNonce]*call
}

type call struct {
	key       string
	startedAt time.Time
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
		now:         time.Unix(1_700_000_000, 0),
		rng:         rand.New(rand.NewPCG(seed, 1)),
		records:     make(map[pomelorelay.StoreKey]pomelorelay.Record),
		cfg:         cfg,
		shards:      shards,
		partitioned: make(map[[2]int]bool),
		runs:        make(map[string]int),
		replies:     make(map[string][]reply),
	}
	f.keeperOf = func(shard pomelorelay.ShardID, _ int) int { return int(shard) % routers }
	for n := range routers {
		f.routers = append(f.routers, &router{index: n, name: pomelorelay.NodeID(fmt.Sprint("router-", n))})
		f.start(n)
	}
	return f
}

// start starts a router's process with empty state.
func (f *fleet) start(n int) {
	r := f.routers[n]
	r.incarnation++
	r.alive, r.paused, r.deferred = true, false, nil
	r.calls = make(map[pomelorelay.ClaimNonce]*call)
	cfg := f.cfg
	cfg.Alive = func(node pomelorelay.NodeID) bool { return f.byName(node).alive }
	r.keeper = pomeloclaim.NewKeeper(cfg)
	r.requester = pomeloclaim.NewRequester(pomeloclaim.RequesterConfig{
		Node: r.name, Incarnation: pomelorelay.Incarnation(f.now.UnixNano()), Shards: f.shards,
		Keeper: func(shard pomelorelay.ShardID) (pomelorelay.NodeID, bool) {
			return f.routers[f.keeperOf(shard, n)].name, true
		},
	})
	f.assignShards(r)
	f.tick(r, r.incarnation)
}

func (f *fleet) byName(node pomelorelay.NodeID) *router {
	for _, r := range f.routers {
		if r.name == node {
			return r
		}
	}
	return nil
}

// assignShards assigns a router the claim shards of which it is the keeper according to its own membership view.
func (f *fleet) assignShards(r *router) {
	var out pomeloclaim.Output
	for shard := range pomelorelay.ShardID(f.shards) {
		if f.keeperOf(shard, r.index) == r.index {
			r.keeper.AddShard(f.now, shard, &out)
		} else {
			r.keeper.RemoveShard(shard)
		}
	}
	f.perform(r, out)
}

func (f *fleet) after(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.events, event{f.now.Add(d), f.seq, do})
}

// runOn runs do on the router unless the process with that incarnation has ended; a paused process runs do after it
// resumes.
func (f *fleet) runOn(r *router, incarnation int, do func()) {
	if !r.alive || r.incarnation != incarnation {
		return
	}
	if r.paused {
		r.deferred = append(r.deferred, func() { f.runOn(r, incarnation, do) })
		return
	}
	do()
}

func (f *fleet) tick(r *router, incarnation int) {
	f.after(50*time.Millisecond, func() {
		if r.incarnation != incarnation || !r.alive {
			return
		}
		f.runOn(r, incarnation, func() {
			var out pomeloclaim.Output
			r.keeper.Tick(f.now, &out)
			r.requester.Tick(f.now, &out)
			f.perform(r, out)
		})
		f.tick(r, incarnation)
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

func (f *fleet) perform(r *router, out pomeloclaim.Output) {
	for _, m := range out.Messages {
		f.sendMessage(r, m)
	}
	for _, op := range out.StoreOps {
		f.startStoreOp(r, op)
	}
	for _, v := range out.Verdicts {
		f.handleVerdict(r, v)
	}
}

func (f *fleet) sendMessage(from *router, m pomelorelay.Outgoing) {
	to := f.byName(m.To)
	if f.partitioned[[2]int{from.index, to.index}] || (from != to && f.rng.Float64() < f.messageLoss) {
		return
	}
	incarnation := to.incarnation
	f.after(time.Duration(500+f.rng.IntN(1000))*time.Microsecond, func() {
		f.runOn(to, incarnation, func() {
			var out pomeloclaim.Output
			switch x := m.Message.(type) {
			case *pomelorelay.ClaimAsk:
				to.keeper.HandleAsk(f.now, from.name, x, &out)
			case *pomelorelay.ClaimSettle:
				to.keeper.HandleSettle(f.now, from.name, x, &out)
			case *pomelorelay.ClaimAnswer:
				to.requester.HandleAnswer(f.now, x, &out)
			case *pomelorelay.ClaimSettled:
				to.requester.HandleSettled(x)
			}
			f.perform(to, out)
		})
	})
}

// startStoreOp schedules a store operation. During an outage the operation fails; with storeReplyLoss its result may be
// lost and its effect delayed.
func (f *fleet) startStoreOp(r *router, op pomeloclaim.StoreOp) {
	incarnation := r.incarnation
	reply := func(d time.Duration, res pomeloclaim.StoreResult) {
		f.after(d, func() {
			f.runOn(r, incarnation, func() {
				var out pomeloclaim.Output
				r.keeper.HandleStoreResult(f.now, res, &out)
				f.perform(r, out)
			})
		})
	}
	if f.outage {
		reply(time.Millisecond, pomeloclaim.StoreResult{ID: op.ID, Err: pomelorelay.NewError(pomelorelay.CodeStoreUnavailable, "", nil)})
		return
	}
	lost := f.rng.Float64() < f.storeReplyLoss
	delay := time.Duration(1+f.rng.IntN(3)) * time.Millisecond
	if lost && f.rng.IntN(2) == 0 {
		// The write takes effect after its writer has given up waiting.
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

// send sends a request through a router.
func (f *fleet) send(n int, key string) {
	r := f.routers[n]
	f.runOn(r, r.incarnation, func() {
		var out pomeloclaim.Output
		nonce := r.requester.Claim(f.now, keyOf(key), 1, &out)
		r.calls[nonce] = &call{key: key, startedAt: f.now}
		f.perform(r, out)
	})
}

// handleVerdict acts as a router's request handler. The request of a granted claim runs on the plain service, and the
// claim is settled when the request ends, unless the router dies first; a request that is not sent releases its claim.
func (f *fleet) handleVerdict(r *router, v pomeloclaim.Verdict) {
	c, ok := r.calls[v.Nonce]
	if !ok {
		f.duplicateVerdicts++
		return
	}
	delete(r.calls, v.Nonce)
	f.latencies = append(f.latencies, f.now.Sub(c.startedAt))
	if v.State != pomelorelay.ClaimGranted {
		f.replies[c.key] = append(f.replies[c.key], reply{state: v.State})
		return
	}
	settle := func(released bool, state pomelorelay.ClaimState, o pomelorelay.ClaimOutcome) {
		var out pomeloclaim.Output
		r.requester.Settle(f.now, v.Nonce, released, state, o, &out)
		f.perform(r, out)
	}
	incarnation := r.incarnation
	switch f.rng.IntN(8) {
	case 0:
		// No byte was sent: the caller is told that the request did not run.
		settle(true, 0, pomelorelay.ClaimOutcome{})
		f.replies[c.key] = append(f.replies[c.key], reply{state: pomelorelay.ClaimRefused})
	case 1:
		f.runs[c.key]++
		f.replies[c.key] = append(f.replies[c.key], reply{state: pomelorelay.ClaimUnknown, ran: true})
		f.after(20*time.Millisecond, func() {
			f.runOn(r, incarnation, func() { settle(false, pomelorelay.ClaimUnknown, pomelorelay.ClaimOutcome{}) })
		})
	default:
		f.runs[c.key]++
		f.replies[c.key] = append(f.replies[c.key], reply{state: pomelorelay.ClaimGranted, ran: true})
		f.after(time.Duration(5+f.rng.IntN(200))*time.Millisecond, func() {
			f.runOn(r, incarnation, func() {
				settle(false, pomelorelay.ClaimDone, pomelorelay.ClaimOutcome{Status: 201, Body: []byte("booked " + c.key)})
			})
		})
	}
}

// violations describes broken guarantees: requests that ran more than once, and outcomes of requests that never ran.
func (f *fleet) violations() string {
	var found []string
	if f.duplicateVerdicts > 0 {
		found = append(found, fmt.Sprint(f.duplicateVerdicts, " requests got two verdicts"))
	}
	for key, n := range f.runs {
		if n > 1 {
			found = append(found, fmt.Sprintf("%s ran %d times", key, n))
		}
	}
	for key, list := range f.replies {
		for _, t := range list {
			if t.state == pomelorelay.ClaimDone && f.runs[key] == 0 {
				found = append(found, key+" was answered with an outcome but never ran")
			}
		}
	}
	return strings.Join(found, "; ")
}
