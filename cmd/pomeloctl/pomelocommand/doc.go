// Package pomelocommand holds the subcommands of pomeloctl, one file each, so
// that they can be tested without starting a process.
package pomelocommand
