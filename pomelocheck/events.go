package pomelocheck

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// AttemptID identifies one attempt of a caller at a request; each resend is a new attempt.
type AttemptID string

// ContentID identifies what a request asks for, for instance by a digest of its body; it is the same for all attempts and runs of the
// request.
type ContentID string

// Event is one observation; all implementations are in this package.
type Event interface {
	apply(c *Checker)
}

// RequestSent is the event of a caller sending a request to a router.
type RequestSent struct {
	Attempt AttemptID
	Content ContentID
	Account pomelorelay.AccountID
	Node    pomelorelay.NodeID
	At      time.Time
	// Deadline is when the caller stops waiting; zero means no deadline.
	Deadline time.Time
	// AtMostOnce reports whether the request may run at most once in total, over all attempts with the same Content.
	AtMostOnce bool
}

// RequestAnswered is the event of an attempt ending with an answer from an upstream.
type RequestAnswered struct {
	Attempt AttemptID
	At      time.Time
	// MatchesRequest reports whether the digest in the answer equals the digest of the attempt's request.
	MatchesRequest bool
	// Complete reports whether the answer is complete; the transport can end a truncated answer without an error.
	Complete bool
}

// RequestRefused is the event of a router refusing an attempt.
type RequestRefused struct {
	Attempt AttemptID
	// DecidedAt is when the router decided to refuse, zero if unknown.
	DecidedAt time.Time
	// FirstByteAt and At are the arrival times of the first and the last byte of the refusal.
	FirstByteAt time.Time
	At          time.Time
	Ran         pomelorelay.Ran
	Code        pomelorelay.ResultCode
	// RetryAfter reports whether the refusal has a Retry-After header.
	RetryAfter bool
}

// RequestBroken is the event of an attempt ending with a broken connection, or with a stream error that the caller can
// distinguish from a normal end.
type RequestBroken struct {
	Attempt AttemptID
	At      time.Time
}

// RunStarted is the event of a stand-in or an upstream starting to run a request.
type RunStarted struct {
	Content  ContentID
	Upstream pomelorelay.UpstreamID
	At       time.Time
}

// AccountServed is the event of an account's request being served from From to To; its cost is spread evenly over that time.
type AccountServed struct {
	Pool    pomelorelay.PoolID
	Account pomelorelay.AccountID
	Weight  pomelorelay.Weight
	From    time.Time
	To      time.Time
	Cost    pomelorelay.Cost
}

// BacklogChanged is the event of an account starting or ceasing to have waiting requests.
type BacklogChanged struct {
	Pool    pomelorelay.PoolID
	Account pomelorelay.AccountID
	At      time.Time
	Waiting bool
}

// UpstreamLeaving is the event of the host list starting to show an upstream as leaving.
type UpstreamLeaving struct {
	Upstream pomelorelay.UpstreamID
	At       time.Time
}

// RouterStopping is the event of a planned stop of a router beginning.
type RouterStopping struct {
	Node pomelorelay.NodeID
	At   time.Time
}

// RouterKilled is the event of a router being killed; connections that broke after the kill are not attributed to a planned stop.
type RouterKilled struct {
	Node pomelorelay.NodeID
	At   time.Time
}

// RouterSuspended is the event of a router process being suspended, for instance by SIGSTOP.
type RouterSuspended struct {
	Node pomelorelay.NodeID
	At   time.Time
}

// RouterResumed is the event of a suspended router process being resumed.
type RouterResumed struct {
	Node pomelorelay.NodeID
	At   time.Time
}

// ConfigAccepted is the event of the store accepting a configuration.
type ConfigAccepted struct {
	Generation pomelorelay.Generation
	At         time.Time
}

// ConfigInForce is the observation of the configuration generation in force on a router.
type ConfigInForce struct {
	Node       pomelorelay.NodeID
	Generation pomelorelay.Generation
	At         time.Time
}
