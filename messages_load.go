package pomelorelay

// UpstreamLoad is what one router has on one upstream.
type UpstreamLoad struct {
	Upstream UpstreamID
	Running  uint32
	// Unread are the prompt tokens that were sent and whose answers have not begun.
	Unread Tokens
	// Held are the tokens of memory that its running requests take there.
	Held Tokens
	// Sent is the sum of all prompt tokens sent there since the router's start.
	Sent Tokens
}

// AccountUse is one router's sums of an account since its start.
type AccountUse struct {
	Account AccountID
	Asked   Cost
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
	Whole     bool
	Upstreams []UpstreamLoad
	Accounts  []AccountUse
	Parts     []PartPlaced
	// Leaving are upstreams that the router knows to drain or to be gone.
	Leaving []UpstreamID
}

// Urgency is that of placements: others place by them.
func (*LoadReport) Urgency() Urgency { return UrgencyNow }

// CoalesceKey is empty: a report holds only what changed, and each counts.
func (*LoadReport) CoalesceKey() string { return "" }
