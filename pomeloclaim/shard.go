package pomeloclaim

import (
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// maxIndexReads limits the number of concurrent segment reads when a shard is taken over.
const maxIndexReads = 8

// shard is a keeper's state of one shard. headClaims, segments and the other head fields reflect the shard's head
// record in the store at revision; asks and settles are pending until a commit has stored them.
type shard struct {
	id          pomelorelay.ShardID
	ready       bool
	readingHead bool
	retryAt     time.Time
	revision    pomelorelay.Revision
	// confirmedAt is when a read or write last showed that the head record is at revision.
	confirmedAt     time.Time
	headSize        int
	headClaims      map[pomelorelay.ClaimKey]*claimRecord
	nextSlot        uint32
	free            []slotRef
	segments        []segmentRef
	indexes         map[uint32]*segmentIndex
	asks            []*pendingAsk
	settles         []*pendingSettle
	commit          *commit
	seal            *seal
	commitTokens    float64
	tokensUpdatedAt time.Time
}

// segmentIndex holds the sorted key prefixes of a segment, and the claims of the segment while claim requests need
// them.
type segmentIndex struct {
	revision uint64
	prefixes []uint64
	loaded   bool
	reading  bool
	claims   []claimRecord
}

type pendingAsk struct {
	from       pomelorelay.NodeID
	ask        pomelorelay.ClaimAsk
	receivedAt time.Time
}

type pendingSettle struct {
	from       pomelorelay.NodeID
	settle     pomelorelay.ClaimSettle
	receivedAt time.Time
}

func newShard(id pomelorelay.ShardID, now time.Time, burst float64) *shard {
	return &shard{
		id:              id,
		headSize:        unknownSize,
		headClaims:      make(map[pomelorelay.ClaimKey]*claimRecord),
		indexes:         make(map[uint32]*segmentIndex),
		commitTokens:    burst,
		tokensUpdatedAt: now,
	}
}

func (s *shard) hasAsk(from pomelorelay.NodeID, nonce pomelorelay.ClaimNonce) bool {
	return slices.ContainsFunc(s.asks, func(a *pendingAsk) bool { return a.ask.Nonce == nonce && a.from == from })
}

func (s *shard) hasSettle(nonce pomelorelay.ClaimNonce) bool {
	return slices.ContainsFunc(s.settles, func(p *pendingSettle) bool { return p.settle.Nonce == nonce })
}

// removeAsk drops a claim request that its requester has cancelled.
func (s *shard) removeAsk(nonce pomelorelay.ClaimNonce) {
	s.asks = slices.DeleteFunc(s.asks, func(a *pendingAsk) bool { return a.ask.Nonce == nonce })
}

// advance loads the shard if needed, answers the claim requests and settlements that it can, and starts due store
// operations.
func (k *Keeper) advance(now time.Time, s *shard, out *Output) {
	if !s.ready && !k.load(now, s, out) {
		return
	}
	k.answerFromStoredState(now, s, out)
	k.advanceSeal(now, s, out)
	k.startDueCommit(now, s, out)
}

// load reads the head record and then the segments to index; it reports whether the shard is ready.
func (k *Keeper) load(now time.Time, s *shard, out *Output) bool {
	if s.readingHead || now.Before(s.retryAt) {
		return false
	}
	if s.headSize == unknownSize {
		s.readingHead = true
		k.startOp(s, opReadHead, 0, StoreOp{Key: headKey(s.id)}, out)
		return false
	}
	return k.loadIndexes(s, out)
}

func (k *Keeper) loadIndexes(s *shard, out *Output) bool {
	reading, missing := 0, 0
	for _, seg := range s.segments {
		index := s.indexes[seg.Slot]
		if index.loaded {
			continue
		}
		missing++
		if index.reading {
			reading++
			continue
		}
		if reading < maxIndexReads {
			reading++
			index.reading = true
			k.startOp(s, opReadIndex, seg.Slot, StoreOp{Key: slotKey(s.id, seg.Slot)}, out)
		}
	}
	if missing > 0 {
		return false
	}
	s.ready = true
	k.cfg.Logger.Log(pomelorelay.EventClaimShardLoaded, pomelorelay.Field{Key: "Shard", Value: s.id}, pomelorelay.Field{Key: "Segments", Value: len(s.segments)})
	return true
}

// invalidate causes the head record to be read again after another keeper wrote it or the result of a write was
// unknown.
func (s *shard) invalidate() {
	s.ready = false
	s.headSize = unknownSize
	s.commit = nil
	s.seal = nil
}

// unknownSize is the headSize of a shard whose head record must be read.
const unknownSize = -1

func (k *Keeper) handleHeadRead(now time.Time, s *shard, r StoreResult) {
	s.readingHead = false
	if r.Err != nil {
		s.retryAt = now.Add(k.cfg.RetryDelay)
		return
	}
	var head headRecord
	if err := decode(r.Record.Value, &head); err != nil {
		k.handleCorruptRecord(now, s, headKey(s.id))
		return
	}
	s.revision = r.Record.Revision
	s.headSize = len(r.Record.Value)
	s.confirmedAt = now
	s.headClaims = make(map[pomelorelay.ClaimKey]*claimRecord, len(head.Claims))
	for i := range head.Claims {
		s.headClaims[head.Claims[i].key()] = &head.Claims[i]
	}
	s.nextSlot, s.free, s.segments = head.NextSlot, head.Free, head.Segments
	if head.Reserve != nil {
		// The previous keeper may still write to this store record (slot). If it does, the next write to the slot fails
		// its compare-and-swap, and the new revision of the slot is read.
		s.free = append(s.free, *head.Reserve)
	}
	s.updateIndexes()
}

// handleHeadConfirm handles a read of the head record that checks whether another keeper has written it.
func (k *Keeper) handleHeadConfirm(now time.Time, s *shard, r StoreResult) {
	s.readingHead = false
	switch {
	case r.Err != nil:
		s.retryAt = now.Add(k.cfg.RetryDelay)
	case r.Record.Revision == s.revision:
		s.confirmedAt = now
	case s.commit == nil && r.Record.Revision > s.revision:
		s.invalidate()
	}
}

// updateIndexes drops the indexes of segments that the head no longer lists and adds unloaded ones for new segments.
func (s *shard) updateIndexes() {
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

// handleCorruptRecord delays the next read of a shard with a record that cannot be decoded. The shard refuses claims
// meanwhile: starting from an empty record would allow requests that have run to run again.
func (k *Keeper) handleCorruptRecord(now time.Time, s *shard, key pomelorelay.StoreKey) {
	s.retryAt = now.Add(k.cfg.MaxStoreWait)
	k.cfg.Logger.Log(pomelorelay.EventClaimRecordBroken, pomelorelay.Field{Key: "Key", Value: string(key)})
}

func (k *Keeper) handleSegmentRead(now time.Time, s *shard, o pendingOp, r StoreResult) {
	index, ok := s.indexes[o.slot]
	if !ok {
		return
	}
	index.reading = false
	if r.Err != nil {
		s.retryAt = now.Add(k.cfg.RetryDelay)
		return
	}
	if uint64(r.Record.Revision) != index.revision {
		// The store record was reused for another segment, so this keeper's copy of the head is out of date.
		s.invalidate()
		return
	}
	var segment segmentRecord
	if err := decode(r.Record.Value, &segment); err != nil {
		k.handleCorruptRecord(now, s, slotKey(s.id, o.slot))
		return
	}
	if o.kind == opReadSegment {
		index.claims = segment.Claims
		return
	}
	index.build(segment.Claims)
}

func (x *segmentIndex) build(claims []claimRecord) {
	x.prefixes = make([]uint64, len(claims))
	for i := range claims {
		x.prefixes[i] = keyPrefix(claims[i].Key)
	}
	slices.Sort(x.prefixes)
	x.loaded = true
}

func (x *segmentIndex) mayContain(key pomelorelay.ClaimKey) bool {
	_, found := slices.BinarySearch(x.prefixes, keyPrefix(key[:]))
	return found
}
