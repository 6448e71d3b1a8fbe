package pomelocommand

import (
	"context"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloconfig"

	"github.com/alecthomas/kingpin/v2"
)

// evacuateOptions are the argument and the flags of evacuate.
type evacuateOptions struct {
	domain  string
	author  string
	why     string
	cancel  bool
	wait    bool
	routers []string
}

func (a *app) evacuateCommand(cli *kingpin.Application) (*kingpin.CmdClause, action) {
	var o evacuateOptions
	clause := a.storeFlag(cli.Command("evacuate", "Stops new requests to the upstreams of a failure domain; requests in progress continue."))
	clause.Arg("domain", "The failure domain.").Required().StringVar(&o.domain)
	clause.Flag("cancel", "End the evacuation instead.").BoolVar(&o.cancel)
	clause.Flag("why", "Reason for the change, for the audit trail.").Required().StringVar(&o.why)
	clause.Flag("author", "Author of the change, for the audit trail.").Default(currentUser()).StringVar(&o.author)
	clause.Flag("wait", "Wait until it is in force on the routers named by --router.").BoolVar(&o.wait)
	routerFlag(clause).StringsVar(&o.routers)
	return clause, func(ctx context.Context) error { return a.evacuate(ctx, o) }
}

// evacuate publishes the store's configuration with one failure domain evacuated, or its evacuation cancelled. It fails with a
// conflict when another change is accepted between the read and the write.
func (a *app) evacuate(ctx context.Context, o evacuateOptions) error {
	routers, err := parseRouters("evacuate", o.routers, o.wait)
	if err != nil {
		return err
	}
	store, err := a.openStore()
	if err != nil {
		return err
	}
	root, c, err := pomeloconfig.Load(ctx, store)
	if err != nil {
		return err
	}
	if err := c.Evacuate(pomelorelay.DomainID(o.domain), o.cancel); err != nil {
		return err
	}
	return a.publish(ctx, publication{
		store: store, configuration: c, routers: routers, wait: o.wait, textPrefix: evacuationPrefix(o),
		change: pomeloconfig.Change{Author: o.author, Why: o.why, BaseGeneration: root.Generation},
	})
}

func evacuationPrefix(o evacuateOptions) string {
	if o.cancel {
		return o.domain + " takes work again: "
	}
	return o.domain + " gets nothing new: "
}
