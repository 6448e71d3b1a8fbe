// Package pomeloroute handles the requests of a router's callers. It
// authenticates a request, waits for a slot, sends the request to one upstream,
// records whether it may have run, checks that the answer is complete and
// belongs to the request, and forwards the answer. It has no access to the
// control goroutine's state and uses only the interfaces in its Config.
package pomeloroute
