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
	// ColdBounds bounds what the fleet sends to cold upstreams.
	ColdBounds pomelorelay.ColdBounds
	// Disabled are the mechanisms that are switched off.
	Disabled Mechanisms
}

// Request is a request that wants a place.
type Request struct {
	Service pomelorelay.ServiceID
	// PromptTokens is the number of the prompt's tokens, Output the expected number of generated ones.
	PromptTokens pomelorelay.Tokens
	OutputTokens pomelorelay.Tokens
	Parts  []pomelorelay.PromptPart
	// Target is the time to the first of the answer that the caller expects; Left is how long it waits at most.
	Target time.Duration
	MaxWait   time.Duration
	// WithinShare tells that the request is within its account's share.
	WithinShare bool
	// LeadOverLevel is how many times as much the account has had as it may beside another that is short; up to one it is not ahead.
	LeadOverLevel float64
	// LeadOverLeastServed is how many times as much as it may the account has had beside another one that is short by far; above one it leaves slots to that.
	LeadOverLeastServed float64
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
	// ReasonNoAllowedRegion stands for a request that no region may serve.
	ReasonNoAllowedRegion Reason = "NoRegion"
	// ReasonNoUpstreamInRegion stands for a service without an upstream that takes requests in the regions that may serve the request.
	ReasonNoUpstreamInRegion Reason = "Region"
	// ReasonEvacuated stands for a service all of whose upstreams are in failure domains under evacuation.
	ReasonEvacuated Reason = "Evacuated"
	// ReasonCold stands for a service all of whose upstreams are cold and have had what they accept.
	ReasonCold Reason = "Cold"
	// ReasonTooLate stands for upstreams at which the request could not begin in time.
	ReasonTooLate Reason = "Late"
	// ReasonOverShare stands for a request beyond its account's share while upstreams are busy.
	ReasonOverShare Reason = "Share"
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
	// BoundAgain stands for shared parts that would be read although a busier engine keeps them.
	BoundAgain Bound = "Again"
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
	// ExpectedLatency is the time until the answer should begin, Backlog the part of it that others cause.
	ExpectedLatency time.Duration
	QueueDelay  time.Duration
	// PrefillTokens is the work of what the upstream must read, in tokens of a short prompt; Shared are the tokens among it that belong to
	// parts which other requests share.
	PrefillTokens pomelorelay.Tokens
	UncachedShared  pomelorelay.Tokens
	// CopyFrom is the upstream from which Copied tokens of the prompt are copied instead of read; without an id when none are.
	CopyFrom pomelorelay.FleetUpstream
	CopiedTokens   pomelorelay.Tokens
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
	// Requested and Served are the account's in the window, Level is up to where accounts are owed; zero when there is enough for all.
	Requested, Served, FairShare pomelorelay.Cost
	WithinShare                 bool
}

// Run is a request at an upstream, until Ended.
type Run struct {
	up      *upstream
	sent    time.Time
	missing pomelorelay.Tokens
	// copied are the tokens that are copied from another engine.
	copied pomelorelay.Tokens
	// ahead are the tokens that were to be read before the request's own, as they were known.
	ahead float64
	// crowded tells that no slot was free, so that the time to the first token is no sample of reading.
	crowded bool
	held    pomelorelay.Tokens
	begun   bool
	ended   bool
}

// Result is how a run ended.
type Result int

// The results.
const (
	// ResultCompleted is a whole answer.
	ResultCompleted Result = iota
	// ResultCancelled is an end that says nothing of the upstream, as when the caller left.
	ResultCancelled
	// ResultFailed is an upstream that failed the request.
	ResultFailed
	// ResultUnreachable is an upstream that took no connection.
	ResultUnreachable
	// ResultRefused is an upstream that said it did not run the request.
	ResultRefused
	// ResultNotSent is a request whose caller left before it was sent.
	ResultNotSent
	// ResultLongPause is a whole answer that paused for longer than its caller accepts.
	ResultLongPause
)

// NotRun reports whether the request surely did not run.
func (r Result) NotRun() bool { return r == ResultUnreachable || r == ResultRefused || r == ResultNotSent }

const (
	// startRate is the first guess of how fast an engine reads where the operators do not say what all engines produce together.
	startRate pomelospeed.PrefillRate = 100
	// readTimes is how many times as fast as it produces tokens on the whole an engine reads: about half of its time goes to generating.
	readTimes = 2
	// startService is the first guess of a plain service's time for a request; it is learnt from then on.
	startService = 40 * time.Millisecond
	// serviceShare is the weight of a new sample in its running mean.
	serviceShare = 0.05
	// noRegionRetry is the Retry-After of requests that no region may serve, which only the operators can change.
	noRegionRetry = 30 * time.Second
	// evacuatedRetry is the Retry-After while all upstreams are under evacuation, which takes seconds at least.
	evacuatedRetry = 2 * time.Second
	// hangFor is the time after which a connection attempt that failed says nothing of the upstream, unless others answered meanwhile: the network to
	// it may be cut.
	hangFor = 100 * time.Millisecond
	// failShare is the weight of a new result in the rate of failures.
	failShare = 0.25
	// failMemory is how long it takes until half of a rate of failures is forgiven, so that an upstream gets another chance.
	failMemory = 2 * time.Second
	// unreachedFor is how long an upstream that took no connection gets nothing, twice as long each time in a row, up to unreachedMost: a
	// restart takes seconds. Idle as it looks, it would be the first choice of every router again each time, and requests that find
	// several such upstreams in a row are refused.
	unreachedFor  = 700 * time.Millisecond
	unreachedMost = 2800 * time.Millisecond
	// leastUnread is the part of the unread tokens that still counts when reading should long be over by the rate.
	leastUnread = 0.3
	// fullMemory is the part of an engine's memory up to which running requests may fill it; above, it evicts what runs.
	fullMemory = 0.9
	// PeerTimeout is the age from which another router's report does not count: it is gone, and its requests with it.
	PeerTimeout = 3 * time.Second
)
