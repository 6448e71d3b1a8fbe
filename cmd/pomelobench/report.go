package main

import (
	"context"
	"fmt"

	"github.com/pomelorelay/pomelorelay/cmd/pomelobench/pomeloload"
	"github.com/pomelorelay/pomelorelay/cmd/pomelobench/pomeloreport"

	"github.com/alecthomas/kingpin/v2"
)

// reportCommand makes a page of a record.
type reportCommand struct {
	record string
	out    string
	title  string
}

func newReportCommand(cmd *kingpin.CmdClause) *reportCommand {
	c := &reportCommand{}
	cmd.Arg("record", "The record that run wrote.").Required().StringVar(&c.record)
	cmd.Flag("out", "The page to write.").Default("report.html").StringVar(&c.out)
	cmd.Flag("title", "The page's title.").Default("Load run").StringVar(&c.title)
	return c
}

func (c *reportCommand) run(context.Context) error {
	judgement, err := pomeloload.ReadRecord(c.record)
	if err != nil {
		return err
	}
	if err := pomeloreport.Write(c.out, c.title, judgement); err != nil {
		return err
	}
	fmt.Println(c.out)
	return nil
}
