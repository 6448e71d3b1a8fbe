// Package pomelotable looks up the route, the client account and the service of
// a request in one version of the fleet's configuration. A Table is immutable,
// so that request handlers read it without locks.
package pomelotable
