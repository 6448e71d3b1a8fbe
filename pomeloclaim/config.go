package pomeloclaim

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Config holds what a Keeper needs; zero durations and sizes take the defaults.
type Config struct {
	Logger pomelorelay.Logger
	// Seed makes the nonces of this process's commits unlike those of every other.
	Seed uint64
	// CommitsPerSecond bounds the store writes of one busy shard, 4 by default.
	CommitsPerSecond float64
	// CommitBurst is how many commits of a shard may follow each other at once, 2 by default.
	CommitBurst float64
	// SettleDelay is how long a settlement may wait to share a commit, 500 ms by default.
	SettleDelay time.Duration
	// RefuseAfter is how long a claim may wait for the store before it is refused, 2 s by default.
	RefuseAfter time.Duration
	// RetryDelay is the pause after a failed store operation, 200 ms by default.
	RetryDelay time.Duration
	// SealBytes is the size of the head record past which settled claims are sealed, 128 KiB by default.
	SealBytes pomelorelay.Bytes
	// MaxHeadBytes bounds the head record, 512 KiB by default; claims past it are refused.
	MaxHeadBytes pomelorelay.Bytes
	// Retention is how long a settled claim is kept, 24 h by default.
	Retention time.Duration
	// RunningLimit is the age past which a claim without settlement counts as unknown, 1 h by default.
	RunningLimit time.Duration
	// MaxOutcome bounds the outcome kept of one claim, 4 KiB by default.
	MaxOutcome pomelorelay.Bytes
}

// AskerConfig holds what an Asker needs; zero durations and sizes take the defaults.
type AskerConfig struct {
	// Seed makes the nonces of this process unlike those of every other; it must differ after a restart.
	Seed uint64
	// Shards is the number of claim shards, the same on every router, 64 by default.
	Shards uint32
	// Keeper returns the router that keeps a shard now.
	Keeper func(pomelorelay.ShardID) (pomelorelay.NodeID, bool)
	// ResendAfter is the pause before a message without answer is sent again, 300 ms by default; it doubles up to 8 times that.
	ResendAfter time.Duration
	// GiveUpAfter is how long a claim may stay without answer before it is refused, 4 s by default.
	GiveUpAfter time.Duration
	// MaxSettling bounds the settlements kept until a keeper acknowledges them, 10,000 by default; past it outcomes are dropped first.
	MaxSettling int
	// MaxOutcome bounds the outcome sent of one claim, 4 KiB by default.
	MaxOutcome pomelorelay.Bytes
}

// OpID numbers a store operation of one Keeper.
type OpID uint64

// StoreOp is a store operation that a Keeper wants carried out; a nil Value means a Get, otherwise a CompareAndSwap.
type StoreOp struct {
	ID    OpID
	Key   pomelorelay.StoreKey
	Value []byte
	Old   pomelorelay.Revision
}

// StoreResult is what a store operation returned: the record of a Get, the revision of a CompareAndSwap, or an error
// with CodeStoreConflict, CodeStoreUnavailable or CodeStoreUnknown.
type StoreResult struct {
	ID       OpID
	Record   pomelorelay.Record
	Revision pomelorelay.Revision
	Err      error
}

// Verdict is an Asker's answer to a claim that was asked for.
type Verdict struct {
	Key     pomelorelay.ClaimKey
	Nonce   pomelorelay.ClaimNonce
	State   pomelorelay.ClaimState
	Outcome pomelorelay.ClaimOutcome
}

// Output collects what a decision part wants done; the caller empties it.
type Output struct {
	Messages []pomelorelay.Outgoing
	Store    []StoreOp
	Verdicts []Verdict
}

func (o *Output) send(to pomelorelay.NodeID, m pomelorelay.Message) {
	o.Messages = append(o.Messages, pomelorelay.Outgoing{To: to, Message: m})
}
