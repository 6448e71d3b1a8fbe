package pomeloledger

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// DomainInfo is a failure domain that has live routers.
type DomainInfo struct {
	ID     pomelorelay.DomainID
	Region pomelorelay.RegionID
}

// Fleet tells a Ledger who is alive now; its functions are called from the Ledger's methods.
type Fleet struct {
	// Routers returns the live routers of this failure domain, this one included.
	Routers func() []pomelorelay.NodeID
	// Domains returns the reachable failure domains, this one included, in the order of their names.
	Domains func() []DomainInfo
	// Host returns the router of a failure domain that hosts a shard.
	Host func(shard pomelorelay.ShardID, domain pomelorelay.DomainID) (pomelorelay.NodeID, bool)
}

// Config holds what a Ledger needs.
type Config struct {
	Self  pomelorelay.Peer
	Fleet Fleet
	// Shards is the number of shards of the whole fleet, the same on every router.
	Shards  uint32
	Options Options
}

// Options holds the intervals and bounds of a Ledger; a zero field takes the default that its comment gives.
type Options struct {
	// ExchangeInterval is the interval of components to domains of the same region; 1 s.
	ExchangeInterval time.Duration
	// CrossEvery is the interval of components to other regions; 5 s.
	CrossEvery time.Duration
	// Repeats is the number of exchanges that carry a change, so that a lost message loses nothing; 2.
	Repeats int
	// Refresh is the number of unchanged entries that each exchange carries in turn; 8.
	Refresh int
	// MaxEntries bounds the entries of one message; 512.
	MaxEntries int
	// RebuildLimit is how long a new host waits for silent routers and domains before it is ready; 3 s.
	RebuildLimit time.Duration
	// QueryEvery is the interval at which a new host asks again; 500 ms.
	QueryEvery time.Duration
	// WaitingFor is how long another domain's word that an account waits holds; 2 min.
	WaitingFor time.Duration
	// FoldAfter is how long the entries of a superseded incarnation are kept apart for late reports; 1 min.
	FoldAfter time.Duration
}

func (o Options) withDefaults() Options {
	setDuration(&o.ExchangeInterval, time.Second)
	setDuration(&o.CrossEvery, 5*time.Second)
	setCount(&o.Repeats, 2)
	setCount(&o.Refresh, 8)
	setCount(&o.MaxEntries, 512)
	setDuration(&o.RebuildLimit, 3*time.Second)
	setDuration(&o.QueryEvery, 500*time.Millisecond)
	setDuration(&o.WaitingFor, 2*time.Minute)
	setDuration(&o.FoldAfter, time.Minute)
	return o
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

func setCount(n *int, value int) {
	if *n == 0 {
		*n = value
	}
}
