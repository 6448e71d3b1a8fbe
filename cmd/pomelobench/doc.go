// Command pomelobench runs stand-ins, puts a bounded load on routers or
// directly on stand-ins, judges what was seen by the invariant checks, and
// turns the record of a run into a page with plots.
package main
