// Package pomeloclaim lets a non-idempotent request run at most once: a Keeper
// makes claims durable in the platform's store, many by one compare-and-swap,
// and an Asker at each router asks for them, resends to a new keeper and
// settles them. Both are decision parts: they take the time and messages and
// return messages and store operations, run no goroutines, and are not safe
// for concurrent use. The methods take an *Output in place of a slice of
// messages because a Keeper also asks for store operations.
package pomeloclaim
