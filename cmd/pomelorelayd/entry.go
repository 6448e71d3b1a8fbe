package main

import (
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/pomelorelay/pomelorelay"
	pomeloplatform "github.com/pomelorelay/pomelorelay/platform"
	"github.com/pomelorelay/pomelorelay/pomeloentry"
	"github.com/pomelorelay/pomelorelay/pomelolog"
	"github.com/pomelorelay/pomelorelay/pomeloplace"
	"github.com/pomelorelay/pomelorelay/pomelostore"

	"github.com/alecthomas/kingpin/v2"
)

const (
	// heapFraction is the part of the memory that the platform allows up to which the collector lets the heap grow.
	heapFraction = 0.6
	// storeTimeout bounds a call to the platform's store, which answers in 4 ms, or in a few hundred when it is slow.
	storeTimeout = 1500 * time.Millisecond
	// storeBreakerOpen is how long the store is left alone after several failures in a row: short against the 4 s after whose end a router is
	// taken to know what the store holds.
	storeBreakerOpen = 400 * time.Millisecond
	// storeCallsPerSecond is the most calls a second that one router makes.
	storeCallsPerSecond = 20
)

func registerEntry(app *kingpin.Application) {
	command := app.Command("entry", "Run an entry router on the users' platform until SIGTERM stops it gracefully.")
	path := command.Flag("settings", "The platform's settings file.").Envar(pomeloplatform.SettingsVariable).Required().String()
	check := command.Flag("check", "Check the settings file and exit.").Bool()
	without := command.Flag("without", "A mechanism of placement to switch off, to find out what it is worth; may be repeated.").Enums(pomeloplace.MechanismNames()...)
	command.Action(func(*kingpin.ParseContext) error {
		if *check {
			return checkEntry(*path)
		}
		return runEntry(*path, *without)
	})
}

func checkEntry(path string) error {
	settings, err := pomeloplatform.LoadSettings(path)
	if err != nil {
		return err
	}
	fmt.Printf("%s: the settings of %s are in order\n", path, settings.Self.Node)
	return nil
}

func runEntry(path string, without []string) error {
	settings, err := pomeloplatform.LoadSettings(path)
	if err != nil {
		return err
	}
	if settings.Memory > 0 {
		debug.SetMemoryLimit(int64(heapFraction * float64(settings.Memory)))
	}
	logger := pomelolog.New(pomelolog.Config{Node: settings.Self.Node, Level: pomelorelay.LevelInfo, Writer: os.Stdout})
	defer logger.Close()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	disabled, err := pomeloplace.ParseMechanisms(without)
	if err != nil {
		return err
	}
	router, err := openEntry(settings, disabled, logger)
	if err != nil {
		return err
	}
	return serveEntry(router, path, signals, logger)
}

func openEntry(settings pomelorelay.FleetSettings, disabled pomeloplace.Mechanisms, logger pomelorelay.Logger) (*pomeloentry.Router, error) {
	client, err := pomelostore.New(pomelostore.Config{
		Addresses:      []netip.AddrPort{settings.Store},
		Timeout:        storeTimeout,
		CallsPerSecond: storeCallsPerSecond,
		BreakerOpen:    storeBreakerOpen,
		Logger:         logger,
	})
	if err != nil {
		return nil, err
	}
	router, err := pomeloentry.New(pomeloentry.Config{
		Settings:           settings,
		Platform:           pomeloplatform.NewStore(client, storeTimeout),
		Wire:               pomeloplatform.Wire{},
		Logger:             logger,
		DisabledMechanisms: disabled,
	})
	if err != nil {
		return nil, err
	}
	if err := router.Listen(); err != nil {
		router.Close()
		return nil, err
	}
	return router, nil
}

// serveEntry runs until a signal or a failure ends the router. Settings that changed are checked and told; their addresses hold
// until the next start.
func serveEntry(router *pomeloentry.Router, path string, signals <-chan os.Signal, logger pomelorelay.Logger) error {
	for {
		select {
		case err := <-router.Errors():
			router.Close()
			return err
		case s := <-signals:
			if s != syscall.SIGHUP {
				router.Stop()
				return nil
			}
			if _, err := pomeloplatform.LoadSettings(path); err != nil {
				logger.Log(pomelorelay.EventSettingsRefused, pomelorelay.Field{Key: "Fault", Value: err.Error()})
				continue
			}
			logger.Log(pomelorelay.EventSettingsReloaded)
		}
	}
}
