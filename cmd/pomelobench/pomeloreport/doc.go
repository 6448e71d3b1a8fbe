// Package pomeloreport renders the report of a load run as an HTML page with
// plots of fairness gap, utilisation, control traffic, latency and completed
// attempts over time, with the injected faults marked.
package pomeloreport
