// Package pomeloledger keeps what each account has been served over the fleet.
//
// A Ledger is the host's side: it merges cumulative reports of the routers of
// its failure domain by maximum per origin, exchanges one component per
// failure domain with the hosts of the same shard elsewhere, and rebuilds
// itself by asking. A Reporter is the router's side. Both are decision parts:
// no goroutines, no locks, no I/O, not safe for concurrent use.
package pomeloledger
