package pomeloledger_test

import (
	"fmt"
	"math"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloledger"
)

var epoch = time.Unix(1_800_000_000, 0)

const tickInterval = 100 * time.Millisecond

var accounts = []pomelorelay.LedgerKey{{Pool: "p", Account: "a0"}, {Pool: "p", Account: "a1"}, {Pool: "q", Account: "a0"}}

type router struct {
	node        pomelorelay.NodeID
	incarnation pomelorelay.Incarnation
	up          bool
	reporter    *pomeloledger.Reporter
	served      map[pomelorelay.LedgerKey]pomelorelay.Cost
}

type heldMessage struct {
	from        pomelorelay.NodeID
	incarnation pomelorelay.Incarnation
	to          pomelorelay.NodeID
	message     pomelorelay.Message
}

// testFleet simulates ledgers and routers on virtual time and holds every message until it is delivered explicitly.
type testFleet struct {
	now                time.Time
	domains            []pomeloledger.DomainInfo
	hosts              map[pomelorelay.DomainID]pomelorelay.NodeID
	ledgers            map[pomelorelay.NodeID]*pomeloledger.Ledger
	routers            []*router
	held               []heldMessage
	expected           map[pomelorelay.LedgerKey]pomelorelay.Cost
	crossRegionEntries int
}

func newTestFleet(regions ...pomelorelay.RegionID) *testFleet {
	w := &testFleet{now: epoch, hosts: make(map[pomelorelay.DomainID]pomelorelay.NodeID), ledgers: make(map[pomelorelay.NodeID]*pomeloledger.Ledger), expected: make(map[pomelorelay.LedgerKey]pomelorelay.Cost)}
	for i, region := range regions {
		w.domains = append(w.domains, pomeloledger.DomainInfo{ID: pomelorelay.DomainID(fmt.Sprintf("d%d", i)), Region: region})
	}
	for i := range 3 {
		w.routers = append(w.routers, &router{node: pomelorelay.NodeID(fmt.Sprintf("r%d", i))})
		w.restart(w.routers[i])
	}
	for i := range w.domains {
		w.replaceHost(i, 0)
	}
	return w
}

func (w *testFleet) restart(r *router) {
	r.incarnation = pomelorelay.Incarnation(w.now.UnixNano())
	r.up = true
	r.served = make(map[pomelorelay.LedgerKey]pomelorelay.Cost)
	r.reporter = pomeloledger.NewReporter(pomeloledger.ReporterConfig{Shards: 1, Host: func(pomelorelay.ShardID) (pomelorelay.NodeID, bool) {
		return w.hosts["d0"], true
	}})
	r.reporter.SetInterest(accounts)
}

// replaceHost makes an empty ledger the host of the domain. The previous host keeps running, like a router that has not
// received the membership change.
func (w *testFleet) replaceHost(domain, number int) {
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
	w.hold(node, 1, l.AddShard(w.now, 0, nil))
}

func (w *testFleet) liveRouters(domain pomelorelay.DomainID) []pomelorelay.NodeID {
	var nodes []pomelorelay.NodeID
	for _, r := range w.routers {
		if r.up && domain == "d0" {
			nodes = append(nodes, r.node)
		}
	}
	return nodes
}

func (w *testFleet) hold(from pomelorelay.NodeID, inc pomelorelay.Incarnation, out []pomelorelay.Outgoing) {
	for _, o := range out {
		if m, ok := o.Message.(*pomelorelay.LedgerComponent); ok && o.To[:2] != from[:2] && w.region(o.To) != w.region(from) {
			w.crossRegionEntries += countSum(m, 10)
		}
		w.held = append(w.held, heldMessage{from: from, incarnation: inc, to: o.To, message: o.Message})
	}
}

// countSum counts the entries with the given sum in a component of domain d0; it returns zero for a component of
// another domain.
func countSum(m *pomelorelay.LedgerComponent, sum pomelorelay.Cost) int {
	n := 0
	for i := range m.Entries {
		if m.Domain == "d0" && m.Entries[i].Served == sum {
			n++
		}
	}
	return n
}

func (w *testFleet) region(node pomelorelay.NodeID) pomelorelay.RegionID {
	for _, d := range w.domains {
		if d.ID == pomelorelay.DomainID(node[:2]) {
			return d.Region
		}
	}
	return ""
}

func (w *testFleet) deliver(l heldMessage) {
	if ledger, ok := w.ledgers[l.to]; ok {
		switch m := l.message.(type) {
		case *pomelorelay.LedgerReport:
			w.hold(l.to, 1, ledger.HandleReport(w.now, l.from, l.incarnation, m, nil))
		case *pomelorelay.LedgerComponent:
			w.hold(l.to, 1, ledger.HandleComponent(w.now, l.from, m, nil))
		case *pomelorelay.LedgerComponentQuery:
			w.hold(l.to, 1, ledger.HandleComponentQuery(w.now, l.from, m, nil))
		}
		return
	}
	for _, r := range w.routers {
		if r.node != l.to || !r.up {
			continue
		}
		switch m := l.message.(type) {
		case *pomelorelay.LedgerTotals:
			r.reporter.HandleTotals(w.now, l.from, m)
		case *pomelorelay.LedgerQuery:
			w.hold(r.node, r.incarnation, r.reporter.HandleQuery(w.now, l.from, m, nil))
		}
	}
}

func (w *testFleet) recordServed(r *router, key pomelorelay.LedgerKey, cost pomelorelay.Cost) {
	r.served[key] += cost
	w.expected[key] += cost
	r.reporter.UpdateEntries([]pomelorelay.LedgerEntry{{Pool: key.Pool, Account: key.Account, Served: r.served[key], Waiting: true}})
}

func (w *testFleet) advance() {
	w.now = w.now.Add(tickInterval)
	for _, r := range w.routers {
		if r.up {
			w.hold(r.node, r.incarnation, r.reporter.Tick(w.now, nil))
		}
	}
	for _, d := range w.domains {
		for n := range 20 {
			node := pomelorelay.NodeID(fmt.Sprintf("%s-host%d", d.ID, n))
			if l, ok := w.ledgers[node]; ok {
				w.hold(node, 1, l.Tick(w.now, nil))
			}
		}
	}
}

func (w *testFleet) deliverAll() {
	for len(w.held) > 0 {
		l := w.held[0]
		w.held = w.held[1:]
		w.deliver(l)
	}
}

// runWithoutFaults advances the fleet by d and delivers every message.
func (w *testFleet) runWithoutFaults(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.advance()
		w.deliverAll()
	}
}

func (w *testFleet) total(domain pomelorelay.DomainID, key pomelorelay.LedgerKey) pomelorelay.Cost {
	e, _ := w.ledgers[w.hosts[domain]].Total(w.now, key)
	return e.Served
}

// failer is implemented by testing.T and rapid.T.
type failer interface {
	Fatalf(format string, args ...any)
}

func (w *testFleet) checkNotAboveExpected(t failer) {
	for node, l := range w.ledgers {
		for _, key := range accounts {
			if e, _ := l.Total(w.now, key); e.Served > w.expected[key]+1e-6 {
				t.Fatalf("%s has total %v for %v, want at most %v", node, e.Served, key, w.expected[key])
			}
		}
	}
}

func (w *testFleet) checkExact(t failer) {
	for _, d := range w.domains {
		for _, key := range accounts {
			if got := w.total(d.ID, key); math.Abs(float64(got-w.expected[key])) > 1e-6 {
				t.Fatalf("host of %s has total %v for %v, want %v", d.ID, got, key, w.expected[key])
			}
		}
	}
}
