// Package pomeloslot shares the slots of upstreams among routers: an Owner grants
// an upstream's free slots to the routers whose waiting accounts have had the
// least, and an Asker decides at which owners its router registers.
//
// Both are decision parts: no goroutines, no locks, no I/O, and not safe for
// concurrent use. A new Owner first asks the routers what runs at its
// upstreams; what an upstream keeps of prompts it learns from cache events,
// which may be late or missing.
package pomeloslot
