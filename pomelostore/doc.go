// Package pomelostore is the client of the platform's key-value service and
// host list over HTTP and JSON, with a call budget and a circuit breaker.
//
// Client implements Store and HostList of the root package. SettleWrite reads
// a record back after the response to a write was lost.
package pomelostore
