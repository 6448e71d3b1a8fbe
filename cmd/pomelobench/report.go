package main

import (
	"context"
	"fmt"

	"github.com/pomelorelay/pomelorelay/cmd/pomelobench/pomeloload"
	"github.com/pomelorelay/pomelorelay/cmd/pomelobench/pomeloreport"

	"github.com/alecthomas/kingpin/v2"
)

// reportCommand renders a record as an HTML page.
type reportCommand struct {
	recordPath string
	pagePath   string
	title      string
}

func newReportCommand(cmd *kingpin.CmdClause) *reportCommand {
	c := &reportCommand{}
	cmd.Arg("record", "The record written by run.").Required().StringVar(&c.recordPath)
	cmd.Flag("out", "The HTML file to write.").Default("report.html").StringVar(&c.pagePath)
	cmd.Flag("title", "The page's title.").Default("Load run").StringVar(&c.title)
	return c
}

func (c *reportCommand) run(context.Context) error {
	report, err := pomeloload.ReadRecord(c.recordPath)
	if err != nil {
		return err
	}
	if err := pomeloreport.Write(c.pagePath, c.title, report); err != nil {
		return err
	}
	fmt.Println(c.pagePath)
	return nil
}
