package pomelocapacity

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloledger"
)

// LedgerFigures is what reporting and hosting the service totals cost.
type LedgerFigures struct {
	// A reporter by the accounts that wait at its router.
	ReporterCore, ReporterMessages, ReporterBytes Series
	// A reporter by the accounts that it has reported since its start, of which few wait.
	ReporterKnownCore, ReporterKnownMemory Series
	// A host by the accounts of the fleet, and by the number of failure domains.
	HostCore, HostBytes, HostMemory, HostByDomains Series
	// Report and Answer are what a node sends a second at the target, Exchange by link class.
	Report, Answer flow
	Exchange       classed
	// Rebuild is what a new host of one shard gets, in bytes.
	Rebuild float64
}

const ledgerSpan = 20 * time.Second

// ledgerRun is one router that hosts its part of the shards, with every router of its domain reporting to it.
type ledgerRun struct {
	t        Target
	now      time.Time
	shards   uint32
	every    time.Duration
	domains  []pomeloledger.DomainInfo
	nodes    []pomelorelay.NodeID
	host     *pomeloledger.Ledger
	hosted   []pomelorelay.ShardID
	accounts [][]int // of each hosted shard
	answers  flow
	exchange classed
	step     int
}

func newLedgerRun(t Target, accounts, domains int, shards uint32, every time.Duration) *ledgerRun {
	l := &ledgerRun{t: t, now: start, shards: shards, every: every}
	for d := range domains {
		l.domains = append(l.domains, pomeloledger.DomainInfo{ID: domainName(d), Region: regionName(t, d)})
	}
	for i := range t.Routers() {
		l.nodes = append(l.nodes, routerName(0, i))
	}
	l.host = pomeloledger.New(pomeloledger.Config{
		Self: memberPeer(t, 0, 0), Shards: shards,
		Fleet: pomeloledger.Fleet{
			Routers: func() []pomelorelay.NodeID { return l.nodes },
			Domains: func() []pomeloledger.DomainInfo { return l.domains },
			Host: func(_ pomelorelay.ShardID, domain pomelorelay.DomainID) (pomelorelay.NodeID, bool) {
				return pomelorelay.NodeID(domain), true
			},
		},
	})
	// A router hosts one shard in most cases, and two where there are more shards than routers.
	for i := range (int(shards) + t.Routers() - 1) / t.Routers() {
		l.hosted = append(l.hosted, pomelorelay.ShardID(i))
	}
	l.accounts = make([][]int, len(l.hosted))
	for a := range accounts {
		if s := int(pomeloledger.ShardOf(accountName(a), shards)); s < len(l.hosted) {
			l.accounts[s] = append(l.accounts[s], a)
		}
	}
	return l
}

// fill tells the host of every account: two routers of its own domain served it, and every other domain did.
func (l *ledgerRun) fill() {
	for s, shard := range l.hosted {
		l.host.Host(l.now, shard, nil)
		for i, node := range l.nodes {
			report := &pomelorelay.LedgerReport{Shard: shard, Seq: 1, Full: true}
			for _, a := range l.accounts[s] {
				if a%len(l.nodes) == i || (a+7)%len(l.nodes) == i {
					report.Entries = append(report.Entries, l.entry(a, false))
				}
			}
			l.host.Report(l.now, node, 1, report, nil)
		}
		for _, d := range l.domains[1:] {
			m := &pomelorelay.LedgerComponent{Shard: shard, Domain: d.ID, Full: true}
			for _, a := range l.accounts[s] {
				m.Entries = append(m.Entries, pomelorelay.LedgerComponentEntry{Pool: poolName(a % l.t.Pools), Account: accountName(a), Sum: 1})
			}
			l.host.Component(l.now, pomelorelay.NodeID(d.ID), m, nil)
		}
	}
}

func (l *ledgerRun) entry(a int, waiting bool) pomelorelay.LedgerEntry {
	return pomelorelay.LedgerEntry{
		Pool: poolName(a % l.t.Pools), Account: accountName(a), Served: pomelorelay.Cost(1234.5 + float64(l.step)), Waiting: waiting,
	}
}

// waits tells whether an account is backlogged, and at this domain.
func (l *ledgerRun) waits(a int) bool {
	part := l.t.Accounts / l.t.Backlogged
	return a%part == 0 && a/part%len(l.domains) == 0
}

// run lets every router report what waits there and changed, at the interval.
func (l *ledgerRun) run(d time.Duration) {
	for end := l.now.Add(d); l.now.Before(end); {
		l.now = l.now.Add(l.every)
		l.step++
		for s, shard := range l.hosted {
			l.report(s, shard)
		}
		l.tick()
	}
}

func (l *ledgerRun) report(s int, shard pomelorelay.ShardID) {
	for i, node := range l.nodes {
		report := pomelorelay.LedgerReport{Shard: shard, Seq: uint64(l.step) + 1}
		for _, a := range l.accounts[s] {
			if l.waits(a) && a/7%len(l.nodes) == i {
				e := l.entry(a, true)
				report.Entries = append(report.Entries, e)
				report.Interest = append(report.Interest, pomelorelay.LedgerKey{Pool: e.Pool, Account: e.Account})
			}
		}
		if len(report.Entries) == 0 {
			continue
		}
		for _, o := range l.host.Report(l.now, node, 1, &report, nil) {
			l.answers.add(o.Message)
		}
	}
}

func (l *ledgerRun) tick() {
	for _, o := range l.host.Tick(l.now, nil) {
		class := pomelorelay.LinkCross
		if regionName(l.t, 0) == l.regionOf(o.To) {
			class = pomelorelay.LinkRegion
		}
		l.exchange.add(class, o.Message)
	}
}

func (l *ledgerRun) regionOf(node pomelorelay.NodeID) pomelorelay.RegionID {
	for _, d := range l.domains {
		if pomelorelay.NodeID(d.ID) == node {
			return d.Region
		}
	}
	return ""
}

// hostRun returns µs a second, what is sent a second, and the memory of one router's part of the shards.
func hostRun(t Target, accounts, domains int, shards uint32, every time.Duration) (core, memory float64, answers flow, exchange classed) {
	memory = held(func() any {
		l := newLedgerRun(t, accounts, domains, shards, every)
		l.fill()
		l.accounts = nil
		return l.host
	})
	l := newLedgerRun(t, accounts, domains, shards, every)
	l.fill()
	l.run(5 * time.Second)
	spent := timed(func() func() {
		l.answers, l.exchange = flow{}, classed{}
		return func() { l.run(ledgerSpan) }
	})
	part := float64(shards) / float64(t.Routers()) / float64(len(l.hosted))
	n := ledgerSpan.Seconds() / part
	return micros(spent) / n, memory * part, l.answers.per(n), l.exchange.per(n)
}

// reporterRun returns what a reporter costs and sends a second while the accounts wait at its router.
func reporterRun(t Target, waiting int, shards uint32, every time.Duration) (float64, flow) {
	var sent flow
	spent := timed(func() func() {
		sent = flow{}
		r := pomeloledger.NewReporter(pomeloledger.ReporterConfig{
			Shards: shards, Every: every,
			Host: func(s pomelorelay.ShardID) (pomelorelay.NodeID, bool) { return routerName(0, int(s)%t.Routers()), true },
		})
		return func() { sent = reports(t, r, waiting, every) }
	})
	return micros(spent) / ledgerSpan.Seconds(), sent.per(ledgerSpan.Seconds())
}

func reports(t Target, r *pomeloledger.Reporter, waiting int, every time.Duration) flow {
	var sent flow
	var out []pomelorelay.Outgoing
	var entries []pomelorelay.LedgerEntry
	var keys []pomelorelay.LedgerKey
	for now := start; now.Before(start.Add(ledgerSpan)); now = now.Add(every) {
		entries, keys = entries[:0], keys[:0]
		for a := range waiting {
			e := pomelorelay.LedgerEntry{Pool: poolName(a % t.Pools), Account: accountName(a * 37), Served: pomelorelay.Cost(now.Sub(start).Seconds()), Waiting: true}
			entries = append(entries, e)
			keys = append(keys, pomelorelay.LedgerKey{Pool: e.Pool, Account: e.Account})
		}
		r.Changed(entries)
		r.SetInterest(keys)
		out = r.Tick(now, out[:0])
		for _, o := range out {
			sent.add(o.Message)
			m := o.Message.(*pomelorelay.LedgerReport)
			r.Totals(now, o.To, &pomelorelay.LedgerTotals{Shard: m.Shard, Ready: true, Seq: m.Seq})
		}
	}
	return sent
}

func measureLedger(t Target, shards uint32, every time.Duration) LedgerFigures {
	var f LedgerFigures
	const role = "Ledger"
	f.measureReporter(t, shards, every)
	f.measureKnown(t, shards, every)
	var core, bytes, memory, domains []Point
	for _, accounts := range []int{100, 1_000, 10_000, t.Accounts} {
		c, m, answers, exchange := hostRun(t, accounts, t.Domains, shards, every)
		x := float64(accounts)
		core = append(core, Point{x, c})
		memory = append(memory, Point{x, m})
		bytes = append(bytes, Point{x, answers.bytes + exchange[1].bytes + exchange[2].bytes})
		f.Answer, f.Exchange = answers, exchange
	}
	for _, n := range []int{2, 4, t.Domains} {
		_, _, _, exchange := hostRun(t, t.Accounts, n, shards, every)
		domains = append(domains, Point{float64(n), exchange[1].bytes + exchange[2].bytes})
	}
	f.HostCore = Series{role + ", host", "processor time", "µs/s a node", "accounts", Fit(core)}
	f.HostBytes = Series{role + ", host", "bytes before framing", "B/s a node", "accounts", Fit(bytes)}
	f.HostMemory = Series{role + ", host", "memory", "B a node", "accounts", Fit(memory)}
	f.HostByDomains = Series{role + ", host", "bytes to other domains", "B/s a node", "failure domains", Fit(domains)}
	l := newLedgerRun(t, t.Accounts, t.Domains, shards, every)
	for range t.Routers() {
		f.Rebuild += size(&pomelorelay.LedgerReport{Shard: 1, Full: true})
	}
	f.Rebuild += 2 * float64(len(l.accounts[0])) * size(&pomelorelay.LedgerReport{Entries: []pomelorelay.LedgerEntry{l.entry(1, false)}})
	return f
}

// newReporter returns a reporter that has reported the accounts and was answered.
func newReporter(t Target, known int, shards uint32, every time.Duration) *pomeloledger.Reporter {
	r := pomeloledger.NewReporter(pomeloledger.ReporterConfig{
		Shards: shards, Every: every, MaxEntries: known + 1,
		Host: func(s pomelorelay.ShardID) (pomelorelay.NodeID, bool) { return routerName(0, int(s)%t.Routers()), true },
	})
	var entries []pomelorelay.LedgerEntry
	for a := range known {
		entries = append(entries, pomelorelay.LedgerEntry{Pool: poolName(a % t.Pools), Account: accountName(a * 37), Served: 1})
	}
	r.Changed(entries)
	now := start.Add(-time.Minute)
	for _, o := range r.Tick(now, nil) {
		m := o.Message.(*pomelorelay.LedgerReport)
		r.Totals(now, o.To, &pomelorelay.LedgerTotals{Shard: m.Shard, Ready: true, Seq: m.Seq})
	}
	return r
}

// measureKnown measures reporters that have reported many accounts.
func (f *LedgerFigures) measureKnown(t Target, shards uint32, every time.Duration) {
	var core, memory []Point
	for _, known := range []int{100, 1_000, 10_000, t.Accounts} {
		spent := timed(func() func() {
			r := newReporter(t, known, shards, every)
			return func() { reports(t, r, t.Backlogged/t.Nodes, every) }
		})
		core = append(core, Point{float64(known), micros(spent) / ledgerSpan.Seconds()})
		memory = append(memory, Point{float64(known), held(func() any { return newReporter(t, known, shards, every) })})
	}
	const role, sizes = "Ledger, reporter", "accounts reported since the start"
	f.ReporterKnownCore = Series{role, "processor time", "µs/s a node", sizes, Fit(core)}
	f.ReporterKnownMemory = Series{role, "memory", "B a node", sizes, Fit(memory)}
}

func (f *LedgerFigures) measureReporter(t Target, shards uint32, every time.Duration) {
	const role, sizes = "Ledger, reporter", "accounts waiting at the router"
	target := t.Backlogged / t.Nodes
	var core, messages, bytes []Point
	for _, waiting := range []int{1, 4, target, 40, 100} {
		c, sent := reporterRun(t, waiting, shards, every)
		x := float64(waiting)
		core = append(core, Point{x, c})
		messages = append(messages, Point{x, sent.messages})
		bytes = append(bytes, Point{x, sent.bytes})
		if waiting == target {
			f.Report = sent
		}
	}
	f.ReporterCore = Series{role, "processor time", "µs/s a node", sizes, Fit(core)}
	f.ReporterMessages = Series{role, "messages sent", "1/s a node", sizes, Fit(messages)}
	f.ReporterBytes = Series{role, "bytes before framing", "B/s a node", sizes, Fit(bytes)}
}
