// Package pomeloshare computes each client account's max-min fair share of a
// common capacity over a sliding window, from the tokens that all routers of
// the fleet saw requested and served, and by how much accounts lead those that
// are owed service. It has no goroutines, locks or I/O and is not safe for
// concurrent use.
package pomeloshare
