package pomeloclaim

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// KeeperConfig configures a Keeper; zero durations and sizes select the defaults.
type KeeperConfig struct {
	Logger pomelorelay.Logger
	// Alive reports whether a router is alive; the outcome of a dead router's unsettled claims counts as unknown, since
	// their requests may have run. Nil treats all routers as alive.
	Alive func(pomelorelay.NodeID) bool
	// CommitsPerSecond limits the rate at which a shard's head record is written, 4 per second by default.
	CommitsPerSecond float64
	// CommitBurst is the capacity of the token bucket that limits writes of a shard's head record, 2 by default.
	CommitBurst float64
	// SettleDelay is how long the settlement of a claim may be delayed so that one write stores several, 500 ms by
	// default.
	SettleDelay time.Duration
	// MaxStoreWait is how long a claim may wait for the store before it is refused, 2 s by default.
	MaxStoreWait time.Duration
	// RetryDelay is the delay before a failed store operation is repeated, 200 ms by default.
	RetryDelay time.Duration
	// SealBytes is the size of the claims in a shard's head record above which settled claims are moved to a separate
	// record (segment), 128 KiB by default.
	SealBytes pomelorelay.Bytes
	// MaxHeadBytes is the size of a shard's head record above which new claims are refused, 512 KiB by default.
	MaxHeadBytes pomelorelay.Bytes
	// MaxPending limits the number of claims of a shard that wait for the store, 4,096 by default; further claims are
	// refused.
	MaxPending int
	// Retention is how long a settled claim is kept, 24 h by default.
	Retention time.Duration
	// RunningTimeout is the age at which the outcome of an unsettled claim counts as unknown, 1 h by default.
	RunningTimeout time.Duration
	// MaxOutcomeBytes limits the total size of the stored body and content type of a response, 4 KiB by default; of a
	// larger response only the status is stored.
	MaxOutcomeBytes pomelorelay.Bytes
}

// RequesterConfig configures a requester; zero durations and sizes select the defaults.
type RequesterConfig struct {
	// Node and Incarnation (the process start in Unix nanoseconds) identify the process in its nonces; the pair must be
	// unique.
	Node        pomelorelay.NodeID
	Incarnation pomelorelay.Incarnation
	// Shards is the number of claim shards, 64 by default; it must be the same on every router.
	Shards uint32
	// Keeper returns the current keeper of a shard, or false when there is none.
	Keeper func(pomelorelay.ShardID) (pomelorelay.NodeID, bool)
	// ResendAfter is the initial delay before an unanswered message is resent, 300 ms by default; it doubles with each
	// resend, up to 8 times the initial delay.
	ResendAfter time.Duration
	// ClaimTimeout is how long a claim request may stay unanswered before the requester refuses the claim, 4 s by
	// default.
	ClaimTimeout time.Duration
	// MaxSettling limits the number of unacknowledged settlements, 10,000 by default. Above half of the limit, response
	// bodies are dropped from settlements; above the limit, the oldest settlements are dropped, and the outcome of
	// their claims becomes unknown.
	MaxSettling int
	// MaxOutcomeBytes limits the total size of the body and content type sent with a settlement, 4 KiB by default; of a
	// larger response only the status is sent.
	MaxOutcomeBytes pomelorelay.Bytes
}

// Defaults of the keeper and requester configuration.
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
	defaultRunningTimeout   = time.Hour
	defaultMaxOutcomeBytes  = 4 << 10
	defaultShards           = 64
	defaultResendAfter      = 300 * time.Millisecond
	defaultClaimTimeout     = 4 * time.Second
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
	setDefaultDuration(&c.SettleDelay, defaultSettleDelay)
	setDefaultDuration(&c.MaxStoreWait, defaultRefuseAfter)
	setDefaultDuration(&c.RetryDelay, defaultRetryDelay)
	setDefaultDuration(&c.Retention, defaultRetention)
	setDefaultDuration(&c.RunningTimeout, defaultRunningTimeout)
	setDefaultBytes(&c.SealBytes, defaultSealBytes)
	setDefaultBytes(&c.MaxHeadBytes, defaultMaxHeadBytes)
	setDefaultBytes(&c.MaxOutcomeBytes, defaultMaxOutcomeBytes)
	return c
}

func (c RequesterConfig) withDefaults() RequesterConfig {
	if c.Shards == 0 {
		c.Shards = defaultShards
	}
	if c.MaxSettling <= 0 {
		c.MaxSettling = defaultMaxSettling
	}
	setDefaultDuration(&c.ResendAfter, defaultResendAfter)
	setDefaultDuration(&c.ClaimTimeout, defaultClaimTimeout)
	setDefaultBytes(&c.MaxOutcomeBytes, defaultMaxOutcomeBytes)
	return c
}

func setDefaultDuration(field *time.Duration, value time.Duration) {
	if *field <= 0 {
		*field = value
	}
}

func setDefaultBytes(field *pomelorelay.Bytes, value pomelorelay.Bytes) {
	if *field <= 0 {
		*field = value
	}
}
