// Package pomeloledger accounts for the service that each client account has
// received across the fleet.
//
// Accounts are sharded, and each failure domain has one host per shard. A
// Ledger runs on the hosts: it merges the cumulative reports of the routers of
// its failure domain by maximum per router incarnation, exchanges one component
// per failure domain with the hosts of the same shard in other domains, and
// rebuilds a newly hosted shard by querying those hosts and its own routers. A
// Reporter runs on every router and sends that router's reports. Neither starts
// goroutines, takes locks or does I/O, and neither is safe for concurrent use.
package pomeloledger
