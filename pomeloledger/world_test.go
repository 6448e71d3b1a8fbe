package pomeloledger_test

import (
	"fmt"
	"math"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloledger"
)

var epoch = time.Unix(1_800_000_000, 0)

const step = 100 * time.Millisecond

var accounts = []pomelorelay.LedgerKey{{Pool: "p", Account: "a0"}, {Pool: "p", Account: "a1"}, {Pool: "q", Account: "a0"}}

type router struct {
	node     pomelorelay.NodeID
	inc      pomelorelay.Incarnation
	up       bool
	reporter *pomeloledger.Reporter
	served   map[pomelorelay.LedgerKey]pomelorelay.Cost
}

type letter struct {
	from  pomelorelay.NodeID
	inc   pomelorelay.Incarnation
	to    pomelorelay.NodeID
	value pomelorelay.Message
}

// world is a fleet of ledgers and routers, with every message held until a schedule lets it go.
type world struct {
	now     time.Time
	domains []pomeloledger.DomainInfo
	hosts   map[pomelorelay.DomainID]pomelorelay.NodeID
	ledgers map[pomelorelay.NodeID]*pomeloledger.Ledger
	routers []*router
	flying  []letter
	truth   map[pomelorelay.LedgerKey]pomelorelay.Cost
	crossed int
}

func newWorld(regions ...pomelorelay.RegionID) *world {
	w := &world{now: epoch, hosts: make(map[pomelorelay.DomainID]pomelorelay.NodeID), ledgers: make(map[pomelorelay.NodeID]*pomeloledger.Ledger), truth: make(map[pomelorelay.LedgerKey]pomelorelay.Cost)}
	for i, region := range regions {
		w.domains = append(w.domains, pomeloledger.DomainInfo{ID: pomelorelay.DomainID(fmt.Sprintf("d%d", i)), Region: region})
	}
	for i := range 3 {
		w.routers = append(w.routers, &router{node: pomelorelay.NodeID(fmt.Sprintf("r%d", i))})
		w.restart(w.routers[i])
	}
	for i := range w.domains {
		w.host(i, 0)
	}
	return w
}

func (w *world) restart(r *router) {
	r.inc = pomelorelay.Incarnation(w.now.UnixNano())
	r.up = true
	r.served = make(map[pomelorelay.LedgerKey]pomelorelay.Cost)
	r.reporter = pomeloledger.NewReporter(pomeloledger.ReporterConfig{Shards: 1, Host: func(pomelorelay.ShardID) (pomelorelay.NodeID, bool) {
		return w.hosts["d0"], true
	}})
	r.reporter.SetInterest(accounts)
}

// host makes an empty ledger the domain's host; the former one lives on, as a router that has not heard of the change.
func (w *world) host(domain, number int) {
	info := w.domains[domain]
	node := pomelorelay.NodeID(fmt.Sprintf("%s-host%d", info.ID, number))
	fleet := pomeloledger.Fleet{
		Routers: func() []pomelorelay.NodeID { return w.liveRouters(info.ID) },
		Domains: func() []pomeloledger.DomainInfo { return w.domains },
		Host: func(_ pomelorelay.ShardID, d pomelorelay.DomainID) (pomelorelay.NodeID, bool) {
			return w.hosts[d], w.hosts[d] != ""
		},
	}
	l := pomeloledger.New(pomeloledger.Config{Self: pomelorelay.Peer{Node: node, Domain: info.ID, Region: info.Region}, Fleet: fleet, Shards: 1})
	w.hosts[info.ID] = node
	w.ledgers[node] = l
	w.post(node, 1, l.AddShard(w.now, 0, nil))
}

func (w *world) liveRouters(domain pomelorelay.DomainID) []pomelorelay.NodeID {
	var nodes []pomelorelay.NodeID
	for _, r := range w.routers {
		if r.up && domain == "d0" {
			nodes = append(nodes, r.node)
		}
	}
	return nodes
}

func (w *world) post(from pomelorelay.NodeID, inc pomelorelay.Incarnation, out []pomelorelay.Outgoing) {
	for _, o := range out {
		if m, ok := o.Message.(*pomelorelay.LedgerComponent); ok && o.To[:2] != from[:2] && w.region(o.To) != w.region(from) {
			w.crossed += countSum(m, 10)
		}
		w.flying = append(w.flying, letter{from: from, inc: inc, to: o.To, value: o.Message})
	}
}

// countSum counts the entries of the first domain that carry a sum.
func countSum(m *pomelorelay.LedgerComponent, sum pomelorelay.Cost) int {
	n := 0
	for i := range m.Entries {
		if m.Domain == "d0" && m.Entries[i].Sum == sum {
			n++
		}
	}
	return n
}

func (w *world) region(node pomelorelay.NodeID) pomelorelay.RegionID {
	for _, d := range w.domains {
		if d.ID == pomelorelay.DomainID(node[:2]) {
			return d.Region
		}
	}
	return ""
}

func (w *world) deliver(l letter) {
	if ledger, ok := w.ledgers[l.to]; ok {
		switch m := l.value.(type) {
		case *pomelorelay.LedgerReport:
			w.post(l.to, 1, ledger.HandleReport(w.now, l.from, l.inc, m, nil))
		case *pomelorelay.LedgerComponent:
			w.post(l.to, 1, ledger.HandleComponent(w.now, l.from, m, nil))
		case *pomelorelay.LedgerComponentQuery:
			w.post(l.to, 1, ledger.HandleComponentQuery(w.now, l.from, m, nil))
		}
		return
	}
	for _, r := range w.routers {
		if r.node != l.to || !r.up {
			continue
		}
		switch m := l.value.(type) {
		case *pomelorelay.LedgerTotals:
			r.reporter.HandleTotals(w.now, l.from, m)
		case *pomelorelay.LedgerQuery:
			w.post(r.node, r.inc, r.reporter.HandleQuery(w.now, l.from, m, nil))
		}
	}
}

func (w *world) serve(r *router, key pomelorelay.LedgerKey, cost pomelorelay.Cost) {
	r.served[key] += cost
	w.truth[key] += cost
	r.reporter.UpdateEntries([]pomelorelay.LedgerEntry{{Pool: key.Pool, Account: key.Account, Served: r.served[key], Waiting: true}})
}

func (w *world) advance() {
	w.now = w.now.Add(step)
	for _, r := range w.routers {
		if r.up {
			w.post(r.node, r.inc, r.reporter.Tick(w.now, nil))
		}
	}
	for _, d := range w.domains {
		for n := range 20 {
			node := pomelorelay.NodeID(fmt.Sprintf("%s-host%d", d.ID, n))
			if l, ok := w.ledgers[node]; ok {
				w.post(node, 1, l.Tick(w.now, nil))
			}
		}
	}
}

func (w *world) flush() {
	for len(w.flying) > 0 {
		l := w.flying[0]
		w.flying = w.flying[1:]
		w.deliver(l)
	}
}

// calm runs without faults.
func (w *world) calm(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.advance()
		w.flush()
	}
}

func (w *world) total(domain pomelorelay.DomainID, key pomelorelay.LedgerKey) pomelorelay.Cost {
	e, _ := w.ledgers[w.hosts[domain]].Total(w.now, key)
	return e.Served
}

// fatal is what testing.T and rapid.T have in common.
type fatal interface {
	Fatalf(format string, args ...any)
}

func (w *world) neverAbove(t fatal) {
	for node, l := range w.ledgers {
		for _, key := range accounts {
			if e, _ := l.Total(w.now, key); e.Served > w.truth[key]+1e-6 {
				t.Fatalf("%s counts %v for %v, served %v", node, e.Served, key, w.truth[key])
			}
		}
	}
}

func (w *world) exact(t fatal) {
	for _, d := range w.domains {
		for _, key := range accounts {
			if got := w.total(d.ID, key); math.Abs(float64(got-w.truth[key])) > 1e-6 {
				t.Fatalf("%s counts %v for %v, served %v", d.ID, got, key, w.truth[key])
			}
		}
	}
}
