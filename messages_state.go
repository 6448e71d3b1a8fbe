package pomelorelay

// StateAsk asks a router for its copy of the configuration, upstreams and routers in the platform's store. It is sent by a router that
// cannot reach the store or that missed an update.
type StateAsk struct {
	// Above is the generation of the sender's configuration; only a newer configuration is requested.
	Above Generation
	// Upstreams states that the registered upstreams are requested too.
	Upstreams bool
	// Streams states that the origins of streams are requested too, in StreamStates.
	Streams bool
}

// Urgency implements Message; it equals that of configuration messages.
func (*StateAsk) Urgency() Urgency { return UrgencyNormal }

// CoalesceKey returns the same key for all queries, so that a later query replaces an earlier one.
func (*StateAsk) CoalesceKey() string { return "StateAsk" }

// FleetState answers a StateAsk with a router's copy of the configuration, upstreams, routers, evacuated domains and crashes in the
// platform's store; what was not requested is omitted.
type FleetState struct {
	// Document is the published form of the configuration.
	Document []byte
	// Revision is the store revision of Upstreams and Evacuated; zero if they are omitted.
	Revision  Revision
	Upstreams []FleetUpstream
	Peers     []Peer
	// Evacuated are the failure domains under evacuation at that revision.
	Evacuated []DomainID
	// Crashes are the upstream crashes that the router knows of.
	Crashes []RequestCrash
}

// Urgency implements Message; it equals that of configuration messages.
func (*FleetState) Urgency() Urgency { return UrgencyNormal }

// CoalesceKey returns the same key for all answers, so that a later answer replaces an earlier one.
func (*FleetState) CoalesceKey() string { return "FleetState" }
