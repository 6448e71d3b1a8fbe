// Package pomelobounds compares the figures that go test -bench reports with committed bounds. Only counts and figures of
// virtual time are bounded: they give the same verdict on every machine.
package pomelobounds
