package pomeloroute

import (
	"context"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloconfig"
	"github.com/pomelorelay/pomelorelay/pomelolink"
)

// Config configures a Handler.
type Config struct {
	// Node and Incarnation are part of request ids and make them unique in the fleet.
	Node         pomelorelay.NodeID
	Incarnation  pomelorelay.Incarnation
	Clock        pomelorelay.Clock
	Logger       pomelorelay.Logger
	ConfigSource ConfigSource
	Admission    Admission
	Claims       Claims
	Suspects     Suspects
	// FinalAnswers is done once requests without an answer must get a final one, because the process is about to end; nil means never.
	FinalAnswers context.Context
	Options      Options
}

// Options are the limits and timeouts of a Handler; a zero field takes its default.
type Options struct {
	// MaxHeaders limits the number of header fields of a request, 100 by default.
	MaxHeaders int
	// MaxHeaderBytes limits the size of a request's header, 32 KiB by default.
	MaxHeaderBytes pomelorelay.Bytes
	// MaxBody limits the size of a request body, even if the service allows more, 16 MiB by default.
	MaxBody pomelorelay.Bytes
	// MaxBufferedBodies limits the total size of the request bodies that are buffered at a time, and that of the large events of streams, 256 MiB
	// each by default.
	MaxBufferedBodies pomelorelay.Bytes
	// MaxBufferedAnswer is the largest plain answer that is buffered completely before it is forwarded, 64 KiB by default.
	MaxBufferedAnswer pomelorelay.Bytes
	// MaxStoredOutcome is the largest answer body that is stored for retries with the same idempotency key, 4 KiB by default.
	MaxStoredOutcome pomelorelay.Bytes
	// DialTimeout limits the duration of a connection attempt, 1 s by default.
	DialTimeout time.Duration
	// IdleConns limits the number of idle connections kept per upstream, 64 by default.
	IdleConns int
	// IdleTimeout is how long an unused connection is kept, 30 s by default.
	IdleTimeout time.Duration
	// Timeout applies to the requests of services that set no timeout, 10 min by default. A request must end within its maximum wait plus
	// its timeout.
	Timeout time.Duration
	// MaxWait limits the wait for a slot for services that set no limit, 1 min by default.
	MaxWait time.Duration
	// MaxAttempts limits the number of attempts of one request that reach an upstream, 3 by default.
	MaxAttempts int
	// RetryAfter is the Retry-After value of refusals whose error has none, 1 s by default.
	RetryAfter time.Duration
}

// ConfigSource provides the active configuration.
type ConfigSource interface {
	// Current returns the active configuration, nil before the first one; it never blocks.
	Current() Snapshot
}

// Snapshot is an immutable version of the configuration.
type Snapshot interface {
	// Authenticate returns the account of a bearer token; its duration does not depend on the stored token hashes.
	Authenticate(token string) (pomelorelay.AccountID, bool)
	// MayCall reports whether the account may call the service.
	MayCall(account pomelorelay.AccountID, service pomelorelay.ServiceID) bool
	// Service returns the service with the given name.
	Service(name pomelorelay.ServiceID) (*pomeloconfig.Service, bool)
	// HasPool reports whether any upstream serves the pool.
	HasPool(pool pomelorelay.PoolID) bool
}

// AdmitRequest describes an attempt that needs a slot.
type AdmitRequest struct {
	Request     pomelorelay.RequestID
	Account     pomelorelay.AccountID
	Service     pomelorelay.ServiceID
	Pool        pomelorelay.PoolID
	Fingerprint pomelorelay.Fingerprint
	// PrefixHash is a hash of the first 512 bytes of the body, for cache affinity.
	PrefixHash uint64
	// CostHint is the request's cost as the caller expects it; zero if the caller gave no hint.
	CostHint pomelorelay.Cost
	Bytes    pomelorelay.Bytes
	// Deadline is when the request must end, WaitUntil when its wait for a slot must end.
	Deadline  time.Time
	WaitUntil time.Time
	// FailedUpstreams lists upstreams at which earlier attempts of the request failed; Admission avoids them while the pool has others.
	FailedUpstreams []pomelorelay.UpstreamID
}

// Admission grants slots. Its errors are of type *pomelorelay.Error and state that the request did not run.
type Admission interface {
	// Admit blocks until a slot is granted, WaitUntil has passed or ctx is done.
	Admit(ctx context.Context, r AdmitRequest) (Ticket, error)
}

// Ticket is a granted slot for one attempt; Done must be called exactly once.
type Ticket interface {
	// Upstream returns the upstream to send the attempt to.
	Upstream() *pomeloconfig.Upstream
	// Usable reports whether the upstream still accepts new work; it may have started leaving since the grant. It never blocks.
	Usable() bool
	// Progress reports the cost accrued so far; it never blocks.
	Progress(cost pomelorelay.Cost)
	// Done releases the slot; it never blocks.
	Done(r Result)
}

// Result is the result of an attempt.
type Result struct {
	Outcome pomelolink.Outcome
	Code    pomelorelay.ResultCode
	Cost    pomelorelay.Cost
	// FirstToken is the time to a stream's first token, TokenGap the mean time between tokens; zero if not measured.
	FirstToken time.Duration
	TokenGap   time.Duration
}

// Claim is a claim on an idempotency key and its state.
type Claim struct {
	Key     pomelorelay.ClaimKey
	Nonce   pomelorelay.ClaimNonce
	State   pomelorelay.ClaimState
	Outcome pomelorelay.ClaimOutcome
}

// Settlement is the result of a request whose idempotency key was claimed.
type Settlement struct {
	// Released is set if the request did not run, which frees its key.
	Released bool
	// State is ClaimDone or ClaimUnknown unless Released is set.
	State   pomelorelay.ClaimState
	Outcome pomelorelay.ClaimOutcome
}

// Claims stores durable claims on idempotency keys.
type Claims interface {
	// Claim blocks until the claim's state is known; a claim that could not be stored has the state ClaimRefused.
	Claim(ctx context.Context, key pomelorelay.ClaimKey, content pomelorelay.Fingerprint) (Claim, error)
	// Settle reports the result of a request whose claim was granted; it never blocks.
	Settle(c Claim, s Settlement)
}

// SuspectRun identifies one attempt for crash detection.
type SuspectRun struct {
	// KnownSuspect is set if an earlier attempt of this request ran on an upstream that crashed; AwaitPermission must then not rely on the
	// router's snapshot of suspected requests, which may be older than the crash.
	KnownSuspect bool
	Request      pomelorelay.RequestID
	Fingerprint  pomelorelay.Fingerprint
	// SharedParts are the fingerprints of the prompt parts that other requests may share.
	SharedParts   []pomelorelay.Fingerprint
	Upstream      pomelorelay.UpstreamID
	QuarantineFor time.Duration
}

// Suspects limits how many upstreams a request can crash.
type Suspects interface {
	// CheckQuarantine fails with CodeQuarantined if requests with the fingerprint, or with the prompt parts, are quarantined; it never blocks.
	CheckQuarantine(f pomelorelay.Fingerprint, sharedParts []pomelorelay.Fingerprint) error
	// AwaitPermission returns immediately for a request that is not suspected of crashing upstreams. A suspect waits until it may
	// run, or fails with CodeSuspectHeld or CodeQuarantined.
	AwaitPermission(ctx context.Context, run SuspectRun) error
	// AttemptStarted reports that the attempt is about to be sent; it never blocks.
	AttemptStarted(run SuspectRun)
	// UpstreamCrashed reports that the upstream crashed while the attempt ran; it never blocks.
	UpstreamCrashed(run SuspectRun)
	// AttemptEnded reports that the attempt ended without a crash, and whether its answer was complete and no server error; it never
	// blocks. An answer clears the run's SharedParts too.
	AttemptEnded(run SuspectRun, served bool)
}
