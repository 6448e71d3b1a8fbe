// Package pomelocheck checks the invariants of a router fleet.  A Checker takes
// typed events observed at callers, stand-ins, upstreams and routers, and returns
// the violations.  Tests, the load generator and the audit of a running fleet use
// the same checks.
package pomelocheck
