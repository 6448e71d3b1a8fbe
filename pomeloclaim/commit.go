package pomeloclaim

import (
	"bytes"
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// confirmFor is how long a keeper may answer from memory what another keeper could have changed.
const confirmFor = time.Second

// commit is one compare-and-swap under way. Puts and removes become part of the shard when the store has it.
type commit struct {
	put     map[pomelorelay.ClaimKey]*claimRecord
	removed map[pomelorelay.ClaimKey]bool
	asks    []*pendingAsk
	settles []*pendingSettle
	head    headRecord
	size    int
	// sealed holds the index of the segment that the commit lists.
	sealed *segmentIndex
}

// find returns the durable claim of a key; known is false while a segment has to be read to tell.
func (k *Keeper) find(now time.Time, s *shard, key pomelorelay.ClaimKey, out *Output) (c *claimRecord, known bool) {
	if c, ok := s.live[key]; ok {
		if k.expired(now, c) {
			return nil, true
		}
		return c, true
	}
	known = true
	for _, seg := range s.segments {
		if k.outlived(now, seg) || !s.indexes[seg.Slot].mayHold(key) {
			continue
		}
		index := s.indexes[seg.Slot]
		if index.claims == nil {
			known = false
			k.lookUp(now, s, seg, out)
			continue
		}
		i, found := slices.BinarySearchFunc(index.claims, key, func(c claimRecord, key pomelorelay.ClaimKey) int { return bytes.Compare(c.Key, key[:]) })
		if found {
			return &index.claims[i], true
		}
	}
	return nil, known
}

func (k *Keeper) lookUp(now time.Time, s *shard, seg segmentRef, out *Output) {
	index := s.indexes[seg.Slot]
	if index.asked || now.Before(s.retryAt) {
		return
	}
	index.asked = true
	k.op(s, opLookup, seg.Slot, StoreOp{Key: slotKey(s.id, seg.Slot)}, out)
}

// outlived reports whether every claim of a segment is past its retention.
func (k *Keeper) outlived(now time.Time, seg segmentRef) bool {
	return now.Sub(time.UnixMilli(seg.To)) > k.cfg.Retention
}

// answerDurable answers what the store's state decides already. A claim that a commit under way changes waits for it.
func (k *Keeper) answerDurable(now time.Time, s *shard, out *Output) {
	waiting := false
	s.asks = slices.DeleteFunc(s.asks, func(a *pendingAsk) bool {
		if s.inCommit(a.ask.Key) {
			return false
		}
		c, known := k.find(now, s, a.ask.Key, out)
		waiting = waiting || !known
		if c == nil || (!isFinal(c, a) && !k.verified(now, s, out)) {
			return false
		}
		k.answerFrom(now, s, a, c, out)
		return true
	})
	s.settles = slices.DeleteFunc(s.settles, func(p *pendingSettle) bool {
		if s.inCommit(p.settle.Key) || !s.reflects(p) {
			return false
		}
		acknowledge(p, out)
		return true
	})
	if !waiting {
		s.forgetSegments()
	}
}

// isFinal reports whether a claim decides an ask for good, even if the store holds something newer.
func isFinal(c *claimRecord, a *pendingAsk) bool {
	if c.Content != uint64(a.ask.Content) {
		return false
	}
	return c.State == int(pomelorelay.ClaimDone) || (c.holds(a.ask.Nonce) && !c.Settled)
}

// verified reports whether the store has confirmed the head lately. A keeper that was paused or cut off may be behind
// another keeper; without asking, it would go on answering "running" of a claim that was settled long ago.
func (k *Keeper) verified(now time.Time, s *shard, out *Output) bool {
	if now.Sub(s.confirmed) <= confirmFor {
		return true
	}
	if !s.reading && !now.Before(s.retryAt) {
		s.reading = true
		k.op(s, opVerify, 0, StoreOp{Key: headKey(s.id)}, out)
	}
	return false
}

func (s *shard) inCommit(key pomelorelay.ClaimKey) bool {
	if s.commit == nil {
		return false
	}
	return s.commit.put[key] != nil || s.commit.removed[key]
}

// forgetSegments gives up the segments that were read for questions; only their indexes stay.
func (s *shard) forgetSegments() {
	for _, index := range s.indexes {
		index.claims = nil
	}
}

// answerFrom answers an ask by a durable claim. The attempt that holds it hears "fresh" again as long as it has not
// settled: it asks again only while it has not sent its request.
func (k *Keeper) answerFrom(now time.Time, s *shard, a *pendingAsk, c *claimRecord, out *Output) {
	state, outcome := k.state(now, c), pomelorelay.ClaimOutcome{}
	switch {
	case c.Content != uint64(a.ask.Content):
		state = pomelorelay.ClaimConflict
	case c.holds(a.ask.Nonce) && !c.Settled:
		state = pomelorelay.ClaimFresh
	case state == pomelorelay.ClaimDone:
		outcome = c.outcome()
	case state == pomelorelay.ClaimRunning:
		if done := s.settledAsDone(c); done != nil {
			state, outcome = pomelorelay.ClaimDone, done.Outcome
			break
		}
		remind(a, c, out)
	}
	answer(a.from, &a.ask, state, outcome, out)
}

// settledAsDone returns the settlement that waits to be written and says that the claim's request ran, nil when there is none.
// Its outcome is true before it is durable; without it a caller that repeats at once hears "still running" of a request whose
// answer is known.
func (s *shard) settledAsDone(c *claimRecord) *pomelorelay.ClaimSettle {
	for _, p := range s.settles {
		if c.holds(p.settle.Nonce) && !p.settle.Released && p.settle.State == pomelorelay.ClaimDone {
			return &p.settle
		}
	}
	return nil
}

// remind tells the holder of a claim that keeps another from running that it holds it. A resent ask may make a claim
// durable after its asker gave it up, and the answer may be lost; nobody would ever release it. The holder ignores
// the reminder of a claim that it knows and releases one that it does not.
func remind(a *pendingAsk, c *claimRecord, out *Output) {
	m := &pomelorelay.ClaimAnswer{Shard: a.ask.Shard, Key: a.ask.Key, State: pomelorelay.ClaimFresh}
	copy(m.Nonce[:], c.Nonce)
	out.send(pomelorelay.NodeID(c.Asker), m)
}

// reflects reports whether a settlement needs no write because it is known to have been made. One whose claim is not
// found, or is another's, needs a write nevertheless: this keeper may be behind, or an earlier keeper's write may be
// under way, and only a write that succeeds shows that neither is so. Without it a settlement would be acknowledged and
// lost; one would notice a claim that stays running for ever.
func (s *shard) reflects(p *pendingSettle) bool {
	c, ok := s.live[p.settle.Key]
	return ok && c.Settled && c.holds(p.settle.Nonce)
}

// commitIfDue writes the head when something waits for it and the shard's rate allows a write. Claims go at once, and
// settlements wait a while to share their writes.
func (k *Keeper) commitIfDue(now time.Time, s *shard, out *Output) {
	if s.commit != nil || !s.ready || now.Before(s.retryAt) || !k.isDue(now, s, out) {
		return
	}
	s.tokens = min(k.cfg.CommitBurst, s.tokens+now.Sub(s.earned).Seconds()*k.cfg.CommitsPerSecond)
	s.earned = now
	if s.tokens < 1 {
		return
	}
	s.tokens--
	c := k.newCommit(now, s, out)
	s.commit = c
	text := encode(&c.head)
	c.size = len(text)
	k.op(s, opCommit, 0, StoreOp{Key: headKey(s.id), Value: text, ExpectedRevision: s.revision}, out)
}

func (k *Keeper) isDue(now time.Time, s *shard, out *Output) bool {
	if s.seal != nil && s.seal.needsCommit() {
		return true
	}
	for _, p := range s.settles {
		if now.Sub(p.since) >= k.cfg.SettleDelay {
			return true
		}
	}
	for _, a := range s.asks {
		if c, known := k.find(now, s, a.ask.Key, out); c == nil && known {
			return true
		}
	}
	return false
}

func (k *Keeper) newCommit(now time.Time, s *shard, out *Output) *commit {
	c := &commit{put: make(map[pomelorelay.ClaimKey]*claimRecord), removed: make(map[pomelorelay.ClaimKey]bool)}
	for _, p := range s.settles {
		k.addSettle(now, s, c, p)
	}
	full := s.size > int(k.cfg.MaxHeadBytes)
	s.asks = slices.DeleteFunc(s.asks, func(a *pendingAsk) bool {
		durable, known := k.find(now, s, a.ask.Key, out)
		if c.put[a.ask.Key] != nil || c.removed[a.ask.Key] || durable != nil || !known {
			return false
		}
		if full {
			answer(a.from, &a.ask, pomelorelay.ClaimRefused, pomelorelay.ClaimOutcome{}, out)
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

// addSettle puts a settlement into the commit. Only the attempt that holds a claim may change it, and only once.
func (k *Keeper) addSettle(now time.Time, s *shard, c *commit, p *pendingSettle) {
	c.settles = append(c.settles, p)
	key := p.settle.Key
	held, ok := s.live[key]
	if !ok || c.removed[key] || c.put[key] != nil || held.Settled || !held.holds(p.settle.Nonce) {
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
		settled.setOutcome(p.settle.Outcome, k.cfg.MaxOutcome)
	}
	c.put[key] = &settled
}

// addClaims lists the head's claims as they will be, without those past their retention and those sealed.
func (k *Keeper) addClaims(now time.Time, s *shard, c *commit) {
	for key, held := range s.live {
		if c.put[key] == nil && !c.removed[key] && (k.expired(now, held) || s.seal.holds(key)) {
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

// committed takes the end of a commit. When the store did not take it, or nobody knows, the head is read again: what
// then stands there decides, whoever wrote it, and what is still missing goes into the next commit.
func (k *Keeper) committed(now time.Time, s *shard, r StoreResult, out *Output) {
	c := s.commit
	if c == nil {
		return
	}
	s.commit = nil
	switch {
	case r.Err == nil:
		k.apply(now, s, c, r.Revision, out)
	case pomelorelay.IsErrCode(r.Err, pomelorelay.CodeStoreUnavailable):
		s.retryAt = now.Add(k.cfg.RetryDelay)
	default:
		if pomelorelay.IsErrCode(r.Err, pomelorelay.CodeStoreConflict) {
			k.cfg.Logger.Log(pomelorelay.EventClaimShardFenced, pomelorelay.Field{Key: "Shard", Value: s.id})
		}
		s.reload()
	}
}

// apply makes a commit that the store holds the shard's state and answers those who waited for it.
func (k *Keeper) apply(now time.Time, s *shard, c *commit, revision pomelorelay.Revision, out *Output) {
	s.revision, s.size = revision, c.size
	s.confirmed = now
	for key := range c.removed {
		delete(s.live, key)
	}
	for key, changed := range c.put {
		s.live[key] = changed
	}
	s.nextSlot, s.free, s.segments = c.head.NextSlot, c.head.Free, c.head.Segments
	s.applySeal(c)
	if c.sealed != nil {
		k.cfg.Logger.Log(pomelorelay.EventClaimSealed, pomelorelay.Field{Key: "Shard", Value: s.id}, pomelorelay.Field{Key: "Claims", Value: len(c.sealed.prefixes)})
	}
	s.answerCommitted(c, out)
}

// answerCommitted answers those who waited for a commit; an ask that was given up meanwhile is not among the shard's any more.
func (s *shard) answerCommitted(c *commit, out *Output) {
	asks := make(map[*pendingAsk]bool, len(c.asks))
	for _, a := range c.asks {
		asks[a] = true
	}
	s.asks = slices.DeleteFunc(s.asks, func(a *pendingAsk) bool {
		if asks[a] {
			answer(a.from, &a.ask, pomelorelay.ClaimFresh, pomelorelay.ClaimOutcome{}, out)
		}
		return asks[a]
	})
	settles := make(map[*pendingSettle]bool, len(c.settles))
	for _, p := range c.settles {
		settles[p] = true
		acknowledge(p, out)
	}
	s.settles = slices.DeleteFunc(s.settles, func(p *pendingSettle) bool { return settles[p] })
}
