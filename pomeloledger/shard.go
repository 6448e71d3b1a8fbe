package pomeloledger

import (
	"time"

	"github.com/pomelorelay/pomelorelay"

	"github.com/cespare/xxhash/v2"
)

// ShardOf returns the shard of an account; all pools of an account are in the same shard.
func ShardOf(account pomelorelay.AccountID, shards uint32) pomelorelay.ShardID {
	if shards == 0 {
		return 0
	}
	return pomelorelay.ShardID(xxhash.Sum64String(string(account)) % uint64(shards))
}

// rebuildPhase is the progress of a shard's rebuild. Hosts in other domains are queried for this domain's totals before
// the local routers, so that each router's full report is at least as new as its service in those totals. What the
// totals contain beyond the reports is then service of routers that did not report.
type rebuildPhase int

const (
	queryingDomains rebuildPhase = iota
	queryingRouters
	rebuilt
)

// shard is the state of one shard on its host.
type shard struct {
	id                pomelorelay.ShardID
	phase             rebuildPhase
	timedOut          bool // the rebuild ended at its timeout with answers missing
	hostedSince       time.Time
	rebuiltAt         pomelorelay.Incarnation // Unix nanoseconds at the end of the rebuild
	nextQuery         time.Time
	round             uint64                      // identifies this rebuild, so that full reports for an earlier one are not counted
	pendingHosts      map[pomelorelay.NodeID]bool // hosts in other domains that have not answered
	pendingRouters    map[pomelorelay.NodeID]bool // routers that have not answered this round's query
	accounts          map[pomelorelay.LedgerKey]*account
	order             []*account
	regionCursor      int // index in order where the next refresh starts
	crossCursor       int
	latestIncarnation map[pomelorelay.NodeID]pomelorelay.Incarnation
	foldedUpTo        map[pomelorelay.NodeID]pomelorelay.Incarnation
	pendingFolds      []pendingFold
}

// pendingFold schedules adding the service of a router's superseded incarnations to account.departed, for when late
// reports are no longer expected.
type pendingFold struct {
	node pomelorelay.NodeID
	upTo pomelorelay.Incarnation
	due  time.Time
}

func newShard(id pomelorelay.ShardID, now time.Time) *shard {
	return &shard{
		id: id, hostedSince: now, nextQuery: now, round: uint64(now.UnixNano()),
		pendingHosts: make(map[pomelorelay.NodeID]bool), pendingRouters: make(map[pomelorelay.NodeID]bool),
		accounts:          make(map[pomelorelay.LedgerKey]*account),
		latestIncarnation: make(map[pomelorelay.NodeID]pomelorelay.Incarnation), foldedUpTo: make(map[pomelorelay.NodeID]pomelorelay.Incarnation),
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

// admitIncarnation records a router's incarnation and schedules adding the service of earlier ones to account.departed.
// It returns false for an incarnation whose service was added already and would otherwise count twice.
func (s *shard) admitIncarnation(now time.Time, node pomelorelay.NodeID, incarnation pomelorelay.Incarnation, foldDelay time.Duration) bool {
	if incarnation <= s.foldedUpTo[node] {
		return false
	}
	latest, known := s.latestIncarnation[node]
	if incarnation > latest {
		s.latestIncarnation[node] = incarnation
		if known {
			s.pendingFolds = append(s.pendingFolds, pendingFold{node: node, upTo: incarnation - 1, due: now.Add(foldDelay)})
		}
	}
	return true
}

// foldDue adds the service of superseded incarnations to account.departed when it is due. Only a later incarnation of
// the same router proves that an earlier one has ended; a router that is suspected dead may report again.
func (s *shard) foldDue(now time.Time) {
	kept := s.pendingFolds[:0]
	for _, f := range s.pendingFolds {
		if s.phase != rebuilt || now.Before(f.due) {
			kept = append(kept, f)
			continue
		}
		s.foldedUpTo[f.node] = max(s.foldedUpTo[f.node], f.upTo)
		for _, a := range s.order {
			a.fold(f)
		}
	}
	s.pendingFolds = kept
}

// finishRebuild ends the rebuild. Service that other domains' totals of this domain contain beyond departed and the
// live routers' reports is kept as residue: it belongs to routers that could not be reached during the rebuild.
func (s *shard) finishRebuild(now time.Time, sends int) {
	s.phase = rebuilt
	s.timedOut = len(s.pendingRouters) > 0 || len(s.pendingHosts) > 0
	s.rebuiltAt = pomelorelay.Incarnation(now.UnixNano())
	for _, a := range s.order {
		a.departed = max(a.departed, a.peerDeparted)
		a.residue = max(0, a.peerSum-a.departed-a.liveServed())
		a.scheduleSends(sends)
	}
}
