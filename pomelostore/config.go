package pomelostore

import (
	"net/netip"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Defaults of Config.
const (
	DefaultTimeout        = 2 * time.Second
	DefaultWatchWait      = 30 * time.Second
	DefaultCallsPerSecond = 50
	DefaultBreakerFails   = 5
	DefaultBreakerOpen    = time.Second
	DefaultMaxValue       = pomelorelay.Bytes(1 << 20)
)

// Config is what a Client is made of; a zero field takes its default.
type Config struct {
	// Addresses are the store's servers by IP number; the next one is tried after a failure.
	Addresses []netip.AddrPort
	// Timeout bounds one call; a watch is bounded by Timeout over WatchWait.
	Timeout time.Duration
	// WatchWait is how long one watch call waits at the store.
	WatchWait time.Duration
	// CallsPerSecond is this process's own budget; a second's worth may be spent at once.
	CallsPerSecond float64
	// BreakerFailures in a row open the breaker for BreakerOpen; then one call probes.
	BreakerFailures int
	// BreakerCooldown is how long an open breaker refuses calls before its probe.
	BreakerCooldown time.Duration
	// MaxValue bounds a value that is written or read.
	MaxValue pomelorelay.Bytes
	// Clock tells the time to the budget and the breaker.
	Clock pomelorelay.Clock
	// Logger takes the breaker's events.
	Logger pomelorelay.Logger
}

func (cfg Config) withDefaults() Config {
	if cfg.Timeout == 0 {
		cfg.Timeout = DefaultTimeout
	}
	if cfg.WatchWait == 0 {
		cfg.WatchWait = DefaultWatchWait
	}
	if cfg.CallsPerSecond == 0 {
		cfg.CallsPerSecond = DefaultCallsPerSecond
	}
	if cfg.BreakerFailures == 0 {
		cfg.BreakerFailures = DefaultBreakerFails
	}
	if cfg.BreakerCooldown == 0 {
		cfg.BreakerCooldown = DefaultBreakerOpen
	}
	if cfg.MaxValue == 0 {
		cfg.MaxValue = DefaultMaxValue
	}
	if cfg.Clock == nil {
		cfg.Clock = pomelorelay.SystemClock{}
	}
	if cfg.Logger == nil {
		cfg.Logger = pomelorelay.NopLogger{}
	}
	return cfg
}
