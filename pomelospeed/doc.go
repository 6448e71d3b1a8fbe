// Package pomelospeed learns how fast model engines read prompts, from the
// times to the first token of their answers. A Line is what the engines of one
// service have in common, a Factor how one engine differs from it, a Ratio
// whether reading holds streams up and how long copies take. They are decision
// parts: no goroutines, no locks, no I/O, and not safe for concurrent
// use.
package pomelospeed
