package pomeloclaim

import (
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// maxLoads bounds the segments that are read at once when a shard is taken over.
const maxLoads = 8

// shard is one shard as its keeper knows it. live, segments and the rest of the head are what the store holds at
// revision; what waits is in asks and settles until a commit has carried it.
type shard struct {
	id       pomelorelay.ShardID
	ready    bool
	reading  bool
	retryAt  time.Time
	revision pomelorelay.Revision
	// confirmed is when the store last showed that the head is at revision.
	confirmed time.Time
	size      int
	live      map[pomelorelay.ClaimKey]*claimRecord
	nextSlot  uint32
	free      []slotRef
	segments  []segmentRef
	indexes   map[uint32]*segmentIndex
	asks      []*pendingAsk
	settles   []*pendingSettle
	commit    *commit
	seal      *seal
	tokens    float64
	earned    time.Time
}

// segmentIndex holds the shortened keys of a sealed segment, sorted, and its claims while a question waits for them.
type segmentIndex struct {
	revision uint64
	prefixes []uint64
	loaded   bool
	asked    bool
	claims   []claimRecord
}

type pendingAsk struct {
	from  pomelorelay.NodeID
	ask   pomelorelay.ClaimAsk
	since time.Time
}

type pendingSettle struct {
	from   pomelorelay.NodeID
	settle pomelorelay.ClaimSettle
	since  time.Time
}

func newShard(id pomelorelay.ShardID, now time.Time, burst float64) *shard {
	return &shard{
		id:      id,
		size:    unknownSize,
		live:    make(map[pomelorelay.ClaimKey]*claimRecord),
		indexes: make(map[uint32]*segmentIndex),
		tokens:  burst,
		earned:  now,
	}
}

func (s *shard) hasAsk(from pomelorelay.NodeID, nonce pomelorelay.ClaimNonce) bool {
	return slices.ContainsFunc(s.asks, func(a *pendingAsk) bool { return a.ask.Nonce == nonce && a.from == from })
}

func (s *shard) hasSettle(nonce pomelorelay.ClaimNonce) bool {
	return slices.ContainsFunc(s.settles, func(p *pendingSettle) bool { return p.settle.Nonce == nonce })
}

// dropAsk forgets an ask whose asker has given it up.
func (s *shard) dropAsk(nonce pomelorelay.ClaimNonce) {
	s.asks = slices.DeleteFunc(s.asks, func(a *pendingAsk) bool { return a.ask.Nonce == nonce })
}

// advance does all that can be done for a shard now.
func (k *Keeper) advance(now time.Time, s *shard, out *Output) {
	if !s.ready && !k.load(now, s, out) {
		return
	}
	k.answerDurable(now, s, out)
	k.advanceSeal(now, s, out)
	k.commitIfDue(now, s, out)
}

// load reads the head and then the keys of its segments; it reports whether the shard is ready.
func (k *Keeper) load(now time.Time, s *shard, out *Output) bool {
	if s.reading || now.Before(s.retryAt) {
		return false
	}
	if s.size == unknownSize {
		s.reading = true
		k.op(s, opHead, 0, StoreOp{Key: headKey(s.id)}, out)
		return false
	}
	return k.loadIndexes(s, out)
}

func (k *Keeper) loadIndexes(s *shard, out *Output) bool {
	asked, missing := 0, 0
	for _, seg := range s.segments {
		index := s.indexes[seg.Slot]
		if index.loaded {
			continue
		}
		missing++
		if index.asked {
			asked++
			continue
		}
		if asked < maxLoads {
			asked++
			index.asked = true
			k.op(s, opIndex, seg.Slot, StoreOp{Key: slotKey(s.id, seg.Slot)}, out)
		}
	}
	if missing > 0 {
		return false
	}
	s.ready = true
	k.cfg.Logger.Log(pomelorelay.EventClaimShardLoaded, pomelorelay.Field{Key: "Shard", Value: s.id}, pomelorelay.Field{Key: "Segments", Value: len(s.segments)})
	return true
}

// reload reads the head anew, because another keeper wrote it or because nobody knows whether the last write took effect.
func (s *shard) reload() {
	s.ready = false
	s.size = unknownSize
	s.commit = nil
	s.seal = nil
}

// unknownSize marks a head that has to be read.
const unknownSize = -1

func (k *Keeper) headRead(now time.Time, s *shard, r StoreResult) {
	s.reading = false
	if r.Err != nil {
		s.retryAt = now.Add(k.cfg.RetryDelay)
		return
	}
	var head headRecord
	if err := decode(r.Record.Value, &head); err != nil {
		k.broken(now, s, headKey(s.id))
		return
	}
	s.revision = r.Record.Revision
	s.size = len(r.Record.Value)
	s.confirmed = now
	s.live = make(map[pomelorelay.ClaimKey]*claimRecord, len(head.Claims))
	for i := range head.Claims {
		s.live[head.Claims[i].key()] = &head.Claims[i]
	}
	s.nextSlot, s.free, s.segments = head.NextSlot, head.Free, head.Segments
	if head.Reserve != nil {
		// Its writer may still write there; the slot's next use then fails its compare-and-swap and learns the revision.
		s.free = append(s.free, *head.Reserve)
	}
	s.keepIndexes()
}

// headVerified takes a look at the head that was to show whether another keeper has written it.
func (k *Keeper) headVerified(now time.Time, s *shard, r StoreResult) {
	s.reading = false
	switch {
	case r.Err != nil:
		s.retryAt = now.Add(k.cfg.RetryDelay)
	case r.Record.Revision == s.revision:
		s.confirmed = now
	case s.commit == nil && r.Record.Revision > s.revision:
		s.reload()
	}
}

// keepIndexes drops the indexes of segments that the head no longer lists and marks those to be read.
func (s *shard) keepIndexes() {
	old := s.indexes
	s.indexes = make(map[uint32]*segmentIndex, len(s.segments))
	for _, seg := range s.segments {
		if index, ok := old[seg.Slot]; ok && index.loaded && index.revision == seg.Revision {
			s.indexes[seg.Slot] = index
			continue
		}
		s.indexes[seg.Slot] = &segmentIndex{revision: seg.Revision}
	}
}

// broken keeps a shard whose record cannot be read from taking claims: to begin anew would forget what ran.
func (k *Keeper) broken(now time.Time, s *shard, key pomelorelay.StoreKey) {
	s.retryAt = now.Add(k.cfg.RefuseAfter)
	k.cfg.Logger.Log(pomelorelay.EventClaimRecordBroken, pomelorelay.Field{Key: "Key", Value: string(key)})
}

func (k *Keeper) segmentRead(now time.Time, s *shard, o storeOp, r StoreResult) {
	index, ok := s.indexes[o.slot]
	if !ok {
		return
	}
	index.asked = false
	if r.Err != nil {
		s.retryAt = now.Add(k.cfg.RetryDelay)
		return
	}
	if uint64(r.Record.Revision) != index.revision {
		// The slot was used again; the head that was read is old.
		s.reload()
		return
	}
	var segment segmentRecord
	if err := decode(r.Record.Value, &segment); err != nil {
		k.broken(now, s, slotKey(s.id, o.slot))
		return
	}
	if o.kind == opLookup {
		index.claims = segment.Claims
		return
	}
	index.fill(segment.Claims)
}

func (x *segmentIndex) fill(claims []claimRecord) {
	x.prefixes = make([]uint64, len(claims))
	for i := range claims {
		x.prefixes[i] = prefixOf(claims[i].Key)
	}
	slices.Sort(x.prefixes)
	x.loaded = true
}

func (x *segmentIndex) mayHold(key pomelorelay.ClaimKey) bool {
	_, found := slices.BinarySearch(x.prefixes, prefixOf(key[:]))
	return found
}
