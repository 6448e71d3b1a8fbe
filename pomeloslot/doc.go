// Package pomeloslot distributes the concurrency slots of upstreams among
// routers. Each upstream has one owner router that grants its free slots to the
// routers whose waiting accounts have received the least normalised service. On
// every router a requester decides at which owners to register the router's
// waiting requests and keeps track of the grants that it holds.
//
// Owners and requesters are pure state machines: they start no goroutines, take
// no locks, do no I/O and are not safe for concurrent use. The caller passes in
// the current time and sends the messages that the methods append. A new owner
// first queries the routers for the requests that they run on its upstreams.
// Owners learn from cache events, which may be late or missing, which prompt
// prefixes an upstream holds.
package pomeloslot
