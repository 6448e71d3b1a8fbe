// Package pomeloquarantine prevents a request that crashes upstreams from
// crashing one upstream after another.
//
// Requests are identified by the fingerprint of their content. When an upstream
// crashes, all requests that ran there become suspects. A suspect may run again
// only while no other suspect runs on the same upstream: if that upstream crashes
// too, the crash is attributed to the suspect, and its fingerprint is quarantined
// on all routers; if the run ends cleanly, the suspect is cleared.
//
// A Table on each router holds suspects and quarantined fingerprints. An Arbiter
// grants the locks under which suspects run; which router arbitrates is
// determined by the fingerprint and by the upstream. Tables and Arbiters are
// driven by messages and the current time, and neither is safe for concurrent
// use.
package pomeloquarantine
