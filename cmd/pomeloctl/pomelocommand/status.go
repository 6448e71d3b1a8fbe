package pomelocommand

import (
	"context"
	"fmt"
	"net/netip"
	"strings"

	"github.com/pomelorelay/pomelorelay"

	"github.com/alecthomas/kingpin/v2"
)

// routerReply is the status of one router, or the error with which the query failed.
type routerReply struct {
	Router netip.AddrPort
	Status routerStatus
	Error  string `json:",omitempty"`
}

func (a *app) statusCommand(cli *kingpin.Application) (*kingpin.CmdClause, action) {
	clause := cli.Command("status", "Shows the status of routers, one line each.")
	routers := routerFlag(clause).Required().Strings()
	return clause, func(ctx context.Context) error {
		addresses, err := parseAddresses("--router", *routers)
		if err != nil {
			return err
		}
		replies, lastErr := queryRouters(ctx, addresses)
		if err := a.print(replies, formatStatus(replies)); err != nil {
			return err
		}
		return lastErr
	}
}

func routerFlag(clause *kingpin.CmdClause) *kingpin.FlagClause {
	return clause.Flag("router", "IP:port of a router's operator port; may be repeated.")
}

// queryRouters fetches the status of all routers concurrently and returns the replies in the order of routers, with the error of
// the last router that failed.
func queryRouters(ctx context.Context, routers []netip.AddrPort) ([]routerReply, error) {
	client := newRouterClient()
	replies := make([]routerReply, len(routers))
	errs := make([]error, len(routers))
	done := make(chan struct{})
	for i, router := range routers {
		go func() {
			replies[i].Router = router
			replies[i].Status, errs[i] = client.status(ctx, router)
			done <- struct{}{}
		}()
	}
	for range routers {
		<-done
	}
	var lastErr error
	for i, err := range errs {
		if err != nil {
			replies[i].Error = err.Error()
			lastErr = err
		}
	}
	return replies, lastErr
}

// highestGeneration returns the highest configuration generation in force on any router, or zero if no router replied.
func highestGeneration(replies []routerReply) pomelorelay.Generation {
	var highest pomelorelay.Generation
	for _, reply := range replies {
		highest = max(highest, reply.Status.Generation)
	}
	return highest
}

func formatStatus(replies []routerReply) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%-22s %-20s %-14s %-10s %10s %-8s %7s %9s\n", "ROUTER", "NODE", "DOMAIN", "REGION", "GENERATION", "STATE", "MEMBERS", "UPSTREAMS")
	for _, reply := range replies {
		if reply.Error != "" {
			fmt.Fprintf(&text, "%-22s %s\n", reply.Router, reply.Error)
			continue
		}
		s := reply.Status
		fmt.Fprintf(&text, "%-22s %-20s %-14s %-10s %10d %-8s %7d %9d%s\n", reply.Router, s.Node, s.Domain, s.Region, s.Generation, s.state(), len(s.Members), len(s.Upstreams), s.evacuatedText())
	}
	return text.String()
}

// evacuatedText lists the evacuated failure domains; it is empty when there are none.
func (s routerStatus) evacuatedText() string {
	if len(s.Evacuated) == 0 {
		return ""
	}
	return fmt.Sprintf("  evacuated: %v", s.Evacuated)
}

func (s routerStatus) state() string {
	switch {
	case s.Stopping:
		return "stopping"
	case s.Ready:
		return "ready"
	}
	return "cold"
}
