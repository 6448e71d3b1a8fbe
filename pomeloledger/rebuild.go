package pomeloledger

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// rebuild asks whoever has not answered and moves on when all have, or when the time for it is over.
func (l *Ledger) rebuild(now time.Time, s *shard, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	l.progress(now, s)
	if s.phase == settled || now.Before(s.nextQuery) {
		return out
	}
	s.nextQuery = now.Add(l.cfg.Options.QueryEvery)
	if s.phase == askingDomains {
		for _, host := range l.otherHosts(s) {
			out = append(out, pomelorelay.Outgoing{To: host, Message: &pomelorelay.LedgerComponentQuery{Shard: s.id}})
		}
		return out
	}
	for _, router := range l.cfg.Fleet.Routers() {
		if s.routers[router] {
			out = append(out, pomelorelay.Outgoing{To: router, Message: &pomelorelay.LedgerQuery{Shard: s.id, Round: s.round}})
		}
	}
	return out
}

// otherHosts returns the hosts that have not answered, in the order of their domains.
func (l *Ledger) otherHosts(s *shard) []pomelorelay.NodeID {
	var hosts []pomelorelay.NodeID
	for _, domain := range l.cfg.Fleet.Domains() {
		if host, ok := l.cfg.Fleet.Host(s.id, domain.ID); ok && s.domains[host] {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// progress moves a rebuild to its next phase. A host that served totals earlier would hand out zeroes for accounts that
// got much, and those would be served first until the rest had come in.
func (l *Ledger) progress(now time.Time, s *shard) {
	waited := now.Sub(s.hosted)
	if s.phase == askingDomains && (len(s.domains) == 0 || waited >= l.cfg.Options.RebuildLimit/2) {
		s.phase = askingRouters
		s.nextQuery = now
		for _, router := range l.cfg.Fleet.Routers() {
			s.routers[router] = true
		}
	}
	if s.phase == askingRouters && (len(s.routers) == 0 || waited >= l.cfg.Options.RebuildLimit) {
		s.settle(now, l.cfg.Options.Repeats)
	}
}

// HandleComponentQuery answers another domain's host with every component known here, the asker's own first: that one tells
// the asker that this domain has answered.
func (l *Ledger) HandleComponentQuery(now time.Time, from pomelorelay.NodeID, m *pomelorelay.LedgerComponentQuery, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	s, ok := l.shards[m.Shard]
	if !ok {
		return out
	}
	asker, found := l.domainOf(s.id, from)
	if !found {
		return out
	}
	out = append(out, l.component(now, s, asker, from, true))
	for _, domain := range l.cfg.Fleet.Domains() {
		if domain.ID != asker {
			out = append(out, l.component(now, s, domain.ID, from, false))
		}
	}
	return out
}

// domainOf returns the domain whose host of a shard a router is.
func (l *Ledger) domainOf(id pomelorelay.ShardID, node pomelorelay.NodeID) (pomelorelay.DomainID, bool) {
	for _, domain := range l.cfg.Fleet.Domains() {
		if host, ok := l.cfg.Fleet.Host(id, domain.ID); ok && host == node {
			return domain.ID, true
		}
	}
	return "", false
}

func (l *Ledger) component(now time.Time, s *shard, domain pomelorelay.DomainID, to pomelorelay.NodeID, full bool) pomelorelay.Outgoing {
	m := &pomelorelay.LedgerComponent{Shard: s.id, Domain: domain, Full: full}
	for _, a := range s.order {
		if domain == l.cfg.Self.Domain {
			m.Entries = append(m.Entries, a.component(now, s.phase, nil))
			continue
		}
		for i := range a.foreign {
			if a.foreign[i].domain == domain {
				m.Entries = append(m.Entries, a.component(now, s.phase, &a.foreign[i]))
			}
		}
	}
	return pomelorelay.Outgoing{To: to, Message: m}
}

// HandleComponent merges what another domain's host knows.
func (l *Ledger) HandleComponent(now time.Time, from pomelorelay.NodeID, m *pomelorelay.LedgerComponent, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	s, ok := l.shards[m.Shard]
	if !ok {
		return out
	}
	if m.Domain == l.cfg.Self.Domain {
		l.recall(now, s, from, m)
		return out
	}
	near := 0
	if l.fromAfar(s, from) {
		near = l.cfg.Options.Repeats
	}
	for i := range m.Entries {
		e := &m.Entries[i]
		a := s.account(pomelorelay.LedgerKey{Pool: e.Pool, Account: e.Account})
		l.mergeCell(now, a, m.Domain, e, near)
	}
	return out
}

// recall takes what another domain knows of this one; only while domains are asked. Later it could hold service of a
// router that is newer than the router's full report, and that service would be counted again as departed.
func (l *Ledger) recall(now time.Time, s *shard, from pomelorelay.NodeID, m *pomelorelay.LedgerComponent) {
	if s.phase != askingDomains {
		return
	}
	for i := range m.Entries {
		e := &m.Entries[i]
		a := s.account(pomelorelay.LedgerKey{Pool: e.Pool, Account: e.Account})
		a.knownSum = max(a.knownSum, e.Sum)
		a.knownDeparted = max(a.knownDeparted, e.Departed)
		a.lift = max(a.lift, e.Lift)
	}
	if m.Full {
		delete(s.domains, from)
		l.progress(now, s)
	}
}

func (l *Ledger) mergeCell(now time.Time, a *account, domain pomelorelay.DomainID, e *pomelorelay.LedgerComponentEntry, near int) {
	c := a.cell(domain)
	news := e.Sum > c.sum || e.Departed > c.departed || e.Lift > a.lift || e.Waiting != now.Before(c.waiting)
	c.sum = max(c.sum, e.Sum)
	c.departed = max(c.departed, e.Departed)
	a.lift = max(a.lift, e.Lift)
	c.waiting = time.Time{}
	if e.Waiting {
		c.waiting = now.Add(l.cfg.Options.WaitingFor)
	}
	if news {
		c.near = max(c.near, near)
		c.cross = l.cfg.Options.Repeats
	}
}
