package pomelocommand

import (
	"context"
	"fmt"

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
	routers, err := parseAddresses("--router", o.routers)
	if err != nil {
		return err
	}
	if o.wait && len(routers) == 0 {
		return pomelorelay.NewError(pomelorelay.CodeBadRequest, "evacuate: --wait needs --router", nil)
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
	lines, _ := askAll(ctx, routers)
	changed, err := pomeloconfig.NewPublisher(pomeloconfig.PublisherConfig{Store: store}).Publish(ctx, c, pomeloconfig.Change{
		Author: o.author, Why: o.why, Base: root.Generation, Floor: highestGeneration(lines),
	})
	if err != nil {
		return err
	}
	result := applyResult{Generation: changed.Generation, ChangeID: changed.ChangeID, Difference: changed.Difference}
	var waitErr error
	if o.wait {
		waitErr = result.await(ctx, routers)
	}
	if err := a.print(result, fmt.Sprintf("%s: %s", evacuateText(o), result.text())); err != nil {
		return err
	}
	return waitErr
}

func evacuateText(o evacuateOptions) string {
	if o.cancel {
		return o.domain + " takes work again"
	}
	return o.domain + " gets nothing new"
}
