package pomeloledger

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Ledger hosts shards of the ledger for one failure domain.
type Ledger struct {
	cfg       Config
	shards    map[pomelorelay.ShardID]*shard
	order     []*shard
	nextNear  time.Time
	nextCross time.Time
}

// New returns a Ledger that hosts no shard.
func New(cfg Config) *Ledger {
	cfg.Options = cfg.Options.withDefaults()
	return &Ledger{cfg: cfg, shards: make(map[pomelorelay.ShardID]*shard)}
}

// AddShard starts to host a shard; the next Tick asks other domains and then routers for what they know.
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
			s.domains[host] = true
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

// ShardStatus reports whether the shard is hosted here, and whether it is rebuilt.
func (l *Ledger) ShardStatus(id pomelorelay.ShardID) (hosted, ready bool) {
	s, ok := l.shards[id]
	return ok, ok && s.phase == settled
}

// RebuildTimedOut reports whether a shard was opened at its time limit before everybody had answered.
func (l *Ledger) RebuildTimedOut(id pomelorelay.ShardID) bool {
	s, ok := l.shards[id]
	return ok && s.short
}

// Total returns the fleet's total of an account, or false when the shard is not hosted here or the account not known.
func (l *Ledger) Total(now time.Time, key pomelorelay.LedgerKey) (pomelorelay.LedgerEntry, bool) {
	s, ok := l.shards[ShardOf(key.Account, l.cfg.Shards)]
	if !ok {
		return pomelorelay.LedgerEntry{}, false
	}
	a, ok := s.accounts[key]
	if !ok {
		return pomelorelay.LedgerEntry{}, false
	}
	return a.fleet(now, s.phase), true
}

// HandleReport merges a router's report and answers with fleet totals.
func (l *Ledger) HandleReport(now time.Time, from pomelorelay.NodeID, incarnation pomelorelay.Incarnation, m *pomelorelay.LedgerReport, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	s, ok := l.shards[m.Shard]
	if !ok {
		return out
	}
	if former := s.latest[from]; former != 0 && former < incarnation {
		l.unwait(s, from, former)
	}
	if s.meet(now, from, incarnation, l.cfg.Options.FoldAfter) {
		l.merge(s, from, incarnation, m.Entries)
	}
	if m.Full && m.Round == s.round && s.phase == askingRouters {
		delete(s.routers, from)
		l.progress(now, s)
	}
	totals := &pomelorelay.LedgerTotals{Shard: m.Shard, Ready: s.phase == settled, Seq: m.Seq}
	for _, key := range m.Interest {
		if a, known := s.accounts[key]; known {
			totals.Entries = append(totals.Entries, a.fleet(now, s.phase))
		}
	}
	return append(out, pomelorelay.Outgoing{To: from, Message: totals})
}

func (l *Ledger) merge(s *shard, from pomelorelay.NodeID, incarnation pomelorelay.Incarnation, entries []pomelorelay.LedgerEntry) {
	for i := range entries {
		e := &entries[i]
		if ShardOf(e.Account, l.cfg.Shards) != s.id {
			continue
		}
		a := s.account(pomelorelay.LedgerKey{Pool: e.Pool, Account: e.Account})
		if a.report(from, incarnation, s.opened, e) {
			a.touch(l.cfg.Options.Repeats)
		}
	}
}

// MemberGone notes that a router died, so that a rebuild no longer waits for it. Its entries stay, as it may only be cut
// off, but nothing waits there any more.
func (l *Ledger) MemberGone(now time.Time, node pomelorelay.NodeID) {
	for _, s := range l.order {
		delete(s.routers, node)
		delete(s.domains, node)
		l.unwait(s, node, s.latest[node])
		l.progress(now, s)
	}
}

// unwait clears the word that accounts wait at a router's ended incarnations. Without it an account whose only queue was
// there counts as backlogged for ever.
func (l *Ledger) unwait(s *shard, node pomelorelay.NodeID, upTo pomelorelay.Incarnation) {
	for _, a := range s.order {
		if a.unwait(node, upTo) {
			a.touch(l.cfg.Options.Repeats)
		}
	}
}

// Tick exchanges components with the hosts in other domains and asks again while rebuilding; call it every 100 ms or so.
func (l *Ledger) Tick(now time.Time, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	for _, s := range l.order {
		s.fold(now)
		out = l.rebuild(now, s, out)
	}
	if !now.Before(l.nextNear) {
		l.nextNear = now.Add(l.cfg.Options.ExchangeInterval)
		out = l.exchangeNear(now, out)
	}
	if !now.Before(l.nextCross) {
		l.nextCross = now.Add(l.cfg.Options.CrossEvery)
		out = l.exchangeCross(now, out)
	}
	return out
}
