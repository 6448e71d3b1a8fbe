package pomeloledger

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Ledger hosts ledger shards for one failure domain. A shard holds the totals of the service that its client accounts
// received.
type Ledger struct {
	cfg                Config
	shards             map[pomelorelay.ShardID]*shard
	order              []*shard
	nextRegionExchange time.Time
	nextCrossExchange  time.Time
}

// New returns a Ledger that hosts no shards.
func New(cfg Config) *Ledger {
	cfg.Options = cfg.Options.withDefaults()
	return &Ledger{cfg: cfg, shards: make(map[pomelorelay.ShardID]*shard)}
}

// AddShard starts hosting and rebuilding a shard; the rebuild queries the hosts in other domains and then the local
// routers. It has no effect when the shard is already hosted.
func (l *Ledger) AddShard(now time.Time, id pomelorelay.ShardID, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	if _, hosted := l.shards[id]; hosted {
		return out
	}
	s := newShard(id, now)
	for _, domain := range l.cfg.Fleet.Domains() {
		if domain.ID == l.cfg.Self.Domain {
			continue
		}
		if host, ok := l.cfg.Fleet.Host(id, domain.ID); ok {
			s.pendingHosts[host] = true
		}
	}
	l.shards[id] = s
	l.order = append(l.order, s)
	return l.rebuild(now, s, out)
}

// RemoveShard stops hosting a shard.
func (l *Ledger) RemoveShard(id pomelorelay.ShardID) {
	delete(l.shards, id)
	for i, s := range l.order {
		if s.id == id {
			l.order = append(l.order[:i], l.order[i+1:]...)
			return
		}
	}
}

// ShardStatus reports whether the shard is hosted here and whether its rebuild is complete.
func (l *Ledger) ShardStatus(id pomelorelay.ShardID) (hosted, ready bool) {
	s, ok := l.shards[id]
	return ok, ok && s.phase == rebuilt
}

// RebuildTimedOut reports whether the shard's rebuild ended at RebuildTimeout with answers still missing.
func (l *Ledger) RebuildTimedOut(id pomelorelay.ShardID) bool {
	s, ok := l.shards[id]
	return ok && s.timedOut
}

// Total returns an account's total over the fleet, or false when its shard is not hosted here or the account is unknown.
func (l *Ledger) Total(now time.Time, key pomelorelay.LedgerKey) (pomelorelay.LedgerEntry, bool) {
	s, ok := l.shards[ShardOf(key.Account, l.cfg.Shards)]
	if !ok {
		return pomelorelay.LedgerEntry{}, false
	}
	a, ok := s.accounts[key]
	if !ok {
		return pomelorelay.LedgerEntry{}, false
	}
	return a.fleetEntry(now, s.phase), true
}

// HandleReport merges a router's report and replies with the fleet totals of the accounts that it asks for.
func (l *Ledger) HandleReport(now time.Time, from pomelorelay.NodeID, incarnation pomelorelay.Incarnation, m *pomelorelay.LedgerReport, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	s, ok := l.shards[m.Shard]
	if !ok {
		return out
	}
	if previous := s.latestIncarnation[from]; previous != 0 && previous < incarnation {
		l.clearWaiting(s, from, previous)
	}
	if s.admitIncarnation(now, from, incarnation, l.cfg.Options.FoldDelay) {
		l.mergeReport(s, from, incarnation, m.Entries)
	}
	if m.Full && m.Round == s.round && s.phase == queryingRouters {
		delete(s.pendingRouters, from)
		l.advancePhase(now, s)
	}
	totals := &pomelorelay.LedgerTotals{Shard: m.Shard, Ready: s.phase == rebuilt, Seq: m.Seq}
	for _, key := range m.Interest {
		if a, known := s.accounts[key]; known {
			totals.Entries = append(totals.Entries, a.fleetEntry(now, s.phase))
		}
	}
	return append(out, pomelorelay.Outgoing{To: from, Message: totals})
}

func (l *Ledger) mergeReport(s *shard, from pomelorelay.NodeID, incarnation pomelorelay.Incarnation, entries []pomelorelay.LedgerEntry) {
	for i := range entries {
		e := &entries[i]
		if ShardOf(e.Account, l.cfg.Shards) != s.id {
			continue
		}
		a := s.account(pomelorelay.LedgerKey{Pool: e.Pool, Account: e.Account})
		if a.mergeReport(from, incarnation, s.rebuiltAt, e) {
			a.scheduleSends(l.cfg.Options.SendsPerChange)
		}
	}
}

// MemberGone marks a router as dead: rebuilds stop waiting for its answer, and requests waiting at it no longer make
// their accounts count as backlogged. Its served totals stay, because the router may only be partitioned.
func (l *Ledger) MemberGone(now time.Time, node pomelorelay.NodeID) {
	for _, s := range l.order {
		delete(s.pendingRouters, node)
		delete(s.pendingHosts, node)
		l.clearWaiting(s, node, s.latestIncarnation[node])
		l.advancePhase(now, s)
	}
}

// clearWaiting clears the backlogged state reported by a router's incarnations up to upTo, which have ended. Otherwise
// an account whose only queue was on that router would count as backlogged forever.
func (l *Ledger) clearWaiting(s *shard, node pomelorelay.NodeID, upTo pomelorelay.Incarnation) {
	for _, a := range s.order {
		if a.clearWaiting(node, upTo) {
			a.scheduleSends(l.cfg.Options.SendsPerChange)
		}
	}
}

// Tick exchanges the totals of each domain with the hosts in other domains and repeats unanswered rebuild queries. Call
// it about every 100 ms.
func (l *Ledger) Tick(now time.Time, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	for _, s := range l.order {
		s.foldDue(now)
		out = l.rebuild(now, s, out)
	}
	if !now.Before(l.nextRegionExchange) {
		l.nextRegionExchange = now.Add(l.cfg.Options.ExchangeInterval)
		out = l.exchangeWithinRegion(now, out)
	}
	if !now.Before(l.nextCrossExchange) {
		l.nextCrossExchange = now.Add(l.cfg.Options.CrossRegionInterval)
		out = l.exchangeAcrossRegions(now, out)
	}
	return out
}
