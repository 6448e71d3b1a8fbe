package pomeloclaim

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// KeeperConfig holds what a Keeper needs; zero durations and sizes take the defaults.
type KeeperConfig struct {
	Logger pomelorelay.Logger
	// Alive tells whether a router counts as alive; claims that a dead one holds are unknown. Nil means that all are.
	Alive func(pomelorelay.NodeID) bool
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
	// MaxPending bounds the claims of a shard that wait for the store, 4,096 by default; those past it are refused.
	MaxPending int
	// Retention is how long a settled claim is kept, 24 h by default.
	Retention time.Duration
	// RunningLimit is the age past which a claim without settlement counts as unknown, 1 h by default.
	RunningLimit time.Duration
	// MaxOutcome bounds the outcome kept of one claim, 4 KiB by default.
	MaxOutcome pomelorelay.Bytes
}

// RequesterConfig holds what an Asker needs; zero durations and sizes take the defaults.
type RequesterConfig struct {
	// Node and Incarnation, that of the process's start, mark its nonces; no two processes may share both.
	Node        pomelorelay.NodeID
	Incarnation pomelorelay.Incarnation
	// Shards is the number of claim shards, the same on every router, 64 by default.
	Shards uint32
	// Keeper returns the router that keeps a shard now.
	Keeper func(pomelorelay.ShardID) (pomelorelay.NodeID, bool)
	// ResendAfter is the pause before a message without answer is sent again, 300 ms by default; it doubles up to 8 times that.
	ResendAfter time.Duration
	// GiveUpAfter is how long a claim may stay without answer before it is refused, 4 s by default.
	GiveUpAfter time.Duration
	// MaxSettling bounds the settlements kept until a keeper acknowledges them, 10,000 by default; past half of it
	// outcomes are dropped, past all of it the oldest settlement, whose claim then ends as unknown.
	MaxSettling int
	// MaxOutcome bounds the outcome sent of one claim, 4 KiB by default.
	MaxOutcome pomelorelay.Bytes
}

// Defaults of Config and AskerConfig.
const (
	defaultCommitsPerSecond = 4
	defaultCommitBurst      = 2
	defaultSettleDelay      = 500 * time.Millisecond
	defaultRefuseAfter      = 2 * time.Second
	defaultRetryDelay       = 200 * time.Millisecond
	defaultSealBytes        = 128 << 10
	defaultMaxHeadBytes     = 512 << 10
	defaultMaxPending       = 4096
	defaultRetention        = 24 * time.Hour
	defaultRunningLimit     = time.Hour
	defaultMaxOutcome       = 4 << 10
	defaultShards           = 64
	defaultResendAfter      = 300 * time.Millisecond
	defaultGiveUpAfter      = 4 * time.Second
	defaultMaxSettling      = 10000
)

func (c KeeperConfig) withDefaults() KeeperConfig {
	if c.Logger == nil {
		c.Logger = pomelorelay.NopLogger{}
	}
	if c.Alive == nil {
		c.Alive = func(pomelorelay.NodeID) bool { return true }
	}
	if c.CommitsPerSecond <= 0 {
		c.CommitsPerSecond = defaultCommitsPerSecond
	}
	if c.CommitBurst < 1 {
		c.CommitBurst = defaultCommitBurst
	}
	if c.MaxPending <= 0 {
		c.MaxPending = defaultMaxPending
	}
	setDuration(&c.SettleDelay, defaultSettleDelay)
	setDuration(&c.RefuseAfter, defaultRefuseAfter)
	setDuration(&c.RetryDelay, defaultRetryDelay)
	setDuration(&c.Retention, defaultRetention)
	setDuration(&c.RunningLimit, defaultRunningLimit)
	setBytes(&c.SealBytes, defaultSealBytes)
	setBytes(&c.MaxHeadBytes, defaultMaxHeadBytes)
	setBytes(&c.MaxOutcome, defaultMaxOutcome)
	return c
}

func (c RequesterConfig) withDefaults() RequesterConfig {
	if c.Shards == 0 {
		c.Shards = defaultShards
	}
	if c.MaxSettling <= 0 {
		c.MaxSettling = defaultMaxSettling
	}
	setDuration(&c.ResendAfter, defaultResendAfter)
	setDuration(&c.GiveUpAfter, defaultGiveUpAfter)
	setBytes(&c.MaxOutcome, defaultMaxOutcome)
	return c
}

func setDuration(field *time.Duration, value time.Duration) {
	if *field <= 0 {
		*field = value
	}
}

func setBytes(field *pomelorelay.Bytes, value pomelorelay.Bytes) {
	if *field <= 0 {
		*field = value
	}
}
