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

// Sent tells that a caller sent a request to a router.
type Sent struct {
	Attempt AttemptID
	Content ContentID
	Account pomelorelay.AccountID
	Node    pomelorelay.NodeID
	At      time.Time
	// Deadline is when the caller stops waiting, zero when it never does.
	Deadline time.Time
	// Once tells that the content may run at most once.
	Once bool
}

// Answered tells that an attempt got an answer from an upstream.
type Answered struct {
	Attempt AttemptID
	At      time.Time
	// Own tells that the answer's proof is the one of this request.
	Own bool
	// Whole tells that nothing of the answer is missing, though the transport called it ended.
	Whole bool
}

// Refused tells that a router refused an attempt.
type Refused struct {
	Attempt AttemptID
	// GaveUp is when the router decided, zero when that is not known.
	GaveUp time.Time
	// First and At are when the first and the last byte of the refusal arrived.
	First time.Time
	At    time.Time
	Ran   pomelorelay.Ran
	Code  pomelorelay.ResultCode
	// RetryAfter tells that the refusal says when to come back.
	RetryAfter bool
}

// Broken tells that an attempt's connection broke, or its stream ended with an error that its caller could tell from an end.
type Broken struct {
	Attempt AttemptID
	At      time.Time
}

// Ran tells that a stand-in or an upstream started to run a request.
type Ran struct {
	Content  ContentID
	Upstream pomelorelay.UpstreamID
	At       time.Time
}

// Served tells that an account's request was served evenly over a time.
type Served struct {
	Pool    pomelorelay.PoolID
	Account pomelorelay.AccountID
	Weight  pomelorelay.Weight
	From    time.Time
	To      time.Time
	Cost    pomelorelay.Cost
}

// Backlogged tells that an account started or ceased to have requests waiting.
type Backlogged struct {
	Pool    pomelorelay.PoolID
	Account pomelorelay.AccountID
	At      time.Time
	Waiting bool
}

// Leaving tells that the host list says from At on that an upstream leaves.
type Leaving struct {
	Upstream pomelorelay.UpstreamID
	At       time.Time
}

// Stopping tells that a planned stop of a router began.
type Stopping struct {
	Node pomelorelay.NodeID
	At   time.Time
}

// Killed tells that a router was ended without warning, so that what broke there is no fault of a planned stop.
type Killed struct {
	Node pomelorelay.NodeID
	At   time.Time
}

// Frozen tells that a router was halted from outside, Continued that it goes on.
type Frozen struct {
	Node pomelorelay.NodeID
	At   time.Time
}

// Continued ends what Frozen began.
type Continued struct {
	Node pomelorelay.NodeID
	At   time.Time
}

// Accepted tells that the store took a configuration.
type Accepted struct {
	Generation pomelorelay.Generation
	At         time.Time
}

// InForce tells which configuration a router had in force.
type InForce struct {
	Node       pomelorelay.NodeID
	Generation pomelorelay.Generation
	At         time.Time
}
