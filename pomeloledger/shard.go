package pomeloledger

import (
	"time"

	"github.com/pomelorelay/pomelorelay"

	"github.com/cespare/xxhash/v2"
)

// ShardOf returns the shard of an account; every pool of an account is in the same one.
func ShardOf(account pomelorelay.AccountID, shards uint32) pomelorelay.ShardID {
	if shards == 0 {
		return 0
	}
	return pomelorelay.ShardID(xxhash.Sum64String(string(account)) % uint64(shards))
}

// phase is how far a host has rebuilt a shard. Other domains are asked before routers: a router's full report is then
// at least as new as its part in what the domains know, so that the rest of that is from routers now gone.
type phase int

const (
	askingDomains phase = iota
	askingRouters
	settled
)

// shard is one shard as its host in this failure domain knows it.
type shard struct {
	id        pomelorelay.ShardID
	phase     phase
	short     bool // opened at the time limit before everybody had answered
	hosted    time.Time
	opened    pomelorelay.Incarnation // Unix nanoseconds when it was settled
	nextQuery time.Time
	round     uint64
	domains   map[pomelorelay.NodeID]bool // hosts elsewhere that have not answered
	routers   map[pomelorelay.NodeID]bool // routers that have not reported in this round
	accounts  map[pomelorelay.LedgerKey]*account
	order     []*account
	near      int // where the next refresh begins
	cross     int
	latest    map[pomelorelay.NodeID]pomelorelay.Incarnation
	folded    map[pomelorelay.NodeID]pomelorelay.Incarnation
	folds     []fold
}

// fold is due when no more reports of a superseded incarnation are expected.
type fold struct {
	node pomelorelay.NodeID
	upTo pomelorelay.Incarnation
	at   time.Time
}

func newShard(id pomelorelay.ShardID, now time.Time) *shard {
	return &shard{
		id: id, hosted: now, nextQuery: now, round: uint64(now.UnixNano()),
		domains: make(map[pomelorelay.NodeID]bool), routers: make(map[pomelorelay.NodeID]bool),
		accounts: make(map[pomelorelay.LedgerKey]*account),
		latest:   make(map[pomelorelay.NodeID]pomelorelay.Incarnation), folded: make(map[pomelorelay.NodeID]pomelorelay.Incarnation),
	}
}

func (s *shard) account(key pomelorelay.LedgerKey) *account {
	a, ok := s.accounts[key]
	if !ok {
		a = &account{key: key}
		s.accounts[key] = a
		s.order = append(s.order, a)
	}
	return a
}

// meet notes a router's incarnation and plans to fold the entries of earlier ones; it reports whether entries of this
// one still count by themselves. An incarnation that was folded stays out, or its service would count twice.
func (s *shard) meet(now time.Time, node pomelorelay.NodeID, incarnation pomelorelay.Incarnation, after time.Duration) bool {
	if incarnation <= s.folded[node] {
		return false
	}
	latest, known := s.latest[node]
	if incarnation > latest {
		s.latest[node] = incarnation
		if known {
			s.folds = append(s.folds, fold{node: node, upTo: incarnation - 1, at: now.Add(after)})
		}
	}
	return true
}

// fold moves the service of superseded incarnations into the departed part. Only a later incarnation of the same router
// proves that the earlier has ended; a router that merely seems dead may report again.
func (s *shard) fold(now time.Time) {
	kept := s.folds[:0]
	for _, f := range s.folds {
		if s.phase != settled || now.Before(f.at) {
			kept = append(kept, f)
			continue
		}
		s.folded[f.node] = max(s.folded[f.node], f.upTo)
		for _, a := range s.order {
			a.fold(f)
		}
	}
	s.folds = kept
}

// settle ends the rebuild: what other domains know beyond the reports of live routers is from routers now gone.
func (s *shard) settle(now time.Time, repeats int) {
	s.phase = settled
	s.short = len(s.routers) > 0 || len(s.domains) > 0
	s.opened = pomelorelay.Incarnation(now.UnixNano())
	for _, a := range s.order {
		a.departed = max(a.departed, a.knownDeparted)
		a.residue = max(0, a.knownSum-a.departed-a.live())
		a.touch(repeats)
	}
}
