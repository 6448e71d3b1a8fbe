// Package pomeloquarantine keeps a request that crashes upstreams from taking
// down one after the other. A Table at each router knows suspects and
// quarantined fingerprints; an Arbiter, at the routers that the node's
// placement picks for a fingerprint and for an upstream, lets a suspect run
// only where no other suspect runs. Both are decision parts: they take the time
// and messages and return messages, and are not safe for concurrent use.
package pomeloquarantine
