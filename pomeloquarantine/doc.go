// Package pomeloquarantine prevents a request that crashes upstreams from
// crashing one upstream after another.
//
// Requests are identified by the fingerprint of their content. When an upstream
// crashes, all requests that ran there become suspects. There are two ways to
// find the cause among them:
//
// With a Table and an Arbiter, a suspect may run again only while no other
// suspect runs on the same upstream: if that upstream crashes too, the crash is
// attributed to the suspect, and its fingerprint is quarantined on all routers;
// if the run ends cleanly, the suspect is cleared. A Table on each router holds
// suspects and quarantined fingerprints. An Arbiter grants the locks under which
// suspects run; which router arbitrates is determined by the fingerprint and by
// the upstream. Two crashes suffice, but suspects wait for their locks.
//
// With a CrashLog, suspects run as other requests do, and a fingerprint is
// quarantined after its third crash unless a request with it was served. Each
// router has a CrashLog with the crashes of all routers.
//
// Tables, Arbiters and CrashLogs are driven by messages and the current time,
// and none is safe for concurrent use.
package pomeloquarantine
