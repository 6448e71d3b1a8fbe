// Package pomeloentry runs one router of the fleet. A single control goroutine
// owns all decision state (placement, shares, fleet membership). Other
// goroutines handle requests, read the platform's store, serve the mesh links
// to other routers and listen for HTTP connections; they send events to the
// control goroutine.
package pomeloentry
