// Package pomeloslot shares the slots of upstreams among routers: an Owner grants
// an upstream's free slots to the routers whose waiting accounts have had the
// least, and an Asker decides at which owners its router registers.
//
// Both are decision parts: no goroutines, no locks, no I/O, and not safe for
// concurrent use. Beyond the agreed API, Own takes the peers to ask, and
// SetPeers, Back and Cached exist.
package pomeloslot
