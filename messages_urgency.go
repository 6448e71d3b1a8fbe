package pomelorelay

// Urgency returns UrgencyNow.
func (*Grant) Urgency() Urgency { return UrgencyHigh }

// CoalesceKey returns the empty key: no later message may replace this one.
func (*Grant) CoalesceKey() string { return "" }

// Urgency returns UrgencyNow.
func (*GrantReply) Urgency() Urgency { return UrgencyHigh }

// CoalesceKey returns the empty key: no later message may replace this one.
func (*GrantReply) CoalesceKey() string { return "" }

// Urgency returns UrgencyNow.
func (*ClaimAsk) Urgency() Urgency { return UrgencyHigh }

// CoalesceKey returns the empty key: no later message may replace this one.
func (*ClaimAsk) CoalesceKey() string { return "" }

// Urgency returns UrgencyNow.
func (*ClaimAnswer) Urgency() Urgency { return UrgencyHigh }

// CoalesceKey returns the empty key: no later message may replace this one.
func (*ClaimAnswer) CoalesceKey() string { return "" }

// Urgency returns UrgencyNow.
func (*ClaimSettle) Urgency() Urgency { return UrgencyHigh }

// CoalesceKey returns the empty key: no later message may replace this one.
func (*ClaimSettle) CoalesceKey() string { return "" }

// Urgency returns UrgencyNow.
func (*ClaimSettled) Urgency() Urgency { return UrgencyHigh }

// CoalesceKey returns the empty key: no later message may replace this one.
func (*ClaimSettled) CoalesceKey() string { return "" }

// Urgency returns UrgencyNow.
func (*SuspectNotice) Urgency() Urgency { return UrgencyHigh }

// CoalesceKey returns the empty key: no later message may replace this one.
func (*SuspectNotice) CoalesceKey() string { return "" }

// Urgency returns UrgencyNow.
func (*SuspectAsk) Urgency() Urgency { return UrgencyHigh }

// CoalesceKey returns the empty key: no later message may replace this one.
func (*SuspectAsk) CoalesceKey() string { return "" }

// Urgency returns UrgencyNow.
func (*SuspectAnswer) Urgency() Urgency { return UrgencyHigh }

// CoalesceKey returns the empty key: no later message may replace this one.
func (*SuspectAnswer) CoalesceKey() string { return "" }

// Urgency returns UrgencyNow.
func (*SuspectCleared) Urgency() Urgency { return UrgencyHigh }

// CoalesceKey returns the empty key: no later message may replace this one.
func (*SuspectCleared) CoalesceKey() string { return "" }

// Urgency returns UrgencyNow.
func (*QuarantineNotice) Urgency() Urgency { return UrgencyHigh }

// CoalesceKey returns the empty key: no later message may replace this one.
func (*QuarantineNotice) CoalesceKey() string { return "" }

// Urgency returns UrgencyNow.
func (*LeavingNotice) Urgency() Urgency { return UrgencyHigh }

// CoalesceKey returns the empty key: no later message may replace this one.
func (*LeavingNotice) CoalesceKey() string { return "" }

// Urgency returns UrgencyNow.
func (*Farewell) Urgency() Urgency { return UrgencyHigh }

// CoalesceKey returns the empty key: no later message may replace this one.
func (*Farewell) CoalesceKey() string { return "" }

// Urgency returns UrgencyNow.
func (*RunningQuery) Urgency() Urgency { return UrgencyHigh }

// CoalesceKey returns the empty key: no later message may replace this one.
func (*RunningQuery) CoalesceKey() string { return "" }

// Urgency returns UrgencyNow.
func (*RunningReport) Urgency() Urgency { return UrgencyHigh }

// CoalesceKey returns a key of the message's kind and subject.
func (m *RunningReport) CoalesceKey() string { return "RunningReport/" + string(m.Upstream) }

// Urgency returns UrgencyNow.
func (*Probe) Urgency() Urgency { return UrgencyHigh }

// CoalesceKey returns the empty key: no later message may replace this one.
func (*Probe) CoalesceKey() string { return "" }

// Urgency returns UrgencyNow.
func (*ProbeAck) Urgency() Urgency { return UrgencyHigh }

// CoalesceKey returns the empty key: no later message may replace this one.
func (*ProbeAck) CoalesceKey() string { return "" }

// Urgency returns UrgencySoon.
func (*Demand) Urgency() Urgency { return UrgencyNormal }

// CoalesceKey returns a key of the message's kind and subject.
func (m *Demand) CoalesceKey() string { return "Demand/" + string(m.Upstream) }

// Urgency returns UrgencySoon.
func (*ConfigPull) Urgency() Urgency { return UrgencyNormal }

// CoalesceKey returns the empty key: no later message may replace this one.
func (*ConfigPull) CoalesceKey() string { return "" }

// Urgency returns UrgencySoon.
func (*ConfigPush) Urgency() Urgency { return UrgencyNormal }

// CoalesceKey returns the empty key: no later message may replace this one.
func (*ConfigPush) CoalesceKey() string { return "" }

// Urgency returns UrgencySoon.
func (*ConfigApplied) Urgency() Urgency { return UrgencyNormal }

// CoalesceKey returns a key of the message's kind and subject.
func (*ConfigApplied) CoalesceKey() string { return "ConfigApplied" }

// Urgency returns UrgencySoon.
func (*LedgerQuery) Urgency() Urgency { return UrgencyNormal }

// CoalesceKey returns the empty key: no later message may replace this one.
func (*LedgerQuery) CoalesceKey() string { return "" }

// Urgency returns UrgencySoon.
func (*LedgerComponentQuery) Urgency() Urgency { return UrgencyNormal }

// CoalesceKey returns the empty key: no later message may replace this one.
func (*LedgerComponentQuery) CoalesceKey() string { return "" }

// Urgency returns UrgencyLater.
func (*LedgerReport) Urgency() Urgency { return UrgencyLow }

// CoalesceKey returns the empty key: no later message may replace this one.
func (*LedgerReport) CoalesceKey() string { return "" }

// Urgency returns UrgencyLater.
func (*LedgerTotals) Urgency() Urgency { return UrgencyLow }

// CoalesceKey returns the empty key: no later message may replace this one.
func (*LedgerTotals) CoalesceKey() string { return "" }

// Urgency returns UrgencyLater.
func (*LedgerComponent) Urgency() Urgency { return UrgencyLow }

// CoalesceKey returns the empty key: no later message may replace this one.
func (*LedgerComponent) CoalesceKey() string { return "" }

// Urgency returns UrgencyLater.
func (*Digest) Urgency() Urgency { return UrgencyLow }

// CoalesceKey returns the empty key: no later message may replace this one.
func (*Digest) CoalesceKey() string { return "" }
