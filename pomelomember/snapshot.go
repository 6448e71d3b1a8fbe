package pomelomember

import "github.com/pomelorelay/pomelorelay"

// Snapshot is an immutable list of the live routers.
type Snapshot struct {
	self    pomelorelay.Peer
	domains []Domain
	byNode  map[pomelorelay.NodeID]pomelorelay.Peer
}

// Domain is a failure domain with its live routers.
type Domain struct {
	ID        pomelorelay.DomainID
	Region    pomelorelay.RegionID
	Members   []pomelorelay.NodeID
	Reachable bool
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
