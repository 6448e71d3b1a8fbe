package pomelocommand

import (
	"context"

	"github.com/pomelorelay/pomelorelay/pomeloconfig"

	"github.com/alecthomas/kingpin/v2"
)

func (a *app) generateCommand(cli *kingpin.Application) (*kingpin.CmdClause, action) {
	clause := cli.Command("generate", "Generates one configuration from the teams' answers; the output is deterministic.")
	files := clause.Flag("answers", "File with one team's answers to the questionnaire; may be repeated.").Required().Strings()
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

// printConfiguration prints the configuration as YAML with a leading comment, or as JSON without one.
func (a *app) printConfiguration(c pomeloconfig.Configuration, comment string) error {
	data, err := pomeloconfig.Encode(c)
	if err != nil {
		return err
	}
	return a.print(c, comment+string(data))
}
