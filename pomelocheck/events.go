package pomelocheck

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// AttemptID identifies one attempt of a caller at a request; each resend is a new attempt.
type AttemptID string

// ContentID identifies the content of a request; all attempts and runs of a request have the same one.
type ContentID string

// Event is one observation; all implementations are in this package.
type Event interface {
	apply(c *Checker)
}

// Sent is the event of a caller sending a request to a router.
type Sent struct {
	Attempt AttemptID
	Content ContentID
	Account pomelorelay.AccountID
	Node    pomelorelay.NodeID
	At      time.Time
	// Deadline is when the caller stops waiting; zero means no deadline.
	Deadline time.Time
	// Once reports whether the content may run at most once.
	Once bool
}

// Answered is the event of an attempt ending with an answer from an upstream.
type Answered struct {
	Attempt AttemptID
	At      time.Time
	// Own reports whether the answer's digest is that of this request.
	Own bool
	// Whole reports whether the answer is complete; the transport can end a truncated answer without an error.
	Whole bool
}

// Refused is the event of a router refusing an attempt.
type Refused struct {
	Attempt AttemptID
	// GaveUp is when the router decided to refuse, zero if unknown.
	GaveUp time.Time
	// First and At are the arrival times of the first and the last byte of the refusal.
	First time.Time
	At    time.Time
	Ran   pomelorelay.Ran
	Code  pomelorelay.ResultCode
	// RetryAfter reports whether the refusal has a Retry-After header.
	RetryAfter bool
}

// Broken is the event of an attempt ending with a broken connection, or with a stream error that the caller can distinguish from a normal end.
type Broken struct {
	Attempt AttemptID
	At      time.Time
}

// Ran is the event of a stand-in or an upstream starting to run a request.
type Ran struct {
	Content  ContentID
	Upstream pomelorelay.UpstreamID
	At       time.Time
}

// Served is the event of an account's request being served from From to To; its cost is spread evenly over that time.
type Served struct {
	Pool    pomelorelay.PoolID
	Account pomelorelay.AccountID
	Weight  pomelorelay.Weight
	From    time.Time
	To      time.Time
	Cost    pomelorelay.Cost
}

// Backlogged is the event of an account starting or ceasing to have waiting requests.
type Backlogged struct {
	Pool    pomelorelay.PoolID
	Account pomelorelay.AccountID
	At      time.Time
	Waiting bool
}

// Leaving is the event of the host list starting to show an upstream as leaving.
type Leaving struct {
	Upstream pomelorelay.UpstreamID
	At       time.Time
}

// Stopping is the event of a planned stop of a router beginning.
type Stopping struct {
	Node pomelorelay.NodeID
	At   time.Time
}

// Killed is the event of a router being killed; connections that broke after it are not attributed to a planned stop.
type Killed struct {
	Node pomelorelay.NodeID
	At   time.Time
}

// Frozen is the event of a router process being suspended, for instance by SIGSTOP.
type Frozen struct {
	Node pomelorelay.NodeID
	At   time.Time
}

// Continued is the event of a suspended router process being resumed.
type Continued struct {
	Node pomelorelay.NodeID
	At   time.Time
}

// Accepted is the event of the store accepting a configuration.
type Accepted struct {
	Generation pomelorelay.Generation
	At         time.Time
}

// InForce is the observation of the configuration generation in force on a router.
type InForce struct {
	Node       pomelorelay.NodeID
	Generation pomelorelay.Generation
	At         time.Time
}
