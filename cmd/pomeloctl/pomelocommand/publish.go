package pomelocommand

import (
	"context"
	"net/netip"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloconfig"
	"github.com/pomelorelay/pomelorelay/pomelostore"
)

// publication is a configuration to publish, with the routers that have to apply it.
type publication struct {
	store         *pomelostore.Client
	configuration pomeloconfig.Configuration
	change        pomeloconfig.Change
	// routers are queried for the generation that each has in force; if wait is set, they are polled until all have the new one.
	routers []netip.AddrPort
	wait    bool
	// textPrefix precedes the result in text output.
	textPrefix string
}

// parseRouters parses the values of --router; it fails with CodeBadRequest when wait is set and there are none.
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

// publish writes a configuration to the store, waits until all p.routers have the configuration in force if p.wait is set, and
// prints the result.
func (a *app) publish(ctx context.Context, p publication) error {
	// The new generation must exceed every generation in force. Routers that do not answer are ignored, so that they cannot
	// block a change.
	replies, _ := queryRouters(ctx, p.routers)
	p.change.FleetGeneration = highestGeneration(replies)
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
