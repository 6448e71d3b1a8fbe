// Package pomeloload puts a bounded load on routers or directly on stand-ins,
// disturbs them by steps, collects what callers, stand-ins and routers saw, and
// judges it by the checks of package pomelocheck.
package pomeloload
