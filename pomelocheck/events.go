package pomelocheck

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// AttemptID names one sending of a request by a caller; a resend is an attempt of its own.
type AttemptID string

// ContentID names what a request asks for; every attempt at it and every run of it carry the same one.
type ContentID string

// Event is one observation; every implementation is in this package.
type Event interface {
	apply(c *Checker)
}

// RequestSent tells that a caller sent a request to a router.
type RequestSent struct {
	Attempt AttemptID
	Content ContentID
	Account pomelorelay.AccountID
	Node    pomelorelay.NodeID
	At      time.Time
	// Deadline is when the caller stops waiting, zero when it never does.
	Deadline time.Time
	// AtMostOnce tells that the content may run at most once.
	AtMostOnce bool
}

// RequestAnswered tells that an attempt got an answer from an upstream.
type RequestAnswered struct {
	Attempt AttemptID
	At      time.Time
	// MatchesRequest tells that the answer's proof is the one of this request.
	MatchesRequest bool
	// Complete tells that nothing of the answer is missing, though the transport called it ended.
	Complete bool
}

// RequestRefused tells that a router refused an attempt.
type RequestRefused struct {
	Attempt AttemptID
	// DecidedAt is when the router decided, zero when that is not known.
	DecidedAt time.Time
	// FirstByteAt and At are when the first and the last byte of the refusal arrived.
	FirstByteAt time.Time
	At    time.Time
	Ran   pomelorelay.Ran
	Code  pomelorelay.ResultCode
	// RetryAfter tells that the refusal says when to come back.
	RetryAfter bool
}

// RequestBroken tells that an attempt's connection broke, or its stream ended with an error that its caller could tell from an end.
type RequestBroken struct {
	Attempt AttemptID
	At      time.Time
}

// RunStarted tells that a stand-in or an upstream started to run a request.
type RunStarted struct {
	Content  ContentID
	Upstream pomelorelay.UpstreamID
	At       time.Time
}

// AccountServed tells that an account's request was served evenly over a time.
type AccountServed struct {
	Pool    pomelorelay.PoolID
	Account pomelorelay.AccountID
	Weight  pomelorelay.Weight
	From    time.Time
	To      time.Time
	Cost    pomelorelay.Cost
}

// BacklogChanged tells that an account started or ceased to have requests waiting.
type BacklogChanged struct {
	Pool    pomelorelay.PoolID
	Account pomelorelay.AccountID
	At      time.Time
	Waiting bool
}

// UpstreamLeaving tells that the host list says from At on that an upstream leaves.
type UpstreamLeaving struct {
	Upstream pomelorelay.UpstreamID
	At       time.Time
}

// RouterStopping tells that a planned stop of a router began.
type RouterStopping struct {
	Node pomelorelay.NodeID
	At   time.Time
}

// RouterKilled tells that a router was ended without warning, so that what broke there is no fault of a planned stop.
type RouterKilled struct {
	Node pomelorelay.NodeID
	At   time.Time
}

// RouterSuspended tells that a router was halted from outside, Continued that it goes on.
type RouterSuspended struct {
	Node pomelorelay.NodeID
	At   time.Time
}

// RouterResumed ends what Frozen began.
type RouterResumed struct {
	Node pomelorelay.NodeID
	At   time.Time
}

// ConfigAccepted tells that the store took a configuration.
type ConfigAccepted struct {
	Generation pomelorelay.Generation
	At         time.Time
}

// ConfigInForce tells which configuration a router had in force.
type ConfigInForce struct {
	Node       pomelorelay.NodeID
	Generation pomelorelay.Generation
	At         time.Time
}
