package pomelocommand

import (
	"context"
	"fmt"
	"net/netip"
	"os/user"
	"strings"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloconfig"

	"github.com/alecthomas/kingpin/v2"
)

const waitInterval = 100 * time.Millisecond

// applyOptions are the argument and the flags of apply.
type applyOptions struct {
	file     string
	author   string
	why      string
	changeID string
	base     uint64
	wait     bool
	routers  []string
}

// applyResult is a change accepted by the store, and the routers on which it is in force or still pending.
type applyResult struct {
	Generation pomelorelay.Generation
	ChangeID   pomeloconfig.ChangeID
	Difference pomeloconfig.DifferenceSummary
	// InForce and Pending are the operator addresses of the routers that --wait polled: those that have applied the change, and
	// those that had not when the wait ended.
	InForce []netip.AddrPort `json:",omitempty"`
	Pending []netip.AddrPort `json:",omitempty"`
}

func (a *app) applyCommand(cli *kingpin.Application) (*kingpin.CmdClause, action) {
	var o applyOptions
	clause := a.storeFlag(cli.Command("apply", "Checks a configuration and publishes it to the store."))
	clause.Arg("file", "The configuration; - reads standard input.").Required().StringVar(&o.file)
	clause.Flag("why", "Reason for the change, for the audit trail.").Required().StringVar(&o.why)
	clause.Flag("author", "Author of the change, for the audit trail.").Default(currentUser()).StringVar(&o.author)
	clause.Flag("base", "Generation on which the change is based; a different one in the store is a conflict.").Uint64Var(&o.base)
	clause.Flag("change-id", "Change id of an earlier apply whose outcome is unknown, to retry it.").StringVar(&o.changeID)
	clause.Flag("wait", "Wait until it is in force on the routers named by --router.").BoolVar(&o.wait)
	routerFlag(clause).StringsVar(&o.routers)
	return clause, func(ctx context.Context) error { return a.apply(ctx, o) }
}

// currentUser returns the default for --author.
func currentUser() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

func (a *app) apply(ctx context.Context, o applyOptions) error {
	routers, err := parseRouters("apply", o.routers, o.wait)
	if err != nil {
		return err
	}
	c, err := a.readConfiguration(o.file)
	if err != nil {
		return err
	}
	store, err := a.openStore()
	if err != nil {
		return err
	}
	return a.publish(ctx, publication{
		store: store, configuration: c, routers: routers, wait: o.wait,
		change: pomeloconfig.Change{ID: pomeloconfig.ChangeID(o.changeID), Author: o.author, Why: o.why, BaseGeneration: pomelorelay.Generation(o.base)},
	})
}

// waitInForce polls the routers until each has r.Generation or a higher one in force; it fails with CodeConfigNotInForce when ctx
// ends before that.
func (r *applyResult) waitInForce(ctx context.Context, routers []netip.AddrPort) error {
	for {
		replies, _ := queryRouters(ctx, routers)
		r.InForce, r.Pending = nil, nil
		for _, reply := range replies {
			if reply.Error == "" && reply.Status.Generation >= r.Generation {
				r.InForce = append(r.InForce, reply.Router)
				continue
			}
			r.Pending = append(r.Pending, reply.Router)
		}
		if len(r.Pending) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return pomelorelay.NewError(pomelorelay.CodeConfigNotInForce, fmt.Sprintf("generation %d is not in force on %s", r.Generation, formatAddresses(r.Pending)), nil)
		case <-time.After(waitInterval):
		}
	}
}

func (r *applyResult) text() string {
	text := fmt.Sprintf("Generation %d, change %s: %d added, %d removed, %d altered\n",
		r.Generation, r.ChangeID, r.Difference.Added, r.Difference.Removed, r.Difference.Altered)
	if len(r.InForce) > 0 {
		text += "In force on " + formatAddresses(r.InForce) + "\n"
	}
	if len(r.Pending) > 0 {
		text += "Not in force on " + formatAddresses(r.Pending) + "\n"
	}
	return text
}

func formatAddresses(addresses []netip.AddrPort) string {
	texts := make([]string, len(addresses))
	for i, address := range addresses {
		texts[i] = address.String()
	}
	return strings.Join(texts, ", ")
}
