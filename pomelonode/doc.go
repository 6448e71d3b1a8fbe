// Package pomelonode assembles one router from the parts: a control goroutine
// that owns every decision part, the traffic path beside it, and the listeners
// for callers and operators.
package pomelonode
