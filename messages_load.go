package pomelorelay

import "time"

// UpstreamLoad is the load that one router has placed on one upstream.
type UpstreamLoad struct {
	Upstream UpstreamID
	Running  uint32
	// PendingPrefill is the number of prompt tokens of sent requests whose responses have not begun.
	PendingPrefill Tokens
	// KVTokens is the number of KV cache tokens that the router's running requests occupy.
	KVTokens Tokens
	// PromptTokensSent is the total of prompt tokens sent since the router's start.
	PromptTokensSent Tokens
	// FirstTokenExpected and FirstTokenMeasured are the sums of the requests' expected and measured times to first token since the
	// router's start.
	FirstTokenExpected, FirstTokenMeasured time.Duration
	// RequestsSent is the total of requests sent since the router's start; zero from routers of earlier versions.
	RequestsSent uint64
	// Announced is the newest load that the upstream has announced to the sender since its last report, and AnnouncedAge is its age when
	// the report was sent.
	Announced    UpstreamFigures
	AnnouncedAge time.Duration
	// AnnouncedStart is the start time in Unix milliseconds of the process that announced the load; zero if unknown.
	AnnouncedStart int64
}

// AccountUse is the total cost requested by and served to an account at one router since the router's start.
type AccountUse struct {
	Account   AccountID
	Requested Cost
	Served    Cost
}

// PromptPartPlaced reports that a part of a prompt was sent to an upstream, which caches it for a while.
type PromptPartPlaced struct {
	Upstream UpstreamID
	Hash     uint64
	Tokens   Tokens
}

// LoadReport reports the load that a router has placed on upstreams. It holds the changes since the last report or, from time to
// time, the full state, which compensates for lost reports.
type LoadReport struct {
	Seq       uint64
	Full      bool
	Upstreams []UpstreamLoad
	Accounts  []AccountUse
	Parts     []PromptPartPlaced
	// Leaving are upstreams that the router knows to be draining or gone.
	Leaving []UpstreamID
	// Speeds are the measured prefill speeds of the engines.
	Speeds []SpeedSums
	// Starts are upstreams that may have restarted.
	Starts []UpstreamStart
	// Streams are resumable streams that have begun.
	Streams []StreamOrigin
	// Limited states that the router refuses requests because its processor is overloaded.
	Limited bool
	// Applied is the store revision up to which the sender of a full report, or each router that a full summary covers, has applied all changes; zero from
	// routers of earlier versions.
	Applied Revision
}

// UpstreamStart reports that an upstream accepted no connection, or that it answers again. In both cases the upstream may have restarted;
// it is then cold, that is, it accepts only a low request rate for a while.
type UpstreamStart struct {
	Upstream    UpstreamID
	Unreachable bool
	// ColdRemaining is the remaining time for which the upstream may be cold; zero while it accepts no connections.
	ColdRemaining time.Duration
}

// Empty reports whether the report has no content; a report of the full state is never empty, since it shows that its router is alive.
func (r *LoadReport) Empty() bool {
	return !r.Full && len(r.Upstreams)+len(r.Accounts)+len(r.Parts)+len(r.Leaving)+len(r.Speeds)+len(r.Starts)+len(r.Streams) == 0
}

// Urgency implements Message; load is urgent because other routers choose upstreams by the reported load.
func (*LoadReport) Urgency() Urgency { return UrgencyHigh }

// CoalesceKey returns an empty key: a report holds only changes, so none may be replaced.
func (*LoadReport) CoalesceKey() string { return "" }

// LoadSummary is the sum of the load reports of several routers. The relay of a failure domain sends a summary of all other routers to the
// routers of its domain, and a summary of its own domain to the relays of other domains.
type LoadSummary struct {
	Report *LoadReport
	// Standby are the routers that take over as relay, in order, if the sender fails.
	Standby []NodeID
	// Relays are the relays of the other failure domains that the sender hears; a report of the full state has them.
	Relays []NodeID
}

// Urgency implements Message; load is urgent because other routers choose upstreams by the reported load.
func (*LoadSummary) Urgency() Urgency { return UrgencyHigh }

// CoalesceKey returns an empty key: a summary holds only changes, so none may be replaced.
func (*LoadSummary) CoalesceKey() string { return "" }

// FleetUpdate distributes the changes that one router read from the platform's store, so that the others need not read them. It holds
// the changes since revision After.
type FleetUpdate struct {
	// After is the store revision of the sender's previous update; zero if the update holds the complete fleet state.
	After            Revision
	Revision         Revision
	Full             bool
	Upstreams        []FleetUpstream
	RemovedUpstreams []UpstreamID
	Peers            []Peer
	RemovedPeers     []NodeID
	Evacuated        []DomainID
	RestoredDomains  []DomainID
	Crashes          []RequestCrash
	// VersionsPassed are the versions of upstreams whose entries were written and replaced or deleted between the revisions.
	VersionsPassed []VersionSeen
	// Document is the operators' configuration; empty if unchanged.
	Document []byte
	// ReadUnixMilli is when the router that read the store sent the call, by its clock; zero if unknown.
	ReadUnixMilli int64
	// Forwarded states that the relay of a failure domain forwarded the update to the domain's routers.
	Forwarded bool
}

// Urgency implements Message; updates are urgent because they announce upstreams that leave.
func (*FleetUpdate) Urgency() Urgency { return UrgencyHigh }

// CoalesceKey returns an empty key: an update holds only changes, so none may be replaced.
func (*FleetUpdate) CoalesceKey() string { return "" }

// SpeedSums holds one router's sums for a linear regression of the time to first token, in milliseconds, on the number of prompt tokens
// read. The sums cover the weighted responses of one service since the router's start.
type SpeedSums struct {
	Service ServiceID
	// Answers is the number of responses.
	Answers float64
	// WeightSum is the sum of the responses' weights. The other fields are weighted sums of the tokens read, of the times taken in
	// milliseconds, of the squares of the tokens, and of the products of tokens and times.
	WeightSum, TokenSum, TimeSum, TokenSquareSum, TokenTimeSum float64
	// DuringPrefill is the number of streams that ran during a long prefill on their engine. Stalled is the number of those that paused
	// between tokens for longer than their callers accept.
	DuringPrefill, Stalled float64
	// CopiedTokens is the number of prompt tokens whose KV cache was copied from another engine. CopyTimeTokens is the number of tokens
	// that the receiving engines could have prefilled in the time that copying took.
	CopiedTokens, CopyTimeTokens float64
}
