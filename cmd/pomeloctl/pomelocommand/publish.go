package pomelocommand

import (
	"context"
	"net/netip"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloconfig"
	"github.com/pomelorelay/pomelorelay/pomelostore"
)

// publication is a configuration on its way into the store.
type publication struct {
	store         *pomelostore.Client
	configuration pomeloconfig.Configuration
	change        pomeloconfig.Change
	// routers are asked for the generations that they have in force; with wait, until they have the new one.
	routers []netip.AddrPort
	wait    bool
	// textPrefix goes before the text of the result.
	textPrefix string
}

// parseRouters parses a command's routers; waiting needs one at least.
func parseRouters(command string, texts []string, wait bool) ([]netip.AddrPort, error) {
	routers, err := parseAddresses("--router", texts)
	if err != nil {
		return nil, err
	}
	if wait && len(routers) == 0 {
		return nil, pomelorelay.NewError(pomelorelay.CodeBadRequest, command+": --wait needs --router", nil)
	}
	return routers, nil
}

// publish brings a configuration into the store and prints the result, with wait once it is in force.
func (a *app) publish(ctx context.Context, p publication) error {
	// Routers that do not answer do not keep a change from being accepted; the others tell what it has to be above.
	replies, _ := queryRouters(ctx, p.routers)
	p.change.Floor = highestGeneration(replies)
	root, err := pomeloconfig.NewPublisher(pomeloconfig.PublisherConfig{Store: p.store}).Publish(ctx, p.configuration, p.change)
	if err != nil {
		return err
	}
	result := applyResult{Generation: root.Generation, ChangeID: root.ChangeID, Difference: root.Difference}
	var waitErr error
	if p.wait {
		waitErr = result.waitInForce(ctx, p.routers)
	}
	if err := a.print(result, p.textPrefix+result.text()); err != nil {
		return err
	}
	return waitErr
}
