package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
)

// command is a subcommand that has been set up on the command line.
type command interface {
	run(ctx context.Context) error
}

func main() {
	app := kingpin.New("pomelobench", "Stand-ins, load and reports for a fleet of pomelorelay routers.")
	commands := map[string]command{
		"standin": newStandInCommand(app.Command("standin", "Run stand-ins of upstreams, store, host list and links until told to end.")),
		"run":     newRunCommand(app.Command("run", "Put a load on routers or stand-ins; the last line is one JSON object.")),
		"bounds":  newBoundsCommand(app.Command("bounds", "Compare the output of go test -bench with committed bounds.")),
		"report":  newReportCommand(app.Command("report", "Turn the record of a run into one HTML page with plots.")),
		"latency": newLatencyCommand(app.Command("latency", "Measure the latency that one and two routers add, on loopback.")),
		"spread":  newSpreadCommand(app.Command("spread", "Measure how soon changes of the configuration are in force on all routers.")),
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
