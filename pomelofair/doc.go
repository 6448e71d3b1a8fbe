// Package pomelofair keeps the waiting and running requests of one router in
// fair queues: per pool, the account that has had the least service for its
// weight across the fleet is served first.
//
// A Queues is a decision part: no goroutines, no locks, no I/O, and not safe for
// concurrent use. LedgerEntry.Served holds cost that was divided by the account's
// weight when it was charged, so that a change of weight moves nobody's place.
package pomelofair
