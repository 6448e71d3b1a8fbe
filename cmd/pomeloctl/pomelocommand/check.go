package pomelocommand

import (
	"context"
	"fmt"

	"github.com/pomelorelay/pomelorelay/pomeloconfig"

	"github.com/alecthomas/kingpin/v2"
)

// checkResult counts the entries of a valid configuration.
type checkResult struct {
	File                                 string
	Teams, Services, Upstreams, Accounts int
}

func (a *app) checkCommand(cli *kingpin.Application) (*kingpin.CmdClause, action) {
	clause := cli.Command("check", "Checks a configuration file, or with --settings a router's settings file.")
	file := clause.Arg("file", "The file; - reads standard input.").Required().String()
	settings := clause.Flag("settings", "Check a router's settings file instead.").Bool()
	return clause, func(context.Context) error {
		if *settings {
			return a.checkSettings(*file)
		}
		c, err := a.readConfiguration(*file)
		if err != nil {
			return err
		}
		result := checkResult{File: *file, Teams: len(c.Teams), Services: len(c.Services), Upstreams: len(c.Upstreams), Accounts: len(c.Accounts)}
		text := fmt.Sprintf("%s is valid: %d teams, %d services, %d upstreams, %d accounts\n", *file, result.Teams, result.Services, result.Upstreams, result.Accounts)
		return a.print(result, text)
	}
}

func (a *app) checkSettings(file string) error {
	s, err := pomeloconfig.LoadSettings(file)
	if err != nil {
		return err
	}
	return a.print(s, file+" is valid: settings of "+string(s.Host.Name)+"\n")
}
