package pomelorelay

// AccountID names a client account.
type AccountID string

// ServiceID names a service that client accounts call.
type ServiceID string

// ModelID names a model that a model engine serves; plain services have none.
type ModelID string

// PoolID names the upstreams that can do the same work: a service, or a service and a model.
type PoolID string

// RouteID names a route of the configuration.
type RouteID string

// UpstreamID names one upstream server.
type UpstreamID string

// NodeID names one router by the host name that its settings give.
type NodeID string

// DomainID names a failure domain.
type DomainID string

// RegionID names a region, a group of failure domains.
type RegionID string

// Incarnation tells one start of a router from the next: Unix nanoseconds at the start, raised to refute a suspicion.
type Incarnation uint64

// Generation numbers accepted configurations; it only rises.
type Generation uint64

// RequestID numbers a caller's request within one router incarnation.
type RequestID uint64

// GrantID numbers a grant within one slot owner's incarnation.
type GrantID uint64

// ShardID numbers a shard of the ledger or of the claims.
type ShardID uint32

// Fingerprint identifies a request's content: a 64-bit hash of account, service and body.
type Fingerprint uint64

// Hash is a SHA-256 digest of content.
type Hash [32]byte

// Pool returns the pool of a service and, when it is not empty, a model.
func Pool(service ServiceID, model ModelID) PoolID {
	if model == "" {
		return PoolID(service)
	}
	return PoolID(string(service) + "/" + string(model))
}
