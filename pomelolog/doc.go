// Package pomelolog writes log events as JSON lines through an asynchronous
// writer, so that slow log output never blocks requests or the control loop.
package pomelolog
