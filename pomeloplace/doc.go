// Package pomeloplace selects the upstream for each request and refuses requests that no upstream can serve in time. It tracks the load of
// the whole fleet: this router's own requests directly, those of other routers through their load reports. It starts no goroutines, takes no
// locks, performs no I/O, and is not safe for concurrent use.
package pomeloplace
