// Package pomeloclaim ensures that a non-idempotent request runs at most once.
//
// Before such a request is sent, its router obtains a durable claim for the
// request's idempotency key, and settles the claim when the request has ended.
// Claims are sharded by key. A Keeper stores the claims of its shards in the
// platform's store and writes many of them with one compare-and-swap. The
// requester on each router requests and settles claims, and resends its messages
// when a shard's keeper changes.
//
// Keepers and requesters are driven by messages and the current time, start no
// goroutines and are not safe for concurrent use. Their methods add to an *Output
// instead of returning messages, because a Keeper also requests store operations.
package pomeloclaim
