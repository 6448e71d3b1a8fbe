package pomelocommand

import (
	"context"
	"fmt"

	"github.com/pomelorelay/pomelorelay/pomeloconfig"

	"github.com/alecthomas/kingpin/v2"
)

func (a *app) showCommand(cli *kingpin.Application) (*kingpin.CmdClause, action) {
	clause := a.storeFlag(cli.Command("show", "Prints the configuration in the store."))
	return clause, func(ctx context.Context) error {
		store, err := a.openStore()
		if err != nil {
			return err
		}
		root, c, err := pomeloconfig.Load(ctx, store)
		if err != nil {
			return err
		}
		return a.printConfiguration(c, fmt.Sprintf("# Generation %d, change %s by %q: %q\n", root.Generation, root.ChangeID, root.Author, root.Why))
	}
}
