package pomelocommand

import (
	"context"
	"strings"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloconfig"

	"github.com/alecthomas/kingpin/v2"
)

func (a *app) diffCommand(cli *kingpin.Application) (*kingpin.CmdClause, action) {
	clause := cli.Command("diff", "Shows what a configuration would change, compared with --from or with the store.")
	file := clause.Arg("file", "The new configuration; - reads standard input.").Required().String()
	from := clause.Flag("from", "File to compare with.").String()
	clause.Flag("store", "IP:port of the platform's store; may be repeated.").StringsVar(&a.store)
	return clause, func(ctx context.Context) error {
		after, err := a.readConfiguration(*file)
		if err != nil {
			return err
		}
		before, err := a.readBaseline(ctx, *from)
		if err != nil {
			return err
		}
		changes := pomeloconfig.Difference(before, after)
		return a.print(changes, formatChanges(changes))
	}
}

// readBaseline reads the configuration to compare with from the file, or from the store when file is empty. An empty store yields
// an empty configuration.
func (a *app) readBaseline(ctx context.Context, file string) (pomeloconfig.Configuration, error) {
	switch {
	case file != "":
		return a.readConfiguration(file)
	case len(a.store) == 0:
		return pomeloconfig.Configuration{}, pomelorelay.NewError(pomelorelay.CodeBadRequest, "diff: needs --from or --store", nil)
	}
	store, err := a.openStore()
	if err != nil {
		return pomeloconfig.Configuration{}, err
	}
	_, c, err := pomeloconfig.Load(ctx, store)
	if pomeloconfig.IsErrNoConfiguration(err) {
		return pomeloconfig.Configuration{}, nil
	}
	return c, err
}

func formatChanges(changes []pomeloconfig.EntryChange) string {
	if len(changes) == 0 {
		return "Nothing differs.\n"
	}
	var text strings.Builder
	for _, change := range changes {
		text.WriteString(change.String() + "\n")
	}
	return text.String()
}
