package pomeloplace

import "github.com/pomelorelay/pomelorelay"

// Mechanisms selects placement mechanisms to disable, so that the effect of each can be measured.
type Mechanisms struct {
	// SharedSpeeds disables the use of other routers' times to first token.
	SharedSpeeds bool
	// SlowEngines disables the detection of engines that become slower than the others.
	SlowEngines bool
	// PauseCost disables the cost of long prefills on engines with running streams.
	PauseCost bool
	// LongEngines disables the assignment of separate engines to long prompts.
	LongEngines bool
	// PrefixAffinity disables the preference for engines by a hash of the shared prompt parts.
	PrefixAffinity bool
	// Copies disables copying the KV cache of shared prompt parts between engines.
	Copies bool
	// RemoteCacheUse disables counting other routers' prompts towards an engine's cache memory.
	RemoteCacheUse bool
	// WaitCost disables the cost of waiting.
	WaitCost bool
	// RegionCost disables the cost of traffic to other regions.
	RegionCost bool
	// FailureCost disables the cost of upstreams that fail requests.
	FailureCost bool
	// UpstreamBackoff disables the backoff for unreachable upstreams.
	UpstreamBackoff bool
	// DomainBackoff disables the backoff for a whole failure domain after connections to several of its upstreams hang.
	DomainBackoff bool
	// UnreportedRouterLoad disables the assumption that routers without a load report send as much as this one.
	UnreportedRouterLoad bool
	// SlotReserve disables the slots reserved for requests within their account's share.
	SlotReserve bool
	// MeasuredReserve disables the measured slot reserve of small engines, which then have the fixed one.
	MeasuredReserve bool
	// SlotTime disables the learnt time until a slot of a small engine becomes free.
	SlotTime bool
	// OverShareQueue disables the shorter queue limit for requests beyond their account's share.
	OverShareQueue bool
	// AheadLimits disables the limits of accounts beyond their share for the sake of accounts that get less than they request.
	AheadLimits bool
	// SharedTarget disables the use of the shortest latency target of a service's routes as the base of its queue limit.
	SharedTarget bool
	// RecomputeLimit disables the refusal of over-share requests whose shared prompt parts would be prefilled a second time.
	RecomputeLimit bool
	// Feedback disables the use of the load that upstreams announce.
	Feedback bool
}

// mechanisms lists the name that ParseMechanisms accepts for each field of Mechanisms, in declaration order.
var mechanisms = []struct {
	name  string
	field func(m *Mechanisms) *bool
}{
	{"SharedSpeeds", func(m *Mechanisms) *bool { return &m.SharedSpeeds }},
	{"SlowEngines", func(m *Mechanisms) *bool { return &m.SlowEngines }},
	{"Pauses", func(m *Mechanisms) *bool { return &m.PauseCost }},
	{"LongEngines", func(m *Mechanisms) *bool { return &m.LongEngines }},
	{"Homes", func(m *Mechanisms) *bool { return &m.PrefixAffinity }},
	{"Copies", func(m *Mechanisms) *bool { return &m.Copies }},
	{"OthersMemory", func(m *Mechanisms) *bool { return &m.RemoteCacheUse }},
	{"Waits", func(m *Mechanisms) *bool { return &m.WaitCost }},
	{"Regions", func(m *Mechanisms) *bool { return &m.RegionCost }},
	{"Failures", func(m *Mechanisms) *bool { return &m.FailureCost }},
	{"Rests", func(m *Mechanisms) *bool { return &m.UpstreamBackoff }},
	{"DomainRests", func(m *Mechanisms) *bool { return &m.DomainBackoff }},
	{"Unreported", func(m *Mechanisms) *bool { return &m.UnreportedRouterLoad }},
	{"SlotReserve", func(m *Mechanisms) *bool { return &m.SlotReserve }},
	{"MeasuredReserve", func(m *Mechanisms) *bool { return &m.MeasuredReserve }},
	{"SlotTime", func(m *Mechanisms) *bool { return &m.SlotTime }},
	{"FreeQueue", func(m *Mechanisms) *bool { return &m.OverShareQueue }},
	{"Ahead", func(m *Mechanisms) *bool { return &m.AheadLimits }},
	{"SharedTarget", func(m *Mechanisms) *bool { return &m.SharedTarget }},
	{"ReadAgain", func(m *Mechanisms) *bool { return &m.RecomputeLimit }},
	{"Feedback", func(m *Mechanisms) *bool { return &m.Feedback }},
}

// MechanismNames returns the names accepted by ParseMechanisms.
func MechanismNames() []string {
	names := make([]string, 0, len(mechanisms))
	for _, m := range mechanisms {
		names = append(names, m.name)
	}
	return names
}

// ParseMechanisms returns the mechanisms with the given names set; an unknown name yields CodeSettingsInvalid.
func ParseMechanisms(names []string) (Mechanisms, error) {
	var disabled Mechanisms
	for _, name := range names {
		if !disabled.disable(name) {
			return disabled, pomelorelay.NewError(pomelorelay.CodeSettingsInvalid, "unknown placement mechanism "+name, nil)
		}
	}
	return disabled, nil
}

func (m *Mechanisms) disable(name string) bool {
	for _, known := range mechanisms {
		if known.name == name {
			*known.field(m) = true
			return true
		}
	}
	return false
}
