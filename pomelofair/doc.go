// Package pomelofair implements weighted fair queueing of the waiting and running
// requests of one router. In each pool, the account that has received the least
// normalised service (cost divided by weight) across the fleet is served first.
//
// A Queues is a pure state machine: it starts no goroutines, takes no locks, does
// no I/O and is not safe for concurrent use. LedgerEntry.Served is normalised by
// the weight that the account had when it was charged, so that a change of weight
// does not change any account's tag.
package pomelofair
