package pomelocommand

import (
	"context"

	"github.com/pomelorelay/pomelorelay/pomeloconfig"

	"github.com/alecthomas/kingpin/v2"
)

func (a *app) generateCommand(cli *kingpin.Application) (*kingpin.CmdClause, action) {
	clause := cli.Command("generate", "Makes one configuration of the teams' answers; the same answers give the same bytes.")
	files := clause.Flag("answers", "File of one team's answers; may be repeated.").Required().Strings()
	return clause, func(context.Context) error {
		var teams []pomeloconfig.Answers
		for _, file := range *files {
			data, err := a.readFile(file)
			if err != nil {
				return err
			}
			answers, err := pomeloconfig.ParseAnswers(file, data)
			if err != nil {
				return err
			}
			teams = append(teams, answers)
		}
		c, err := pomeloconfig.Generate(teams)
		if err != nil {
			return err
		}
		return a.printConfiguration(c, "")
	}
}

// printConfiguration prints the configuration after a comment.
func (a *app) printConfiguration(c pomeloconfig.Configuration, comment string) error {
	data, err := pomeloconfig.Encode(c)
	if err != nil {
		return err
	}
	return a.print(c, comment+string(data))
}
