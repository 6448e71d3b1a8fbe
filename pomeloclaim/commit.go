package pomeloclaim

import (
	"bytes"
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// confirmationTTL is how long a keeper may answer from its copy of the head record without reading the record again.
const confirmationTTL = time.Second

// commit is a compare-and-swap of the head record in progress. Its changes are applied to the shard once the store has
// accepted it.
type commit struct {
	put      map[pomelorelay.ClaimKey]*claimRecord
	removed  map[pomelorelay.ClaimKey]bool
	asks     []*pendingAsk
	settles  []*pendingSettle
	head     headRecord
	headSize int
	// sealedIndex is the index of the segment that this commit adds to the head, nil when there is none.
	sealedIndex *segmentIndex
}

// findClaim returns the durable claim of a key, nil when there is none; known is false while a segment must be read first.
func (k *Keeper) findClaim(now time.Time, s *shard, key pomelorelay.ClaimKey, out *Output) (c *claimRecord, known bool) {
	if c, ok := s.headClaims[key]; ok {
		if k.expired(now, c) {
			return nil, true
		}
		return c, true
	}
	known = true
	for _, seg := range s.segments {
		if k.segmentExpired(now, seg) || !s.indexes[seg.Slot].mayContain(key) {
			continue
		}
		index := s.indexes[seg.Slot]
		if index.claims == nil {
			known = false
			k.readSegment(now, s, seg, out)
			continue
		}
		i, found := slices.BinarySearchFunc(index.claims, key, func(c claimRecord, key pomelorelay.ClaimKey) int { return bytes.Compare(c.Key, key[:]) })
		if found {
			return &index.claims[i], true
		}
	}
	return nil, known
}

func (k *Keeper) readSegment(now time.Time, s *shard, seg segmentRef, out *Output) {
	index := s.indexes[seg.Slot]
	if index.reading || now.Before(s.retryAt) {
		return
	}
	index.reading = true
	k.startOp(s, opReadSegment, seg.Slot, StoreOp{Key: slotKey(s.id, seg.Slot)}, out)
}

// segmentExpired reports whether all claims of a segment are past their retention.
func (k *Keeper) segmentExpired(now time.Time, seg segmentRef) bool {
	return now.Sub(time.UnixMilli(seg.To)) > k.cfg.Retention
}

// answerFromStoredState answers the claim requests and settlements that the stored claims already decide. Those about
// keys in the current commit wait for its result.
func (k *Keeper) answerFromStoredState(now time.Time, s *shard, out *Output) {
	lookupPending := false
	s.asks = slices.DeleteFunc(s.asks, func(a *pendingAsk) bool {
		if s.inCommit(a.ask.Key) {
			return false
		}
		c, known := k.findClaim(now, s, a.ask.Key, out)
		lookupPending = lookupPending || !known
		if c == nil || (!isFinal(c, a) && !k.headConfirmed(now, s, out)) {
			return false
		}
		k.answerWithClaim(now, s, a, c, out)
		return true
	})
	s.settles = slices.DeleteFunc(s.settles, func(p *pendingSettle) bool {
		if s.inCommit(p.settle.Key) || !s.alreadySettled(p) {
			return false
		}
		sendSettled(p, out)
		return true
	})
	if !lookupPending {
		s.releaseSegments()
	}
}

// isFinal reports whether a claim decides a claim request even if the store holds a newer version of the claim.
func isFinal(c *claimRecord, a *pendingAsk) bool {
	if c.Content != uint64(a.ask.Content) {
		return false
	}
	return c.State == int(pomelorelay.ClaimDone) || (c.heldBy(a.ask.Nonce) && !c.Settled)
}

// headConfirmed reports whether the head record was read or written within confirmationTTL. A keeper that was paused or
// partitioned may have been replaced, and would otherwise keep answering that a settled claim is running.
func (k *Keeper) headConfirmed(now time.Time, s *shard, out *Output) bool {
	if now.Sub(s.confirmedAt) <= confirmationTTL {
		return true
	}
	if !s.readingHead && !now.Before(s.retryAt) {
		s.readingHead = true
		k.startOp(s, opConfirmHead, 0, StoreOp{Key: headKey(s.id)}, out)
	}
	return false
}

func (s *shard) inCommit(key pomelorelay.ClaimKey) bool {
	if s.commit == nil {
		return false
	}
	return s.commit.put[key] != nil || s.commit.removed[key]
}

// releaseSegments frees the claims that lookups read from segments into memory; the indexes of the segments are kept.
func (s *shard) releaseSegments() {
	for _, index := range s.indexes {
		index.claims = nil
	}
}

// answerWithClaim answers a claim request according to a durable claim. The attempt that holds the claim is granted it
// again until it settles: an attempt repeats its claim request only while it has not sent its request to an upstream.
func (k *Keeper) answerWithClaim(now time.Time, s *shard, a *pendingAsk, c *claimRecord, out *Output) {
	state, outcome := k.effectiveState(now, c), pomelorelay.ClaimOutcome{}
	switch {
	case c.Content != uint64(a.ask.Content):
		state = pomelorelay.ClaimConflict
	case c.heldBy(a.ask.Nonce) && !c.Settled:
		state = pomelorelay.ClaimGranted
	case state == pomelorelay.ClaimDone:
		outcome = c.outcome()
	case state == pomelorelay.ClaimRunning:
		if done := s.pendingDoneSettlement(c); done != nil {
			state, outcome = pomelorelay.ClaimDone, done.Outcome
			break
		}
		notifyHolder(a, c, out)
	}
	sendAnswer(a.from, &a.ask, state, outcome, out)
}

// pendingDoneSettlement returns the pending settlement that reports the claim's request as done, nil when there is
// none. The outcome is valid before the settlement is durable; without it, an immediate repeat would be told that the
// request is still running.
func (s *shard) pendingDoneSettlement(c *claimRecord) *pomelorelay.ClaimSettle {
	for _, p := range s.settles {
		if c.heldBy(p.settle.Nonce) && !p.settle.Released && p.settle.State == pomelorelay.ClaimDone {
			return &p.settle
		}
	}
	return nil
}

// notifyHolder repeats the granted answer to the router that holds a claim. A resent ClaimAsk may make a claim durable
// after its requester cancelled it; if the answer was lost, the claim would block every repeat of the request. The
// holder releases a claim that it does not know and ignores the answer otherwise.
func notifyHolder(a *pendingAsk, c *claimRecord, out *Output) {
	m := &pomelorelay.ClaimAnswer{Shard: a.ask.Shard, Key: a.ask.Key, State: pomelorelay.ClaimGranted}
	copy(m.Nonce[:], c.Nonce)
	out.send(pomelorelay.NodeID(c.Asker), m)
}

// alreadySettled reports whether the stored claim already has this settlement. A settlement whose claim is missing or
// held by another attempt still needs a write: this keeper may be out of date, or an earlier keeper's write may be in
// progress, and only a successful write rules out both. Otherwise the settlement could be lost and the claim stay
// running.
func (s *shard) alreadySettled(p *pendingSettle) bool {
	c, ok := s.headClaims[p.settle.Key]
	return ok && c.Settled && c.heldBy(p.settle.Nonce)
}

// startDueCommit writes the head record when a commit is due and the shard's rate limit allows it. Claims are committed
// at once; settlements are delayed to share commits.
func (k *Keeper) startDueCommit(now time.Time, s *shard, out *Output) {
	if s.commit != nil || !s.ready || now.Before(s.retryAt) || !k.commitDue(now, s, out) {
		return
	}
	s.commitTokens = min(k.cfg.CommitBurst, s.commitTokens+now.Sub(s.tokensUpdatedAt).Seconds()*k.cfg.CommitsPerSecond)
	s.tokensUpdatedAt = now
	if s.commitTokens < 1 {
		return
	}
	s.commitTokens--
	c := k.newCommit(now, s, out)
	s.commit = c
	data := encode(&c.head)
	c.headSize = len(data)
	k.startOp(s, opWriteHead, 0, StoreOp{Key: headKey(s.id), Value: data, ExpectedRevision: s.revision}, out)
}

func (k *Keeper) commitDue(now time.Time, s *shard, out *Output) bool {
	if s.seal != nil && s.seal.needsCommit() {
		return true
	}
	for _, p := range s.settles {
		if now.Sub(p.receivedAt) >= k.cfg.SettleDelay {
			return true
		}
	}
	for _, a := range s.asks {
		if c, known := k.findClaim(now, s, a.ask.Key, out); c == nil && known {
			return true
		}
	}
	return false
}

func (k *Keeper) newCommit(now time.Time, s *shard, out *Output) *commit {
	c := &commit{put: make(map[pomelorelay.ClaimKey]*claimRecord), removed: make(map[pomelorelay.ClaimKey]bool)}
	for _, p := range s.settles {
		k.addSettlement(now, s, c, p)
	}
	full := s.headSize > int(k.cfg.MaxHeadBytes)
	s.asks = slices.DeleteFunc(s.asks, func(a *pendingAsk) bool {
		durable, known := k.findClaim(now, s, a.ask.Key, out)
		if c.put[a.ask.Key] != nil || c.removed[a.ask.Key] || durable != nil || !known {
			return false
		}
		if full {
			sendAnswer(a.from, &a.ask, pomelorelay.ClaimRefused, pomelorelay.ClaimOutcome{}, out)
			return true
		}
		c.put[a.ask.Key] = newClaim(now, a)
		c.asks = append(c.asks, a)
		return false
	})
	c.head = headRecord{NextSlot: s.nextSlot, Free: slices.Clone(s.free)}
	k.addSegments(now, s, c)
	k.addClaims(now, s, c)
	return c
}

func newClaim(now time.Time, a *pendingAsk) *claimRecord {
	return &claimRecord{
		Key:     slices.Clone(a.ask.Key[:]),
		Nonce:   slices.Clone(a.ask.Nonce[:]),
		Content: uint64(a.ask.Content),
		Asker:   string(a.from),
		At:      now.UnixMilli(),
		State:   int(pomelorelay.ClaimRunning),
	}
}

// addSettlement adds a settlement to the commit. Only the attempt that holds a claim may settle it, and only once.
func (k *Keeper) addSettlement(now time.Time, s *shard, c *commit, p *pendingSettle) {
	c.settles = append(c.settles, p)
	key := p.settle.Key
	held, ok := s.headClaims[key]
	if !ok || c.removed[key] || c.put[key] != nil || held.Settled || !held.heldBy(p.settle.Nonce) {
		return
	}
	if p.settle.Released {
		c.removed[key] = true
		return
	}
	settled := *held
	settled.Settled = true
	settled.At = now.UnixMilli()
	settled.State = int(pomelorelay.ClaimUnknown)
	if p.settle.State == pomelorelay.ClaimDone {
		settled.State = int(pomelorelay.ClaimDone)
		settled.setOutcome(p.settle.Outcome, k.cfg.MaxOutcomeBytes)
	}
	c.put[key] = &settled
}

// addClaims adds the shard's claims to the new head, except those that are expired, moved to a segment or removed.
func (k *Keeper) addClaims(now time.Time, s *shard, c *commit) {
	for key, held := range s.headClaims {
		if c.put[key] == nil && !c.removed[key] && (k.expired(now, held) || s.seal.contains(key)) {
			c.removed[key] = true
		}
		if c.put[key] == nil && !c.removed[key] {
			c.head.Claims = append(c.head.Claims, *held)
		}
	}
	for _, changed := range c.put {
		c.head.Claims = append(c.head.Claims, *changed)
	}
	sortClaims(c.head.Claims)
}

// handleCommitResult handles the result of a commit. After a conflict or an unknown result, the head record is read
// again: it is authoritative, and pending messages that it does not reflect go into the next commit.
func (k *Keeper) handleCommitResult(now time.Time, s *shard, r StoreResult, out *Output) {
	c := s.commit
	if c == nil {
		return
	}
	s.commit = nil
	switch {
	case r.Err == nil:
		k.applyCommit(now, s, c, r.Revision, out)
	case pomelorelay.IsErrCode(r.Err, pomelorelay.CodeStoreUnavailable):
		s.retryAt = now.Add(k.cfg.RetryDelay)
	default:
		if pomelorelay.IsErrCode(r.Err, pomelorelay.CodeStoreConflict) {
			k.cfg.Logger.Log(pomelorelay.EventClaimShardFenced, pomelorelay.Field{Key: "Shard", Value: s.id})
		}
		s.invalidate()
	}
}

// applyCommit applies a stored commit to the shard and answers the messages that waited for it.
func (k *Keeper) applyCommit(now time.Time, s *shard, c *commit, revision pomelorelay.Revision, out *Output) {
	s.revision, s.headSize = revision, c.headSize
	s.confirmedAt = now
	for key := range c.removed {
		delete(s.headClaims, key)
	}
	for key, changed := range c.put {
		s.headClaims[key] = changed
	}
	s.nextSlot, s.free, s.segments = c.head.NextSlot, c.head.Free, c.head.Segments
	s.applySeal(c)
	if c.sealedIndex != nil {
		k.cfg.Logger.Log(pomelorelay.EventClaimSealed, pomelorelay.Field{Key: "Shard", Value: s.id}, pomelorelay.Field{Key: "Claims", Value: len(c.sealedIndex.prefixes)})
	}
	s.answerCommitted(c, out)
}

// answerCommitted answers the messages that a commit stored, except claim requests that were dropped meanwhile.
func (s *shard) answerCommitted(c *commit, out *Output) {
	asks := make(map[*pendingAsk]bool, len(c.asks))
	for _, a := range c.asks {
		asks[a] = true
	}
	s.asks = slices.DeleteFunc(s.asks, func(a *pendingAsk) bool {
		if asks[a] {
			sendAnswer(a.from, &a.ask, pomelorelay.ClaimGranted, pomelorelay.ClaimOutcome{}, out)
		}
		return asks[a]
	})
	settles := make(map[*pendingSettle]bool, len(c.settles))
	for _, p := range c.settles {
		settles[p] = true
		sendSettled(p, out)
	}
	s.settles = slices.DeleteFunc(s.settles, func(p *pendingSettle) bool { return settles[p] })
}
