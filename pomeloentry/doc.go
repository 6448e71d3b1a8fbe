// Package pomeloentry assembles one router on the users' platform: a control
// goroutine that owns every decision part, the traffic path beside it, the
// watches of the platform's store, the links to the other routers and the
// listeners.
package pomeloentry
