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
	// memoryLimitFraction is the Go memory limit as a fraction of the memory that the platform allows. The program itself and what the kernel holds of its
	// connections take the rest.
	memoryLimitFraction = 0.55
	// storeTimeout bounds a call to the platform's store, which normally answers within 4 ms, and within a few hundred milliseconds
	// when it is slow.
	storeTimeout = 1500 * time.Millisecond
	// storeBreakerCooldown is how long the router makes no call to the store after several consecutive failed ones. It is short
	// compared with the 4 s after which every router is assumed to have seen a change of the store.
	storeBreakerCooldown = 400 * time.Millisecond
	// storeCallsPerSecond is the maximum rate of one router's calls to the store.
	storeCallsPerSecond = 20
)

func registerEntry(app *kingpin.Application) {
	command := app.Command("entry", "Run an entry router on the users' platform until SIGTERM, which stops it gracefully.")
	path := command.Flag("settings", "The platform's settings file.").Envar(pomeloplatform.SettingsEnvVar).Required().String()
	check := command.Flag("check", "Check the settings file and exit.").Bool()
	without := command.Flag("without", "A placement mechanism to disable, to measure its effect; may be repeated.").Enums(pomeloplace.MechanismNames()...)
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
	fmt.Printf("%s: settings of %s are valid\n", path, settings.Self.Node)
	return nil
}

func runEntry(path string, without []string) error {
	settings, err := pomeloplatform.LoadSettings(path)
	if err != nil {
		return err
	}
	if settings.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(settings.MemoryLimit)))
	}
	logger := pomelolog.New(pomelolog.Config{Node: settings.Self.Node, Level: pomelorelay.LevelInfo, Writer: os.Stdout})
	defer logger.Close()
	pomelolog.CaptureLibraries(logger)
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
		Addresses:       []netip.AddrPort{settings.StoreAddr},
		Timeout:         storeTimeout,
		CallsPerSecond:  storeCallsPerSecond,
		BreakerCooldown: storeBreakerCooldown,
		Logger:          logger,
	})
	if err != nil {
		return nil, err
	}
	router, err := pomeloentry.New(pomeloentry.Config{
		Settings:           settings,
		Platform:           pomeloplatform.NewStore(client, storeTimeout),
		Wire:               pomeloplatform.WireFormat{},
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

// serveEntry runs the router until a signal or a failure ends it. SIGHUP only validates the settings file and logs the result;
// the router applies changed settings, such as its addresses, when it is restarted.
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
