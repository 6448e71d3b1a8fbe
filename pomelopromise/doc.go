// Package pomelopromise counts what becomes of callers that are told to return
// by a Retry-After: whether their return is admitted or refused again. It has no
// goroutines, locks or I/O and is not safe for concurrent use; its state is local
// to a router, bounded, and expires.
package pomelopromise
