// Package pomelofake holds small stand-ins for what surrounds a router fleet:
// a model engine, a plain service, the platform's store and host list, and a
// TCP relay between routers.  Each can be told to fail, in code or over HTTP,
// and counts what it did, so that a test can tell what really happened.
package pomelofake
