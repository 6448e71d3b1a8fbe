// Package pomeloroom estimates how long requests occupy the slots of small
// model engines, when a slot of a full engine becomes free, and how many slots
// a request beyond its account's share leaves free. The package has no
// goroutines, locks or I/O, and its types are not safe for concurrent use.
package pomeloroom
