package pomeloconfig

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Defaults of the Control section.
const (
	DefaultDomainBytesPerSecond = pomelorelay.Bytes(128 << 10)
	DefaultRegionBytesPerSecond = pomelorelay.Bytes(128 << 10)
	DefaultCrossBytesPerSecond  = pomelorelay.Bytes(64 << 10)
	DefaultDigestInterval       = time.Second
	DefaultLedgerInterval       = 250 * time.Millisecond
	DefaultExchangeInterval     = time.Second
	DefaultProbeWait            = 300 * time.Millisecond
	DefaultSuspectFor           = time.Second
	DefaultGrantTTL             = time.Second
	DefaultLoadInterval         = 250 * time.Millisecond
	DefaultClaimCommits         = 200.0
	DefaultConfigPull           = 500 * time.Millisecond
	DefaultStopWait             = 5 * time.Minute
	DefaultShards               = 64
	DefaultClaimShards          = 16
	DefaultConfigWatchers       = 2
	DefaultAdmissionCharge      = 0.35
)

// ControlSettings sets the intervals and byte budgets of the traffic between routers.
type ControlSettings struct {
	// DomainBytes, RegionBytes and CrossBytes are the byte budgets per second for links within the failure domain, within the
	// region and between regions.
	DomainBytes pomelorelay.Bytes `yaml:"DomainBytes"`
	RegionBytes pomelorelay.Bytes `yaml:"RegionBytes"`
	CrossBytes  pomelorelay.Bytes `yaml:"CrossBytes"`
	// DigestInterval and LedgerInterval are the intervals of digests (membership heartbeats) and ledger reports to routers of the same
	// failure domain; ExchangeInterval is the interval of ledger exchanges with other failure domains of the same region.
	DigestInterval   time.Duration `yaml:"DigestInterval"`
	LedgerInterval   time.Duration `yaml:"LedgerInterval"`
	ExchangeInterval time.Duration `yaml:"ExchangeInterval"`
	// ProbeWait is the timeout of a direct probe, after which other routers are asked to probe, and of these indirect probes, after
	// which the router is suspected. SuspectFor is how long a suspected router can refute the suspicion before it is declared dead.
	ProbeWait  time.Duration `yaml:"ProbeWait"`
	SuspectFor time.Duration `yaml:"SuspectFor"`
	GrantTTL   time.Duration `yaml:"GrantTTL"`
	// LoadInterval is the interval at which the router that grants an upstream's slots reads the upstream's load.
	LoadInterval time.Duration `yaml:"LoadInterval"`
	// ClaimCommits is the maximum number of writes per second by all claim shards of the fleet together.
	ClaimCommits float64 `yaml:"ClaimCommits"`
	// ConfigPull is the time without progress after which a router requests a new configuration from another peer.
	ConfigPull time.Duration `yaml:"ConfigPull"`
	// StopWait is the time limit of a graceful stop.
	StopWait time.Duration `yaml:"StopWait"`
	// Shards is the number of ledger shards; it must be the same on every router.
	Shards int `yaml:"Shards"`
	// ClaimShards is the number of claim shards; it must be the same on every router and must not change while claims are
	// stored, because a key would then be looked up in another shard than the one that holds its claim.
	ClaimShards int `yaml:"ClaimShards"`
	// ConfigWatchers is the number of routers per failure domain that watch the store for a new configuration.
	ConfigWatchers int `yaml:"ConfigWatchers"`
	// AdmissionCharge is the fraction of a request's expected cost that is charged at admission.
	AdmissionCharge float64 `yaml:"AdmissionCharge"`
}

func (s *ControlSettings) fillDefaults() {
	setBytes(&s.DomainBytes, DefaultDomainBytesPerSecond)
	setBytes(&s.RegionBytes, DefaultRegionBytesPerSecond)
	setBytes(&s.CrossBytes, DefaultCrossBytesPerSecond)
	setDuration(&s.DigestInterval, DefaultDigestInterval)
	setDuration(&s.LedgerInterval, DefaultLedgerInterval)
	setDuration(&s.ExchangeInterval, DefaultExchangeInterval)
	setDuration(&s.ProbeWait, DefaultProbeWait)
	setDuration(&s.SuspectFor, DefaultSuspectFor)
	setDuration(&s.GrantTTL, DefaultGrantTTL)
	setDuration(&s.LoadInterval, DefaultLoadInterval)
	setNumber(&s.ClaimCommits, DefaultClaimCommits)
	setDuration(&s.ConfigPull, DefaultConfigPull)
	setDuration(&s.StopWait, DefaultStopWait)
	setInt(&s.Shards, DefaultShards)
	setInt(&s.ClaimShards, DefaultClaimShards)
	setInt(&s.ConfigWatchers, DefaultConfigWatchers)
	setNumber(&s.AdmissionCharge, DefaultAdmissionCharge)
}

func (s ControlSettings) check(c *checker) {
	c.bytes("Control.DomainBytes", s.DomainBytes, 1<<10, 1<<30)
	c.bytes("Control.RegionBytes", s.RegionBytes, 1<<10, 1<<30)
	c.bytes("Control.CrossBytes", s.CrossBytes, 1<<10, 1<<30)
	c.duration("Control.DigestInterval", s.DigestInterval, time.Millisecond, time.Minute)
	c.duration("Control.LedgerInterval", s.LedgerInterval, time.Millisecond, time.Minute)
	c.duration("Control.ExchangeInterval", s.ExchangeInterval, time.Millisecond, time.Minute)
	c.duration("Control.ProbeWait", s.ProbeWait, time.Millisecond, time.Minute)
	c.duration("Control.SuspectFor", s.SuspectFor, time.Millisecond, time.Minute)
	c.duration("Control.GrantTTL", s.GrantTTL, time.Millisecond, time.Minute)
	c.duration("Control.LoadInterval", s.LoadInterval, time.Millisecond, time.Minute)
	c.number("Control.ClaimCommits", s.ClaimCommits, 1, 10000)
	c.duration("Control.ConfigPull", s.ConfigPull, 10*time.Millisecond, time.Minute)
	c.duration("Control.StopWait", s.StopWait, time.Second, 24*time.Hour)
	c.number("Control.Shards", float64(s.Shards), 1, 1024)
	c.number("Control.ClaimShards", float64(s.ClaimShards), 1, 1024)
	c.number("Control.ConfigWatchers", float64(s.ConfigWatchers), 1, 16)
	c.number("Control.AdmissionCharge", s.AdmissionCharge, 0.01, 4)
}

func setBytes(b *pomelorelay.Bytes, value pomelorelay.Bytes) {
	if *b == 0 {
		*b = value
	}
}

func setInt(n *int, value int) {
	if *n == 0 {
		*n = value
	}
}

func setNumber(n *float64, value float64) {
	if *n == 0 {
		*n = value
	}
}
