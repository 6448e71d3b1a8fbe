// Package pomelonode assembles a router from its components: a control
// goroutine, the only one that runs the components that make decisions; the
// handlers of callers' requests; and the listeners for callers and operators.
package pomelonode
