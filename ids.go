package pomelorelay

import "fmt"

// MaxNameBytes limits the length of the names and IDs that routers send to each other; a message with a longer one is refused as a whole.
const MaxNameBytes = 256

// AccountID is the name of a client account.
type AccountID string

// ServiceID is the name of a service that client accounts call.
type ServiceID string

// ModelID is the name of a model served by model engines; plain services have no model.
type ModelID string

// PoolID identifies a pool of interchangeable upstreams: those of a service, or of a service and model.
type PoolID string

// RouteID is the name of a route in the configuration.
type RouteID string

// UpstreamID is the name of an upstream server.
type UpstreamID string

// UpstreamHash is a 32-bit hash of an UpstreamID, for messages that name many upstreams.
type UpstreamHash uint32

// Hash returns the UpstreamHash of the ID, which is never zero.
func (id UpstreamID) Hash() UpstreamHash {
	return UpstreamHash(max(uint32(FingerprintOf([]byte(id))), 1))
}

// SoftwareVersion is the version of an upstream's software, as the upstream registered it; empty if it registered none. Streams that begin at
// one version cannot continue at another.
type SoftwareVersion string

// NodeID identifies a router by the host name in its settings.
type NodeID string

// DomainID is the name of a failure domain.
type DomainID string

// RegionID is the name of a region, which is a group of failure domains.
type RegionID string

// Incarnation distinguishes successive processes of a router: the start time in Unix nanoseconds, incremented to refute suspicions.
type Incarnation uint64

// Generation is the number of an accepted configuration; a later configuration has a higher number.
type Generation uint64

// RequestID is the number of a caller's request, unique within one router incarnation.
type RequestID uint64

// GrantID is the number of a slot grant, unique within one incarnation of the router that issued the grant.
type GrantID uint64

// ShardID is the number of a ledger shard (part of the service ledger) or claim shard (part of the claims to run non-idempotent requests).
type ShardID uint32

// Fingerprint is a 64-bit hash of a request's account, target and body, which identifies repetitions of the request.
type Fingerprint uint64

// String returns the fingerprint as 16 hexadecimal digits.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// Hash is a SHA-256 digest.
type Hash [32]byte

// Pool returns the id of the pool for a service and model; model is empty for plain services.
func Pool(service ServiceID, model ModelID) PoolID {
	if model == "" {
		return PoolID(service)
	}
	return PoolID(string(service) + "/" + string(model))
}
