package pomeloclaim

import (
	"bytes"
	"math"
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

type sealStep int

const (
	sealReserveSlot  sealStep = iota + 1 // the head must reserve the store record (slot)
	sealWriteSlot                        // the segment may be written to the slot
	sealWritePending                     // the write is in progress
	sealReadSlot                         // the slot must be read because the write's result is unknown
	sealReadPending
	sealListSegment // the head must list the segment
)

// seal moves settled claims from the head record to an immutable segment record, so that the head stays small. A
// segment is written only at the revision that the head reserved: a delayed write of a paused keeper then fails instead
// of overwriting another keeper's segment.
type seal struct {
	step     sealStep
	slot     slotRef
	keys     map[pomelorelay.ClaimKey]bool
	data     []byte
	checksum []byte
	ref      segmentRef
	// index becomes the segment's index in shard.indexes once the head lists the segment.
	index *segmentIndex
}

func (x *seal) needsCommit() bool { return x.step == sealReserveSlot || x.step == sealListSegment }

// contains reports whether the key is in the segment that the next commit adds to the head.
func (x *seal) contains(key pomelorelay.ClaimKey) bool {
	return x != nil && x.step == sealListSegment && x.keys[key]
}

// maxSegmentRefBytes is the maximum encoded size of a segment reference in the head record.
const maxSegmentRefBytes = 32

// sealDue reports whether the claims in the head record exceed SealBytes. The list of segments does not count towards this limit, since it
// shrinks only as segments expire: once it reached SealBytes alone, every commit would move a few claims into a new segment, until the list
// filled the head record and the shard refused every claim.
func (k *Keeper) sealDue(s *shard) bool {
	return s.headSize-maxSegmentRefBytes*len(s.segments) > int(k.cfg.SealBytes)
}

// advanceSeal starts moving settled claims to a segment when this is due, and carries out the steps that do not write
// the head record.
func (k *Keeper) advanceSeal(now time.Time, s *shard, out *Output) {
	if s.seal == nil && s.commit == nil && k.sealDue(s) {
		s.seal = k.newSeal(now, s)
	}
	if s.seal == nil || now.Before(s.retryAt) {
		return
	}
	switch s.seal.step {
	case sealWriteSlot:
		s.seal.step = sealWritePending
		k.startOp(s, opWriteSegment, s.seal.slot.Slot, StoreOp{Key: slotKey(s.id, s.seal.slot.Slot), Value: s.seal.data, ExpectedRevision: pomelorelay.Revision(s.seal.slot.Revision)}, out)
	case sealReadSlot:
		s.seal.step = sealReadPending
		k.startOp(s, opReadSlot, s.seal.slot.Slot, StoreOp{Key: slotKey(s.id, s.seal.slot.Slot)}, out)
	}
}

func (k *Keeper) newSeal(now time.Time, s *shard) *seal {
	x := &seal{step: sealReserveSlot, keys: make(map[pomelorelay.ClaimKey]bool), ref: segmentRef{From: math.MaxInt64}}
	var segment segmentRecord
	for key, c := range s.headClaims {
		if !k.sealable(now, c) || k.expired(now, c) {
			continue
		}
		x.keys[key] = true
		segment.Claims = append(segment.Claims, sealedClaim(now, k, c))
		x.ref.From, x.ref.To = min(x.ref.From, c.At), max(x.ref.To, c.At)
	}
	if len(segment.Claims) == 0 {
		return nil
	}
	sortClaims(segment.Claims)
	x.data = encode(&segment)
	x.checksum = checksum(x.data)
	x.slot = slotRef{Slot: s.nextSlot}
	if len(s.free) > 0 {
		x.slot = s.free[0]
	}
	x.index = &segmentIndex{}
	x.index.build(segment.Claims)
	return x
}

// sealedClaim returns a claim in its final state, which is unknown if the claim was never settled.
func sealedClaim(now time.Time, k *Keeper, c *claimRecord) claimRecord {
	copied := *c
	copied.State = int(k.effectiveState(now, c))
	return copied
}

// addSegments adds the segment references to the new head, including a newly written segment. The store records (slots)
// of expired segments become free, and the one for a segment that is not written yet is reserved.
func (k *Keeper) addSegments(now time.Time, s *shard, c *commit) {
	for _, seg := range s.segments {
		if k.segmentExpired(now, seg) {
			c.head.Free = append(c.head.Free, slotRef{Slot: seg.Slot, Revision: seg.Revision})
			continue
		}
		c.head.Segments = append(c.head.Segments, seg)
	}
	x := s.seal
	if x == nil {
		return
	}
	c.head.Free = slices.DeleteFunc(c.head.Free, func(f slotRef) bool { return f.Slot == x.slot.Slot })
	c.head.NextSlot = max(c.head.NextSlot, x.slot.Slot+1)
	if x.step != sealListSegment {
		reserved := x.slot
		c.head.Reserve = &reserved
		return
	}
	c.head.Segments = append(c.head.Segments, x.ref)
	c.sealedIndex = x.index
}

func (k *Keeper) handleSegmentWrite(now time.Time, s *shard, r StoreResult) {
	x := s.seal
	if x == nil || x.step != sealWritePending {
		return
	}
	switch {
	case r.Err == nil:
		x.markWritten(r.Revision)
	case pomelorelay.IsErrCode(r.Err, pomelorelay.CodeStoreUnavailable):
		x.step = sealWriteSlot
		s.retryAt = now.Add(k.cfg.RetryDelay)
	default:
		x.step = sealReadSlot
	}
}

func (x *seal) markWritten(revision pomelorelay.Revision) {
	x.ref.Slot, x.ref.Revision = x.slot.Slot, uint64(revision)
	x.index.revision = uint64(revision)
	x.step = sealListSegment
}

// handleSlotRead checks whether a segment write took effect. If the store record holds something else, it is reserved
// again at its current revision.
func (k *Keeper) handleSlotRead(now time.Time, s *shard, r StoreResult) {
	x := s.seal
	if x == nil || x.step != sealReadPending {
		return
	}
	if r.Err != nil {
		x.step = sealReadSlot
		s.retryAt = now.Add(k.cfg.RetryDelay)
		return
	}
	if bytes.Equal(checksum(r.Record.Value), x.checksum) {
		x.markWritten(r.Record.Revision)
		return
	}
	x.slot.Revision = uint64(r.Record.Revision)
	x.step = sealReserveSlot
}

// applySeal continues a move of claims to a segment after a commit, and drops the indexes of segments that the head no
// longer lists.
func (s *shard) applySeal(c *commit) {
	for slot := range s.indexes {
		if !slices.ContainsFunc(s.segments, func(seg segmentRef) bool { return seg.Slot == slot }) {
			delete(s.indexes, slot)
		}
	}
	x := s.seal
	switch {
	case x == nil:
	case c.sealedIndex != nil:
		x.index.loaded = true
		s.indexes[x.ref.Slot] = x.index
		s.seal = nil
	case x.step == sealReserveSlot && c.head.Reserve != nil && *c.head.Reserve == x.slot:
		x.step = sealWriteSlot
	}
}
