package pomelorelay

import (
	"context"
	"net/netip"
	"time"
)

// StoreKey is the key of a record in the platform's key-value store.
type StoreKey string

// Revision is the version number of a record or of the store; zero means that the record does not exist.
type Revision uint64

// LeaseID identifies a lease in the platform's key-value store; zero means no lease.
type LeaseID uint64

// Record is a key and value of the platform's key-value store, with its revision.
type Record struct {
	Key      StoreKey
	Value    []byte
	Revision Revision
}

// Store is the platform's key-value store; every call counts against its rate limits.
type Store interface {
	// Get returns the record, with revision zero if there is none; it fails with CodeStoreUnavailable.
	Get(ctx context.Context, key StoreKey) (Record, error)
	// CompareAndSwap writes the value if the record is at revision old, and returns the new revision.
	// It fails with CodeStoreConflict if the record is at another revision, with CodeStoreUnavailable if
	// the write certainly had no effect, and with CodeStoreUnknown if it may have had one.
	CompareAndSwap(ctx context.Context, key StoreKey, value []byte, old Revision, lease LeaseID) (Revision, error)
	// Watch blocks until the record has another revision than the given one and returns the record; it fails when ctx ends.
	Watch(ctx context.Context, key StoreKey, after Revision) (Record, error)
	// OpenLease opens a lease that expires unless it is renewed within ttl.
	OpenLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease renews a lease; it fails with CodeStoreLeaseLapsed if the lease has expired.
	RenewLease(ctx context.Context, lease LeaseID) error
	// CloseLease revokes a lease and removes the records written under it.
	CloseLease(ctx context.Context, lease LeaseID) error
}

// HostKind is the role of a host on the host list.
type HostKind string

// Values of HostKind.
const (
	HostRouter   HostKind = "Router"
	HostUpstream HostKind = "Upstream"
)

// Host is an entry of the platform's host list.
type Host struct {
	Name    string
	Kind    HostKind
	Addr    netip.AddrPort
	Domain  DomainID
	Region  RegionID
	Leaving bool
}

// HostList is the platform's list of live and leaving hosts, which may be out of date.
type HostList interface {
	// Hosts returns the current list; it fails with CodeStoreUnavailable.
	Hosts(ctx context.Context) ([]Host, error)
}

// Peer is a router that the mesh may connect to.
type Peer struct {
	Node   NodeID
	Addr   netip.AddrPort
	Domain DomainID
	Region RegionID
	// CPUSpeed is the router's CPU speed relative to other routers; zero when unknown. The fastest routers of a failure domain are
	// chosen as its relays, which sum up and forward load reports.
	CPUSpeed float64
}

// LinkClass is the network distance of a peer; each class has its own byte budget.
type LinkClass int

// Values of LinkClass, nearest first.
const (
	LinkSameDomain  LinkClass = iota // same failure domain
	LinkSameRegion                   // same region, another failure domain
	LinkCrossRegion                  // another region
	LinkClassCount                   // number of link classes
)

// LinkBytes counts the bytes sent and received on the links of one class, including TLS and framing.
type LinkBytes struct {
	Sent     Bytes
	Received Bytes
}

// Mesh carries messages between routers. Messages of the same urgency to one peer arrive in order or are lost; when a connection
// breaks, the messages queued for it are dropped.
type Mesh interface {
	// SetPeers replaces the set of peers that the mesh may connect to.
	SetPeers(peers []Peer)
	// SendToAddr sends a message, without blocking, to whichever router answers at an address; an unreachable address is logged. It fails
	// with CodeMeshMalformed if receivers would reject the message.
	SendToAddr(addr netip.AddrPort, m Message) error
	// SetGeneration sets the configuration generation that is sent with every message.
	SetGeneration(generation Generation)
	// Send queues a message without blocking; it fails with CodeMeshUnknownPeer or CodeMeshQueueFull.
	Send(to NodeID, m Message) error
	// Receive returns the channel of received messages.
	Receive() <-chan Envelope
	// Traffic returns the bytes sent and received since the start, by link class.
	Traffic() [LinkClassCount]LinkBytes
	// Close closes all connections.
	Close() error
}

// Weights holds the weights of accounts in pools; implementations are immutable snapshots.
type Weights interface {
	// Weight returns the account's weight in the pool; an unknown account has the smallest weight configured.
	Weight(pool PoolID, account AccountID) Weight
}
