package pomeloledger

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Ledger hosts shards of the ledger for one failure domain.
type Ledger struct {
	cfg Config
}

// New returns a Ledger that hosts no shard.
func New(cfg Config) *Ledger {
	cfg.Options = cfg.Options.withDefaults()
	return &Ledger{cfg: cfg}
}

// Host starts to host a shard and asks routers and other domains for what they know.
func (l *Ledger) Host(now time.Time, shard pomelorelay.ShardID, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	return out
}

// Drop stops hosting a shard.
func (l *Ledger) Drop(shard pomelorelay.ShardID) {}

// Hosts reports whether the shard is hosted here, and whether it is rebuilt.
func (l *Ledger) Hosts(shard pomelorelay.ShardID) (hosted, ready bool) { return false, false }

// Report merges a router's report and answers with fleet totals.
func (l *Ledger) Report(now time.Time, from pomelorelay.NodeID, incarnation pomelorelay.Incarnation, m *pomelorelay.LedgerReport, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	return out
}

// Component merges what another domain's host knows.
func (l *Ledger) Component(now time.Time, from pomelorelay.NodeID, m *pomelorelay.LedgerComponent, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	return out
}

// ComponentQuery answers another domain's host with every component known here.
func (l *Ledger) ComponentQuery(now time.Time, from pomelorelay.NodeID, m *pomelorelay.LedgerComponentQuery, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	return out
}

// MemberGone notes that a router died, so that a rebuild no longer waits for it.
func (l *Ledger) MemberGone(now time.Time, node pomelorelay.NodeID) {}

// Tick exchanges components with the hosts in other domains and asks again while rebuilding; call it every 100 ms or so.
func (l *Ledger) Tick(now time.Time, out []pomelorelay.Outgoing) []pomelorelay.Outgoing { return out }
