// Package pomelorelay declares the types shared by all packages of the router:
// identifiers, units, messages between routers, result codes, log events, and
// the interfaces that the other packages implement.
package pomelorelay
