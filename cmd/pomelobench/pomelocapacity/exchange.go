package pomelocapacity

import (
	"fmt"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelofair"
	"github.com/pomelorelay/pomelorelay/pomeloslot"
)

const exchangeStep = 10 * time.Millisecond

// exchange hands messages between the real queues, askers and owners of one failure domain whose slots are all taken and
// whose accounts always wait. The clock is passed in; an upstream is a list of the times at which its requests end.
type exchange struct {
	now    time.Time
	cfg    exchangeConfig
	peers  []*exchangeRouter
	byNode map[pomelorelay.NodeID]*exchangeRouter
	sent   map[string]*flow
	ended  int
}

// exchangeConfig is the size of an exchange.
type exchangeConfig struct {
	routers, upstreams, pools, slots, accounts, depth int
	duration, digest, tick                            time.Duration
}

// exchangeRouter is the part of one router that queues, asks and grants.
type exchangeRouter struct {
	node    pomelorelay.NodeID
	queues  *pomelofair.Queues
	owner   *pomeloslot.Owner
	asker   *pomeloslot.Asker
	ends    []ending
	next    pomelorelay.RequestID
	account map[pomelorelay.RequestID]int
	heads   []pomeloslot.PoolHead
	digests []pomelorelay.SlotDigest
	out     []pomelorelay.Outgoing
	inbox   []delivery
}

// ending is a running request and the time at which it ends.
type ending struct {
	at      time.Time
	request pomelorelay.RequestID
	grant   pomelorelay.GrantID
	pool    int
	started time.Time
}

// delivery is a message on its way.
type delivery struct {
	from    pomelorelay.NodeID
	message pomelorelay.Message
}

func newExchange(cfg exchangeConfig) *exchange {
	x := &exchange{now: start, cfg: cfg, byNode: make(map[pomelorelay.NodeID]*exchangeRouter), sent: make(map[string]*flow)}
	var nodes []pomelorelay.NodeID
	for i := range cfg.routers {
		nodes = append(nodes, routerName(0, i))
	}
	for i, node := range nodes {
		r := &exchangeRouter{node: node, queues: pomelofair.New(pomelofair.Config{}), account: make(map[pomelorelay.RequestID]int)}
		r.owner = pomeloslot.NewOwner(pomeloslot.OwnerConfig{Node: node, Domain: "domain-0", Incarnation: pomelorelay.Incarnation(start.UnixNano())})
		r.asker = pomeloslot.NewAsker(pomeloslot.AskerConfig{Node: node, Domain: "domain-0", Seed: uint64(i)})
		x.peers = append(x.peers, r)
		x.byNode[node] = r
	}
	for i := range cfg.upstreams {
		r := x.peers[i%cfg.routers]
		up := pomeloslot.Upstream{ID: upstreamName(0, i), Pool: poolName(i % cfg.pools), Min: pomelorelay.Slots(cfg.slots), Max: pomelorelay.Slots(cfg.slots)}
		r.out = r.owner.Own(x.now, up, nodes, r.out)
	}
	for a := range cfg.accounts {
		for range cfg.depth {
			x.push(x.peers[a%cfg.routers], a)
		}
	}
	return x
}

func routerName(domain, i int) pomelorelay.NodeID {
	return pomelorelay.NodeID(fmt.Sprintf("domain-%d-router-%02d", domain, i))
}

func upstreamName(domain, i int) pomelorelay.UpstreamID {
	return pomelorelay.UpstreamID(fmt.Sprintf("domain-%d-engine-%03d", domain, i))
}

func accountName(i int) pomelorelay.AccountID {
	return pomelorelay.AccountID(fmt.Sprintf("account-%05d", i))
}

func poolName(i int) pomelorelay.PoolID {
	return pomelorelay.Pool("assistant", pomelorelay.ModelID(fmt.Sprintf("model-%d", i)))
}

// push makes an account's next request wait.
func (x *exchange) push(r *exchangeRouter, account int) {
	r.next++
	r.account[r.next] = account
	// A full queue would only mean that the account waits already.
	_ = r.queues.Push(x.now, pomelofair.Request{ID: r.next, Pool: poolName(account % x.cfg.pools), Account: accountName(account)})
}

// run goes on for a time.
func (x *exchange) run(d time.Duration) {
	for end := x.now.Add(d); x.now.Before(end); {
		x.now = x.now.Add(exchangeStep)
		since := x.now.Sub(start)
		for i, r := range x.peers {
			x.finish(r)
			if (since+time.Duration(i)*exchangeStep)%x.cfg.tick == 0 {
				x.tick(r)
			}
			if (since+time.Duration(i)*exchangeStep)%x.cfg.digest < exchangeStep {
				x.publish(r)
			}
		}
		x.deliver()
	}
}

func (x *exchange) finish(r *exchangeRouter) {
	kept := r.ends[:0]
	for _, e := range r.ends {
		if e.at.After(x.now) {
			kept = append(kept, e)
			continue
		}
		r.queues.Finish(x.now, e.request, pomelorelay.Cost(e.at.Sub(e.started).Seconds()))
		x.settle(r, e.grant, e.pool, pomelorelay.GrantFinished)
		x.ended++
	}
	r.ends = kept
}

func (x *exchange) settle(r *exchangeRouter, id pomelorelay.GrantID, pool int, state pomelorelay.GrantState) {
	head, waiting, _ := r.queues.Head(x.now, poolName(pool))
	r.out = r.asker.Settled(x.now, id, pomeloslot.Settlement{State: state, Head: head, Waiting: waiting}, r.out)
}

func (x *exchange) tick(r *exchangeRouter) {
	for _, e := range r.ends {
		r.queues.Progress(x.now, e.request, pomelorelay.Cost(x.now.Sub(e.started).Seconds()))
	}
	r.out = r.owner.Tick(x.now, r.out)
	r.digests = r.owner.Digests(x.now, r.digests[:0])
	r.asker.Slots(x.now, r.digests)
	r.heads = r.heads[:0]
	for p := range x.cfg.pools {
		r.queues.SetVirtual(poolName(p), r.asker.Virtual(poolName(p)))
		head, waiting, _ := r.queues.Head(x.now, poolName(p))
		r.heads = append(r.heads, pomeloslot.PoolHead{Pool: poolName(p), Head: head, Waiting: waiting})
	}
	r.out = r.asker.Heads(x.now, r.heads, r.out)
	r.out = r.asker.Tick(x.now, r.out)
}

// publish gives a router's digest to all; its bytes are counted by the membership role.
func (x *exchange) publish(r *exchangeRouter) {
	digests := r.owner.Digests(x.now, nil)
	for _, to := range x.peers {
		to.asker.Slots(x.now, digests)
		to.out = to.asker.Tick(x.now, to.out)
	}
}

// deliver hands over until nothing more is said.
func (x *exchange) deliver() {
	for moved := true; moved; {
		moved = false
		for _, r := range x.peers {
			for _, o := range r.out {
				x.count(r, o)
				to := x.byNode[o.To]
				to.inbox = append(to.inbox, delivery{r.node, o.Message})
				moved = true
			}
			r.out = r.out[:0]
		}
		for _, r := range x.peers {
			for _, d := range r.inbox {
				x.receive(r, d)
			}
			r.inbox = r.inbox[:0]
		}
	}
}

func (x *exchange) count(r *exchangeRouter, o pomelorelay.Outgoing) {
	if o.To == r.node {
		return
	}
	kind := fmt.Sprintf("%T", o.Message)[len("*pomelorelay."):]
	f := x.sent[kind]
	if f == nil {
		f = &flow{}
		x.sent[kind] = f
	}
	f.add(o.Message)
}

func (x *exchange) receive(r *exchangeRouter, d delivery) {
	switch m := d.message.(type) {
	case *pomelorelay.Demand:
		r.out = r.owner.Demand(x.now, d.from, m, r.out)
	case *pomelorelay.Grant:
		x.granted(r, d.from, m)
	case *pomelorelay.GrantReply:
		r.out = r.owner.Reply(x.now, d.from, m, r.out)
	case *pomelorelay.RunningQuery:
		r.out = append(r.out, pomelorelay.Outgoing{To: d.from, Message: r.asker.Running(m.Upstream)})
	case *pomelorelay.RunningReport:
		r.out = r.owner.Running(x.now, d.from, m, r.out)
	}
}

// granted runs the lowest account's request; its account makes the next one wait.
func (x *exchange) granted(r *exchangeRouter, from pomelorelay.NodeID, g *pomelorelay.Grant) {
	usable := r.asker.Granted(x.now, from, g)
	id, _, ok := pomelorelay.RequestID(0), pomelorelay.Tag(0), false
	if usable {
		id, _, ok = r.queues.Pop(x.now, g.Pool)
	}
	pool := 0
	for p := range x.cfg.pools {
		if poolName(p) == g.Pool {
			pool = p
		}
	}
	if !ok {
		x.settle(r, g.ID, pool, pomelorelay.GrantReturned)
		return
	}
	account := r.account[id]
	delete(r.account, id)
	x.push(r, account)
	// Durations differ by half to either side, so that slots do not free themselves all at once.
	spread := time.Duration(uint64(id)*2654435761%1000) * x.cfg.duration / 1000
	r.ends = append(r.ends, ending{at: x.now.Add(x.cfg.duration/2 + spread), request: id, grant: g.ID, pool: pool, started: x.now})
	x.settle(r, g.ID, pool, pomelorelay.GrantUsed)
}
