// Package pomeloplace decides which upstream a request is sent to, and whether
// one can serve it in time at all. It keeps what the whole fleet has on each
// upstream: its own requests at once, the other routers' by their reports. It
// is a decision part: no goroutines, no locks, no I/O, and not safe for
// concurrent use.
package pomeloplace
