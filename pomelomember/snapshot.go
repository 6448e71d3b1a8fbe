package pomelomember

import (
	"cmp"
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Snapshot is an immutable list of the live routers.
type Snapshot struct {
	domains []Domain
	byNode  map[pomelorelay.NodeID]pomelorelay.Peer
}

// Domain is a failure domain with its live routers; Members leaves out those that the host list says are leaving.
type Domain struct {
	ID      pomelorelay.DomainID
	Region  pomelorelay.RegionID
	Members []pomelorelay.NodeID
}

// Members returns the live routers of a failure domain in the order of their names; the caller must not change it.
func (s *Snapshot) Members(domain pomelorelay.DomainID) []pomelorelay.NodeID {
	for i := range s.domains {
		if s.domains[i].ID == domain {
			return s.domains[i].Members
		}
	}
	return nil
}

// Domains returns the failure domains in the order of their names; the caller must not change it.
func (s *Snapshot) Domains() []Domain { return s.domains }

// Peer returns a live router by its name.
func (s *Snapshot) Peer(node pomelorelay.NodeID) (pomelorelay.Peer, bool) {
	p, ok := s.byNode[node]
	return p, ok
}

// Owner returns the live router of a failure domain that does the job named by key, or false when there is none.
func (s *Snapshot) Owner(key string, domain pomelorelay.DomainID) (pomelorelay.NodeID, bool) {
	return Owner(key, s.Members(domain))
}

// Snapshot returns the live members as they are now; it is the same one until something changes.
func (v *View) Snapshot() *Snapshot {
	if v.snapshot != nil {
		return v.snapshot
	}
	s := &Snapshot{byNode: make(map[pomelorelay.NodeID]pomelorelay.Peer)}
	if !v.leaving {
		s.add(v.cfg.Self)
	}
	for _, m := range v.members {
		if m.located && m.live() {
			s.byNode[m.peer.Node] = m.peer
		}
		if m.placed() {
			s.add(m.peer)
		}
	}
	slices.SortFunc(s.domains, func(a, b Domain) int { return cmp.Compare(a.ID, b.ID) })
	for i := range s.domains {
		slices.Sort(s.domains[i].Members)
	}
	v.snapshot = s
	return s
}

func (s *Snapshot) add(p pomelorelay.Peer) {
	s.byNode[p.Node] = p
	for i := range s.domains {
		if s.domains[i].ID == p.Domain {
			s.domains[i].Members = append(s.domains[i].Members, p.Node)
			return
		}
	}
	s.domains = append(s.domains, Domain{ID: p.Domain, Region: p.Region, Members: []pomelorelay.NodeID{p.Node}})
}

// ReachableDomains appends the failure domains that were heard lately, this router's own included, in the order of their names.
func (v *View) ReachableDomains(now time.Time, out []pomelorelay.DomainID) []pomelorelay.DomainID {
	for _, domain := range v.Snapshot().domains {
		if v.domainReached(now, domain.ID) {
			out = append(out, domain.ID)
		}
	}
	return out
}
