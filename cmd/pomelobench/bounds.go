package main

import (
	"context"
	"fmt"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/cmd/pomelobench/pomelobounds"

	"github.com/alecthomas/kingpin/v2"
)

// boundsCommand compares benchmarks with their committed bounds.
type boundsCommand struct {
	boundsPath string
	runsPath   string
}

func newBoundsCommand(cmd *kingpin.CmdClause) *boundsCommand {
	c := &boundsCommand{}
	cmd.Flag("bounds", "The YAML file with the bounds.").Default("bench/bounds.yaml").StringVar(&c.boundsPath)
	cmd.Arg("runs", "The output of go test -bench.").Required().StringVar(&c.runsPath)
	return c
}

func (c *boundsCommand) run(context.Context) error {
	bounds, err := pomelobounds.Read(c.boundsPath)
	if err != nil {
		return err
	}
	runs, err := pomelobounds.ReadRuns(c.runsPath)
	if err != nil {
		return err
	}
	violated := 0
	for _, v := range bounds.Compare(runs) {
		fmt.Println(v)
		if !v.Met {
			violated++
		}
	}
	if violated > 0 {
		return pomelorelay.NewError(pomelorelay.CodeBenchViolated, fmt.Sprintf("%d bounds violated", violated), nil)
	}
	return nil
}
