package pomeloledger

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// ReporterConfig holds what a Reporter needs.
type ReporterConfig struct {
	Shards uint32
	// Host returns the router of this failure domain that hosts a shard.
	Host func(shard pomelorelay.ShardID) (pomelorelay.NodeID, bool)
	// Every is the interval of reports; 1 s when zero.
	Every time.Duration
	// ResendAfter is the wait for an answer before entries are sent again; 2 s when zero.
	ResendAfter time.Duration
	// MaxEntries bounds the entries of one report; 512 when zero.
	MaxEntries int
}

// Reporter sends a router's own cumulative service to the shards' hosts until they answer.
type Reporter struct {
	cfg ReporterConfig
}

// NewReporter returns a Reporter that knows nothing yet.
func NewReporter(cfg ReporterConfig) *Reporter { return &Reporter{cfg: cfg} }

// Changed takes entries whose cumulative totals changed.
func (r *Reporter) Changed(entries []pomelorelay.LedgerEntry) {}

// SetInterest replaces the accounts whose fleet totals are wanted.
func (r *Reporter) SetInterest(keys []pomelorelay.LedgerKey) {}

// Totals takes a host's answer and reports whether its entries may be used: the host is ready and still the shard's.
func (r *Reporter) Totals(now time.Time, from pomelorelay.NodeID, m *pomelorelay.LedgerTotals) bool {
	return false
}

// Query answers a new host with a full report.
func (r *Reporter) Query(now time.Time, from pomelorelay.NodeID, m *pomelorelay.LedgerQuery, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	return out
}

// Tick sends the reports that are due.
func (r *Reporter) Tick(now time.Time, out []pomelorelay.Outgoing) []pomelorelay.Outgoing { return out }
