package pomelocommand

import (
	"context"

	"github.com/alecthomas/kingpin/v2"
)

func (a *app) drainCommand(cli *kingpin.Application) (*kingpin.CmdClause, action) {
	clause := cli.Command("drain", "Drains routers: they refuse new requests, finish those in progress, and stop.")
	routers := routerFlag(clause).Required().Strings()
	return clause, func(ctx context.Context) error {
		addresses, err := parseAddresses("--router", *routers)
		if err != nil {
			return err
		}
		client := newRouterClient()
		for _, router := range addresses {
			if err := client.drain(ctx, router); err != nil {
				return err
			}
		}
		return a.print(addresses, "Drain requested; follow its progress with pomeloctl status.\n")
	}
}
