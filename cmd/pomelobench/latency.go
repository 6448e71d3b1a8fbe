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

// latencyCommand measures the latency added by one and by two routers.
type latencyCommand struct {
	address  string
	rate     int
	duration time.Duration
	slice    time.Duration
	runTime  time.Duration
}

func newLatencyCommand(cmd *kingpin.CmdClause) *latencyCommand {
	c := &latencyCommand{}
	cmd.Flag("address", "The IP address on which stand-ins and routers listen.").Default("127.8.1.1").StringVar(&c.address)
	cmd.Flag("rate", "Requests per second.").Default("1000").IntVar(&c.rate)
	cmd.Flag("duration", "Total load time of each target.").Default("10s").DurationVar(&c.duration)
	cmd.Flag("slice", "Length of one slice of load; the targets are loaded in turn, slice by slice.").Default("1s").DurationVar(&c.slice)
	cmd.Flag("run-time", "Processing time of a request at the service.").Default("1ns").DurationVar(&c.runTime)
	return c
}

func (c *latencyCommand) run(ctx context.Context) error {
	addr, err := netip.ParseAddr(c.address)
	if err != nil {
		return err
	}
	plain := pomelofake.PlainConfig{Slots: 64, MinRunTime: c.runTime, RunTimeSpread: time.Nanosecond}
	one, err := pomelomeasure.NewFleet(pomelomeasure.FleetConfig{Address: addr, FirstPort: 8400, Routers: 1, Plain: plain})
	if err != nil {
		return err
	}
	defer one.Close()
	two, err := pomelomeasure.NewFleet(pomelomeasure.FleetConfig{Address: addr, FirstPort: 8500, Routers: 2, Plain: plain})
	if err != nil {
		return err
	}
	defer two.Close()
	results, err := pomelomeasure.MeasureLatency(ctx, pomelomeasure.LatencyConfig{
		Targets: []pomelomeasure.Target{one.DirectTarget("direct"), one.RoutedTarget("one router"), two.RoutedTarget("two routers")},
		Token:   one.Token(), Body: `{"n":1}`, RequestsPerSecond: c.rate, DurationPerTarget: c.duration, SliceDuration: c.slice,
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
