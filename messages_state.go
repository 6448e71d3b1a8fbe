package pomelorelay

// StateAsk asks a router for what it has from the platform's store: the asker cannot reach the store, or missed an update.
type StateAsk struct {
	// Above is the configuration that the asker has; it wants newer ones only.
	Above Generation
	// Upstreams tells that it wants the registered upstreams too.
	Upstreams bool
}

// Urgency is that of configurations.
func (*StateAsk) Urgency() Urgency { return UrgencyNormal }

// CoalesceKey names the kind: a later ask replaces an earlier one.
func (*StateAsk) CoalesceKey() string { return "StateAsk" }

// FleetState is what a router knows of the fleet from the platform's store; what was not asked for is left out.
type FleetState struct {
	// Document is the configuration as it was published.
	Document []byte
	// Revision is the store's revision at which Upstreams were registered; zero when they and Evacuated are left out.
	Revision        Revision
	Upstreams []FleetUpstream
	Peers     []Peer
	// Evacuated are the failure domains that were under evacuation at At.
	Evacuated []DomainID
}

// Urgency is that of configurations.
func (*FleetState) Urgency() Urgency { return UrgencyNormal }

// CoalesceKey names the kind: a later state replaces an earlier one.
func (*FleetState) CoalesceKey() string { return "FleetState" }
