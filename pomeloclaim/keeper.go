package pomeloclaim

import (
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Keeper stores the claims of its shards and answers requesters once their claims are durable. If two keepers act for
// one shard, the compare-and-swap on its head record lets only one of them write. A keeper never revokes a claim on its
// own.
type Keeper struct {
	cfg        KeeperConfig
	lastOp     OpID
	pendingOps map[OpID]pendingOp
	shards     map[pomelorelay.ShardID]*shard
	// owned lists the shard IDs in ascending order, so that simulated runs are deterministic.
	owned []pomelorelay.ShardID
	// processStarts holds the latest process start seen of each router, in Unix milliseconds, to recognise claims of
	// processes that have ended.
	processStarts map[pomelorelay.NodeID]uint64
	outage        bool
}

// outageWaitDivisor divides MaxStoreWait while the store is known to be unavailable.
const outageWaitDivisor = 8

type opKind int

const (
	opReadHead opKind = iota + 1
	opConfirmHead
	opReadIndex
	opReadSegment
	opWriteHead
	opWriteSegment
	opReadSlot
)

// pendingOp records the purpose of a store operation. commit and seal are those that the operation belongs to, so that
// its result is not attributed to a later commit or seal.
type pendingOp struct {
	kind   opKind
	shard  *shard
	slot   uint32
	commit *commit
	seal   *seal
}

// NewKeeper returns a Keeper without shards.
func NewKeeper(cfg KeeperConfig) *Keeper {
	return &Keeper{
		cfg:           cfg.withDefaults(),
		pendingOps:    make(map[OpID]pendingOp),
		shards:        make(map[pomelorelay.ShardID]*shard),
		processStarts: make(map[pomelorelay.NodeID]uint64),
	}
}

// SetRetention sets how long settled claims are kept; zero or less selects the default.
func (k *Keeper) SetRetention(d time.Duration) {
	setDefaultDuration(&d, defaultRetention)
	k.cfg.Retention = d
}

// AddShard takes over a shard; claim requests are answered once its records have been read from the store.
func (k *Keeper) AddShard(now time.Time, id pomelorelay.ShardID, out *Output) {
	if _, ok := k.shards[id]; ok {
		return
	}
	s := newShard(id, now, k.cfg.CommitBurst)
	k.shards[id] = s
	k.owned = append(k.owned, id)
	slices.Sort(k.owned)
	k.advance(now, s, out)
}

// RemoveShard gives up a shard and drops its pending messages, which the requesters send again to the new keeper. A
// write in progress may still take effect; the compare-and-swap of the new keeper then fails, and that keeper reads the
// record again.
func (k *Keeper) RemoveShard(id pomelorelay.ShardID) {
	delete(k.shards, id)
	k.owned = slices.DeleteFunc(k.owned, func(o pomelorelay.ShardID) bool { return o == id })
	for op, o := range k.pendingOps {
		if o.shard.id == id {
			delete(k.pendingOps, op)
		}
	}
}

// HandleAsk handles a router's request for a claim and answers once the claim is durable. A request for a shard of another
// keeper is dropped, because the requester sends it again to the shard's current keeper.
func (k *Keeper) HandleAsk(now time.Time, from pomelorelay.NodeID, m *pomelorelay.ClaimAsk, out *Output) {
	k.recordProcessStart(from, m.Nonce)
	s, ok := k.shards[m.Shard]
	if !ok || s.hasAsk(from, m.Nonce) {
		return
	}
	if len(s.asks) >= k.cfg.MaxPending {
		sendAnswer(from, m, pomelorelay.ClaimRefused, pomelorelay.ClaimOutcome{}, out)
		return
	}
	s.asks = append(s.asks, &pendingAsk{from: from, ask: *m, receivedAt: now})
	k.advance(now, s, out)
}

// HandleSettle handles a router's settlement and acknowledges it once it is durable.
func (k *Keeper) HandleSettle(now time.Time, from pomelorelay.NodeID, m *pomelorelay.ClaimSettle, out *Output) {
	k.recordProcessStart(from, m.Nonce)
	s, ok := k.shards[m.Shard]
	if !ok || s.hasSettle(m.Nonce) || len(s.settles) >= k.cfg.MaxPending {
		return
	}
	if m.Released {
		s.removeAsk(m.Nonce)
	}
	s.settles = append(s.settles, &pendingSettle{from: from, settle: *m, receivedAt: now})
	k.advance(now, s, out)
}

// recordProcessStart records when a router's process started. The outcome of unsettled claims of its earlier processes
// then counts as unknown.
func (k *Keeper) recordProcessStart(from pomelorelay.NodeID, nonce pomelorelay.ClaimNonce) {
	k.processStarts[from] = max(k.processStarts[from], processStart(nonce[:]))
}

// Tick refuses overdue claim requests, retries failed store operations and starts due writes.
// Call it about every 50 ms.
func (k *Keeper) Tick(now time.Time, out *Output) {
	for _, id := range k.owned {
		s := k.shards[id]
		k.refuseOverdue(now, s, out)
		k.advance(now, s, out)
	}
}

// maxStoreWait returns how long a claim may wait for the store. The wait is shorter while the store is known to be
// unavailable, so that callers are refused early and can retry later.
func (k *Keeper) maxStoreWait() time.Duration {
	if k.outage {
		return k.cfg.MaxStoreWait / outageWaitDivisor
	}
	return k.cfg.MaxStoreWait
}

// refuseOverdue refuses claim requests that have waited too long for the store. Such a claim may still become durable;
// then only its requester may release it, because another keeper may have granted it to the requester.
func (k *Keeper) refuseOverdue(now time.Time, s *shard, out *Output) {
	refused := false
	s.asks = slices.DeleteFunc(s.asks, func(a *pendingAsk) bool {
		if now.Sub(a.receivedAt) < k.maxStoreWait() {
			return false
		}
		refused = true
		if c := s.headClaims[a.ask.Key]; c != nil {
			// A claim of the key is known, and an answer with its state is more accurate than a refusal.
			k.answerWithClaim(now, s, a, c, out)
			return true
		}
		sendAnswer(a.from, &a.ask, pomelorelay.ClaimRefused, pomelorelay.ClaimOutcome{}, out)
		return true
	})
	if refused && !k.outage {
		k.outage = true
		k.cfg.Logger.Log(pomelorelay.EventClaimStoreOutage, pomelorelay.Field{Key: "Shard", Value: s.id})
	}
}

func sendAnswer(to pomelorelay.NodeID, a *pomelorelay.ClaimAsk, state pomelorelay.ClaimState, o pomelorelay.ClaimOutcome, out *Output) {
	out.send(to, &pomelorelay.ClaimAnswer{Shard: a.Shard, Key: a.Key, Nonce: a.Nonce, State: state, Outcome: o})
}

func sendSettled(p *pendingSettle, out *Output) {
	out.send(p.from, &pomelorelay.ClaimSettled{Shard: p.settle.Shard, Key: p.settle.Key, Nonce: p.settle.Nonce})
}

func (k *Keeper) startOp(s *shard, kind opKind, slot uint32, op StoreOp, out *Output) {
	k.lastOp++
	op.ID = k.lastOp
	k.pendingOps[op.ID] = pendingOp{kind: kind, shard: s, slot: slot, commit: s.commit, seal: s.seal}
	out.StoreOps = append(out.StoreOps, op)
}

// HandleStoreResult handles the result of a store operation.
func (k *Keeper) HandleStoreResult(now time.Time, r StoreResult, out *Output) {
	o, ok := k.pendingOps[r.ID]
	if !ok {
		return
	}
	delete(k.pendingOps, r.ID)
	if r.Err == nil {
		k.outage = false
	}
	s := o.shard
	switch o.kind {
	case opReadHead:
		k.handleHeadRead(now, s, r)
	case opConfirmHead:
		k.handleHeadConfirm(now, s, r)
	case opReadIndex, opReadSegment:
		k.handleSegmentRead(now, s, o, r)
	case opWriteHead:
		if o.commit == s.commit {
			k.handleCommitResult(now, s, r, out)
		}
	case opWriteSegment:
		if o.seal == s.seal {
			k.handleSegmentWrite(now, s, r)
		}
	case opReadSlot:
		if o.seal == s.seal {
			k.handleSlotRead(now, s, r)
		}
	}
	k.advance(now, s, out)
}

// effectiveState returns a claim's state, which is unknown instead of running once the router that holds the claim is
// dead or has restarted, or once RunningTimeout has passed.
func (k *Keeper) effectiveState(now time.Time, c *claimRecord) pomelorelay.ClaimState {
	state := pomelorelay.ClaimState(c.State)
	if state != pomelorelay.ClaimRunning {
		return state
	}
	holder := pomelorelay.NodeID(c.Asker)
	if !k.cfg.Alive(holder) || k.processStarts[holder] > processStart(c.Nonce) || now.Sub(c.changedAt()) > k.cfg.RunningTimeout {
		return pomelorelay.ClaimUnknown
	}
	return state
}

// expired reports whether a claim is older than Retention; its key then counts as unused.
func (k *Keeper) expired(now time.Time, c *claimRecord) bool {
	return k.sealable(now, c) && now.Sub(c.changedAt()) > k.cfg.Retention
}

// sealable reports whether a claim can no longer change, so that it may be moved to a segment.
func (k *Keeper) sealable(now time.Time, c *claimRecord) bool {
	return c.Settled || now.Sub(c.changedAt()) > k.cfg.RunningTimeout
}
