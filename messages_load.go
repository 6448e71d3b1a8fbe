package pomelorelay

import "time"

// UpstreamLoad is what one router has on one upstream.
type UpstreamLoad struct {
	Upstream UpstreamID
	Running  uint32
	// PendingPrefill are the prompt tokens that were sent and whose answers have not begun.
	PendingPrefill Tokens
	// KVTokens are the tokens of memory that its running requests take there.
	KVTokens Tokens
	// PromptTokensSent is the sum of all prompt tokens sent there since the router's start.
	PromptTokensSent Tokens
	// FirstTokenExpected and Took are the sums of the times to first tokens, as they were expected and as they were, since the router's start.
	FirstTokenExpected, FirstTokenMeasured time.Duration
}

// AccountUse is one router's sums of an account since its start.
type AccountUse struct {
	Account AccountID
	Requested   Cost
	Served  Cost
}

// PartPlaced tells that an upstream was sent a part of a prompt, which it keeps for a while.
type PartPlaced struct {
	Upstream UpstreamID
	Hash     uint64
	Tokens   Tokens
}

// LoadReport tells the other routers what one has on the upstreams. It holds what changed since the last report, or with Whole
// everything, so that a lost report is made up for.
type LoadReport struct {
	Seq       uint64
	Full     bool
	Upstreams []UpstreamLoad
	Accounts  []AccountUse
	Parts     []PartPlaced
	// Leaving are upstreams that the router knows to drain or to be gone.
	Leaving []UpstreamID
	// Speeds tell how fast the engines read.
	Speeds []SpeedSums
	// Starts tell which upstreams may have started anew.
	Starts []UpstreamStart
}

// UpstreamStart tells that an upstream took no connection, so that it is cold once it is back, or that it answers again and may be cold.
type UpstreamStart struct {
	Upstream  UpstreamID
	Unreachable bool
	// ColdRemaining is how much longer it may be cold; zero with Unreached.
	ColdRemaining time.Duration
}

// Empty reports whether the report tells nothing; a whole one always tells that its router is there.
func (r *LoadReport) Empty() bool {
	return !r.Full && len(r.Upstreams)+len(r.Accounts)+len(r.Parts)+len(r.Leaving)+len(r.Speeds)+len(r.Starts) == 0
}

// Urgency is that of placements: others place by them.
func (*LoadReport) Urgency() Urgency { return UrgencyHigh }

// CoalesceKey is empty: a report holds only what changed, and each counts.
func (*LoadReport) CoalesceKey() string { return "" }

// LoadSummary is the sum of what several routers reported, sent by the relay of a failure domain: to its neighbours about all other routers, to
// the relays of other domains about its own.
type LoadSummary struct {
	Report *LoadReport
	// Standby are the routers that relay next, should this one fall silent.
	Standby []NodeID
}

// Urgency is that of placements: others place by them.
func (*LoadSummary) Urgency() Urgency { return UrgencyHigh }

// CoalesceKey is empty: a summary holds only what changed, and each counts.
func (*LoadSummary) CoalesceKey() string { return "" }

// FleetUpdate carries what one router read in the store to the others, so that not each must read it. It holds what changed since After.
type FleetUpdate struct {
	// After is the revision of the sender's previous update; zero when everything was read.
	After         Revision
	Revision            Revision
	Full         bool
	Upstreams     []FleetUpstream
	RemovedUpstreams []UpstreamID
	Peers         []Peer
	RemovedPeers     []NodeID
	Evacuated     []DomainID
	Restored      []DomainID
	// Document is the operators' configuration; empty when it did not change.
	Document []byte
	// Forwarded tells that the relay of a failure domain passed the update on to its neighbours.
	Forwarded bool
}

// Urgency is that of upstreams that leave.
func (*FleetUpdate) Urgency() Urgency { return UrgencyHigh }

// CoalesceKey is empty: an update holds only what changed, and each counts.
func (*FleetUpdate) CoalesceKey() string { return "" }

// SpeedSums are one router's sums, since its start, over the first tokens of a service's answers. Each answer counts by a weight of
// its own; times are in milliseconds, reading in tokens.
type SpeedSums struct {
	Service ServiceID
	// Answers is the number of answers.
	Answers float64
	// WeightSum sums up the weights, Read and Took the tokens read and the times taken, ReadRead and ReadTook their products, all weighted.
	WeightSum, TokenSum, TimeSum, TokenSquareSum, TokenTimeSum float64
	// DuringPrefill is the number of streams that ran while their engine read for long, Paused those among them that paused for too long.
	DuringPrefill, Stalled float64
	// CopiedTokens are the prompt tokens that were copied from another engine instead of read, CopyTook the tokens that could have been read meanwhile.
	CopiedTokens, CopyTimeTokens float64
}
