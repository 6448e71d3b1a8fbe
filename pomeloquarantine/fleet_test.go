package pomeloquarantine_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloquarantine"
)

const (
	fleetRouters   = 4
	fleetUpstreams = 10
	restartTime    = 5 * time.Second
	callerPause    = 3 * time.Millisecond
)

// fleet simulates routers and upstreams on virtual time. A crashing request crashes every upstream that runs it.
type fleet struct {
	now         time.Time
	rng         *rand.Rand
	events      eventQueue
	seq         int
	routers     []*router
	upstreams   []*upstream
	lastID      pomelorelay.RequestID
	messageLoss float64
	// protected is false to run requests without any check by the routers' tables.
	protected bool
	// maxAttempts limits the attempts of a request. A request that is interrupted by every crash needs one attempt more
	// than there are crashes.
	maxAttempts int

	lastArrival map[[2]pomelorelay.NodeID]time.Time
	crashes     int
	answered    map[pomelorelay.Fingerprint]int
	refused     map[pomelorelay.Fingerprint]int
	timedOut    int
}

type router struct {
	name    pomelorelay.NodeID
	table   *pomeloquarantine.Table
	arbiter *pomeloquarantine.Arbiter
	waiting map[pomelorelay.RequestID]*request
}

type upstream struct {
	name        pomelorelay.UpstreamID
	up          bool
	incarnation int
	runs        []*request
}

type request struct {
	router   *router
	run      pomeloquarantine.Run
	crashes  bool
	attempts int
	// done receives whether the request was answered; false after a refusal or when it cannot be sent again.
	done func(ok bool)
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || (q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func newFleet(seed uint64, protected bool) *fleet {
	f := &fleet{
		now:         time.Unix(1_700_000_000, 0),
		rng:         rand.New(rand.NewPCG(seed, 2)),
		protected:   protected,
		answered:    make(map[pomelorelay.Fingerprint]int),
		refused:     make(map[pomelorelay.Fingerprint]int),
		lastArrival: make(map[[2]pomelorelay.NodeID]time.Time),
	}
	for n := range fleetUpstreams {
		f.upstreams = append(f.upstreams, &upstream{name: pomelorelay.UpstreamID(fmt.Sprint("upstream-", n)), up: true})
	}
	var names []pomelorelay.NodeID
	for n := range fleetRouters {
		names = append(names, pomelorelay.NodeID(fmt.Sprint("router-", n)))
	}
	for _, name := range names {
		cfg := pomeloquarantine.Config{
			Self: name,
			FingerprintArbiter: func(p pomelorelay.Fingerprint) (pomelorelay.NodeID, bool) {
				return names[uint64(p)%fleetRouters], true
			},
			UpstreamArbiter: func(u pomelorelay.UpstreamID) (pomelorelay.NodeID, bool) {
				return names[int(u[len(u)-1])%fleetRouters], true
			},
			Members: func() []pomelorelay.NodeID { return names },
		}
		r := &router{name: name, table: pomeloquarantine.NewTable(cfg), arbiter: pomeloquarantine.NewArbiter(cfg), waiting: make(map[pomelorelay.RequestID]*request)}
		f.routers = append(f.routers, r)
		f.tick(r)
	}
	return f
}

func (f *fleet) after(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.events, event{f.now.Add(d), f.seq, do})
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

func (f *fleet) tick(r *router) {
	f.after(100*time.Millisecond, func() {
		f.perform(r, func(out *pomeloquarantine.Output) { r.table.Tick(f.now, out) })
		f.tick(r)
	})
}

func (f *fleet) perform(r *router, do func(out *pomeloquarantine.Output)) {
	var out pomeloquarantine.Output
	do(&out)
	for _, m := range out.Messages {
		if m.To != r.name && f.rng.Float64() < f.messageLoss {
			continue
		}
		link := [2]pomelorelay.NodeID{r.name, m.To}
		at := f.now.Add(time.Duration(500+f.rng.IntN(1000)) * time.Microsecond)
		if at.Before(f.lastArrival[link]) {
			// The mesh preserves the order of messages to one peer.
			at = f.lastArrival[link]
		}
		f.lastArrival[link] = at
		f.after(at.Sub(f.now), func() { f.deliver(r.name, m) })
	}
	for _, v := range out.Verdicts {
		f.handleVerdict(v)
	}
}

func (f *fleet) deliver(from pomelorelay.NodeID, m pomelorelay.Outgoing) {
	for _, r := range f.routers {
		if r.name != m.To {
			continue
		}
		f.perform(r, func(out *pomeloquarantine.Output) {
			switch x := m.Message.(type) {
			case *pomelorelay.SuspectNotice:
				r.table.HandleSuspectNotice(f.now, x, out)
			case *pomelorelay.SuspectAsk:
				r.arbiter.HandleAsk(f.now, from, x, out)
			case *pomelorelay.SuspectAnswer:
				r.table.HandleAnswer(f.now, from, x, out)
			case *pomelorelay.SuspectCleared:
				r.arbiter.HandleCleared(from, x)
				r.table.HandleCleared(x)
			case *pomelorelay.QuarantineNotice:
				r.table.HandleQuarantineNotice(f.now, x, out)
			}
		})
	}
}

// send sends a request through a router and calls done at its end.
func (f *fleet) send(n int, p pomelorelay.Fingerprint, crashes bool, done func(ok bool)) {
	f.lastID++
	q := &request{router: f.routers[n], crashes: crashes, done: done}
	q.run.Request, q.run.Fingerprint = f.lastID, p
	f.attempt(q)
}

func (f *fleet) attempt(q *request) {
	up := f.pickUpstream()
	if up == nil || q.attempts >= f.maxAttempts {
		q.done(false)
		return
	}
	q.run.Upstream = up.name
	if !f.protected {
		f.begin(q)
		return
	}
	q.router.waiting[q.run.Request] = q
	f.perform(q.router, func(out *pomeloquarantine.Output) {
		if v := q.router.table.Check(f.now, q.run, out); v.Decision != pomeloquarantine.DecisionWait {
			out.Verdicts = append(out.Verdicts, v)
		}
	})
}

// pickUpstream returns a random running upstream, nil when there is none.
func (f *fleet) pickUpstream() *upstream {
	var up []*upstream
	for _, u := range f.upstreams {
		if u.up {
			up = append(up, u)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[f.rng.IntN(len(up))]
}

func (f *fleet) handleVerdict(v pomeloquarantine.Verdict) {
	for _, r := range f.routers {
		q, ok := r.waiting[v.Run.Request]
		if !ok || q.run != v.Run {
			continue
		}
		delete(r.waiting, v.Run.Request)
		switch v.Decision {
		case pomeloquarantine.DecisionRun:
			f.begin(q)
		case pomeloquarantine.DecisionQuarantined:
			f.refused[q.run.Fingerprint]++
			q.done(false)
		default:
			f.timedOut++
			q.done(false)
		}
	}
}

func (f *fleet) begin(q *request) {
	var up *upstream
	for _, u := range f.upstreams {
		if u.name == q.run.Upstream {
			up = u
		}
	}
	if !up.up {
		// The upstream crashed while the request waited for its verdict; nothing was sent.
		f.perform(q.router, func(out *pomeloquarantine.Output) { q.router.table.Cancel(q.run, out) })
		f.attempt(q)
		return
	}
	q.attempts++
	q.router.table.Began(q.run)
	up.runs = append(up.runs, q)
	incarnation := up.incarnation
	f.after(time.Duration(5+f.rng.IntN(60))*time.Millisecond, func() {
		if up.incarnation != incarnation {
			return
		}
		if q.crashes {
			f.crash(up)
			return
		}
		for i, r := range up.runs {
			if r == q {
				up.runs = append(up.runs[:i:i], up.runs[i+1:]...)
				break
			}
		}
		f.answered[q.run.Fingerprint]++
		f.perform(q.router, func(out *pomeloquarantine.Output) { q.router.table.Ended(q.run, true, out) })
		q.done(true)
	})
}

func (f *fleet) crash(up *upstream) {
	f.crashes++
	runs := up.runs
	up.runs, up.up = nil, false
	up.incarnation++
	f.after(restartTime, func() { up.up = true })
	for _, q := range runs {
		f.after(time.Duration(f.rng.IntN(300))*time.Microsecond, func() {
			f.perform(q.router, func(out *pomeloquarantine.Output) { q.router.table.Crashed(f.now, q.run, out) })
			f.attempt(q)
		})
	}
}
