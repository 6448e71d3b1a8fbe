package pomelofake

import (
	"net/netip"
	"sync"

	"github.com/pomelorelay/pomelorelay"
)

// meshInboxSize is the capacity of a router's inbox in messages; further ones are dropped, as on a link with a full queue.
const meshInboxSize = 4096

// Network delivers messages between the Meshes of one process and simulates partitions and message loss.
type Network struct {
	mu          sync.Mutex
	meshes      map[pomelorelay.NodeID]*Mesh
	partitioned func(from, to pomelorelay.Peer) bool
	dropped     func(to pomelorelay.Peer, m pomelorelay.Message) bool
}

// NewNetwork returns a network without routers, partitions or loss.
func NewNetwork() *Network {
	return &Network{meshes: make(map[pomelorelay.NodeID]*Mesh)}
}

// SetPartition drops every message for whose sender and receiver the function returns true; nil ends all partitions.
func (n *Network) SetPartition(partitioned func(from, to pomelorelay.Peer) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned = partitioned
}

// SetMessageLoss drops every message for which the function returns true; nil ends the loss.
func (n *Network) SetMessageLoss(dropped func(to pomelorelay.Peer, m pomelorelay.Message) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dropped = dropped
}

// Join adds a router; it replaces an earlier incarnation of the same router, which receives no further messages.
func (n *Network) Join(self pomelorelay.Peer, incarnation pomelorelay.Incarnation) *Mesh {
	n.mu.Lock()
	defer n.mu.Unlock()
	m := &Mesh{network: n, self: self, incarnation: incarnation, inbox: make(chan pomelorelay.Envelope, meshInboxSize)}
	n.meshes[self.Node] = m
	return m
}

// nodeAt returns the router with the given address.
func (n *Network) nodeAt(addr netip.AddrPort) (pomelorelay.NodeID, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for node, m := range n.meshes {
		if m.self.Addr == addr {
			return node, true
		}
	}
	return "", false
}

// Mesh implements pomelorelay.Mesh on a Network; it counts messages instead of bytes.
type Mesh struct {
	network     *Network
	self        pomelorelay.Peer
	incarnation pomelorelay.Incarnation
	inbox       chan pomelorelay.Envelope

	mu         sync.Mutex
	generation pomelorelay.Generation
	traffic    [pomelorelay.LinkClassCount]pomelorelay.LinkBytes
}

// SetPeers does nothing, since a Network knows all of its routers.
func (m *Mesh) SetPeers([]pomelorelay.Peer) {}

// SendToAddr sends a message to the router with the given address; it does nothing if there is none.
func (m *Mesh) SendToAddr(addr netip.AddrPort, message pomelorelay.Message) error {
	node, ok := m.network.nodeAt(addr)
	if !ok {
		return nil
	}
	return m.Send(node, message)
}

// SetGeneration sets the configuration generation that is sent with every message.
func (m *Mesh) SetGeneration(generation pomelorelay.Generation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.generation = generation
}

// Send delivers a message unless a partition or loss drops it. It fails with CodeMeshUnknownPeer if the receiver has not joined, and
// with CodeMeshQueueFull if the receiver's inbox is full.
func (m *Mesh) Send(to pomelorelay.NodeID, message pomelorelay.Message) error {
	m.network.mu.Lock()
	peer, ok := m.network.meshes[to]
	partitioned, dropped := m.network.partitioned, m.network.dropped
	m.network.mu.Unlock()
	if !ok {
		return pomelorelay.NewError(pomelorelay.CodeMeshUnknownPeer, string(to), nil)
	}
	if partitioned != nil && partitioned(m.self, peer.self) || dropped != nil && dropped(peer.self, message) {
		return nil
	}
	m.mu.Lock()
	m.traffic[m.linkClass(peer)].Sent++
	e := pomelorelay.Envelope{From: m.self.Node, Incarnation: m.incarnation, Domain: m.self.Domain, Region: m.self.Region, Generation: m.generation, Message: message}
	m.mu.Unlock()
	select {
	case peer.inbox <- e:
		return nil
	default:
		return pomelorelay.NewError(pomelorelay.CodeMeshQueueFull, string(to), nil)
	}
}

func (m *Mesh) linkClass(peer *Mesh) pomelorelay.LinkClass {
	switch {
	case peer.self.Domain == m.self.Domain:
		return pomelorelay.LinkSameDomain
	case peer.self.Region == m.self.Region:
		return pomelorelay.LinkSameRegion
	}
	return pomelorelay.LinkCrossRegion
}

// Receive returns the channel of received messages.
func (m *Mesh) Receive() <-chan pomelorelay.Envelope { return m.inbox }

// Traffic returns the number of sent messages per link class: same failure domain, same region or different regions.
func (m *Mesh) Traffic() [pomelorelay.LinkClassCount]pomelorelay.LinkBytes {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.traffic
}

// Close removes the router from the network.
func (m *Mesh) Close() error {
	m.network.mu.Lock()
	defer m.network.mu.Unlock()
	if m.network.meshes[m.self.Node] == m {
		delete(m.network.meshes, m.self.Node)
	}
	return nil
}
