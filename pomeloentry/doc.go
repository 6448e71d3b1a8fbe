// Package pomeloentry runs one router of the fleet. A single control goroutine
// owns all decision state (placement, shares, fleet membership). The request path,
// the store watches, the mesh links to other routers and the HTTP listeners run
// beside it and exchange events with it.
package pomeloentry
