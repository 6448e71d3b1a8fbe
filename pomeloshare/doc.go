// Package pomeloshare reckons what each client account is owed of a capacity
// that all share: the max-min fair share over a sliding window, from what every
// router of the fleet saw asked and served. It is a decision part: no
// goroutines, no locks, no I/O, and not safe for concurrent use.
package pomeloshare
