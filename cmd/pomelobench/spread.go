package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/pomelorelay/pomelorelay/cmd/pomelobench/pomelomeasure"
	"github.com/pomelorelay/pomelorelay/pomeloconfig"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"
)

// spreadCommand measures how long configuration changes take to be in force on all routers.
type spreadCommand struct {
	store             string
	routers           []string
	configurationPath string
	accounts          int
	changes           int
	changeTimeout     time.Duration
}

func newSpreadCommand(cmd *kingpin.CmdClause) *spreadCommand {
	c := &spreadCommand{}
	cmd.Flag("store", "IP:port of the store.").Required().StringVar(&c.store)
	cmd.Flag("router", "IP:port of a router's operator port; may be repeated.").Required().StringsVar(&c.routers)
	cmd.Flag("accounts", "Number of accounts to which the configuration is extended.").IntVar(&c.accounts)
	cmd.Flag("changes", "Number of changes measured after the first publication.").Default("30").IntVar(&c.changes)
	cmd.Flag("within", "Time limit for one change to be in force.").Default("30s").DurationVar(&c.changeTimeout)
	cmd.Arg("file", "The initial configuration.").Required().StringVar(&c.configurationPath)
	return c
}

func (c *spreadCommand) run(ctx context.Context) error {
	data, err := os.ReadFile(c.configurationPath)
	if err != nil {
		return errors.Wrap(err, "read configuration")
	}
	cfg := pomelomeasure.PropagationConfig{Changes: c.changes, ChangeTimeout: c.changeTimeout}
	if cfg.Configuration, err = pomeloconfig.Parse(c.configurationPath, data); err != nil {
		return err
	}
	pomelomeasure.AddAccounts(&cfg.Configuration, c.accounts)
	if cfg.Store, err = netip.ParseAddrPort(c.store); err != nil {
		return err
	}
	for _, text := range c.routers {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return err
		}
		cfg.OperatorAddrs = append(cfg.OperatorAddrs, addr)
	}
	result, err := pomelomeasure.MeasurePropagation(ctx, cfg)
	if err != nil {
		return err
	}
	line, err := json.Marshal(result)
	if err != nil {
		return err
	}
	fmt.Println(string(line))
	return nil
}
