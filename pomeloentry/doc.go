// Package pomeloentry runs one router of the fleet. A single control goroutine
// owns all decision state (placement, shares, fleet membership). The request path,
// the store reader, the mesh links to other routers and the HTTP listeners run in
// other goroutines and send it events.
package pomeloentry
