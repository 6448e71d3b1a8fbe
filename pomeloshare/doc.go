// Package pomeloshare computes each client account's max-min fair share of a
// common capacity over a sliding window, from the tokens that all routers of
// the fleet saw requested and served, and what limits accounts beyond their
// shares while others get less than they request. It has no goroutines, locks
// or I/O and is not safe for concurrent use.
package pomeloshare
