package pomeloledger

import (
	"time"

	"github.com/pomelorelay/pomelorelay"

	"github.com/cespare/xxhash/v2"
)

// exchangeNear tells the hosts in the region's other domains what changed here, and what came from other regions.
func (l *Ledger) exchangeNear(now time.Time, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	for _, s := range l.order {
		if s.phase != settled {
			continue
		}
		components := l.nearComponents(now, s)
		for _, domain := range l.cfg.Fleet.Domains() {
			if domain.ID != l.cfg.Self.Domain && domain.Region == l.cfg.Self.Region {
				out = l.tell(s, domain.ID, components, out)
			}
		}
	}
	return out
}

func (l *Ledger) nearComponents(now time.Time, s *shard) []*pomelorelay.LedgerComponent {
	own := &pomelorelay.LedgerComponent{Shard: s.id, Domain: l.cfg.Self.Domain}
	components := []*pomelorelay.LedgerComponent{own}
	first, refreshed := s.near, 0
	for i := range s.order {
		at := (first + i) % len(s.order)
		a := s.order[at]
		due := a.near > 0
		if !due && refreshed < l.cfg.Options.Refresh {
			due = true
			refreshed++
			s.near = at + 1
		}
		if due && len(own.Entries) < l.cfg.Options.MaxEntries {
			own.Entries = append(own.Entries, a.component(now, s.phase, nil))
			a.near = max(0, a.near-1)
		}
		for j := range a.foreign {
			if c := &a.foreign[j]; c.near > 0 {
				c.near--
				components = appendEntry(components, s.id, c.domain, a.component(now, s.phase, c))
			}
		}
	}
	return components
}

func appendEntry(components []*pomelorelay.LedgerComponent, id pomelorelay.ShardID, domain pomelorelay.DomainID, e pomelorelay.LedgerComponentEntry) []*pomelorelay.LedgerComponent {
	for _, c := range components {
		if c.Domain == domain {
			c.Entries = append(c.Entries, e)
			return components
		}
	}
	return append(components, &pomelorelay.LedgerComponent{Shard: id, Domain: domain, Entries: []pomelorelay.LedgerComponentEntry{e}})
}

func (l *Ledger) tell(s *shard, domain pomelorelay.DomainID, components []*pomelorelay.LedgerComponent, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	host, ok := l.cfg.Fleet.Host(s.id, domain)
	if !ok {
		return out
	}
	for _, c := range components {
		if len(c.Entries) > 0 {
			out = append(out, pomelorelay.Outgoing{To: host, Message: c})
		}
	}
	return out
}

// exchangeCross tells one host in each other region what changed in this region's domains. One domain of each region
// speaks and listens for a shard, so that a change crosses once, whatever the number of domains.
func (l *Ledger) exchangeCross(now time.Time, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	domains := l.cfg.Fleet.Domains()
	for _, s := range l.order {
		if s.phase != settled || l.speaker(s.id, l.cfg.Self.Region, domains) != l.cfg.Self.Domain {
			continue
		}
		components := l.crossComponents(now, s, domains)
		for _, region := range otherRegions(domains, l.cfg.Self.Region) {
			out = l.tell(s, l.speaker(s.id, region, domains), components, out)
		}
	}
	return out
}

func (l *Ledger) crossComponents(now time.Time, s *shard, domains []DomainInfo) []*pomelorelay.LedgerComponent {
	var components []*pomelorelay.LedgerComponent
	first, refreshed := s.cross, 0
	for i := range s.order {
		at := (first + i) % len(s.order)
		a := s.order[at]
		refresh := refreshed < l.cfg.Options.Refresh
		if refresh {
			refreshed++
			s.cross = at + 1
		}
		if a.cross > 0 || refresh {
			a.cross = max(0, a.cross-1)
			components = appendEntry(components, s.id, l.cfg.Self.Domain, a.component(now, s.phase, nil))
		}
		for j := range a.foreign {
			c := &a.foreign[j]
			if regionOf(domains, c.domain) == l.cfg.Self.Region && (c.cross > 0 || refresh) {
				c.cross = max(0, c.cross-1)
				components = appendEntry(components, s.id, c.domain, a.component(now, s.phase, c))
			}
		}
	}
	return components
}

// speaker returns the domain of a region that exchanges a shard with other regions.
func (l *Ledger) speaker(id pomelorelay.ShardID, region pomelorelay.RegionID, domains []DomainInfo) pomelorelay.DomainID {
	var best pomelorelay.DomainID
	var highest uint64
	for _, domain := range domains {
		score := (xxhash.Sum64String(string(domain.ID)) ^ uint64(id)*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
		if domain.Region == region && (best == "" || score > highest) {
			best = domain.ID
			highest = score
		}
	}
	return best
}

// fromAfar reports whether a host in another region sent a component, which is then passed on within this one.
func (l *Ledger) fromAfar(s *shard, from pomelorelay.NodeID) bool {
	for _, domain := range l.cfg.Fleet.Domains() {
		if host, ok := l.cfg.Fleet.Host(s.id, domain.ID); ok && host == from {
			return domain.Region != l.cfg.Self.Region
		}
	}
	return false
}

func regionOf(domains []DomainInfo, id pomelorelay.DomainID) pomelorelay.RegionID {
	for _, domain := range domains {
		if domain.ID == id {
			return domain.Region
		}
	}
	return ""
}

func otherRegions(domains []DomainInfo, own pomelorelay.RegionID) []pomelorelay.RegionID {
	var regions []pomelorelay.RegionID
	for _, domain := range domains {
		known := domain.Region == own
		for _, region := range regions {
			known = known || region == domain.Region
		}
		if !known {
			regions = append(regions, domain.Region)
		}
	}
	return regions
}
