package main

import (
	"os"

	"github.com/pomelorelay/pomelorelay/cmd/pomeloctl/pomelocommand"
)

func main() { os.Exit(pomelocommand.Run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }
