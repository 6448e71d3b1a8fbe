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
	bounds string
	runs   string
}

func newBoundsCommand(cmd *kingpin.CmdClause) *boundsCommand {
	c := &boundsCommand{}
	cmd.Flag("bounds", "The file of bounds.").Default("bench/bounds.yaml").StringVar(&c.bounds)
	cmd.Arg("runs", "The output of go test -bench.").Required().StringVar(&c.runs)
	return c
}

func (c *boundsCommand) run(context.Context) error {
	bounds, err := pomelobounds.Read(c.bounds)
	if err != nil {
		return err
	}
	runs, err := pomelobounds.ReadRuns(c.runs)
	if err != nil {
		return err
	}
	broken := 0
	for _, v := range bounds.Compare(runs) {
		fmt.Println(v)
		if !v.Kept {
			broken++
		}
	}
	if broken > 0 {
		return pomelorelay.NewError(pomelorelay.CodeBenchViolated, fmt.Sprintf("%d bounds are not kept", broken), nil)
	}
	return nil
}
