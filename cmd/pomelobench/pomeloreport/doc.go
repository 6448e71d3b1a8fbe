// Package pomeloreport turns the record of a load run into one HTML page with
// plots of gap, utilisation, control bytes and latency over time, the faults
// marked.
package pomeloreport
