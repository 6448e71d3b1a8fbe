package pomelomesh

import (
	"net/netip"

	"github.com/pomelorelay/pomelorelay"
)

// Mesh implements pomelorelay.Mesh over grpc.
type Mesh struct {
	cfg   Config
	inbox chan pomelorelay.Envelope
}

// Counters counts what the mesh did since its start.
type Counters struct {
	// Coalesced counts messages replaced by a later one while they waited.
	Coalesced uint64
	// Delayed counts batches that left less urgent messages behind because the byte budget was spent.
	Delayed uint64
	// QueueFull counts messages refused because the peer's queue was full.
	QueueFull uint64
	// UnknownKinds counts messages of kinds that this version does not know.
	UnknownKinds uint64
	// Malformed counts messages that could not be decoded.
	Malformed uint64
	// Stale counts messages of a lower incarnation or a superseded link.
	Stale uint64
	// Lost counts messages dropped because their link broke.
	Lost uint64
	// Broken counts links that broke.
	Broken uint64
	// Dialled counts attempts to connect.
	Dialled uint64
	// Links is the number of links now open.
	Links int
}

// New listens and returns a Mesh; it fails with CodeMeshTLS when the keys cannot be used.
func New(cfg Config) (*Mesh, error) {
	cfg = cfg.withDefaults()
	return &Mesh{cfg: cfg, inbox: make(chan pomelorelay.Envelope, cfg.Inbox)}, nil
}

// Addr returns the address that the mesh listens on.
func (m *Mesh) Addr() netip.AddrPort { return m.cfg.Listen }

// SetPeers replaces the peers that the mesh may connect to.
func (m *Mesh) SetPeers([]pomelorelay.Peer) {}

// SetGeneration sets the configuration generation that rides on every envelope.
func (m *Mesh) SetGeneration(pomelorelay.Generation) {}

// Send queues a message and never blocks; it fails with CodeMeshUnknownPeer or CodeMeshQueueFull.
func (m *Mesh) Send(pomelorelay.NodeID, pomelorelay.Message) error {
	return pomelorelay.NewError(pomelorelay.CodeMeshUnknownPeer, "", nil)
}

// Receive returns the channel of messages that arrived.
func (m *Mesh) Receive() <-chan pomelorelay.Envelope { return m.inbox }

// Traffic returns the bytes counted by link class since the start.
func (m *Mesh) Traffic() [pomelorelay.LinkClasses]pomelorelay.LinkBytes {
	return [pomelorelay.LinkClasses]pomelorelay.LinkBytes{}
}

// Counters returns what the mesh did since its start.
func (m *Mesh) Counters() Counters { return Counters{} }

// Close ends every connection.
func (m *Mesh) Close() error { return nil }
