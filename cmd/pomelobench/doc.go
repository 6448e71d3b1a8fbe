// Command pomelobench runs stand-ins (simulated upstreams, store, host list
// and links), generates load on routers or directly on stand-ins, checks the
// observations against the fleet's invariants, renders the record of a run as
// an HTML page with plots, and measures latency and configuration propagation.
package main
