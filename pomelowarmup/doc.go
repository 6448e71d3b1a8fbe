// Package pomelowarmup bounds what a fleet of routers sends in a second to upstreams that have just started and are cold. A few routers of the
// upstream's region, chosen by rendezvous hashing, hold parts of the bound as token buckets; the others send nothing until it is warm.
package pomelowarmup
