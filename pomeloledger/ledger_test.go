package pomeloledger_test

import (
	"fmt"
	"math"
	"runtime"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloledger"
	"github.com/pomelorelay/pomelorelay/pomelomesh"

	"pgregory.net/rapid"
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
	w.post(node, 1, l.Host(w.now, 0, nil))
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
			w.post(l.to, 1, ledger.Report(w.now, l.from, l.inc, m, nil))
		case *pomelorelay.LedgerComponent:
			w.post(l.to, 1, ledger.Component(w.now, l.from, m, nil))
		case *pomelorelay.LedgerComponentQuery:
			w.post(l.to, 1, ledger.ComponentQuery(w.now, l.from, m, nil))
		}
		return
	}
	for _, r := range w.routers {
		if r.node != l.to || !r.up {
			continue
		}
		switch m := l.value.(type) {
		case *pomelorelay.LedgerTotals:
			r.reporter.Totals(w.now, l.from, m)
		case *pomelorelay.LedgerQuery:
			w.post(r.node, r.inc, r.reporter.Query(w.now, l.from, m, nil))
		}
	}
}

func (w *world) serve(r *router, key pomelorelay.LedgerKey, cost pomelorelay.Cost) {
	r.served[key] += cost
	w.truth[key] += cost
	r.reporter.Changed([]pomelorelay.LedgerEntry{{Pool: key.Pool, Account: key.Account, Served: r.served[key], Waiting: true}})
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

// schedule lets a random one of the held messages go, get lost or go twice.
func (w *world) schedule(t *rapid.T) {
	if len(w.flying) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.flying)-1).Draw(t, "message")
	l := w.flying[i]
	fate := rapid.IntRange(0, 9).Draw(t, "fate")
	if fate != 0 {
		w.flying = append(w.flying[:i], w.flying[i+1:]...)
	}
	if fate != 1 {
		w.deliver(l)
	}
}

func TestNothingIsLostOrCountedTwice(t *testing.T) {
	// Reports are lost, repeated, crossed and sent to two hosts, and the host is replaced by an empty one in the middle. An account counted twice is served too late, one forgotten too early.
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld("north", "north", "south")
		replaced := 0
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			switch rapid.IntRange(0, 11).Draw(t, "what") {
			case 0, 1, 2:
				r := w.routers[rapid.IntRange(0, 2).Draw(t, "router")]
				w.serve(r, rapid.SampledFrom(accounts).Draw(t, "account"), pomelorelay.Cost(rapid.IntRange(1, 9).Draw(t, "cost")))
			case 3, 4, 5:
				w.advance()
			case 6:
				replaced = min(replaced+1, 15)
				w.host(0, replaced)
			default:
				w.schedule(t)
			}
			w.neverAbove(t)
		}
		w.calm(30 * time.Second)
		w.neverAbove(t)
		w.exact(t)
	})
}

func TestRestartsAndDeathsNeverCountTwice(t *testing.T) {
	// Routers restart, die, and come back from behind a partition with their old process, while the host is replaced. What a dead router reported must stay, and must not be added again when it turns out to live.
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld("north", "north")
		replaced := 0
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			r := w.routers[rapid.IntRange(0, 2).Draw(t, "router")]
			switch rapid.IntRange(0, 13).Draw(t, "what") {
			case 0, 1, 2:
				if r.up {
					w.serve(r, rapid.SampledFrom(accounts).Draw(t, "account"), pomelorelay.Cost(rapid.IntRange(1, 9).Draw(t, "cost")))
				}
			case 3, 4, 5:
				w.advance()
			case 6:
				replaced = min(replaced+1, 15)
				w.host(0, replaced)
			case 7:
				r.up = !r.up
				w.ledgers[w.hosts["d0"]].MemberGone(w.now, r.node)
			case 8:
				w.now = w.now.Add(step)
				w.restart(r)
			case 9:
				w.calm(time.Duration(rapid.IntRange(1, 80).Draw(t, "calm")) * time.Second)
			default:
				w.schedule(t)
			}
			w.neverAbove(t)
		}
	})
}

func TestDepartedServiceSurvivesTheHost(t *testing.T) {
	// A router dies, and later the host that remembered its service. The new host hears of it only from the other domain.
	w := newWorld("north", "north")
	w.serve(w.routers[0], accounts[0], 70)
	w.serve(w.routers[1], accounts[0], 30)
	w.calm(10 * time.Second)
	w.routers[1].up = false
	delete(w.ledgers, w.hosts["d0"])
	w.host(0, 1)
	w.calm(10 * time.Second)
	w.serve(w.routers[0], accounts[0], 5)
	w.calm(10 * time.Second)
	w.exact(t)
	w.routers[1].up = true
	w.serve(w.routers[1], accounts[0], 2)
	w.calm(10 * time.Second)
	w.neverAbove(t)
	w.exact(t)
}

func TestNotReadyBeforeItHasAsked(t *testing.T) {
	// A new host that answered with what it has would hand out zeroes, and accounts that got most would go first.
	w := newWorld("north", "north")
	w.serve(w.routers[0], accounts[0], 50)
	w.calm(10 * time.Second)
	w.routers[2].up = true
	delete(w.ledgers, w.hosts["d0"])
	w.host(0, 1)
	l := w.ledgers[w.hosts["d0"]]
	out := l.Report(w.now, "r1", w.routers[1].inc, &pomelorelay.LedgerReport{Interest: accounts}, nil)
	if len(out) != 1 || out[0].Message.(*pomelorelay.LedgerTotals).Ready {
		t.Fatalf("%+v", out)
	}
	w.calm(time.Second)
	if _, ready := l.Hosts(0); !ready || l.Short(0) {
		t.Error("not rebuilt within a second without faults")
	}
	w.exact(t)
	w.hosts["d1"] = "d1-lost"
	w.host(0, 2)
	for range 40 {
		w.advance()
		w.flying = nil
	}
	if _, ready := w.ledgers[w.hosts["d0"]].Hosts(0); !ready || !w.ledgers[w.hosts["d0"]].Short(0) {
		t.Error("not opened at the time limit")
	}
}

func TestRegionsExchangeOnce(t *testing.T) {
	// Links between regions are paid by volume. Six domains that all told each other would send each change nine times.
	w := newWorld("north", "north", "north", "south", "south", "south")
	w.calm(20 * time.Second)
	w.serve(w.routers[0], accounts[0], 10)
	w.calm(30 * time.Second)
	w.exact(t)
	t.Logf("one change crossed regions %d times in 6 exchanges, repeats and refreshes included", w.crossed)
	if w.crossed > 7 {
		t.Errorf("%d times", w.crossed)
	}
}

func TestMergeDoesNotAllocate(t *testing.T) {
	w := newWorld("north")
	w.calm(5 * time.Second)
	l := w.ledgers[w.hosts["d0"]]
	report := &pomelorelay.LedgerReport{}
	for i := range 100 {
		report.Entries = append(report.Entries, pomelorelay.LedgerEntry{Pool: "p", Account: pomelorelay.AccountID(fmt.Sprintf("account-%d", i)), Served: 1})
	}
	out := make([]pomelorelay.Outgoing, 0, 4)
	allocated := testing.AllocsPerRun(100, func() {
		report.Entries[5].Served++
		l.Report(w.now, "r0", w.routers[0].inc, report, out)
	})
	if allocated > 1 {
		t.Errorf("%v allocations for 100 entries; the answer is one", allocated)
	}
}

func BenchmarkMerge(b *testing.B) {
	w := newWorld("north")
	w.calm(5 * time.Second)
	l := w.ledgers[w.hosts["d0"]]
	report := &pomelorelay.LedgerReport{}
	for i := range 512 {
		report.Entries = append(report.Entries, pomelorelay.LedgerEntry{Pool: "assistant/small", Account: pomelorelay.AccountID(fmt.Sprintf("workshop-%05d", i)), Served: 1234.5, Waiting: true})
	}
	data, err := pomelomesh.EncodeMessage(report)
	if err != nil {
		b.Fatal(err)
	}
	out := make([]pomelorelay.Outgoing, 0, 4)
	b.ReportAllocs()
	for b.Loop() {
		l.Report(w.now, "r0", w.routers[0].inc, report, out)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/512, "ns/entry")
	b.ReportMetric(float64(len(data))/512, "B/entry")
}

// BenchmarkState reports the memory of an account with two origins and five other domains.
func BenchmarkState(b *testing.B) {
	const n = 10_000
	for b.Loop() {
		before := heap()
		w := newWorld("north")
		w.calm(5 * time.Second)
		l := w.ledgers[w.hosts["d0"]]
		for i := range n {
			key := pomelorelay.AccountID(fmt.Sprintf("workshop-%05d", i))
			report := &pomelorelay.LedgerReport{Entries: []pomelorelay.LedgerEntry{{Pool: "assistant/small", Account: key, Served: 1}}}
			l.Report(w.now, "r0", w.routers[0].inc, report, nil)
			l.Report(w.now, "r1", w.routers[1].inc, report, nil)
			for d := range 5 {
				l.Component(w.now, "x", &pomelorelay.LedgerComponent{Domain: pomelorelay.DomainID(fmt.Sprintf("x%d", d)), Entries: []pomelorelay.LedgerComponentEntry{{Pool: "assistant/small", Account: key, Sum: 1}}}, nil)
			}
		}
		b.ReportMetric(float64(heap()-before)/n, "B/account")
		runtime.KeepAlive(l)
	}
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
