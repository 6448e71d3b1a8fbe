// Package pomelolink carries single exchanges with upstreams: it keeps idle
// connections, counts every byte that is handed to one, and checks that an
// answer belongs to its request and is whole. What is known of a request after
// a failure is therefore never a guess. It never sends anything twice.
package pomelolink
