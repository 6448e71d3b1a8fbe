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
	testPool = pomelorelay.PoolID("assistant")
	linkTime = 500 * time.Microsecond
)

// testAccount is an account that keeps some requests waiting at each of its routers.
type testAccount struct {
	id      pomelorelay.AccountID
	weight  float64
	mean    float64
	hint    float64
	depth   int
	routers []int
}

// fleetConfig sets up a fleet on virtual time.
type fleetConfig struct {
	seed      uint64
	routers   int
	upstreams int
	slots     int
	accounts  []testAccount
	ledger    time.Duration
	digest    time.Duration
	progress  time.Duration
	sigma     float64
	maxCost   float64
	charge    pomelofair.ChargeOptions
	asker     pomeloslot.RegistrationOptions
	grant     pomeloslot.GrantOptions
	// local makes each router serve its own fixed share of the slots, the baseline without any coordination.
	local bool
	// drop is the part of the control messages that is lost.
	drop float64
}

type event struct {
	at  time.Time
	seq int
	do  func()
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

// run is a request that holds a slot.
type run struct {
	id       pomelorelay.RequestID
	grant    pomelorelay.GrantID
	account  int
	upstream int
	started  time.Time
	cost     float64
}

// testRequest is a request of one router.
type testRequest struct {
	router int
	id     pomelorelay.RequestID
}

type testUpstream struct {
	id    pomelorelay.UpstreamID
	runs  map[*run]bool
	owner int
	most  int
}

type testRouter struct {
	index  int
	node   pomelorelay.NodeID
	queues *pomelofair.Queues
	owner  *pomeloslot.Owner
	asker  *pomeloslot.Requester
	runs   map[pomelorelay.RequestID]*run
	starts map[pomelorelay.RequestID]int
	nextID pomelorelay.RequestID
	dead   bool
	mine   int
}

// testLedger holds what each router reported last of each account.
type testLedger map[pomelorelay.AccountID]map[int]pomelorelay.LedgerEntry

// fleet is the event loop with the routers, the upstreams and a ledger modelled as a period.
type fleet struct {
	cfg       fleetConfig
	random    *rand.Rand
	now       time.Time
	start     time.Time
	events    eventHeap
	seq       int
	routers   []*testRouter
	byNode    map[pomelorelay.NodeID]*testRouter
	upstreams []*testUpstream
	served    []float64 // delivered by requests that ended
	ledger    testLedger
	// cut parts the routers below it from the rest, which then have a ledger of their own.
	cut       int
	cutLedger testLedger
	busy      float64
	busyAt    time.Time
	running   int
	messages  map[string]int
	// pushed and waits are kept of requests that arrive at random.
	pushed     map[testRequest]time.Time
	waits      []time.Duration
	bytes      int
	largest    float64
	perAccount []int
	inFlight   int
	weights    map[pomelorelay.AccountID]pomelorelay.Weight
}

// Weight implements pomelorelay.Weights.
func (f *fleet) Weight(_ pomelorelay.PoolID, account pomelorelay.AccountID) pomelorelay.Weight {
	return f.weights[account]
}

func newFleet(cfg fleetConfig) *fleet {
	f := &fleet{
		cfg:        cfg,
		random:     rand.New(rand.NewPCG(cfg.seed, 1)),
		start:      time.Unix(1_000_000, 0),
		served:     make([]float64, len(cfg.accounts)),
		perAccount: make([]int, len(cfg.accounts)),
		ledger:     make(testLedger),
		messages:   make(map[string]int),
		byNode:     make(map[pomelorelay.NodeID]*testRouter),
		pushed:     make(map[testRequest]time.Time),
		weights:    make(map[pomelorelay.AccountID]pomelorelay.Weight),
	}
	f.now, f.busyAt = f.start, f.start
	for _, a := range cfg.accounts {
		f.weights[a.id] = pomelorelay.Weight(a.weight)
		f.ledger[a.id] = make(map[int]pomelorelay.LedgerEntry)
	}
	for i := range cfg.routers {
		r := f.newRouter(i)
		f.routers = append(f.routers, r)
		f.byNode[r.node] = r
	}
	for i := range cfg.upstreams {
		u := &testUpstream{id: pomelorelay.UpstreamID(fmt.Sprintf("u%03d", i)), runs: make(map[*run]bool), owner: i % cfg.routers}
		f.upstreams = append(f.upstreams, u)
		if !cfg.local {
			f.own(i, u.owner)
		}
	}
	for i := range f.routers {
		f.begin(f.routers[i])
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
		asker: pomeloslot.NewRequester(pomeloslot.RequesterConfig{Node: node, Domain: "a", Seed: f.cfg.seed + uint64(i),
			Registration: f.cfg.asker}),
		runs:   make(map[pomelorelay.RequestID]*run),
		starts: make(map[pomelorelay.RequestID]int),
	}
}

// begin fills a router's queues and starts its timers, a little apart from the other routers'.
func (f *fleet) begin(r *testRouter) {
	for a := range f.cfg.accounts {
		f.refill(r, a)
	}
	offset := time.Duration(r.index) * 7 * time.Millisecond
	f.every(r, offset, f.cfg.progress, func() { f.progress(r) })
	f.every(r, f.cfg.ledger*time.Duration(r.index)/time.Duration(f.cfg.routers), f.cfg.ledger, func() { f.exchange(r) })
	if f.cfg.local {
		f.serveLocally(r)
		return
	}
	f.every(r, offset, f.cfg.digest, func() { f.publish(r) })
	f.every(r, offset, 50*time.Millisecond, func() { f.tick(r) })
}

func (f *fleet) own(upstream, router int) {
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

func (f *fleet) at(t time.Time, do func()) {
	f.seq++
	heap.Push(&f.events, event{t, f.seq, do})
}

func (f *fleet) after(d time.Duration, do func()) { f.at(f.now.Add(d), do) }

func (f *fleet) every(r *testRouter, offset, period time.Duration, do func()) {
	var step func()
	step = func() {
		if r.dead {
			return
		}
		do()
		f.after(period, step)
	}
	f.after(offset%period, step)
}

// until runs the events up to a time since the start.
func (f *fleet) until(d time.Duration) {
	end := f.start.Add(d)
	for len(f.events) > 0 && !f.events[0].at.After(end) {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.do()
	}
	f.now = end
}

func (f *fleet) tick(r *testRouter) {
	r.queues.SetVirtualTime(testPool, r.asker.VirtualTime(testPool))
	f.send(r, r.owner.Tick(f.now, nil))
	f.heads(r)
	f.send(r, r.asker.Tick(f.now, nil))
}

func (f *fleet) heads(r *testRouter) {
	tag, waiting, _ := r.queues.Head(f.now, testPool)
	f.send(r, r.asker.UpdateDemand(f.now, []pomeloslot.PoolDemand{{Pool: testPool, Head: tag, Waiting: waiting}}, nil))
}

// refill keeps an account's depth of requests waiting at a router.
func (f *fleet) refill(r *testRouter, a int) {
	account := &f.cfg.accounts[a]
	here := false
	for _, i := range account.routers {
		here = here || i == r.index
	}
	for here && r.starts[pomelorelay.RequestID(1<<40+a)] < account.depth {
		r.starts[pomelorelay.RequestID(1<<40+a)]++
		f.push(r, a)
	}
}

func (f *fleet) push(r *testRouter, a int) {
	r.nextID++
	r.starts[r.nextID] = a
	account := &f.cfg.accounts[a]
	err := r.queues.Push(f.now, pomelofair.Request{ID: r.nextID, Pool: testPool, Account: account.id, Hint: pomelorelay.Cost(account.hint)})
	if err != nil {
		panic(err)
	}
}

// cost draws a log-normal cost of the account's mean.
func (f *fleet) cost(a int) float64 {
	sigma := f.cfg.sigma
	mean := f.cfg.accounts[a].mean
	cost := mean * math.Exp(f.random.NormFloat64()*sigma-sigma*sigma/2)
	return min(cost, f.cfg.maxCost)
}
