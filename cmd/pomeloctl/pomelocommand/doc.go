// Package pomelocommand implements the subcommands of pomeloctl, so that
// tests can run them without starting a process.
package pomelocommand
