package pomeloplace

import "github.com/pomelorelay/pomelorelay"

// Mechanisms selects placement mechanisms to disable, so that the effect of each can be measured.
type Mechanisms struct {
	// SharedSpeeds disables the use of other routers' times to first token.
	SharedSpeeds bool
	// SlowEngines disables the detection of engines that become slower than the others.
	SlowEngines bool
	// Pauses disables the cost of long prefills on engines with running streams.
	Pauses bool
	// LongEngines disables the assignment of separate engines to long prompts.
	LongEngines bool
	// Homes disables the preference for engines by a hash of the shared prompt parts.
	Homes bool
	// Copies disables copying the KV cache of shared prompt parts between engines.
	Copies bool
	// OthersMemory disables counting other routers' prompts towards an engine's cache memory.
	OthersMemory bool
	// Waits disables the cost of waiting.
	Waits bool
	// Regions disables the cost of traffic to other regions.
	Regions bool
	// Failures disables the cost of upstreams that fail requests.
	Failures bool
	// Rests disables the backoff for unreachable upstreams.
	Rests bool
	// DomainRests disables the backoff for a whole failure domain after connections to several of its upstreams hang.
	DomainRests bool
	// Unreported disables the assumption that routers without a load report send as much as this one.
	Unreported bool
	// SlotReserve disables the slots reserved for requests within their account's share.
	SlotReserve bool
	// FreeQueue disables the shorter queue limit for requests beyond their account's share.
	FreeQueue bool
	// Ahead disables the stricter limits for accounts with high usage while another account is below its share.
	Ahead bool
	// SharedTarget disables the use of the shortest target of a service's routes as the base of its queue limit.
	SharedTarget bool
	// ReadAgain disables the refusal of over-share requests whose shared prompt parts would be prefilled a second time.
	ReadAgain bool
}

// mechanisms lists the fields of Mechanisms by name, in declaration order.
var mechanisms = []struct {
	name  string
	field func(m *Mechanisms) *bool
}{
	{"SharedSpeeds", func(m *Mechanisms) *bool { return &m.SharedSpeeds }},
	{"SlowEngines", func(m *Mechanisms) *bool { return &m.SlowEngines }},
	{"Pauses", func(m *Mechanisms) *bool { return &m.Pauses }},
	{"LongEngines", func(m *Mechanisms) *bool { return &m.LongEngines }},
	{"Homes", func(m *Mechanisms) *bool { return &m.Homes }},
	{"Copies", func(m *Mechanisms) *bool { return &m.Copies }},
	{"OthersMemory", func(m *Mechanisms) *bool { return &m.OthersMemory }},
	{"Waits", func(m *Mechanisms) *bool { return &m.Waits }},
	{"Regions", func(m *Mechanisms) *bool { return &m.Regions }},
	{"Failures", func(m *Mechanisms) *bool { return &m.Failures }},
	{"Rests", func(m *Mechanisms) *bool { return &m.Rests }},
	{"DomainRests", func(m *Mechanisms) *bool { return &m.DomainRests }},
	{"Unreported", func(m *Mechanisms) *bool { return &m.Unreported }},
	{"SlotReserve", func(m *Mechanisms) *bool { return &m.SlotReserve }},
	{"FreeQueue", func(m *Mechanisms) *bool { return &m.FreeQueue }},
	{"Ahead", func(m *Mechanisms) *bool { return &m.Ahead }},
	{"SharedTarget", func(m *Mechanisms) *bool { return &m.SharedTarget }},
	{"ReadAgain", func(m *Mechanisms) *bool { return &m.ReadAgain }},
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
