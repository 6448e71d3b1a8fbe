// Package pomelooverload decides which requests a router refuses while its
// processor is overloaded. It measures how long requests wait for the processor,
// recognises a standing queue by the minimum of that delay as CoDel does, limits
// the rate of admitted requests, and refuses the least important ones first.
// The package has no goroutines, locks or I/O, and its types are not safe for
// concurrent use.
package pomelooverload
