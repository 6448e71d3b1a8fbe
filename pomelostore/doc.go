// Package pomelostore speaks to the platform's key-value service and host
// list over HTTP and JSON, within a call budget and behind a breaker.
//
// Client implements Store and HostList of the root package. SettleWrite reads
// a record back when the answer to a write was lost.
package pomelostore
