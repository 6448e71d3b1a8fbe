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
	sealReserve sealStep = iota + 1 // the head must name the slot first
	sealWrite                       // the slot may be written
	sealWriting                     // the write is under way
	sealCheck                       // the slot must be read to see whether the write took effect
	sealChecking
	sealList // the head must list the segment
)

// seal moves settled claims from the head to a segment that never changes, so that the head stays small. A slot is
// written only from the revision that the head named for it: a keeper that was paused in the middle and writes late
// then meets a slot that has moved on, and cannot overwrite another keeper's segment.
type seal struct {
	step sealStep
	slot slotRef
	keys map[pomelorelay.ClaimKey]bool
	text []byte
	sum  []byte
	ref  segmentRef
	// index becomes the segment's once it is listed.
	index *segmentIndex
}

func (x *seal) needsCommit() bool { return x.step == sealReserve || x.step == sealList }

// holds reports whether the segment that is being listed holds the key, so that the head need not.
func (x *seal) holds(key pomelorelay.ClaimKey) bool {
	return x != nil && x.step == sealList && x.keys[key]
}

// segmentRefBytes is what a listed segment takes in the head at most.
const segmentRefBytes = 32

// sealDue reports whether the head's claims are enough for a segment. The list of segments does not count: it only grows until the
// retention ends, and once it alone was as large as SealBytes, each commit would be seen to seal its few claims by themselves and
// lengthen the list until the head is full and the shard refuses every claim.
func (k *Keeper) sealDue(s *shard) bool {
	return s.size-segmentRefBytes*len(s.segments) > int(k.cfg.SealBytes)
}

// advanceSeal begins a seal when the head has many claims, and takes the steps that need no commit.
func (k *Keeper) advanceSeal(now time.Time, s *shard, out *Output) {
	if s.seal == nil && s.commit == nil && k.sealDue(s) {
		s.seal = k.newSeal(now, s)
	}
	if s.seal == nil || now.Before(s.retryAt) {
		return
	}
	switch s.seal.step {
	case sealWrite:
		s.seal.step = sealWriting
		k.op(s, opSegment, s.seal.slot.Slot, StoreOp{Key: slotKey(s.id, s.seal.slot.Slot), Value: s.seal.text, ExpectedRevision: pomelorelay.Revision(s.seal.slot.Revision)}, out)
	case sealCheck:
		s.seal.step = sealChecking
		k.op(s, opSlot, s.seal.slot.Slot, StoreOp{Key: slotKey(s.id, s.seal.slot.Slot)}, out)
	}
}

func (k *Keeper) newSeal(now time.Time, s *shard) *seal {
	x := &seal{step: sealReserve, keys: make(map[pomelorelay.ClaimKey]bool), ref: segmentRef{From: math.MaxInt64}}
	var segment segmentRecord
	for key, c := range s.live {
		if !k.sealable(now, c) || k.expired(now, c) {
			continue
		}
		x.keys[key] = true
		segment.Claims = append(segment.Claims, sealed(now, k, c))
		x.ref.From, x.ref.To = min(x.ref.From, c.At), max(x.ref.To, c.At)
	}
	if len(segment.Claims) == 0 {
		return nil
	}
	sortClaims(segment.Claims)
	x.text = encode(&segment)
	x.sum = sumOf(x.text)
	x.slot = slotRef{Slot: s.nextSlot}
	if len(s.free) > 0 {
		x.slot = s.free[0]
	}
	x.index = &segmentIndex{}
	x.index.fill(segment.Claims)
	return x
}

// sealed returns a claim as it stays: one that was never settled is unknown for good.
func sealed(now time.Time, k *Keeper, c *claimRecord) claimRecord {
	copied := *c
	copied.State = int(k.state(now, c))
	return copied
}

// addSegments lists the head's segments as they will be: without those past their retention, whose slots become free,
// and with the one that was written. A slot about to be written is reserved.
func (k *Keeper) addSegments(now time.Time, s *shard, c *commit) {
	for _, seg := range s.segments {
		if k.outlived(now, seg) {
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
	if x.step != sealList {
		reserved := x.slot
		c.head.Reserve = &reserved
		return
	}
	c.head.Segments = append(c.head.Segments, x.ref)
	c.sealed = x.index
}

func (k *Keeper) segmentWritten(now time.Time, s *shard, r StoreResult) {
	x := s.seal
	if x == nil || x.step != sealWriting {
		return
	}
	switch {
	case r.Err == nil:
		x.written(r.Revision)
	case pomelorelay.IsErrCode(r.Err, pomelorelay.CodeStoreUnavailable):
		x.step = sealWrite
		s.retryAt = now.Add(k.cfg.RetryDelay)
	default:
		x.step = sealCheck
	}
}

func (x *seal) written(revision pomelorelay.Revision) {
	x.ref.Slot, x.ref.Revision = x.slot.Slot, uint64(revision)
	x.index.revision = uint64(revision)
	x.step = sealList
}

// slotRead tells whether the write took effect. If something else stands there, the slot is reserved anew from the
// revision that it has now.
func (k *Keeper) slotRead(now time.Time, s *shard, r StoreResult) {
	x := s.seal
	if x == nil || x.step != sealChecking {
		return
	}
	if r.Err != nil {
		x.step = sealCheck
		s.retryAt = now.Add(k.cfg.RetryDelay)
		return
	}
	if bytes.Equal(sumOf(r.Record.Value), x.sum) {
		x.written(r.Record.Revision)
		return
	}
	x.slot.Revision = uint64(r.Record.Revision)
	x.step = sealReserve
}

// applySeal takes the step that a commit has made durable.
func (s *shard) applySeal(c *commit) {
	for slot := range s.indexes {
		if !slices.ContainsFunc(s.segments, func(seg segmentRef) bool { return seg.Slot == slot }) {
			delete(s.indexes, slot)
		}
	}
	x := s.seal
	switch {
	case x == nil:
	case c.sealed != nil:
		x.index.loaded = true
		s.indexes[x.ref.Slot] = x.index
		s.seal = nil
	case x.step == sealReserve && c.head.Reserve != nil && *c.head.Reserve == x.slot:
		x.step = sealWrite
	}
}
