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
	// memoryShare is the part of the memory that the platform allows up to which the collector lets the heap grow.
	memoryShare = 0.6
	// storeTimeout bounds a call to the platform's store, which answers in 4 ms, or in a few hundred when it is slow.
	storeTimeout = 1500 * time.Millisecond
	// storeRest is how long the store is left alone after several failures in a row: short against the 4 s after whose end a router is
	// taken to know what the store holds.
	storeRest = 400 * time.Millisecond
	// storeCalls is the most calls a second that one router makes.
	storeCalls = 20
)

func registerEntry(app *kingpin.Application) {
	command := app.Command("entry", "Run an entry router on the users' platform until SIGTERM stops it gracefully.")
	path := command.Flag("settings", "The platform's settings file.").Envar(pomeloplatform.SettingsEnvVar).Required().String()
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
	if settings.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryLimit)))
	}
	logger := pomelolog.New(pomelolog.Config{Node: settings.Self.Node, Level: pomelorelay.LevelInfo, Writer: os.Stdout})
	defer logger.Close()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	off, err := pomeloplace.ParseMechanisms(without)
	if err != nil {
		return err
	}
	entry, err := openEntry(settings, off, logger)
	if err != nil {
		return err
	}
	return serveEntry(entry, path, signals, logger)
}

func openEntry(settings pomelorelay.FleetSettings, without pomeloplace.Mechanisms, logger pomelorelay.Logger) (*pomeloentry.Router, error) {
	client, err := pomelostore.New(pomelostore.Config{
		Addresses:      []netip.AddrPort{settings.StoreAddr},
		Timeout:        storeTimeout,
		CallsPerSecond: storeCalls,
		BreakerCooldown:    storeRest,
		Logger:         logger,
	})
	if err != nil {
		return nil, err
	}
	entry, err := pomeloentry.New(pomeloentry.Config{
		Settings:           settings,
		Platform:           pomeloplatform.NewStore(client, storeTimeout),
		Wire:               pomeloplatform.WireFormat{},
		Logger:             logger,
		DisabledMechanisms: without,
	})
	if err != nil {
		return nil, err
	}
	if err := entry.Listen(); err != nil {
		entry.Close()
		return nil, err
	}
	return entry, nil
}

// serveEntry runs until a signal or a failure ends the router. Settings that changed are checked and told; their addresses hold
// until the next start.
func serveEntry(entry *pomeloentry.Router, path string, signals <-chan os.Signal, logger pomelorelay.Logger) error {
	for {
		select {
		case err := <-entry.Errors():
			entry.Close()
			return err
		case s := <-signals:
			if s != syscall.SIGHUP {
				entry.Stop()
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
