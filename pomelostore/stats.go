package pomelostore

import "expvar"

// Stats holds the counters of a client's calls, as expvar.Int values that a program can publish.
type Stats struct {
	// Gets, Writes, Watches, Leases and HostLists count the calls sent, by type.
	Gets, Writes, Watches, Leases, HostLists expvar.Int
	// Failures counts calls without a response or with a status that shows a failure of the store.
	Failures expvar.Int
	// Unknown counts mutating calls that may have taken effect, because their response was lost or invalid.
	Unknown expvar.Int
	// Conflicts counts writes that failed because another writer changed the record first.
	Conflicts expvar.Int
	// Throttled counts calls refused by the client's call budget or by the store's rate limit.
	Throttled expvar.Int
	// Broken counts calls refused because the breaker was open.
	Broken expvar.Int
}

// Var returns the counters as one expvar map.
func (s *Stats) Var() expvar.Var {
	m := new(expvar.Map).Init()
	for name, count := range map[string]*expvar.Int{
		"Gets": &s.Gets, "Writes": &s.Writes, "Watches": &s.Watches, "Leases": &s.Leases, "HostLists": &s.HostLists,
		"Failures": &s.Failures, "Unknown": &s.Unknown, "Conflicts": &s.Conflicts, "Throttled": &s.Throttled, "Broken": &s.Broken,
	} {
		m.Set(name, count)
	}
	return m
}
