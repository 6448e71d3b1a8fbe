// Package pomelospeed estimates the prefill speed of model engines from the
// times to first token. A Line is the linear model of all engines of one
// service, a Factor the ratio of one engine to that model, and a Ratio a
// decaying estimate of how often prefills stall streams or how long copies of
// cached prompt parts take. The package has no goroutines, locks or I/O, and
// its types are not safe for concurrent use.
package pomelospeed
