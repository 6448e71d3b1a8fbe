package pomelocommand

import (
	"context"

	"github.com/pomelorelay/pomelorelay/pomeloconfig"

	"github.com/alecthomas/kingpin/v2"
)

func (a *app) questionnaireCommand(cli *kingpin.Application) (*kingpin.CmdClause, action) {
	clause := cli.Command("questionnaire", "Prints the questionnaire for a new team.")
	return clause, func(context.Context) error {
		return a.print(pomeloconfig.Questions(), pomeloconfig.Questionnaire())
	}
}
