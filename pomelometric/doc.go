// Package pomelometric counts what a router does and serves the counts in the
// text form of Prometheus.
package pomelometric
