package pomelorelay

import "time"

// StreamOrigin reports at which version of the upstreams' software a resumable stream began.
type StreamOrigin struct {
	// Stream is the fingerprint of the RequestID of the caller's attempt that received the first event.
	Stream  Fingerprint
	Version SoftwareVersion
	// Upstream identifies the upstream that sent the first event. It is zero if the router has confirmed that upstream's version, and in reports of earlier
	// builds.
	Upstream UpstreamHash
	// TimeLeft is the time within which the caller may resume the stream.
	TimeLeft time.Duration
}

// VersionSeen reports a software version of a service that has, or had until lately, upstreams.
type VersionSeen struct {
	Service ServiceID
	Version SoftwareVersion
	// Ago is the time since it last had one.
	Ago time.Duration
}

// StreamState tells a router that has started what another one knows of streams that began earlier.
type StreamState struct {
	Streams []StreamOrigin
	// Versions are the versions that have upstreams, and those of which upstreams were removed lately.
	Versions []VersionSeen
	// KnownFor is the time for which the sender has known all streams and versions; zero if more StreamStates follow, or while that is not certain.
	KnownFor time.Duration
	// Revision is the store revision up to which the sender knows all versions.
	Revision Revision
}

// Urgency implements Message; callers resume streams at a router as soon as it is ready.
func (*StreamState) Urgency() Urgency { return UrgencyHigh }

// CoalesceKey returns an empty key: a state may have several parts, so none may be replaced.
func (*StreamState) CoalesceKey() string { return "" }
