// Package pomelometric collects a router's metrics and serves them in the
// Prometheus text format.
package pomelometric
