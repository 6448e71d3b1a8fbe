// Package pomelospeed estimates the prefill speed of model engines from the
// times to first token: a linear model for all engines of one service, the
// ratio of each engine to that model, and decaying estimates of how often long
// prefills stall streams and of how long copies of cached prompt parts take.
// The package has no goroutines, locks or I/O, and its types are not safe for
// concurrent use.
package pomelospeed
