package pomeloplace

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloroom"
	"github.com/pomelorelay/pomelorelay/pomelospeed"
	"github.com/pomelorelay/pomelorelay/pomelostream"
)

// Config configures a Placer.
type Config struct {
	Self pomelorelay.Peer
	// Regions maps each failure domain to its region.
	Regions map[pomelorelay.DomainID]pomelorelay.RegionID
	// ColdBounds limits the rate of the fleet's requests to cold upstreams.
	ColdBounds pomelorelay.ColdBounds
	// DisabledMechanisms selects the placement mechanisms that are disabled.
	DisabledMechanisms Mechanisms
}

// Request describes a request to be placed.
type Request struct {
	Service pomelorelay.ServiceID
	Route   pomelorelay.RouteID
	// PromptTokens is the length of the prompt.
	PromptTokens pomelorelay.Tokens
	// OutputTokens is the expected length of the answer.
	OutputTokens pomelorelay.Tokens
	Parts        []pomelorelay.PromptPart
	// Target is the route's target for the time to the first byte or event of the answer.
	Target time.Duration
	// MaxWait is the remaining time that the caller will wait.
	MaxWait time.Duration
	// WithinShare reports whether the request is within its account's fair share.
	WithinShare bool
	// Standing limits what the request's account gets beyond its share. RegionStandings replaces it at the upstreams of a region, where only the accounts
	// allowed there are compared.
	Standing        pomelorelay.Standing
	RegionStandings map[pomelorelay.RegionID]pomelorelay.Standing
	// Owed is what the account is owed of recent service, as a fraction of the fair level.
	Owed float64
	// Priority is the priority of the account or else of the route; 0 is the highest.
	Priority int
	// deferred is the fraction of slots that the request leaves free for other requests.
	deferred float64
	// Residency restricts the regions in which the request may be served.
	Residency pomelorelay.Residency
	// Avoid lists upstreams that have already failed this request.
	Avoid []pomelorelay.UpstreamID
	// Version is the version of the upstreams' software at which the request's stream began, if VersionFixed is set; no other one may continue
	// it.
	Version      pomelorelay.SoftwareVersion
	VersionFixed bool
	// Resumable is set for a stream that may be resumed, which only a process of a known version may begin.
	Resumable bool
}

// standingAt returns the account's standing among the accounts that may use the upstream.
func (r *Request) standingAt(u *upstream) pomelorelay.Standing {
	if s, found := r.RegionStandings[u.region]; found {
		return s
	}
	return r.Standing
}

// Reason is the reason why a request was refused.
type Reason string

// Reasons for refusing a request.
const (
	// ReasonNone means that the request was admitted.
	ReasonNone Reason = ""
	// ReasonNoUpstream means that the service has no upstream that accepts requests.
	ReasonNoUpstream Reason = "NoUpstream"
	// ReasonNoAllowedRegion means that no region is allowed to serve the request.
	ReasonNoAllowedRegion Reason = "NoRegion"
	// ReasonNoUpstreamInRegion means that no upstream in the allowed regions accepts requests; Decision.Cause holds the underlying reason.
	ReasonNoUpstreamInRegion Reason = "Region"
	// ReasonVersionUnknown means that the version at which the stream began is unknown, ReasonVersionGone that no upstream of it is usable.
	ReasonVersionUnknown Reason = "VersionUnknown"
	ReasonVersionGone    Reason = "VersionGone"
	// ReasonEvacuated means that every upstream of the service is in a failure domain under evacuation.
	ReasonEvacuated Reason = "Evacuated"
	// ReasonCold means that only cold upstreams are available, and this router may not send to them yet.
	ReasonCold Reason = "Cold"
	// ReasonTooLate means that no upstream could be expected to begin the answer within the target.
	ReasonTooLate Reason = "Late"
	// ReasonTimeTooShort means that the caller's remaining time does not suffice for the beginning of an answer, even without a queue.
	ReasonTimeTooShort Reason = "TimeTooShort"
	// ReasonOverShare means that the request exceeds its account's share while the upstreams are busy.
	ReasonOverShare Reason = "Share"
)

// Bound is the admission limit that a refused request exceeded.
type Bound string

// Admission limits.
const (
	// BoundNone means that the request was admitted or that no upstream was available.
	BoundNone Bound = ""
	// BoundQueue limits the expected wait for earlier requests at the upstream.
	BoundQueue Bound = "Queue"
	// BoundTime limits the expected time until the answer begins.
	BoundTime Bound = "Time"
	// BoundSlots limits the number of requests running at an engine.
	BoundSlots Bound = "Slots"
	// BoundRecompute limits the number of shared prompt tokens that a request beyond its account's share may prefill although another engine has
	// them cached.
	BoundRecompute Bound = "Again"
	// BoundPriority limits the number of requests running at an engine for requests of lower priority than one that was refused or delayed.
	BoundPriority Bound = "Priority"
	// BoundGap limits what an account gets beyond its share by what the others got that request more than they get.
	BoundGap Bound = "Gap"
	// BoundTimeLeft is the remaining time of the caller.
	BoundTimeLeft Bound = "TimeLeft"
)

// Decision is the result of placing a request: the selected upstream, or the reason for refusal and when to retry.
type Decision struct {
	Reason Reason
	// Cause explains ReasonNoUpstreamInRegion: why the upstreams in the allowed regions accept no request. It is empty for any other Reason.
	Cause Reason
	Bound Bound
	// Residency is the set of regions in which the request was allowed to run at the time of the decision.
	Residency pomelorelay.Residency
	// LargestCostTerm is the largest term of the placement cost.
	LargestCostTerm Term
	// RetryAfter is the estimated time until capacity is available.
	RetryAfter time.Duration
	Upstream   pomelorelay.FleetUpstream
	Run        *Run
	// ExpectedLatency is the estimated time until the answer begins.
	ExpectedLatency time.Duration
	// QueueDelay is the part of ExpectedLatency spent waiting for earlier requests.
	QueueDelay time.Duration
	// PrefillTokens is the prefill work of the request at the upstream, as the number of tokens of a short prompt that take as long.
	PrefillTokens pomelorelay.Tokens
	// UncachedShared is the number of tokens in shared prompt parts that the upstream does not have cached.
	UncachedShared pomelorelay.Tokens
	// CopyFrom is the upstream from which part of the prompt's KV cache is copied; its ID is empty when nothing is copied.
	CopyFrom pomelorelay.FleetUpstream
	// CopiedTokens is the number of copied prompt tokens.
	CopiedTokens pomelorelay.Tokens
	// Running is the number of requests of all routers at the upstream.
	Running int
	// Announced is the load that the upstream announced last, with its age; it is not known if the upstream announces none.
	Announced    pomelorelay.UpstreamFigures
	AnnouncedAge time.Duration
	// Slowness is the momentary factor of the upstream's host that the decision is based on.
	Slowness float64
	// ReportAge is the age of the oldest load report in use; zero when there is none.
	ReportAge time.Duration
	// ListAge is the time since upstreams were last listed from the platform's store.
	ListAge time.Duration
	// MaxRunning and MaxQueueDelay are the limits that applied to the request at the upstream: running requests and queue delay.
	MaxRunning    int
	MaxQueueDelay time.Duration
	// Standing is the standing of the request's account at the upstream.
	Standing pomelorelay.Standing
	// Reserve is the slot reserve that applied to the request; zero for requests within their share and for large engines.
	Reserve pomeloroom.Outcome
	// Share is the state of the account's fair share at the time of the decision.
	Share ShareState
	// Resume is why a resumed stream may continue at the upstream's version, or why its version is unknown.
	Resume pomelostream.Evidence
}

// ShareState is an account's usage of the shared capacity at the time of a decision.
type ShareState struct {
	Cost pomelorelay.Cost
	// Requested and Served are the account's costs in the sliding window. FairShare is the cost per window up to which each account is served.
	// It is zero when no account is limited: the capacity is unknown or covers all requests, and no account is short of its demand.
	Requested, Served, FairShare pomelorelay.Cost
	// TotalServed is the cost served to all accounts in the sliding window.
	TotalServed pomelorelay.Cost
	WithinShare bool
}

// Run is a request in progress at an upstream.
type Run struct {
	up            *upstream
	sent          time.Time
	prefillTokens pomelorelay.Tokens
	// copiedTokens is the number of prompt tokens whose KV cache is copied from another engine.
	copiedTokens pomelorelay.Tokens
	// queuedTokens is the estimated number of prompt tokens queued at the engine before this request.
	queuedTokens float64
	// waitedForSlot reports whether no slot was free when the request was sent; the time to first token of such a run is not a sample of the
	// prefill speed.
	waitedForSlot bool
	memoryTokens  pomelorelay.Tokens
	// plan and expected describe the run as it was sent; expected is zero while the slot time is unknown. expectedEnd is
	// adjusted when the answer begins.
	plan        pomeloroom.Plan
	expected    time.Duration
	expectedEnd time.Time
	// events is the number of events of a stream.
	events int
	// momentary is the momentary factor that was known when the request was sent.
	momentary float64
	started   bool
	ended     bool
}

// Result is the outcome of a run.
type Result int

// Run outcomes.
const (
	// ResultCompleted is a complete answer.
	ResultCompleted Result = iota
	// ResultCancelled is an outcome that does not reflect on the upstream, such as a cancellation by the caller.
	ResultCancelled
	// ResultFailed is a failure of the upstream.
	ResultFailed
	// ResultUnreachable is a failed connection attempt.
	ResultUnreachable
	// ResultRefused is a response in which the upstream states that it did not run the request.
	ResultRefused
	// ResultCancelledUnsent is a cancellation by the caller before the request was sent.
	ResultCancelledUnsent
	// ResultLongPause is a complete answer with a pause between events that exceeds the route's limit.
	ResultLongPause
	// ResultErrorAnswer is a complete answer with a server error.
	ResultErrorAnswer
	// ResultReplaced means that the request was not sent, because another process than the registered one answers at the upstream's address.
	ResultReplaced
)

// Answered reports whether the upstream answered the request completely.
func (r Result) Answered() bool { return r.Served() || r == ResultErrorAnswer }

// Served reports whether the upstream answered the request completely and without a server error.
func (r Result) Served() bool { return r == ResultCompleted || r == ResultLongPause }

// NotRun reports whether the upstream certainly did not run the request.
func (r Result) NotRun() bool {
	return r == ResultUnreachable || r == ResultRefused || r == ResultCancelledUnsent || r == ResultReplaced
}

const (
	// initialPrefillRate is the initial estimate of an engine's prefill rate, in tokens per millisecond, when no token capacity is configured.
	initialPrefillRate pomelospeed.PrefillRate = 100
	// prefillRateFactor converts an engine's configured average throughput to its prefill rate: an engine spends about half of its time on
	// decoding.
	prefillRateFactor = 2
	// initialServiceTime is the initial estimate of a plain service's time per request.
	initialServiceTime = 40 * time.Millisecond
	// serviceTimeAlpha is the weight of a new sample in the moving average of the service time.
	serviceTimeAlpha = 0.05
	// noRegionRetryAfter is the Retry-After of requests that no region may serve; only a configuration change can help.
	noRegionRetryAfter = 30 * time.Second
	// evacuatedRetryAfter is the Retry-After while all upstreams are under evacuation, which takes at least several seconds.
	evacuatedRetryAfter = 2 * time.Second
	// hungConnectAfter is the duration from which a failed connection attempt counts as hung. A hung attempt is attributed to the network rather
	// than to the upstream, unless other upstreams answered in the meantime.
	hungConnectAfter = 100 * time.Millisecond
	// failureAlpha is the weight of a new result in the moving failure rate.
	failureAlpha = 0.25
	// failureHalfLife is the half-life of the failure rate; the decay gives a failing upstream another chance.
	failureHalfLife = 2 * time.Second
	// unreachableBackoff is the initial backoff after a failed connection; it doubles with each consecutive failure up to
	// maxUnreachableBackoff, since a restart takes seconds. Without backoff, an unreachable upstream looks idle and attracts requests from
	// every router, and requests that try several of them in a row are refused.
	unreachableBackoff    = 700 * time.Millisecond
	maxUnreachableBackoff = 2800 * time.Millisecond
	// minPendingFraction is the lower bound of the queue estimate, as a fraction of the prompt tokens of requests without an answer. The
	// estimated prefill rate may be too high: at that rate, these tokens may already count as processed.
	minPendingFraction = 0.3
	// maxMemoryFraction is the fraction of KV cache memory that running requests may fill; above it, the engine evicts running requests.
	maxMemoryFraction = 0.9
	// PeerTimeout is the age of a router's last load report above which the router and its requests are not counted.
	PeerTimeout = 3 * time.Second
)
