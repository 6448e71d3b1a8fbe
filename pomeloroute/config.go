package pomeloroute

import (
	"context"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloconfig"
	"github.com/pomelorelay/pomelorelay/pomelolink"
)

// Config holds what a Handler needs.
type Config struct {
	// Node and Incarnation make request ids unique in the fleet.
	Node         pomelorelay.NodeID
	Incarnation  pomelorelay.Incarnation
	Clock        pomelorelay.Clock
	Logger       pomelorelay.Logger
	ConfigSource ConfigSource
	Admission    Admission
	Claims       Claims
	Suspects     Suspects
	Options      Options
}

// Options bound what the traffic path uses; zero fields take the defaults.
type Options struct {
	// MaxHeaders bounds the number of a request's header fields, 100 by default.
	MaxHeaders int
	// MaxHeaderBytes bounds the bytes of a request's header, 32 KiB by default.
	MaxHeaderBytes pomelorelay.Bytes
	// MaxBody bounds a body, whatever the service allows, 16 MiB by default.
	MaxBody pomelorelay.Bytes
	// MaxBufferedBodies bounds the bodies of all requests in progress together, 256 MiB by default.
	MaxBufferedBodies pomelorelay.Bytes
	// MaxBufferedAnswer is the size up to which a plain answer is held until it is whole, 64 KiB by default.
	MaxBufferedAnswer pomelorelay.Bytes
	// MaxStoredOutcome is the size up to which a non-idempotent call's answer is kept for repeats, 4 KiB by default.
	MaxStoredOutcome pomelorelay.Bytes
	// DialTimeout bounds a connection attempt, 1 s by default.
	DialTimeout time.Duration
	// IdleConns bounds the idle connections kept per upstream, 64 by default.
	IdleConns int
	// IdleTimeout closes a connection that was not used, 30 s by default.
	IdleTimeout time.Duration
	// Timeout bounds one attempt where the service gives no bound, 10 min by default.
	Timeout time.Duration
	// MaxWait bounds the wait for a slot where the service gives no bound, 1 min by default.
	MaxWait time.Duration
	// MaxAttempts bounds the attempts at upstreams for one request, 3 by default.
	MaxAttempts int
	// RetryAfter is what a refusal tells a caller when nothing better is known, 1 s by default.
	RetryAfter time.Duration
}

// ConfigSource gives the configuration in force.
type ConfigSource interface {
	// Current returns the snapshot in force, nil while there is none; it never blocks.
	Current() Snapshot
}

// Snapshot is an immutable view of the configuration.
type Snapshot interface {
	// Authenticate returns the account of a bearer token; the time that it takes tells nothing about stored hashes.
	Authenticate(token string) (pomelorelay.AccountID, bool)
	// MayCall reports whether the account may call the service.
	MayCall(account pomelorelay.AccountID, service pomelorelay.ServiceID) bool
	// Service returns the service of the name.
	Service(name pomelorelay.ServiceID) (*pomeloconfig.Service, bool)
	// HasPool reports whether any upstream serves the pool.
	HasPool(pool pomelorelay.PoolID) bool
}

// AdmitRequest asks for a slot for one attempt of a request.
type AdmitRequest struct {
	Request     pomelorelay.RequestID
	Account     pomelorelay.AccountID
	Service     pomelorelay.ServiceID
	Pool        pomelorelay.PoolID
	Fingerprint pomelorelay.Fingerprint
	// PrefixHash is the hash of the beginning of the body, for cache affinity.
	PrefixHash uint64
	// CostHint is the caller's expected cost, zero when there is none.
	CostHint pomelorelay.Cost
	Bytes    pomelorelay.Bytes
	// Deadline is when the whole request must have ended, WaitUntil when its wait must have.
	Deadline  time.Time
	WaitUntil time.Time
	// FailedUpstreams lists upstreams that failed this request before; they are taken only when there is no other.
	FailedUpstreams []pomelorelay.UpstreamID
}

// Admission grants slots; its errors are *pomelorelay.Error and say that nothing ran.
type Admission interface {
	// Admit blocks until a slot is granted, the wait is over or ctx ends.
	Admit(ctx context.Context, r AdmitRequest) (Ticket, error)
}

// Ticket is a granted slot; it is used for one attempt and ended by Done exactly once.
type Ticket interface {
	// Upstream returns where the attempt goes.
	Upstream() *pomeloconfig.Upstream
	// Usable reports whether the attempt may still be sent: the upstream may have begun to leave while it waited; it never blocks.
	Usable() bool
	// Progress reports the cost accrued so far; it never blocks.
	Progress(cost pomelorelay.Cost)
	// Done ends the slot; it never blocks.
	Done(r Result)
}

// Result is how an attempt ended.
type Result struct {
	Outcome pomelolink.Outcome
	Code    pomelorelay.ResultCode
	Cost    pomelorelay.Cost
	// FirstToken and TokenGap are latencies of a stream, zero when it had none.
	FirstToken time.Duration
	TokenGap   time.Duration
}

// Claim is a claim that was asked for.
type Claim struct {
	Key     pomelorelay.ClaimKey
	Nonce   pomelorelay.ClaimNonce
	State   pomelorelay.ClaimState
	Outcome pomelorelay.ClaimOutcome
}

// Settlement is how a claimed request ended.
type Settlement struct {
	// Released tells that no byte of the request left.
	Released bool
	// State is ClaimDone or ClaimUnknown when it is not released.
	State   pomelorelay.ClaimState
	Outcome pomelorelay.ClaimOutcome
}

// Claims makes claims of non-idempotent requests durable.
type Claims interface {
	// Claim blocks until the claim's state is known; a claim that could not be made durable has the state ClaimRefused.
	Claim(ctx context.Context, key pomelorelay.ClaimKey, content pomelorelay.Fingerprint) (Claim, error)
	// Settle tells how the request of a fresh claim ended; it never blocks.
	Settle(c Claim, s Settlement)
}

// SuspectRun names one attempt to the crash suspects' part.
type SuspectRun struct {
	// KnownSuspect tells that the request itself ran where an upstream crashed; no snapshot may answer for it.
	KnownSuspect  bool
	Request       pomelorelay.RequestID
	Fingerprint   pomelorelay.Fingerprint
	Upstream      pomelorelay.UpstreamID
	QuarantineFor time.Duration
}

// Suspects keeps requests that crash upstreams from running everywhere.
type Suspects interface {
	// CheckQuarantine fails with CodeQuarantined when the fingerprint is quarantined; it never blocks.
	CheckQuarantine(f pomelorelay.Fingerprint) error
	// AwaitPermission returns at once for a request that is no suspect; a suspect waits for its turn, or fails with
	// CodeSuspectHeld or CodeQuarantined.
	AwaitPermission(ctx context.Context, run SuspectRun) error
	// AttemptStarted tells that the attempt is about to be sent; it never blocks.
	AttemptStarted(run SuspectRun)
	// UpstreamCrashed tells that the upstream crashed while the attempt ran; it never blocks.
	UpstreamCrashed(run SuspectRun)
	// AttemptEnded tells that the attempt ended otherwise; clean tells that its answer was whole. It never blocks.
	AttemptEnded(run SuspectRun, clean bool)
}
