// Package pomelomember decides which routers are alive and which of them does
// a shared job. It joins the platform's host list with suspicion by probes and
// incarnations, and places jobs by rendezvous hashing.
//
// It is a decision part: no goroutines, no locks, no I/O. A View is not safe
// for concurrent use; a Snapshot is immutable and may be shared.
package pomelomember
