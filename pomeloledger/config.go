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

// Options holds the intervals and limits of a Ledger; a zero field takes the default given in its comment.
type Options struct {
	// ExchangeInterval is the interval of exchanges with domains of the same region; 1 s.
	ExchangeInterval time.Duration
	// CrossRegionInterval is the interval of exchanges with other regions; 5 s.
	CrossRegionInterval time.Duration
	// SendsPerChange is the number of exchanges that include a change, to tolerate a lost message; 2.
	SendsPerChange int
	// RefreshPerExchange is the number of unchanged entries that each exchange includes, in rotation; 8.
	RefreshPerExchange int
	// MaxEntries limits the entries of this domain in one message to the same region; 512.
	MaxEntries int
	// RebuildTimeout is how long a new host waits for answers before it serves totals without them; 3 s.
	RebuildTimeout time.Duration
	// QueryInterval is the interval at which a new host repeats unanswered queries; 500 ms.
	QueryInterval time.Duration
	// WaitingTTL is how long another domain's report that an account is backlogged remains valid; 2 min.
	WaitingTTL time.Duration
	// FoldDelay is how long entries of a superseded incarnation are kept separately, to merge late reports, before they
	// are folded into one sum; 1 min.
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
