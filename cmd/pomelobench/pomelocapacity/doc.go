// Package pomelocapacity measures what each role of a router costs at several sizes, fits a slope to each cost, and
// writes docs/CAPACITY.md: the sum for one node at the target size beside what it may spend.
package pomelocapacity
