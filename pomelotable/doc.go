// Package pomelotable looks up the route, the client account and the service of
// a request in one version of the operators' configuration. A Table is
// immutable, so that traffic reads it without locks.
package pomelotable
