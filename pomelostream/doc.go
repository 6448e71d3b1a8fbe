// Package pomelostream decides at which software version of the upstreams a resumed stream may continue: it remembers at which version
// streams began, on this and other routers, and which versions of a service there have been lately. It is a decision part without goroutines.
package pomelostream
