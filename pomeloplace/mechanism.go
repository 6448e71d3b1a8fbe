package pomeloplace

import "github.com/pomelorelay/pomelorelay"

// Mechanisms are the parts of the decisions that can be switched off one by one, to find out what each is worth.
type Mechanisms struct {
	// SharedSpeeds are the times to first tokens that other routers saw.
	SharedSpeeds bool
	// SlowEngines is that an engine which turns slow is told apart from the others.
	SlowEngines bool
	// Pauses is the cost of reading for long beside streams.
	Pauses bool
	// LongEngines is that long prompts have engines of their own.
	LongEngines bool
	// Homes is the order of the engines that a hash gives a prompt's shared parts.
	Homes bool
	// Copies is that shared parts are copied from an engine that keeps them.
	Copies bool
	// OthersMemory is that what other routers sent takes room in an engine's memory.
	OthersMemory bool
	// Waits is the cost of waiting.
	Waits bool
	// Regions is the cost of bytes to other regions.
	Regions bool
	// Failures is the cost of upstreams that fail requests.
	Failures bool
	// Rests is that upstreams which take no connection are left alone for a while.
	Rests bool
	// DomainRests is that all upstreams of a failure domain are left alone where several hang.
	DomainRests bool
	// Unreported is that routers without a report yet count as sending as much as this one.
	Unreported bool
	// SlotReserve is that slots are kept free of requests beyond shares.
	SlotReserve bool
	// FreeQueue is that requests beyond shares may join shorter queues only.
	FreeQueue bool
	// Ahead is that accounts which are ahead of one that is short get less.
	Ahead bool
	// SharedTarget is that queues are bounded by the shortest target of a service's routes.
	SharedTarget bool
	// ReadAgain is that requests beyond shares are refused rather than their shared parts read again.
	ReadAgain bool
}

// mechanisms are the fields by name, in the order of Mechanisms.
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

// MechanismNames returns the names by which mechanisms are switched off.
func MechanismNames() []string {
	names := make([]string, 0, len(mechanisms))
	for _, m := range mechanisms {
		names = append(names, m.name)
	}
	return names
}

// ParseMechanisms returns the mechanisms of the names; it fails with CodeSettingsInvalid.
func ParseMechanisms(names []string) (Mechanisms, error) {
	var disabled Mechanisms
	for _, name := range names {
		if !disabled.disable(name) {
			return disabled, pomelorelay.NewError(pomelorelay.CodeSettingsInvalid, "no mechanism is called "+name, nil)
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
