// Package pomelorelay declares what the parts of the router fleet share: ids,
// units, messages between routers, result codes, log events and the interfaces
// that implementations in the packages below it fulfil.
package pomelorelay
