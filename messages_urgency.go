package pomelorelay

// Urgency implements Message.
func (*Grant) Urgency() Urgency { return UrgencyHigh }

// CoalesceKey returns an empty key, which disables coalescing.
func (*Grant) CoalesceKey() string { return "" }

// Urgency implements Message.
func (*GrantReply) Urgency() Urgency { return UrgencyHigh }

// CoalesceKey returns an empty key, which disables coalescing.
func (*GrantReply) CoalesceKey() string { return "" }

// Urgency implements Message.
func (*ClaimAsk) Urgency() Urgency { return UrgencyHigh }

// CoalesceKey returns an empty key, which disables coalescing.
func (*ClaimAsk) CoalesceKey() string { return "" }

// Urgency implements Message.
func (*ClaimAnswer) Urgency() Urgency { return UrgencyHigh }

// CoalesceKey returns an empty key, which disables coalescing.
func (*ClaimAnswer) CoalesceKey() string { return "" }

// Urgency implements Message.
func (*ClaimSettle) Urgency() Urgency { return UrgencyHigh }

// CoalesceKey returns an empty key, which disables coalescing.
func (*ClaimSettle) CoalesceKey() string { return "" }

// Urgency implements Message.
func (*ClaimSettled) Urgency() Urgency { return UrgencyHigh }

// CoalesceKey returns an empty key, which disables coalescing.
func (*ClaimSettled) CoalesceKey() string { return "" }

// Urgency implements Message.
func (*SuspectNotice) Urgency() Urgency { return UrgencyHigh }

// CoalesceKey returns an empty key, which disables coalescing.
func (*SuspectNotice) CoalesceKey() string { return "" }

// Urgency implements Message.
func (*SuspectAsk) Urgency() Urgency { return UrgencyHigh }

// CoalesceKey returns an empty key, which disables coalescing.
func (*SuspectAsk) CoalesceKey() string { return "" }

// Urgency implements Message.
func (*SuspectAnswer) Urgency() Urgency { return UrgencyHigh }

// CoalesceKey returns an empty key, which disables coalescing.
func (*SuspectAnswer) CoalesceKey() string { return "" }

// Urgency implements Message.
func (*SuspectCleared) Urgency() Urgency { return UrgencyHigh }

// CoalesceKey returns an empty key, which disables coalescing.
func (*SuspectCleared) CoalesceKey() string { return "" }

// Urgency implements Message.
func (*QuarantineNotice) Urgency() Urgency { return UrgencyHigh }

// CoalesceKey returns an empty key, which disables coalescing.
func (*QuarantineNotice) CoalesceKey() string { return "" }

// Urgency implements Message.
func (*LeavingNotice) Urgency() Urgency { return UrgencyHigh }

// CoalesceKey returns an empty key, which disables coalescing.
func (*LeavingNotice) CoalesceKey() string { return "" }

// Urgency implements Message.
func (*Farewell) Urgency() Urgency { return UrgencyHigh }

// CoalesceKey returns an empty key, which disables coalescing.
func (*Farewell) CoalesceKey() string { return "" }

// Urgency implements Message.
func (*RunningQuery) Urgency() Urgency { return UrgencyHigh }

// CoalesceKey returns an empty key, which disables coalescing.
func (*RunningQuery) CoalesceKey() string { return "" }

// Urgency implements Message.
func (*RunningReport) Urgency() Urgency { return UrgencyHigh }

// CoalesceKey returns a key for the message type and upstream.
func (m *RunningReport) CoalesceKey() string { return "RunningReport/" + string(m.Upstream) }

// Urgency implements Message.
func (*Probe) Urgency() Urgency { return UrgencyHigh }

// CoalesceKey returns an empty key, which disables coalescing.
func (*Probe) CoalesceKey() string { return "" }

// Urgency implements Message.
func (*ProbeAck) Urgency() Urgency { return UrgencyHigh }

// CoalesceKey returns an empty key, which disables coalescing.
func (*ProbeAck) CoalesceKey() string { return "" }

// Urgency implements Message.
func (*Demand) Urgency() Urgency { return UrgencyNormal }

// CoalesceKey returns a key for the message type and upstream.
func (m *Demand) CoalesceKey() string { return "Demand/" + string(m.Upstream) }

// Urgency implements Message.
func (*ConfigPull) Urgency() Urgency { return UrgencyNormal }

// CoalesceKey returns an empty key, which disables coalescing.
func (*ConfigPull) CoalesceKey() string { return "" }

// Urgency implements Message.
func (*ConfigPush) Urgency() Urgency { return UrgencyNormal }

// CoalesceKey returns an empty key, which disables coalescing.
func (*ConfigPush) CoalesceKey() string { return "" }

// Urgency implements Message.
func (*ConfigApplied) Urgency() Urgency { return UrgencyNormal }

// CoalesceKey returns the same key for all messages of this type, so that a later message replaces an earlier one.
func (*ConfigApplied) CoalesceKey() string { return "ConfigApplied" }

// Urgency implements Message.
func (*LedgerQuery) Urgency() Urgency { return UrgencyNormal }

// CoalesceKey returns an empty key, which disables coalescing.
func (*LedgerQuery) CoalesceKey() string { return "" }

// Urgency implements Message.
func (*LedgerComponentQuery) Urgency() Urgency { return UrgencyNormal }

// CoalesceKey returns an empty key, which disables coalescing.
func (*LedgerComponentQuery) CoalesceKey() string { return "" }

// Urgency implements Message.
func (*LedgerReport) Urgency() Urgency { return UrgencyLow }

// CoalesceKey returns an empty key, which disables coalescing.
func (*LedgerReport) CoalesceKey() string { return "" }

// Urgency implements Message.
func (*LedgerTotals) Urgency() Urgency { return UrgencyLow }

// CoalesceKey returns an empty key, which disables coalescing.
func (*LedgerTotals) CoalesceKey() string { return "" }

// Urgency implements Message.
func (*LedgerComponent) Urgency() Urgency { return UrgencyLow }

// CoalesceKey returns an empty key, which disables coalescing.
func (*LedgerComponent) CoalesceKey() string { return "" }

// Urgency implements Message.
func (*Digest) Urgency() Urgency { return UrgencyLow }

// CoalesceKey returns an empty key, which disables coalescing.
func (*Digest) CoalesceKey() string { return "" }
