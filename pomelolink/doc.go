// Package pomelolink performs single HTTP exchanges with upstreams. It keeps
// idle connections, counts the bytes written to each, and checks that an answer
// belongs to its request and is complete, so that after a failure it is known
// whether the request may have run. It never sends a request twice.
package pomelolink
