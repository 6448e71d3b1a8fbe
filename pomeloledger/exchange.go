package pomeloledger

import (
	"time"

	"github.com/pomelorelay/pomelorelay"

	"github.com/cespare/xxhash/v2"
)

// exchangeWithinRegion sends changed entries of this domain, and those received from other regions, to the hosts in the
// region's other domains.
func (l *Ledger) exchangeWithinRegion(now time.Time, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	for _, s := range l.order {
		if s.phase != rebuilt {
			continue
		}
		components := l.regionComponents(now, s)
		for _, domain := range l.cfg.Fleet.Domains() {
			if domain.ID != l.cfg.Self.Domain && domain.Region == l.cfg.Self.Region {
				out = l.sendComponents(s, domain.ID, components, out)
			}
		}
	}
	return out
}

func (l *Ledger) regionComponents(now time.Time, s *shard) []*pomelorelay.LedgerComponent {
	own := &pomelorelay.LedgerComponent{Shard: s.id, Domain: l.cfg.Self.Domain}
	components := []*pomelorelay.LedgerComponent{own}
	start, refreshed := s.regionCursor, 0
	for i := range s.order {
		index := (start + i) % len(s.order)
		a := s.order[index]
		due := a.regionSends > 0
		if !due && refreshed < l.cfg.Options.RefreshPerExchange {
			due = true
			refreshed++
			s.regionCursor = index + 1
		}
		if due && len(own.Entries) < l.cfg.Options.MaxEntries {
			own.Entries = append(own.Entries, a.componentEntry(now, s.phase, nil))
			a.regionSends = max(0, a.regionSends-1)
		}
		for j := range a.foreignComponents {
			if c := &a.foreignComponents[j]; c.regionSends > 0 {
				c.regionSends--
				components = appendEntry(components, s.id, c.domain, a.componentEntry(now, s.phase, c))
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

func (l *Ledger) sendComponents(s *shard, domain pomelorelay.DomainID, components []*pomelorelay.LedgerComponent, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
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

// exchangeAcrossRegions sends the changed entries of this region's domains to one host in each other region. For each
// shard, one domain per region sends and receives, so that a change crosses regions once regardless of the number of
// domains.
func (l *Ledger) exchangeAcrossRegions(now time.Time, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	domains := l.cfg.Fleet.Domains()
	for _, s := range l.order {
		if s.phase != rebuilt || l.regionGateway(s.id, l.cfg.Self.Region, domains) != l.cfg.Self.Domain {
			continue
		}
		components := l.crossComponents(now, s, domains)
		for _, region := range otherRegions(domains, l.cfg.Self.Region) {
			out = l.sendComponents(s, l.regionGateway(s.id, region, domains), components, out)
		}
	}
	return out
}

func (l *Ledger) crossComponents(now time.Time, s *shard, domains []DomainInfo) []*pomelorelay.LedgerComponent {
	var components []*pomelorelay.LedgerComponent
	start, refreshed := s.crossCursor, 0
	for i := range s.order {
		index := (start + i) % len(s.order)
		a := s.order[index]
		refresh := refreshed < l.cfg.Options.RefreshPerExchange
		if refresh {
			refreshed++
			s.crossCursor = index + 1
		}
		if a.crossSends > 0 || refresh {
			a.crossSends = max(0, a.crossSends-1)
			components = appendEntry(components, s.id, l.cfg.Self.Domain, a.componentEntry(now, s.phase, nil))
		}
		for j := range a.foreignComponents {
			c := &a.foreignComponents[j]
			if regionOf(domains, c.domain) == l.cfg.Self.Region && (c.crossSends > 0 || refresh) {
				c.crossSends = max(0, c.crossSends-1)
				components = appendEntry(components, s.id, c.domain, a.componentEntry(now, s.phase, c))
			}
		}
	}
	return components
}

// regionGateway returns the domain of a region that exchanges a shard with other regions, chosen by rendezvous hashing.
func (l *Ledger) regionGateway(id pomelorelay.ShardID, region pomelorelay.RegionID, domains []DomainInfo) pomelorelay.DomainID {
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

// fromOtherRegion reports whether the sender is a host in another region, whose totals are forwarded within this
// region.
func (l *Ledger) fromOtherRegion(s *shard, from pomelorelay.NodeID) bool {
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
		listed := domain.Region == own
		for _, region := range regions {
			listed = listed || region == domain.Region
		}
		if !listed {
			regions = append(regions, domain.Region)
		}
	}
	return regions
}
