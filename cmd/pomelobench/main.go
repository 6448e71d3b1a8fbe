package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
)

// command is a subcommand with its flags registered on the command line.
type command interface {
	run(ctx context.Context) error
}

func main() {
	app := kingpin.New("pomelobench", "Stand-ins, load generation and reports for a fleet of pomelorelay routers.")
	commands := map[string]command{
		"standin": newStandInCommand(app.Command("standin", "Run stand-ins of upstreams, store, host list and links until SIGINT or SIGTERM.")),
		"run":     newRunCommand(app.Command("run", "Generate load on routers or stand-ins; the last line of output is one JSON object.")),
		"bounds":  newBoundsCommand(app.Command("bounds", "Compare the output of go test -bench with committed bounds.")),
		"report":  newReportCommand(app.Command("report", "Render the record of a run as an HTML page with plots.")),
		"latency": newLatencyCommand(app.Command("latency", "Measure the latency added by one and by two routers, on loopback.")),
		"spread":  newSpreadCommand(app.Command("spread", "Measure how long configuration changes take to be in force on all routers.")),
	}
	name := kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := commands[name].run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "pomelobench:", err)
		stop()
		os.Exit(1)
	}
}
