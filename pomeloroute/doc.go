// Package pomeloroute is the traffic path of a router: it authenticates a
// caller's request, waits for a slot, sends the request to one upstream with
// proof of what left, checks that the answer is whole and its own, and passes
// it on. It never touches control state; it reads snapshots and waits on the
// narrow interfaces of its Config.
package pomeloroute
