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

// applyOptions are what an operator says to apply.
type applyOptions struct {
	file     string
	author   string
	why      string
	changeID string
	base     uint64
	wait     bool
	routers  []string
}

// applyResult tells what was accepted and where it is in force.
type applyResult struct {
	Generation pomelorelay.Generation
	ChangeID   pomeloconfig.ChangeID
	Difference pomeloconfig.DifferenceSummary
	// InForce and Pending name the routers asked.
	InForce []netip.AddrPort `json:",omitempty"`
	Pending []netip.AddrPort `json:",omitempty"`
}

func (a *app) applyCommand(cli *kingpin.Application) (*kingpin.CmdClause, action) {
	var o applyOptions
	clause := a.storeFlag(cli.Command("apply", "Checks a configuration and brings it into the store."))
	clause.Arg("file", "The configuration; - reads standard input.").Required().StringVar(&o.file)
	clause.Flag("why", "Why it is changed, for the audit trail.").Required().StringVar(&o.why)
	clause.Flag("author", "Who changes it.").Default(currentUser()).StringVar(&o.author)
	clause.Flag("base", "The generation that you started from; another one in the store is a conflict.").Uint64Var(&o.base)
	clause.Flag("change-id", "The id of an apply whose outcome is not known.").StringVar(&o.changeID)
	clause.Flag("wait", "Wait until the routers named have it in force.").BoolVar(&o.wait)
	routerFlag(clause).StringsVar(&o.routers)
	return clause, func(ctx context.Context) error { return a.apply(ctx, o) }
}

// currentUser is only a default; --author overrides it.
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
		change: pomeloconfig.Change{ID: pomeloconfig.ChangeID(o.changeID), Author: o.author, Why: o.why, Base: pomelorelay.Generation(o.base)},
	})
}

// waitInForce asks the routers until all have the generation, or a higher one, or the time is up.
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
