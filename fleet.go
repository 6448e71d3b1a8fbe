package pomelorelay

import (
	"context"
	"net/netip"
	"time"
)

// RouteKind tells what may be repeated on a route.
type RouteKind string

// The kinds of route.
const (
	// RouteIdempotent requests may run more than once.
	RouteIdempotent RouteKind = "Idempotent"
	// RouteOnce requests run at most once.
	RouteOnce RouteKind = "Once"
	// RouteStream requests are answered by events; they run at most once unless the route is resumable.
	RouteStream RouteKind = "Stream"
)

// RouteShare gives a part of a route's requests to a service.
type RouteShare struct {
	Service ServiceID
	Weight  float64
}

// Route leads requests of a host name and path prefix to services.
type Route struct {
	Name   RouteID
	Host   string
	Prefix string
	Kind   RouteKind
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// TargetLatency is the time to the answer, or to a stream's first event, that callers expect.
	TargetLatency time.Duration
	// MaxEventGap is the longest pause between events that callers expect; zero where nothing is said.
	MaxEventGap time.Duration
	// Priority is the rank, 0 the highest.
	Priority int
	Shares   []RouteShare
	// MaxAttempts bounds the upstreams that one request is sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may be taken up at another upstream after their last event.
	Resumable bool
	// HasPromptParts tells that requests name the parts of their prompts.
	HasPromptParts bool
	// Regions are those in which the route's requests may be served; all are when it is empty.
	Regions []RegionID
}

// EngineSpec is what the configuration says of a service's model engines.
type EngineSpec struct {
	// Slots is the number of requests that an engine runs at once.
	Slots Slots
	// KVCapacity is the number of tokens that running requests and kept prompts share.
	KVCapacity Tokens
	// TokensPerEvent is the number of generated tokens in one event.
	TokensPerEvent Tokens
}

// ServiceSpec is a service as the platform's configuration has it.
type ServiceSpec struct {
	Name ServiceID
	// MaxConns bounds the connections of all callers to one upstream; zero means no bound.
	MaxConns int
	// ColdPeriod is how long an upstream is cold after a start; zero where upstreams are not.
	ColdPeriod time.Duration
	// ColdRate is the number of requests a second that a cold upstream accepts.
	ColdRate float64
	// Engine is nil for plain services.
	Engine *EngineSpec
}

// AccountSpec is a client account and the keys that its callers use.
type AccountSpec struct {
	Name AccountID
	Keys []string
	// Priority goes before the routes' where it is set.
	Priority *int
	// Regions are those in which the account's requests may be served; all are when it is empty.
	Regions []RegionID
}

// CallerLimits bound what callers may send.
type CallerLimits struct {
	HeaderBytes   Bytes
	BodyBytes     Bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	// TokensPerSecond is about what all engines together produce, each read token once and each generated one twice; zero when unknown.
	TokensPerSecond Cost
}

// FleetConfig is one version of the operators' configuration, immutable once made.
type FleetConfig struct {
	Version  Generation
	Routes   []Route
	Services []ServiceSpec
	Accounts []AccountSpec
	Limits   CallerLimits
	// Document is the configuration as it was published, for routers that cannot reach the store.
	Document []byte
}

// ColdUnknown stands for an upstream that does not say whether it is cold.
const ColdUnknown time.Duration = -1

// ColdBounds bound what the whole fleet sends to a cold upstream in any second: the ratio of the rate that it accepts, and a slack.
type ColdBounds struct {
	Ratio float64
	Slack float64
}

// MaxRequests returns the most requests in any second to a cold upstream that accepts the rate.
func (b ColdBounds) MaxRequests(rate float64) float64 {
	return rate*max(b.Ratio, 1) + max(b.Slack, 0)
}

// FleetUpstream is an upstream as it registered itself.
type FleetUpstream struct {
	ID      UpstreamID
	Service ServiceID
	Addr    netip.AddrPort
	Domain  DomainID
	Slots   Slots
	// Draining upstreams get nothing new.
	Draining bool
	// ColdRemaining is how much longer it says that it is cold; ColdUnknown when it does not say.
	ColdRemaining time.Duration
	// StartUnixMilli is when this incarnation started, Unix milliseconds; zero when it does not say.
	StartUnixMilli int64
}

// FleetChange is what the platform's store holds for routers, or what changed in it.
type FleetChange struct {
	// Revision is the store's revision up to which the change holds.
	Revision Revision
	// Full tells that the lists are complete, so that what they lack is gone.
	Full bool
	// Config is the operators' configuration; nil when it did not change.
	Config *FleetConfig
	// ConfigError tells why the newest configuration cannot be used; Config is nil then.
	ConfigError   error
	Upstreams     []FleetUpstream
	RemovedUpstreams []UpstreamID
	Peers         []Peer
	RemovedPeers     []NodeID
	// Evacuated are failure domains whose upstreams get nothing new, Restored those of which the operators took that back.
	Evacuated []DomainID
	Restored  []DomainID
	// EntryErrors tell of upstreams' entries that cannot be read; their ids are among GoneUpstreams.
	EntryErrors []error
}

// Platform is what a router learns from the platform around it. All calls fail with the store's codes.
type Platform interface {
	// Read returns everything. A stale read may lag by seconds; it costs the store a tenth of another.
	Read(ctx context.Context, stale bool) (FleetChange, error)
	// Watch returns what changed after a revision as soon as something did, or an empty change after the wait. It fails with
	// CodeStoreCompacted when the store has dropped the history since the revision.
	Watch(ctx context.Context, after Revision, wait time.Duration) (FleetChange, error)
	// ParseConfig reads a configuration's document that a peer gave.
	ParseConfig(document []byte) (*FleetConfig, error)
	// Register registers this router under a lease of the time to live.
	Register(ctx context.Context, self Peer, ttl time.Duration) (LeaseID, error)
	// RenewLease renews the lease; it fails with CodeStoreLeaseLapsed when it has ended.
	RenewLease(ctx context.Context, lease LeaseID) error
	// CloseLease ends the lease and with it the registration.
	CloseLease(ctx context.Context, lease LeaseID) error
}
