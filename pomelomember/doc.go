// Package pomelomember implements the membership protocol of the router fleet,
// and assigns fleet-wide jobs (slot ownership, ledger and claim shards) to live
// routers by rendezvous hashing. It combines the platform's host list with
// failure detection in the manner of SWIM: probes, indirect probes, suspicion,
// and incarnations for refutation.
//
// The package has no goroutines, locks or I/O. A View is not safe for
// concurrent use; a Snapshot is immutable and may be shared.
package pomelomember
