package pomeloledger

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// DomainInfo describes a failure domain that has live routers.
type DomainInfo struct {
	ID     pomelorelay.DomainID
	Region pomelorelay.RegionID
}

// Fleet is a Ledger's view of the current membership; its functions are called from the Ledger's methods.
type Fleet struct {
	// Routers returns the live routers of this failure domain, including this router.
	Routers func() []pomelorelay.NodeID
	// Domains returns the reachable failure domains, including this one, sorted by name.
	Domains func() []DomainInfo
	// Host returns the router that hosts a shard in a failure domain, or false when there is none.
	Host func(shard pomelorelay.ShardID, domain pomelorelay.DomainID) (pomelorelay.NodeID, bool)
}

// Config configures a Ledger.
type Config struct {
	Self  pomelorelay.Peer
	Fleet Fleet
	// Shards is the number of ledger shards; it must be the same on every router of the fleet.
	Shards  uint32
	Options Options
}

// Options holds the intervals and limits of a Ledger; zero fields take the defaults.
type Options struct {
	// ExchangeInterval is the interval at which a host exchanges totals with hosts in other domains of its region;
	// default 1 s.
	ExchangeInterval time.Duration
	// CrossRegionInterval is the interval at which regions exchange totals; default 5 s.
	CrossRegionInterval time.Duration
	// SendsPerChange is the number of exchanges that include a changed entry, to tolerate a lost message; default 2.
	SendsPerChange int
	// RefreshPerExchange is the number of unchanged entries that each exchange includes, in rotation; default 8.
	RefreshPerExchange int
	// MaxEntries limits the number of entries of this domain's accounts in one message to a host in the same region;
	// default 512.
	MaxEntries int
	// RebuildTimeout is how long a new host waits for answers to its queries before it serves totals without them;
	// default 3 s.
	RebuildTimeout time.Duration
	// QueryInterval is the interval at which a new host repeats unanswered queries; default 500 ms.
	QueryInterval time.Duration
	// WaitingTTL is how long another domain's report that an account is backlogged remains valid; default 2 min.
	WaitingTTL time.Duration
	// FoldDelay is how long the entries of a router's superseded incarnation are kept separately, to merge late
	// reports, before they are added to the sum of ended incarnations; default 1 min.
	FoldDelay time.Duration
}

func (o Options) withDefaults() Options {
	setDefaultDuration(&o.ExchangeInterval, time.Second)
	setDefaultDuration(&o.CrossRegionInterval, 5*time.Second)
	setDefaultCount(&o.SendsPerChange, 2)
	setDefaultCount(&o.RefreshPerExchange, 8)
	setDefaultCount(&o.MaxEntries, 512)
	setDefaultDuration(&o.RebuildTimeout, 3*time.Second)
	setDefaultDuration(&o.QueryInterval, 500*time.Millisecond)
	setDefaultDuration(&o.WaitingTTL, 2*time.Minute)
	setDefaultDuration(&o.FoldDelay, time.Minute)
	return o
}

func setDefaultDuration(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

func setDefaultCount(n *int, value int) {
	if *n == 0 {
		*n = value
	}
}
