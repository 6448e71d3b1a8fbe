package pomelorelay

import (
	"context"
	"net/netip"
	"time"
)

// StoreKey names a record in the platform's key-value service.
type StoreKey string

// Revision numbers the writes of a record; zero means that the record does not exist.
type Revision uint64

// LeaseID names a lease in the platform's key-value service; zero means none.
type LeaseID uint64

// Record is a value in the platform's key-value service.
type Record struct {
	Key      StoreKey
	Value    []byte
	Revision Revision
}

// Store is the platform's key-value service; every call counts against its rates.
type Store interface {
	// Get returns the record, or one of revision zero when there is none; it fails with CodeStoreUnavailable.
	Get(ctx context.Context, key StoreKey) (Record, error)
	// CompareAndSwap writes the value if the record is at revision old and returns the new revision.
	// It fails with CodeStoreConflict when it is not, with CodeStoreUnavailable when the write surely did
	// not take effect, and with CodeStoreUnknown when it may have.
	CompareAndSwap(ctx context.Context, key StoreKey, value []byte, old Revision, lease LeaseID) (Revision, error)
	// Watch waits until the record's revision differs from after and returns it; it fails when ctx ends.
	Watch(ctx context.Context, key StoreKey, after Revision) (Record, error)
	// OpenLease opens a lease that lapses when it is not renewed within the time to live.
	OpenLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease renews a lease; it fails with CodeStoreLeaseLapsed when it has lapsed.
	RenewLease(ctx context.Context, lease LeaseID) error
	// CloseLease ends a lease and removes the records written under it.
	CloseLease(ctx context.Context, lease LeaseID) error
}

// HostKind tells what a host on the host list does.
type HostKind string

// The kinds of host.
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

// HostList is the platform's list of live and leaving hosts, which lags.
type HostList interface {
	// Hosts returns the list as it is now known; it fails with CodeStoreUnavailable.
	Hosts(ctx context.Context) ([]Host, error)
}

// Peer is a router to which a mesh may connect.
type Peer struct {
	Node   NodeID
	Addr   netip.AddrPort
	Domain DomainID
	Region RegionID
	// CPUSpeed is the router's processor relative to others; zero when it is not known. The strongest relay for their failure domain.
	CPUSpeed float64
}

// LinkClass tells how far a peer is, for the byte budget.
type LinkClass int

// The link classes, nearest first.
const (
	LinkSameDomain LinkClass = iota
	LinkSameRegion
	LinkCrossRegion
	LinkClassCount // the number of classes
)

// LinkBytes counts bytes sent and received on the links of a class, TLS and framing included.
type LinkBytes struct {
	Sent     Bytes
	Received Bytes
}

// Mesh carries messages between routers. Messages to one peer arrive in order or are lost; a connection that breaks loses what was queued.
type Mesh interface {
	// SetPeers replaces the peers that the mesh may connect to.
	SetPeers(peers []Peer)
	// SendToAddr sends a message to whichever router answers at an address, and returns at once; one that cannot be reached is logged. It
	// fails with CodeMeshMalformed.
	SendToAddr(addr netip.AddrPort, m Message) error
	// SetGeneration sets the configuration generation that rides on every envelope.
	SetGeneration(generation Generation)
	// Send queues a message and never blocks; it fails with CodeMeshUnknownPeer or CodeMeshQueueFull.
	Send(to NodeID, m Message) error
	// Receive returns the channel of messages that arrived.
	Receive() <-chan Envelope
	// Traffic returns the bytes counted by link class since the start.
	Traffic() [LinkClassCount]LinkBytes
	// Close ends every connection.
	Close() error
}

// Weights gives the share of an account in a pool; implementations are immutable snapshots.
type Weights interface {
	// Weight returns the account's weight in the pool; an unknown account gets the smallest configured one.
	Weight(pool PoolID, account AccountID) Weight
}
