package pomelostore

import (
	"net/netip"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Defaults of Config.
const (
	DefaultTimeout         = 2 * time.Second
	DefaultAckTimeout      = time.Second
	DefaultWatchWait       = 30 * time.Second
	DefaultCallsPerSecond  = 50
	DefaultBreakerFailures = 5
	DefaultBreakerCooldown = time.Second
	DefaultMaxValue        = pomelorelay.Bytes(1 << 20)
)

// Config configures a Client; zero fields take their defaults.
type Config struct {
	// Addresses are the store's servers; after a failure the client switches to the next one.
	Addresses []netip.AddrPort
	// Timeout limits one call; a watch is limited to WatchWait plus Timeout.
	Timeout time.Duration
	// AckTimeout closes a connection, idle or not, on which the store acknowledges nothing for this long.
	AckTimeout time.Duration
	// WatchWait is how long the store holds one watch call when nothing changes.
	WatchWait time.Duration
	// CallsPerSecond is the call budget of this process; one second's worth may be spent in a burst.
	CallsPerSecond float64
	// BreakerFailures is the number of consecutive failures that open the breaker.
	BreakerFailures int
	// BreakerCooldown is how long an open breaker refuses calls before it allows one probe.
	BreakerCooldown time.Duration
	// MaxValue is the maximum size of a value that is written or read.
	MaxValue pomelorelay.Bytes
	// Clock is the time source of the budget and the breaker.
	Clock pomelorelay.Clock
	// Logger logs the breaker's state changes.
	Logger pomelorelay.Logger
}

func (cfg Config) withDefaults() Config {
	if cfg.Timeout == 0 {
		cfg.Timeout = DefaultTimeout
	}
	if cfg.AckTimeout == 0 {
		cfg.AckTimeout = DefaultAckTimeout
	}
	if cfg.WatchWait == 0 {
		cfg.WatchWait = DefaultWatchWait
	}
	if cfg.CallsPerSecond == 0 {
		cfg.CallsPerSecond = DefaultCallsPerSecond
	}
	if cfg.BreakerFailures == 0 {
		cfg.BreakerFailures = DefaultBreakerFailures
	}
	if cfg.BreakerCooldown == 0 {
		cfg.BreakerCooldown = DefaultBreakerCooldown
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
