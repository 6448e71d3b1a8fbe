package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/pomelorelay/pomelorelay/pomeloconfig"
	"github.com/pomelorelay/pomelorelay/pomelolog"
	"github.com/pomelorelay/pomelorelay/pomelonode"

	"github.com/alecthomas/kingpin/v2"
)

func registerRun(app *kingpin.Application) {
	command := app.Command("run", "Run the router until SIGTERM or SIGINT, which stops it gracefully; a second signal stops it at once.")
	path := command.Flag("settings", "The settings file.").Required().String()
	command.Action(func(*kingpin.ParseContext) error { return run(*path) })
}

func run(path string) error {
	settings, err := pomeloconfig.LoadSettings(path)
	if err != nil {
		return err
	}
	logger := pomelolog.New(pomelolog.Config{Node: settings.Host.Name, Level: settings.Log.Level, Writer: os.Stderr})
	defer logger.Close()
	pomelolog.CaptureLibraries(logger)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	node, err := pomelonode.New(pomelonode.Config{Settings: settings, Logger: logger})
	if err != nil {
		return err
	}
	if err := node.Listen(); err != nil {
		node.Close()
		return err
	}
	select {
	case err := <-node.Errors():
		node.Close()
		return err
	case <-signals:
	case <-node.Drained():
	}
	return stop(node, settings, signals)
}

// stop shuts the router down gracefully; after Control.StopWait or on a second signal it stops waiting for requests in progress.
func stop(node *pomelonode.Node, settings pomeloconfig.Settings, signals <-chan os.Signal) error {
	ctx, cancel := context.WithTimeout(context.Background(), settings.Control.StopWait)
	defer cancel()
	go func() {
		select {
		case <-signals:
			cancel()
		case <-ctx.Done():
		}
	}()
	return node.Stop(ctx)
}
