// Package pomelofeedback keeps the load that one upstream announces in its
// responses and estimates from it how slow the upstream's host is at the
// moment and how many requests it runs. It starts no goroutines, takes no
// locks, performs no I/O, and is not safe for concurrent use.
package pomelofeedback
