package pomeloledger

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// rebuild queries the hosts or routers that have not answered, and advances the phase once all have answered or the
// phase has timed out.
func (l *Ledger) rebuild(now time.Time, s *shard, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	l.advancePhase(now, s)
	if s.phase == rebuilt || now.Before(s.nextQuery) {
		return out
	}
	s.nextQuery = now.Add(l.cfg.Options.QueryInterval)
	if s.phase == queryingDomains {
		for _, host := range l.pendingHosts(s) {
			out = append(out, pomelorelay.Outgoing{To: host, Message: &pomelorelay.LedgerComponentQuery{Shard: s.id}})
		}
		return out
	}
	for _, router := range l.cfg.Fleet.Routers() {
		if s.pendingRouters[router] {
			out = append(out, pomelorelay.Outgoing{To: router, Message: &pomelorelay.LedgerQuery{Shard: s.id, Round: s.round}})
		}
	}
	return out
}

// pendingHosts returns the hosts in other domains that have not answered, sorted by domain.
func (l *Ledger) pendingHosts(s *shard) []pomelorelay.NodeID {
	var hosts []pomelorelay.NodeID
	for _, domain := range l.cfg.Fleet.Domains() {
		if host, ok := l.cfg.Fleet.Host(s.id, domain.ID); ok && s.pendingHosts[host] {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// advancePhase moves a rebuild to its next phase when that is due. Totals sent to routers before the rebuild is
// complete would be too low, and accounts that have received much service would be preferred until the missing reports
// arrived.
func (l *Ledger) advancePhase(now time.Time, s *shard) {
	elapsed := now.Sub(s.hostedSince)
	if s.phase == queryingDomains && (len(s.pendingHosts) == 0 || elapsed >= l.cfg.Options.RebuildTimeout/2) {
		s.phase = queryingRouters
		s.nextQuery = now
		for _, router := range l.cfg.Fleet.Routers() {
			s.pendingRouters[router] = true
		}
	}
	if s.phase == queryingRouters && (len(s.pendingRouters) == 0 || elapsed >= l.cfg.Options.RebuildTimeout) {
		s.finishRebuild(now, l.cfg.Options.SendsPerChange)
	}
}

// HandleComponentQuery answers another domain's host with one component per domain (the service that accounts received
// in that domain). The component of the querying domain is sent first and marked full; on receiving it, the querying
// host counts this domain as having answered.
func (l *Ledger) HandleComponentQuery(now time.Time, from pomelorelay.NodeID, m *pomelorelay.LedgerComponentQuery, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	s, ok := l.shards[m.Shard]
	if !ok {
		return out
	}
	requester, found := l.domainOfHost(s.id, from)
	if !found {
		return out
	}
	out = append(out, l.componentMessage(now, s, requester, from, true))
	for _, domain := range l.cfg.Fleet.Domains() {
		if domain.ID != requester {
			out = append(out, l.componentMessage(now, s, domain.ID, from, false))
		}
	}
	return out
}

// domainOfHost returns the domain in which a router hosts a shard, or false when the router does not host the shard.
func (l *Ledger) domainOfHost(id pomelorelay.ShardID, node pomelorelay.NodeID) (pomelorelay.DomainID, bool) {
	for _, domain := range l.cfg.Fleet.Domains() {
		if host, ok := l.cfg.Fleet.Host(id, domain.ID); ok && host == node {
			return domain.ID, true
		}
	}
	return "", false
}

func (l *Ledger) componentMessage(now time.Time, s *shard, domain pomelorelay.DomainID, to pomelorelay.NodeID, full bool) pomelorelay.Outgoing {
	m := &pomelorelay.LedgerComponent{Shard: s.id, Domain: domain, Full: full}
	for _, a := range s.order {
		if domain == l.cfg.Self.Domain {
			m.Entries = append(m.Entries, a.componentEntry(now, s.phase, nil))
			continue
		}
		for i := range a.foreignComponents {
			if a.foreignComponents[i].domain == domain {
				m.Entries = append(m.Entries, a.componentEntry(now, s.phase, &a.foreignComponents[i]))
			}
		}
	}
	return pomelorelay.Outgoing{To: to, Message: m}
}

// HandleComponent merges a component (the service that accounts received in one domain) from another domain's host.
func (l *Ledger) HandleComponent(now time.Time, from pomelorelay.NodeID, m *pomelorelay.LedgerComponent, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	s, ok := l.shards[m.Shard]
	if !ok {
		return out
	}
	if m.Domain == l.cfg.Self.Domain {
		l.mergeOwnComponent(now, s, from, m)
		return out
	}
	regionSends := 0
	if l.fromOtherRegion(s, from) {
		regionSends = l.cfg.Options.SendsPerChange
	}
	for i := range m.Entries {
		e := &m.Entries[i]
		a := s.account(pomelorelay.LedgerKey{Pool: e.Pool, Account: e.Account})
		l.mergeForeignEntry(now, a, m.Domain, e, regionSends)
	}
	return out
}

// mergeOwnComponent merges another domain's copy of this domain's component, only while domains are queried. A later
// copy may be newer than a router's full report; the difference would be kept as residue and counted again with the
// router's next report.
func (l *Ledger) mergeOwnComponent(now time.Time, s *shard, from pomelorelay.NodeID, m *pomelorelay.LedgerComponent) {
	if s.phase != queryingDomains {
		return
	}
	for i := range m.Entries {
		e := &m.Entries[i]
		a := s.account(pomelorelay.LedgerKey{Pool: e.Pool, Account: e.Account})
		a.peerSum = max(a.peerSum, e.Served)
		a.peerDeparted = max(a.peerDeparted, e.Departed)
		a.lift = max(a.lift, e.Lift)
	}
	if m.Full {
		delete(s.pendingHosts, from)
		l.advancePhase(now, s)
	}
}

func (l *Ledger) mergeForeignEntry(now time.Time, a *account, domain pomelorelay.DomainID, e *pomelorelay.LedgerComponentEntry, regionSends int) {
	c := a.foreignComponent(domain)
	changed := e.Served > c.sum || e.Departed > c.departed || e.Lift > a.lift || e.Waiting != now.Before(c.waitingUntil)
	c.sum = max(c.sum, e.Served)
	c.departed = max(c.departed, e.Departed)
	a.lift = max(a.lift, e.Lift)
	c.waitingUntil = time.Time{}
	if e.Waiting {
		c.waitingUntil = now.Add(l.cfg.Options.WaitingTTL)
	}
	if changed {
		c.regionSends = max(c.regionSends, regionSends)
		c.crossSends = l.cfg.Options.SendsPerChange
	}
}
