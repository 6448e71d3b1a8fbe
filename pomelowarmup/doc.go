// Package pomelowarmup bounds the requests per second that a fleet of routers sends to a cold upstream, one that has just started. A few
// routers of the upstream's region, chosen by rendezvous hashing, hold parts of the bound as token buckets; the other routers send nothing
// to it until it is warm.
package pomelowarmup
