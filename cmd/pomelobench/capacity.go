package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/pomelorelay/pomelorelay/cmd/pomelobench/pomelobounds"
	"github.com/pomelorelay/pomelorelay/cmd/pomelobench/pomelocapacity"

	"github.com/alecthomas/kingpin/v2"
)

// capacityCommand measures every role and writes the capacity page.
type capacityCommand struct {
	docs string
	runs string
}

func newCapacityCommand(cmd *kingpin.CmdClause) *capacityCommand {
	c := &capacityCommand{}
	cmd.Flag("docs", "The folder of the docs, in which CAPACITY.md and capacity/ are written.").Default("docs").StringVar(&c.docs)
	cmd.Flag("streams", "The output of BenchmarkIdleStream.").Required().StringVar(&c.runs)
	return c
}

func (c *capacityCommand) run(context.Context) error {
	runs, err := pomelobounds.ReadRuns(c.runs)
	if err != nil {
		return err
	}
	figures, err := pomelocapacity.Measure(os.Stderr)
	if err != nil {
		return err
	}
	figures.Stream, err = runs.Value("BenchmarkIdleStream", "added-B/stream")
	if err != nil {
		return err
	}
	if err := figures.Write(c.docs); err != nil {
		return err
	}
	fmt.Println(filepath.Join(c.docs, "CAPACITY.md"))
	return nil
}
