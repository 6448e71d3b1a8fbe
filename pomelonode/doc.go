// Package pomelonode assembles a router from its components: a control
// goroutine, which owns all components that make decisions, the request path,
// and the listeners for callers and operators.
package pomelonode
