// Package pomelofake provides stand-ins for the systems around a router fleet:
// a model engine, a plain HTTP service, the platform's store and host list, and
// a TCP relay between routers.  Faults can be injected into each in code or over
// HTTP, and each counts what it did, so that tests can compare what a caller saw
// with what took place.
package pomelofake
