// Package pomeloload generates load on routers, or directly on stand-ins
// (simulated upstreams), injects faults at planned times, records what
// callers, stand-ins and routers observe, and checks the observations with
// package pomelocheck.
package pomeloload
