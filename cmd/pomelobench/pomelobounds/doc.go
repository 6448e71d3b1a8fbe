// Package pomelobounds compares the output of go test -bench with committed bounds. Only counts and measurements in virtual time
// should have bounds, since they do not depend on the machine.
package pomelobounds
