package pomeloclaim

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Keeper keeps claim shards: it answers askers once the store holds their claims.
type Keeper struct {
	cfg Config
}

// New returns a Keeper that keeps no shard yet.
func New(cfg Config) *Keeper { return &Keeper{cfg: cfg} }

// Own begins to keep a shard; its record is read first.
func (k *Keeper) Own(now time.Time, shard pomelorelay.ShardID, out *Output) {}

// Disown stops keeping a shard; what waits is left to the askers' resends.
func (k *Keeper) Disown(shard pomelorelay.ShardID) {}

// Ask takes a claim from a router; the answer follows once it is durable.
func (k *Keeper) Ask(now time.Time, from pomelorelay.NodeID, m *pomelorelay.ClaimAsk, out *Output) {}

// Settle takes a settlement from a router; it is acknowledged once it is durable.
func (k *Keeper) Settle(now time.Time, from pomelorelay.NodeID, m *pomelorelay.ClaimSettle, out *Output) {
}

// Stored takes the result of a store operation.
func (k *Keeper) Stored(now time.Time, r StoreResult, out *Output) {}

// MemberGone tells that a router is dead; the claims that it holds become unknown.
func (k *Keeper) MemberGone(now time.Time, node pomelorelay.NodeID, out *Output) {}

// Tick does what is due; call it about each 50 ms.
func (k *Keeper) Tick(now time.Time, out *Output) {}
