package pomelorelay

import "time"

// StreamOrigin reports at which version of the upstreams' software a resumable stream began.
type StreamOrigin struct {
	// Stream is the fingerprint of the RequestID of the caller's attempt that received the first event.
	Stream  Fingerprint
	Version SoftwareVersion
	// TimeLeft is the time within which the caller may resume the stream.
	TimeLeft time.Duration
}

// VersionLeft reports a software version of a service that has no upstream any more.
type VersionLeft struct {
	Service ServiceID
	Version SoftwareVersion
	// Ago is the time since its last upstream was removed.
	Ago time.Duration
}

// StreamState tells a router that has started what another one knows of streams that began earlier.
type StreamState struct {
	Streams []StreamOrigin
	// Left are the versions of which upstreams were removed lately.
	Left []VersionLeft
	// KnownFor is the time for which the sender has known all streams and versions; zero if more StreamStates follow.
	KnownFor time.Duration
}

// Urgency implements Message; callers resume streams at a router as soon as it is ready.
func (*StreamState) Urgency() Urgency { return UrgencyHigh }

// CoalesceKey returns an empty key: a state may have several parts, so none may be replaced.
func (*StreamState) CoalesceKey() string { return "" }
