// Package pomelolog writes numbered events as JSON lines through an
// asynchronous writer, so that a slow log never holds traffic or control.
package pomelolog
