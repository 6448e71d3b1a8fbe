// Package pomelostore is the client of the platform's key-value service and
// host list over HTTP and JSON, with a call budget and a circuit breaker.
//
// Client implements Store and HostList of the root package. The outcome of a
// write whose response was lost is found by reading the record back.
package pomelostore
