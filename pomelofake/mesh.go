package pomelofake

import (
	"net/netip"
	"sync"

	"github.com/pomelorelay/pomelorelay"
)

// meshInbox is the number of messages that may wait for a router; further ones are lost, as on a full link.
const meshInbox = 4096

// Network carries messages between the Meshes of one process, and loses those that a cut forbids.
type Network struct {
	mu     sync.Mutex
	meshes map[pomelorelay.NodeID]*Mesh
	cut    func(from, to pomelorelay.Peer) bool
	lost   func(to pomelorelay.Peer, m pomelorelay.Message) bool
}

// NewNetwork returns a network without cuts.
func NewNetwork() *Network {
	return &Network{meshes: make(map[pomelorelay.NodeID]*Mesh)}
}

// SetPartition loses every message for which lost returns true from now on; nil heals the network.
func (n *Network) SetPartition(lost func(from, to pomelorelay.Peer) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = lost
}

// SetMessageLoss loses every single message for which lost returns true from now on; nil ends it.
func (n *Network) SetMessageLoss(lost func(to pomelorelay.Peer, m pomelorelay.Message) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lost = lost
}

// Join adds a router; an earlier start of the same router no longer gets messages.
func (n *Network) Join(self pomelorelay.Peer, incarnation pomelorelay.Incarnation) *Mesh {
	n.mu.Lock()
	defer n.mu.Unlock()
	m := &Mesh{network: n, self: self, incarnation: incarnation, inbox: make(chan pomelorelay.Envelope, meshInbox)}
	n.meshes[self.Node] = m
	return m
}

// at returns the router that joined with the address.
func (n *Network) at(addr netip.AddrPort) (pomelorelay.NodeID, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for node, m := range n.meshes {
		if m.self.Addr == addr {
			return node, true
		}
	}
	return "", false
}

// Mesh implements pomelorelay.Mesh on a Network; it counts messages in place of bytes.
type Mesh struct {
	network     *Network
	self        pomelorelay.Peer
	incarnation pomelorelay.Incarnation
	inbox       chan pomelorelay.Envelope

	mu         sync.Mutex
	generation pomelorelay.Generation
	traffic    [pomelorelay.LinkClassCount]pomelorelay.LinkBytes
}

// SetPeers does nothing: a network knows its routers.
func (m *Mesh) SetPeers([]pomelorelay.Peer) {}

// SendToAddr sends a message to the router whose address it is.
func (m *Mesh) SendToAddr(addr netip.AddrPort, message pomelorelay.Message) error {
	node, ok := m.network.at(addr)
	if !ok {
		return nil
	}
	return m.Send(node, message)
}

// SetGeneration sets the generation that rides on every envelope.
func (m *Mesh) SetGeneration(generation pomelorelay.Generation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.generation = generation
}

// Send delivers a message unless a cut or a full inbox loses it; it fails with CodeMeshUnknownPeer for a router that never joined.
func (m *Mesh) Send(to pomelorelay.NodeID, message pomelorelay.Message) error {
	m.network.mu.Lock()
	peer, ok := m.network.meshes[to]
	cut, lost := m.network.cut, m.network.lost
	m.network.mu.Unlock()
	if !ok {
		return pomelorelay.NewError(pomelorelay.CodeMeshUnknownPeer, string(to), nil)
	}
	if cut != nil && cut(m.self, peer.self) || lost != nil && lost(peer.self, message) {
		return nil
	}
	m.mu.Lock()
	m.traffic[m.class(peer)].Sent++
	e := pomelorelay.Envelope{From: m.self.Node, Incarnation: m.incarnation, Domain: m.self.Domain, Region: m.self.Region, Generation: m.generation, Message: message}
	m.mu.Unlock()
	select {
	case peer.inbox <- e:
		return nil
	default:
		return pomelorelay.NewError(pomelorelay.CodeMeshQueueFull, string(to), nil)
	}
}

func (m *Mesh) class(peer *Mesh) pomelorelay.LinkClass {
	switch {
	case peer.self.Domain == m.self.Domain:
		return pomelorelay.LinkSameDomain
	case peer.self.Region == m.self.Region:
		return pomelorelay.LinkSameRegion
	}
	return pomelorelay.LinkCrossRegion
}

// Receive returns the channel of messages that arrived.
func (m *Mesh) Receive() <-chan pomelorelay.Envelope { return m.inbox }

// Traffic returns the messages sent by link class.
func (m *Mesh) Traffic() [pomelorelay.LinkClassCount]pomelorelay.LinkBytes {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.traffic
}

// Close takes the router off the network.
func (m *Mesh) Close() error {
	m.network.mu.Lock()
	defer m.network.mu.Unlock()
	if m.network.meshes[m.self.Node] == m {
		delete(m.network.meshes, m.self.Node)
	}
	return nil
}
