package pomelorelay

import (
	"context"
	"net/netip"
	"time"
)

// RouteKind states whether the requests of a route may be repeated and whether their responses are streams.
type RouteKind string

// Values of RouteKind.
const (
	// RouteIdempotent requests may run more than once.
	RouteIdempotent RouteKind = "Idempotent"
	// RouteOnce requests run at most once.
	RouteOnce RouteKind = "Once"
	// RouteStream requests are answered with an event stream; such a request runs at most once unless the route is resumable.
	RouteStream RouteKind = "Stream"
)

// RouteShare assigns a weighted share of a route's requests to a service.
type RouteShare struct {
	Service ServiceID
	Weight  float64
}

// Route directs the requests for a host name and path prefix to one or more services.
type Route struct {
	Name   RouteID
	Host   string
	Prefix string
	Kind   RouteKind
	// Timeout bounds the time for which a caller waits.
	Timeout time.Duration
	// TargetLatency is the latency that callers expect: the time to the response or, for a stream, to its first event.
	TargetLatency time.Duration
	// MaxEventGap is the longest gap between events that callers expect; zero when unspecified.
	MaxEventGap time.Duration
	// Priority is the rank of the route's requests; 0 is the highest.
	Priority int
	Shares   []RouteShare
	// MaxAttempts is the maximum number of upstreams that one request is sent to.
	MaxAttempts int
	// Public routes accept requests without an API key.
	Public bool
	// Resumable streams may continue at another upstream after the last event delivered.
	Resumable bool
	// HasPromptParts states that requests list the hashed parts of their prompts, for prefix caching.
	HasPromptParts bool
	// Regions are the regions in which the route's requests may be served; empty allows all regions.
	Regions []RegionID
}

// EngineSpec is the configuration of a service's model engines.
type EngineSpec struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots Slots
	// KVCapacity is the capacity of an engine's KV cache, which running requests and cached prompts share.
	KVCapacity Tokens
	// TokensPerEvent is the number of generated tokens in one stream event.
	TokensPerEvent Tokens
}

// ServiceSpec is the configuration of a service.
type ServiceSpec struct {
	Name ServiceID
	// MaxConns is the maximum number of connections to one upstream for all callers together; zero means unlimited.
	MaxConns int
	// ColdPeriod is the time after the start of an upstream for which the upstream is cold, that is, accepts only ColdRate; zero if
	// upstreams are never cold.
	ColdPeriod time.Duration
	// ColdRate is the number of requests per second that a cold upstream accepts.
	ColdRate float64
	// Engine is nil for plain services.
	Engine *EngineSpec
}

// AccountSpec is the configuration of a client account, with the API keys that its callers use.
type AccountSpec struct {
	Name AccountID
	Keys []string
	// Priority, if set, overrides the priority of routes.
	Priority *int
	// Regions are the regions in which the account's requests may be served; empty allows all regions.
	Regions []RegionID
}

// CallerLimits holds the limits on callers' connections and requests, and the capacity of the engines.
type CallerLimits struct {
	HeaderBytes   Bytes
	BodyBytes     Bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	// TokensPerSecond is the approximate throughput of all engines together, in tokens read plus twice the tokens generated; zero when
	// unknown.
	TokensPerSecond Cost
}

// FleetConfig is one version of the operators' configuration; it is immutable.
type FleetConfig struct {
	Version  Generation
	Routes   []Route
	Services []ServiceSpec
	Accounts []AccountSpec
	Limits   CallerLimits
	// Document is the published form of the configuration, which is passed on to routers that cannot reach the store.
	Document []byte
}

// ColdUnknown is the remaining cold time of an upstream that does not report whether it is cold (recently started and limited in rate).
const ColdUnknown time.Duration = -1

// ColdBounds limits the number of requests that the fleet sends in any second to a cold (recently started) upstream. The limit is Ratio
// times the rate that the upstream accepts, plus Slack.
type ColdBounds struct {
	Ratio float64
	Slack float64
}

// MaxRequests returns the maximum number of requests in any second to a cold upstream that accepts rate requests per second.
func (b ColdBounds) MaxRequests(rate float64) float64 {
	return rate*max(b.Ratio, 1) + max(b.Slack, 0)
}

// FleetUpstream is an upstream as registered in the platform's store.
type FleetUpstream struct {
	ID      UpstreamID
	Service ServiceID
	Addr    netip.AddrPort
	Domain  DomainID
	Slots   Slots
	// Version is the version of the upstream's software.
	Version SoftwareVersion
	// Draining upstreams get no new requests.
	Draining bool
	// ColdRemaining is the time for which the upstream will remain cold, as reported by the upstream; ColdUnknown if it reports none.
	ColdRemaining time.Duration
	// StartUnixMilli is the start time of the upstream's process in Unix milliseconds; zero if the upstream does not report it.
	StartUnixMilli int64
}

// Process returns the upstream's process.
func (u *FleetUpstream) Process() UpstreamProcess { return UpstreamProcess{u.ID, u.StartUnixMilli} }

// FleetChange holds the configuration, upstreams, routers and evacuated domains in the platform's store, or the changes to them.
type FleetChange struct {
	// Revision is the store revision that the change leads to.
	Revision Revision
	// Full states that the lists are complete: entries missing from them have been removed.
	Full bool
	// Config is the operators' configuration; nil if unchanged.
	Config *FleetConfig
	// ConfigError is the error that makes the newest configuration unusable; Config is nil then.
	ConfigError      error
	Upstreams        []FleetUpstream
	RemovedUpstreams []UpstreamID
	Peers            []Peer
	RemovedPeers     []NodeID
	// Evacuated are failure domains whose upstreams get no new requests; RestoredDomains are those whose evacuation has ended.
	Evacuated       []DomainID
	RestoredDomains []DomainID
	// Crashes are upstream crashes that routers have recorded in the store.
	Crashes []RequestCrash
	// VersionsPassed are the versions of upstreams whose entries were written and replaced or deleted within the change.
	VersionsPassed []VersionSeen
	// EntryErrors holds an error for each entry that cannot be used; upstreams and routers among them are also in RemovedUpstreams and RemovedPeers.
	EntryErrors []EntryError
	// ValidEntries are the keys of the entries that can be used or were deleted; empty if Full is set.
	ValidEntries []string
}

// EntryError is an entry of the platform's store that cannot be used.
type EntryError struct {
	Key string
	Err error
}

// Platform gives a router access to the platform's store; its errors have the result codes of the store.
type Platform interface {
	// Read returns the complete fleet state. A stale read may be seconds out of date and costs the store a tenth of a current one.
	Read(ctx context.Context, stale bool) (FleetChange, error)
	// Watch blocks until the fleet state has changed since the revision and returns the change; once wait has passed, it returns an empty
	// change. It fails with CodeStoreCompacted if the store has compacted the history since the revision.
	Watch(ctx context.Context, after Revision, wait time.Duration) (FleetChange, error)
	// ParseConfig decodes a configuration document received from a peer.
	ParseConfig(document []byte) (*FleetConfig, error)
	// Register registers this router under a new lease that expires after ttl unless renewed.
	Register(ctx context.Context, self Peer, ttl time.Duration) (LeaseID, error)
	// RenewLease renews the lease; it fails with CodeStoreLeaseLapsed if the lease has expired.
	RenewLease(ctx context.Context, lease LeaseID) error
	// OpenLease opens a lease that expires after ttl unless renewed.
	OpenLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RecordCrashes replaces the crashes that a process of a router has recorded, under the lease.
	RecordCrashes(ctx context.Context, node NodeID, incarnation Incarnation, crashes []RequestCrash, lease LeaseID) error
	// CloseLease revokes the lease, which removes what was written under it.
	CloseLease(ctx context.Context, lease LeaseID) error
}
