package pomeloplace

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelospeed"
)

// Config holds what a Placer needs.
type Config struct {
	Self pomelorelay.Peer
	// Regions gives the region of each failure domain.
	Regions map[pomelorelay.DomainID]pomelorelay.RegionID
	// Cold bounds what the fleet sends to cold upstreams.
	Cold pomelorelay.ColdBounds
	// Without are the mechanisms that are switched off.
	Without Mechanisms
}

// Request is a request that wants a place.
type Request struct {
	Service pomelorelay.ServiceID
	// Prompt is the number of the prompt's tokens, Output the expected number of generated ones.
	Prompt pomelorelay.Tokens
	Output pomelorelay.Tokens
	Parts  []pomelorelay.PromptPart
	// Target is the time to the first of the answer that the caller expects; Left is how long it waits at most.
	Target time.Duration
	Left   time.Duration
	// Owed tells that the request is within its account's share.
	Owed bool
	// Lead is how many times as much the account has had as it may beside another that is short; up to one it is not ahead.
	Lead float64
	// Ahead is how many times as much as it may the account has had beside another one that is short by far; above one it leaves slots to that.
	Ahead float64
	// Residency says in which regions the request may be served.
	Residency pomelorelay.Residency
	// Avoid lists upstreams that failed this request.
	Avoid []pomelorelay.UpstreamID
}

// Reason tells why a request gets no place.
type Reason string

// The reasons.
const (
	// ReasonNone stands for a request that has its place.
	ReasonNone Reason = ""
	// ReasonNoUpstream stands for a service without an upstream that takes requests.
	ReasonNoUpstream Reason = "NoUpstream"
	// ReasonNoRegion stands for a request that no region may serve.
	ReasonNoRegion Reason = "NoRegion"
	// ReasonRegion stands for a service without an upstream that takes requests in the regions that may serve the request.
	ReasonRegion Reason = "Region"
	// ReasonEvacuated stands for a service all of whose upstreams are in failure domains under evacuation.
	ReasonEvacuated Reason = "Evacuated"
	// ReasonCold stands for a service all of whose upstreams are cold and have had what they accept.
	ReasonCold Reason = "Cold"
	// ReasonLate stands for upstreams at which the request could not begin in time.
	ReasonLate Reason = "Late"
	// ReasonShare stands for a request beyond its account's share while upstreams are busy.
	ReasonShare Reason = "Share"
)

// Bound tells which bound a refused request was over.
type Bound string

// The bounds.
const (
	// BoundNone stands for a request that has its place, or for which there is no upstream.
	BoundNone Bound = ""
	// BoundQueue stands for engines at which too much waits.
	BoundQueue Bound = "Queue"
	// BoundTime stands for an answer that would begin too late.
	BoundTime Bound = "Time"
	// BoundSlots stands for an engine that runs too many requests to take this one.
	BoundSlots Bound = "Slots"
	// BoundRecompute stands for shared parts that would be read although a busier engine keeps them.
	BoundRecompute Bound = "Again"
)

// Decision is where a request goes, or why it goes nowhere and when it may come back.
type Decision struct {
	Reason Reason
	// Cause tells why no upstream takes the request in the regions that may serve it.
	Cause Reason
	Bound Bound
	// Residency is that under which the request was decided on.
	Residency pomelorelay.Residency
	// Term is the largest part of what it costs to send the request there.
	Term Term
	// RetryAfter is when there is likely to be a place.
	RetryAfter time.Duration
	Upstream   pomelorelay.FleetUpstream
	Run        *Run
	// Expected is the time until the answer should begin, Backlog the part of it that others cause.
	Expected time.Duration
	Backlog  time.Duration
	// Missing is the work of what the upstream must read, in tokens of a short prompt; Shared are the tokens among it that belong to
	// parts which other requests share.
	Missing pomelorelay.Tokens
	Shared  pomelorelay.Tokens
	// CopyFrom is the upstream from which Copied tokens of the prompt are copied instead of read; without an id when none are.
	CopyFrom pomelorelay.FleetUpstream
	Copied   pomelorelay.Tokens
	// Running is what the fleet runs at the upstream.
	Running int
	// ReportAge is the age of the oldest report of another router that counted; zero when there was none.
	ReportAge time.Duration
	// ListAge is the time since the last list of upstreams from the platform's store.
	ListAge time.Duration
	// Share is what decided about the account's share.
	Share ShareState
}

// ShareState is what an account has had of the capacity that all share, when a request of it was decided on.
type ShareState struct {
	Cost pomelorelay.Cost
	// Asked and Served are the account's in the window, Level is up to where accounts are owed; zero when there is enough for all.
	Asked, Served, Level pomelorelay.Cost
	Owed                 bool
}

// Run is a request at an upstream, until Ended.
type Run struct {
	up            *upstream
	sent          time.Time
	prefillTokens pomelorelay.Tokens
	// copiedTokens are the tokens that are copied from another engine.
	copiedTokens pomelorelay.Tokens
	// queuedTokens are the tokens that were to be read before the request's own, as they were known.
	queuedTokens float64
	// waitedForSlot tells that no slot was free, so that the time to the first token is no sample of reading.
	waitedForSlot bool
	memoryTokens  pomelorelay.Tokens
	started       bool
	ended         bool
}

// Result is how a run ended.
type Result int

// The results.
const (
	// ResultGood is a whole answer.
	ResultGood Result = iota
	// ResultGone is an end that says nothing of the upstream, as when the caller left.
	ResultGone
	// ResultFailed is an upstream that failed the request.
	ResultFailed
	// ResultUnreached is an upstream that took no connection.
	ResultUnreached
	// ResultRefused is an upstream that said it did not run the request.
	ResultRefused
	// ResultUnsent is a request whose caller left before it was sent.
	ResultUnsent
	// ResultPaused is a whole answer that paused for longer than its caller accepts.
	ResultPaused
)

// NotRun reports whether the request surely did not run.
func (r Result) NotRun() bool { return r == ResultUnreached || r == ResultRefused || r == ResultUnsent }

const (
	// initialPrefillRate is the first guess of how fast an engine reads where the operators do not say what all engines produce together.
	initialPrefillRate pomelospeed.Rate = 100
	// prefillRateFactor is how many times as fast as it produces tokens on the whole an engine reads: about half of its time goes to generating.
	prefillRateFactor = 2
	// initialServiceTime is the first guess of a plain service's time for a request; it is learnt from then on.
	initialServiceTime = 40 * time.Millisecond
	// serviceTimeAlpha is the weight of a new sample in its running mean.
	serviceTimeAlpha = 0.05
	// noRegionRetryAfter is the Retry-After of requests that no region may serve, which only the operators can change.
	noRegionRetryAfter = 30 * time.Second
	// evacuatedRetryAfter is the Retry-After while all upstreams are under evacuation, which takes seconds at least.
	evacuatedRetryAfter = 2 * time.Second
	// hungConnectAfter is the time after which a connection attempt that failed says nothing of the upstream, unless others answered meanwhile: the network to
	// it may be cut.
	hungConnectAfter = 100 * time.Millisecond
	// failureAlpha is the weight of a new result in the rate of failures.
	failureAlpha = 0.25
	// failureHalfLife is how long it takes until half of a rate of failures is forgiven, so that an upstream gets another chance.
	failureHalfLife = 2 * time.Second
	// unreachableBackoff is how long an upstream that took no connection gets nothing, twice as long each time in a row, up to unreachedMost: a
	// restart takes seconds. Idle as it looks, it would be the first choice of every router again each time, and requests that find
	// several such upstreams in a row are refused.
	unreachableBackoff    = 700 * time.Millisecond
	maxUnreachableBackoff = 2800 * time.Millisecond
	// minPendingFraction is the part of the unread tokens that still counts when reading should long be over by the rate.
	minPendingFraction = 0.3
	// maxMemoryFraction is the part of an engine's memory up to which running requests may fill it; above, it evicts what runs.
	maxMemoryFraction = 0.9
	// SilentAfter is the age from which another router's report does not count: it is gone, and its requests with it.
	SilentAfter = 3 * time.Second
)
