package pomelocommand

import (
	"context"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloconfig"

	"github.com/alecthomas/kingpin/v2"
)

// evacuateOptions are what an operator says to evacuate.
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
	clause := a.storeFlag(cli.Command("evacuate", "Lets the upstreams of a failure domain get nothing new; what runs there goes on."))
	clause.Arg("domain", "The failure domain.").Required().StringVar(&o.domain)
	clause.Flag("cancel", "End the evacuation instead.").BoolVar(&o.cancel)
	clause.Flag("why", "Why, for the audit trail.").Required().StringVar(&o.why)
	clause.Flag("author", "Who changes it.").Default(currentUser()).StringVar(&o.author)
	clause.Flag("wait", "Wait until the routers named have it in force.").BoolVar(&o.wait)
	routerFlag(clause).StringsVar(&o.routers)
	return clause, func(ctx context.Context) error { return a.evacuate(ctx, o) }
}

// evacuate publishes the configuration of the store with one failure domain's evacuation changed. Another change that comes between is a conflict.
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
		change: pomeloconfig.Change{Author: o.author, Why: o.why, Base: root.Generation},
	})
}

func evacuationPrefix(o evacuateOptions) string {
	if o.cancel {
		return o.domain + " takes work again: "
	}
	return o.domain + " gets nothing new: "
}
