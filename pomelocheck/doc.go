// Package pomelocheck checks what must always hold of a router fleet against
// observations of it: typed events from callers, stand-ins, upstreams and
// routers go in, violations come out.  Tests, the bench and the audit of a
// running fleet use the same checks.
package pomelocheck
