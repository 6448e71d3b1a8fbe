package pomeloclaim

import (
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Keeper keeps claim shards: it answers askers once the store holds their claims. Two keepers of one shard fence each
// other by compare-and-swap on the shard's head record; a keeper never takes a claim away by its own decision.
type Keeper struct {
	cfg    KeeperConfig
	lastOp OpID
	ops    map[OpID]storeOp
	shards map[pomelorelay.ShardID]*shard
	// owned lists the shards in order, so that a schedule runs the same way every time.
	owned []pomelorelay.ShardID
	// starts holds the newest start seen of each router, to tell the claims of a process that is no more.
	starts map[pomelorelay.NodeID]uint64
	outage bool
}

// outagePatience divides the wait for a store that is known to be down.
const outagePatience = 8

type opKind int

const (
	opHead opKind = iota + 1
	opVerify
	opIndex
	opLookup
	opCommit
	opSegment
	opSlot
)

// storeOp remembers what an operation was for; one whose commit or seal was given up meanwhile is not taken for
// that of the next.
type storeOp struct {
	kind   opKind
	shard  *shard
	slot   uint32
	commit *commit
	seal   *seal
}

// NewKeeper returns a Keeper that keeps no shard yet.
func NewKeeper(cfg KeeperConfig) *Keeper {
	return &Keeper{
		cfg:    cfg.withDefaults(),
		ops:    make(map[OpID]storeOp),
		shards: make(map[pomelorelay.ShardID]*shard),
		starts: make(map[pomelorelay.NodeID]uint64),
	}
}

// SetRetention sets how long settled claims are kept from now on.
func (k *Keeper) SetRetention(d time.Duration) {
	setDuration(&d, defaultRetention)
	k.cfg.Retention = d
}

// AddShard begins to keep a shard; its record is read first.
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

// RemoveShard stops keeping a shard; what waits is left to the askers' resends. A write that is under way may still take
// effect, and the next keeper's compare-and-swap then fails and it reads again.
func (k *Keeper) RemoveShard(id pomelorelay.ShardID) {
	delete(k.shards, id)
	k.owned = slices.DeleteFunc(k.owned, func(o pomelorelay.ShardID) bool { return o == id })
	for op, o := range k.ops {
		if o.shard.id == id {
			delete(k.ops, op)
		}
	}
}

// HandleAsk takes a claim from a router; the answer follows once it is durable. One for a shard that is not kept here is
// dropped, because the asker sends it again to the keeper that it then knows.
func (k *Keeper) HandleAsk(now time.Time, from pomelorelay.NodeID, m *pomelorelay.ClaimAsk, out *Output) {
	k.heard(from, m.Nonce)
	s, ok := k.shards[m.Shard]
	if !ok || s.hasAsk(from, m.Nonce) {
		return
	}
	if len(s.asks) >= k.cfg.MaxPending {
		answer(from, m, pomelorelay.ClaimRefused, pomelorelay.ClaimOutcome{}, out)
		return
	}
	s.asks = append(s.asks, &pendingAsk{from: from, ask: *m, since: now})
	k.advance(now, s, out)
}

// HandleSettle takes a settlement from a router; it is acknowledged once it is durable.
func (k *Keeper) HandleSettle(now time.Time, from pomelorelay.NodeID, m *pomelorelay.ClaimSettle, out *Output) {
	k.heard(from, m.Nonce)
	s, ok := k.shards[m.Shard]
	if !ok || s.hasSettle(m.Nonce) || len(s.settles) >= k.cfg.MaxPending {
		return
	}
	if m.Released {
		s.dropAsk(m.Nonce)
	}
	s.settles = append(s.settles, &pendingSettle{from: from, settle: *m, since: now})
	k.advance(now, s, out)
}

// heard notes when a router's process started; what an earlier one claimed and did not settle is unknown.
func (k *Keeper) heard(from pomelorelay.NodeID, nonce pomelorelay.ClaimNonce) {
	k.starts[from] = max(k.starts[from], startOf(nonce[:]))
}

// Tick does what is due; call it about each 50 ms.
func (k *Keeper) Tick(now time.Time, out *Output) {
	for _, id := range k.owned {
		s := k.shards[id]
		k.refuseOverdue(now, s, out)
		k.advance(now, s, out)
	}
}

// patience is how long a claim may wait for the store. While the store is known to be down there is little to wait for, and a
// caller that is told at once can come back when it is up.
func (k *Keeper) patience() time.Duration {
	if k.outage {
		return k.cfg.RefuseAfter / outagePatience
	}
	return k.cfg.RefuseAfter
}

// refuseOverdue ends the wait for a store that does not answer. The claim may become durable all the same: the asker,
// which holds it, then has it released, and nobody else may, because the asker may meanwhile have been told "fresh"
// by another keeper.
func (k *Keeper) refuseOverdue(now time.Time, s *shard, out *Output) {
	refused := false
	s.asks = slices.DeleteFunc(s.asks, func(a *pendingAsk) bool {
		if now.Sub(a.since) < k.patience() {
			return false
		}
		refused = true
		if c := s.live[a.ask.Key]; c != nil {
			// What is remembered of the key is nearer the truth than a refusal that says nothing of it.
			k.answerFrom(now, s, a, c, out)
			return true
		}
		answer(a.from, &a.ask, pomelorelay.ClaimRefused, pomelorelay.ClaimOutcome{}, out)
		return true
	})
	if refused && !k.outage {
		k.outage = true
		k.cfg.Logger.Log(pomelorelay.EventClaimStoreOutage, pomelorelay.Field{Key: "Shard", Value: s.id})
	}
}

func answer(to pomelorelay.NodeID, a *pomelorelay.ClaimAsk, state pomelorelay.ClaimState, o pomelorelay.ClaimOutcome, out *Output) {
	out.send(to, &pomelorelay.ClaimAnswer{Shard: a.Shard, Key: a.Key, Nonce: a.Nonce, State: state, Outcome: o})
}

func acknowledge(p *pendingSettle, out *Output) {
	out.send(p.from, &pomelorelay.ClaimSettled{Shard: p.settle.Shard, Key: p.settle.Key, Nonce: p.settle.Nonce})
}

func (k *Keeper) op(s *shard, kind opKind, slot uint32, op StoreOp, out *Output) {
	k.lastOp++
	op.ID = k.lastOp
	k.ops[op.ID] = storeOp{kind: kind, shard: s, slot: slot, commit: s.commit, seal: s.seal}
	out.StoreOps = append(out.StoreOps, op)
}

// HandleStoreResult takes the result of a store operation.
func (k *Keeper) HandleStoreResult(now time.Time, r StoreResult, out *Output) {
	o, ok := k.ops[r.ID]
	if !ok {
		return
	}
	delete(k.ops, r.ID)
	if r.Err == nil {
		k.outage = false
	}
	s := o.shard
	switch o.kind {
	case opHead:
		k.headRead(now, s, r)
	case opVerify:
		k.headVerified(now, s, r)
	case opIndex, opLookup:
		k.segmentRead(now, s, o, r)
	case opCommit:
		if o.commit == s.commit {
			k.committed(now, s, r, out)
		}
	case opSegment:
		if o.seal == s.seal {
			k.segmentWritten(now, s, r)
		}
	case opSlot:
		if o.seal == s.seal {
			k.slotRead(now, s, r)
		}
	}
	k.advance(now, s, out)
}

// state returns what a claim counts as now: one whose holder is dead, started anew or silent for too long is unknown.
func (k *Keeper) state(now time.Time, c *claimRecord) pomelorelay.ClaimState {
	state := pomelorelay.ClaimState(c.State)
	if state != pomelorelay.ClaimRunning {
		return state
	}
	holder := pomelorelay.NodeID(c.Asker)
	if !k.cfg.Alive(holder) || k.starts[holder] > startOf(c.Nonce) || now.Sub(c.at()) > k.cfg.RunningLimit {
		return pomelorelay.ClaimUnknown
	}
	return state
}

// expired reports whether a claim is past its retention; its key then counts as never used.
func (k *Keeper) expired(now time.Time, c *claimRecord) bool {
	return k.sealable(now, c) && now.Sub(c.at()) > k.cfg.Retention
}

// sealable reports whether a claim will not change any more.
func (k *Keeper) sealable(now time.Time, c *claimRecord) bool {
	return c.Settled || now.Sub(c.at()) > k.cfg.RunningLimit
}
