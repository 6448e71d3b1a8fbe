package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"github.com/pomelorelay/pomelorelay/cmd/pomelobench/pomelomeasure"
	"github.com/pomelorelay/pomelorelay/pomelofake"

	"github.com/alecthomas/kingpin/v2"
)

// latencyCommand measures the latency that routers add.
type latencyCommand struct {
	address  string
	rate     int
	duration time.Duration
	slice    time.Duration
	runTime  time.Duration
}

func newLatencyCommand(cmd *kingpin.CmdClause) *latencyCommand {
	c := &latencyCommand{}
	cmd.Flag("address", "The IP number on which stand-ins and routers listen.").Default("127.8.1.1").StringVar(&c.address)
	cmd.Flag("rate", "Requests a second.").Default("1000").IntVar(&c.rate)
	cmd.Flag("duration", "How long each target gets the load.").Default("10s").DurationVar(&c.duration)
	cmd.Flag("slice", "How long a target has its turn.").Default("1s").DurationVar(&c.slice)
	cmd.Flag("run-time", "How long the service runs a request.").Default("1ns").DurationVar(&c.runTime)
	return c
}

func (c *latencyCommand) run(ctx context.Context) error {
	addr, err := netip.ParseAddr(c.address)
	if err != nil {
		return err
	}
	plain := pomelofake.PlainConfig{Slots: 64, MinRunTime: c.runTime, RunTimeSpread: time.Nanosecond}
	one, err := pomelomeasure.NewFleet(pomelomeasure.FleetConfig{Address: addr, Port: 8400, Routers: 1, Plain: plain})
	if err != nil {
		return err
	}
	defer one.Close()
	two, err := pomelomeasure.NewFleet(pomelomeasure.FleetConfig{Address: addr, Port: 8500, Routers: 2, Plain: plain})
	if err != nil {
		return err
	}
	defer two.Close()
	results, err := pomelomeasure.Latency(ctx, pomelomeasure.LatencyConfig{
		Targets: []pomelomeasure.Target{one.Direct("direct"), one.Routed("one router"), two.Routed("two routers")},
		Token:   one.Token(), Body: `{"n":1}`, Rate: c.rate, Duration: c.duration, Slice: c.slice,
	})
	if err != nil {
		return err
	}
	for _, r := range results {
		line, err := json.Marshal(r)
		if err != nil {
			return err
		}
		fmt.Println(string(line))
	}
	return nil
}
