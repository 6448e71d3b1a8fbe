package pomeloslot_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelofair"
	"github.com/pomelorelay/pomelorelay/pomeloslot"
)

const (
	testPool    = pomelorelay.PoolID("assistant")
	linkLatency = 500 * time.Microsecond
)

// testAccount is an account that keeps queueDepth requests waiting at each of its routers; costs are in slot seconds.
type testAccount struct {
	id         pomelorelay.AccountID
	weight     float64
	meanCost   float64
	costHint   float64
	queueDepth int
	routers    []int
}

// fleetConfig configures a simulated fleet.
type fleetConfig struct {
	seed             uint64
	routers          int
	upstreams        int
	slots            int
	accounts         []testAccount
	ledgerInterval   time.Duration
	digestInterval   time.Duration
	progressInterval time.Duration
	sigma            float64
	maxCost          float64
	charge           pomelofair.ChargeOptions
	registration     pomeloslot.RegistrationOptions
	grant            pomeloslot.GrantOptions
	// fixedShares gives each router a fixed share of the slots, as a baseline without coordination.
	fixedShares bool
	// dropFraction is the fraction of control messages that are lost.
	dropFraction float64
}

type event struct {
	at     time.Time
	seq    int
	action func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// run is a request that was sent to an upstream.
type run struct {
	id       pomelorelay.RequestID
	grant    pomelorelay.GrantID
	account  int
	upstream int
	started  time.Time
	cost     float64
}

// testRequest identifies a request across routers.
type testRequest struct {
	router int
	id     pomelorelay.RequestID
}

type testUpstream struct {
	id         pomelorelay.UpstreamID
	runs       map[*run]bool
	owner      int
	maxRunning int
}

type testRouter struct {
	index     int
	node      pomelorelay.NodeID
	queues    *pomelofair.Queues
	owner     *pomeloslot.Owner
	requester *pomeloslot.Requester
	runs      map[pomelorelay.RequestID]*run
	// waitingRequests maps the ID of a waiting request to its account index. Keys from 1<<40 are counters: key 1<<40
	// plus an account index holds how many requests that account has waiting here.
	waitingRequests map[pomelorelay.RequestID]int
	nextID          pomelorelay.RequestID
	dead            bool
	localRunning    int
}

// testLedger holds the last ledger entry by account and by index of the router that reported it.
type testLedger map[pomelorelay.AccountID]map[int]pomelorelay.LedgerEntry

// fleet simulates, in virtual time, routers, upstreams and a ledger to which the routers report periodically.
type fleet struct {
	cfg           fleetConfig
	rng           *rand.Rand
	now           time.Time
	start         time.Time
	events        eventHeap
	seq           int
	routers       []*testRouter
	routersByNode map[pomelorelay.NodeID]*testRouter
	upstreams     []*testUpstream
	served        []float64 // cost of finished requests by account
	ledger        testLedger
	// partitionAt separates the routers with lower indices from the rest, which use partitionLedger; zero means no partition.
	partitionAt     int
	partitionLedger testLedger
	busySlotSeconds float64
	busyUpdatedAt   time.Time
	running         int
	messageCounts   map[string]int
	// pushedAt and waits hold the push times and the waiting times of the requests that scheduleArrival adds.
	pushedAt         map[testRequest]time.Time
	waits            []time.Duration
	bytes            int
	largestCost      float64
	runningByAccount []int
	maxInFlight      int
	weights          map[pomelorelay.AccountID]pomelorelay.Weight
}

// Weight implements pomelorelay.Weights.
func (f *fleet) Weight(_ pomelorelay.PoolID, account pomelorelay.AccountID) pomelorelay.Weight {
	return f.weights[account]
}

func newFleet(cfg fleetConfig) *fleet {
	f := &fleet{
		cfg:              cfg,
		rng:              rand.New(rand.NewPCG(cfg.seed, 1)),
		start:            time.Unix(1_000_000, 0),
		served:           make([]float64, len(cfg.accounts)),
		runningByAccount: make([]int, len(cfg.accounts)),
		ledger:           make(testLedger),
		messageCounts:    make(map[string]int),
		routersByNode:    make(map[pomelorelay.NodeID]*testRouter),
		pushedAt:         make(map[testRequest]time.Time),
		weights:          make(map[pomelorelay.AccountID]pomelorelay.Weight),
	}
	f.now, f.busyUpdatedAt = f.start, f.start
	for _, a := range cfg.accounts {
		f.weights[a.id] = pomelorelay.Weight(a.weight)
		f.ledger[a.id] = make(map[int]pomelorelay.LedgerEntry)
	}
	for i := range cfg.routers {
		r := f.newRouter(i)
		f.routers = append(f.routers, r)
		f.routersByNode[r.node] = r
	}
	for i := range cfg.upstreams {
		u := &testUpstream{id: pomelorelay.UpstreamID(fmt.Sprintf("u%03d", i)), runs: make(map[*run]bool), owner: i % cfg.routers}
		f.upstreams = append(f.upstreams, u)
		if !cfg.fixedShares {
			f.assignOwner(i, u.owner)
		}
	}
	for i := range f.routers {
		f.startRouter(f.routers[i])
	}
	return f
}

func (f *fleet) newRouter(i int) *testRouter {
	node := pomelorelay.NodeID(fmt.Sprintf("r%02d", i))
	incarnation := pomelorelay.Incarnation(f.now.UnixNano())
	return &testRouter{
		index:  i,
		node:   node,
		queues: pomelofair.New(pomelofair.Config{Weights: f, Charge: f.cfg.charge}),
		owner:  pomeloslot.NewOwner(pomeloslot.OwnerConfig{Node: node, Domain: "a", Incarnation: incarnation, Grant: f.cfg.grant}),
		requester: pomeloslot.NewRequester(pomeloslot.RequesterConfig{Node: node, Domain: "a", Seed: f.cfg.seed + uint64(i),
			Registration: f.cfg.registration}),
		runs:            make(map[pomelorelay.RequestID]*run),
		waitingRequests: make(map[pomelorelay.RequestID]int),
	}
}

// startRouter fills a router's queues and starts its timers, offset from those of the other routers.
func (f *fleet) startRouter(r *testRouter) {
	for a := range f.cfg.accounts {
		f.refill(r, a)
	}
	offset := time.Duration(r.index) * 7 * time.Millisecond
	f.every(r, offset, f.cfg.progressInterval, func() { f.reportProgress(r) })
	f.every(r, f.cfg.ledgerInterval*time.Duration(r.index)/time.Duration(f.cfg.routers), f.cfg.ledgerInterval, func() { f.exchangeLedger(r) })
	if f.cfg.fixedShares {
		f.serveLocally(r)
		return
	}
	f.every(r, offset, f.cfg.digestInterval, func() { f.publishDigests(r) })
	f.every(r, offset, 50*time.Millisecond, func() { f.tick(r) })
}

func (f *fleet) assignOwner(upstream, router int) {
	f.upstreams[upstream].owner = router
	var peers []pomelorelay.NodeID
	for _, r := range f.routers {
		if !r.dead {
			peers = append(peers, r.node)
		}
	}
	up := pomeloslot.Upstream{ID: f.upstreams[upstream].id, Pool: testPool, Min: 1, Max: pomelorelay.Slots(f.cfg.slots)}
	r := f.routers[router]
	f.send(r, r.owner.AddUpstream(f.now, up, peers, nil))
}

func (f *fleet) schedule(t time.Time, action func()) {
	f.seq++
	heap.Push(&f.events, event{t, f.seq, action})
}

func (f *fleet) after(d time.Duration, action func()) { f.schedule(f.now.Add(d), action) }

func (f *fleet) every(r *testRouter, offset, period time.Duration, action func()) {
	var step func()
	step = func() {
		if r.dead {
			return
		}
		action()
		f.after(period, step)
	}
	f.after(offset%period, step)
}

// runUntil processes the events up to a time since the start.
func (f *fleet) runUntil(d time.Duration) {
	end := f.start.Add(d)
	for len(f.events) > 0 && !f.events[0].at.After(end) {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.action()
	}
	f.now = end
}

func (f *fleet) tick(r *testRouter) {
	r.queues.SetVirtualTime(testPool, r.requester.VirtualTime(testPool))
	f.send(r, r.owner.Tick(f.now, nil))
	f.updateDemand(r)
	f.send(r, r.requester.Tick(f.now, nil))
}

func (f *fleet) updateDemand(r *testRouter) {
	tag, waiting, _ := r.queues.Head(f.now, testPool)
	f.send(r, r.requester.UpdateDemand(f.now, []pomeloslot.PoolDemand{{Pool: testPool, Head: tag, Waiting: waiting}}, nil))
}

// refill pushes requests until the account has queueDepth requests waiting at a router.
func (f *fleet) refill(r *testRouter, a int) {
	account := &f.cfg.accounts[a]
	here := false
	for _, i := range account.routers {
		here = here || i == r.index
	}
	for here && r.waitingRequests[pomelorelay.RequestID(1<<40+a)] < account.queueDepth {
		r.waitingRequests[pomelorelay.RequestID(1<<40+a)]++
		f.push(r, a)
	}
}

func (f *fleet) push(r *testRouter, a int) {
	r.nextID++
	r.waitingRequests[r.nextID] = a
	account := &f.cfg.accounts[a]
	err := r.queues.Push(f.now, pomelofair.Request{ID: r.nextID, Pool: testPool, Account: account.id, Hint: pomelorelay.Cost(account.costHint)})
	if err != nil {
		panic(err)
	}
}

// drawCost draws a log-normal cost with the account's mean, limited to maxCost.
func (f *fleet) drawCost(a int) float64 {
	sigma := f.cfg.sigma
	mean := f.cfg.accounts[a].meanCost
	cost := mean * math.Exp(f.rng.NormFloat64()*sigma-sigma*sigma/2)
	return min(cost, f.cfg.maxCost)
}
