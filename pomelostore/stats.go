package pomelostore

import "expvar"

// Stats counts a client's calls; each is an expvar.Int, so that a program can publish them.
type Stats struct {
	// Gets, Writes, Watches, Leases and HostLists count the calls sent, by kind.
	Gets, Writes, Watches, Leases, HostLists expvar.Int
	// Failures counts calls without an answer or with a failure of the store.
	Failures expvar.Int
	// Unknown counts writes whose answer was lost.
	Unknown expvar.Int
	// Conflicts counts writes that another writer forestalled.
	Conflicts expvar.Int
	// Throttled counts calls refused by the own budget or by the store's rate.
	Throttled expvar.Int
	// Broken counts calls refused by the open breaker.
	Broken expvar.Int
}

// Var returns the counts as one variable to publish.
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
