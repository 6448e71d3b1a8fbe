package pomeloentry

import (
	"context"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

const (
	// registrationTTL is how long a router's registration outlives its last renewal. Peers keep their links after it lapses, until the
	// links break.
	registrationTTL = 30 * time.Second
	// renewInterval is the interval of renewals, a third of registrationTTL.
	renewInterval = 10 * time.Second
	// deregisterTimeout bounds the store call that ends the registration on a graceful stop.
	deregisterTimeout = 500 * time.Millisecond
)

// peerSilenceTimeout is how long a router without a registration may send nothing before it is removed: a few intervals of full load
// reports.
const peerSilenceTimeout = 5 * time.Second

// knownPeer is another router that is registered or still sends messages.
type knownPeer struct {
	pomelorelay.Peer
	registered bool
	seenAt     time.Time
	// knownSince is when this router first learnt of the peer.
	knownSince time.Time
	// fullyReported is set after the peer's first full load report.
	fullyReported bool
	// limitedAt is when the router last said that it limits its requests; zero if its last word was that it does not.
	limitedAt time.Time
	// incarnation and lastSeq are the incarnation and the sequence number of the last applied load report.
	incarnation pomelorelay.Incarnation
	lastSeq     uint64
	// applied is the store revision up to which this process of the peer has applied all changes, by its last full report; zero without one.
	applied pomelorelay.Revision
}

// relayEligible reports whether the router is alive, or new enough to be presumed alive, and so can be a relay.
func (p *knownPeer) relayEligible(now time.Time) bool {
	return now.Sub(p.seenAt) <= relayTimeout || now.Sub(p.knownSince) <= relayGrace
}

// peers holds the other routers. A router that cannot reach the store loses its registration but still gets every message while its own messages
// arrive; otherwise it would keep an old configuration although its neighbours could send it the new one.
type peers struct {
	byNode map[pomelorelay.NodeID]*knownPeer
	// byDomain holds the same routers by failure domain; nil when it must be built again. The relay of a domain is determined for each report
	// and several times in each periodic update.
	byDomain map[pomelorelay.DomainID][]*knownPeer
	// self is this router's own registration as the store lists it; zero until it was read.
	self pomelorelay.Peer
	// lastMessageAt is when the last message of another router arrived; zero if none has.
	lastMessageAt time.Time
}

// lastMessageAge returns the time since the last message of another router; negative if there was none.
func (p *peers) lastMessageAge(now time.Time) time.Duration {
	if p.lastMessageAt.IsZero() {
		return -1
	}
	return now.Sub(p.lastMessageAt)
}

// inDomain returns the routers of a failure domain, in no particular order.
func (p *peers) inDomain(domain pomelorelay.DomainID) []*knownPeer {
	p.groupByDomain()
	return p.byDomain[domain]
}

func (p *peers) groupByDomain() {
	if p.byDomain != nil {
		return
	}
	p.byDomain = make(map[pomelorelay.DomainID][]*knownPeer)
	for _, known := range p.byNode {
		p.byDomain[known.Domain] = append(p.byDomain[known.Domain], known)
	}
}

func newPeers() peers { return peers{byNode: make(map[pomelorelay.NodeID]*knownPeer)} }

func (p *peers) register(now time.Time, peer pomelorelay.Peer) {
	known := p.byNode[peer.Node]
	if known == nil {
		known = &knownPeer{knownSince: now}
		p.byNode[peer.Node] = known
	}
	known.Peer, known.registered = peer, true
	p.byDomain = nil
}

func (p *peers) unregister(node pomelorelay.NodeID) {
	if known := p.byNode[node]; known != nil {
		known.registered = false
	}
}

// recordMessage records a message from a router. A sender without a registration is added too, and answered over its own link: it may
// have lost access to the store before this router could read its registration. An unknown failure domain and region are taken from
// the message.
func (p *peers) recordMessage(now time.Time, peer pomelorelay.Peer) {
	known := p.byNode[peer.Node]
	if known == nil {
		known = &knownPeer{Peer: peer, knownSince: now}
		p.byNode[peer.Node] = known
		p.byDomain = nil
	}
	if known.Domain == "" && peer.Domain != "" {
		p.byDomain = nil
	}
	if known.Domain == "" {
		known.Domain, known.Region = peer.Domain, peer.Region
	}
	known.seenAt = now
}

// acceptReport reports whether a report is newer than all applied reports of the router, and records its incarnation and sequence
// number if so.
func (p *peers) acceptReport(node pomelorelay.NodeID, incarnation pomelorelay.Incarnation, seq uint64) bool {
	known := p.byNode[node]
	if known == nil || incarnation < known.incarnation || (incarnation == known.incarnation && seq <= known.lastSeq) {
		return false
	}
	if incarnation != known.incarnation {
		known.applied = 0
	}
	known.incarnation, known.lastSeq = incarnation, seq
	return true
}

// markFullyReported records a full report from the router.
func (p *peers) markFullyReported(node pomelorelay.NodeID) { p.byNode[node].fullyReported = true }

// unreportedTimeout is how long a router without a load report is assumed to send as much as this one: several intervals of full reports. With a
// longer time, a router started while other regions are cut off would reserve most of the reachable upstreams for the routers there, and refuse
// requests until the partition ends although engines are idle.
const unreportedTimeout = 3 * time.Second

// unreported returns the number of registered routers that became known within unreportedTimeout and have sent no full report.
// inSummary reports whether a relay's summary includes a router's loads.
func (p *peers) unreported(now time.Time, inSummary func(*knownPeer) bool) int {
	n := 0
	for _, known := range p.byNode {
		if known.registered && !known.fullyReported && now.Sub(known.knownSince) < unreportedTimeout && !inSummary(known) {
			n++
		}
	}
	return n
}

// unreported returns the number of routers without a report, except those that a relay's summary includes.
func (c *control) unreported(now time.Time) int {
	return c.peers.unreported(now, func(p *knownPeer) bool {
		return c.relay.relayNode != "" || c.relay.domainRelays[p.Domain] != ""
	})
}

// dropSilent removes unregistered routers that have sent nothing for peerSilenceTimeout. It reports whether it removed any.
func (p *peers) dropSilent(now time.Time) bool {
	dropped := false
	for node, known := range p.byNode {
		if !known.registered && now.Sub(known.seenAt) > peerSilenceTimeout {
			delete(p.byNode, node)
			p.byDomain, dropped = nil, true
		}
	}
	return dropped
}

// registered returns the registered routers.
func (p *peers) registered() []pomelorelay.Peer {
	list := make([]pomelorelay.Peer, 0, len(p.byNode)+1)
	for _, known := range p.byNode {
		if known.registered {
			list = append(list, known.Peer)
		}
	}
	return list
}

// registeredWith returns the registered routers and this one, at the address under which the store lists it.
func (p *peers) registeredWith(self pomelorelay.Peer) []pomelorelay.Peer {
	if p.self.Addr.IsValid() {
		self = p.self
	}
	return append(p.registered(), self)
}

// dialable returns the routers with a known address.
func (p *peers) dialable() []pomelorelay.Peer {
	list := make([]pomelorelay.Peer, 0, len(p.byNode))
	for _, known := range p.byNode {
		if known.Addr.IsValid() {
			list = append(list, known.Peer)
		}
	}
	return list
}

// applyPeers applies a change of the registered routers.
func (c *control) applyPeers(now time.Time, change *pomelorelay.FleetChange) {
	if change.Full {
		for node := range c.peers.byNode {
			c.peers.unregister(node)
		}
	}
	for _, p := range change.Peers {
		if p.Node == c.e.cfg.Settings.Self.Node {
			c.peers.self = p
			continue
		}
		c.peers.register(now, p)
	}
	for _, node := range change.RemovedPeers {
		c.peers.unregister(node)
	}
	dropped := c.peers.dropSilent(now)
	if dropped || change.Full || len(change.Peers)+len(change.RemovedPeers) > 0 {
		c.setPeers()
	}
}

func (c *control) setPeers() {
	list := c.peers.dialable()
	c.e.peers.Store(int64(len(c.peers.byNode)))
	c.e.mesh.SetPeers(list)
	c.placer.SetRouters(c.peers.registered())
	c.e.log(pomelorelay.EventPeersChanged, field("Peers", len(list)))
}

// keepRegistered registers this router in the store and renews the registration, so that the other routers find it.
func (e *Router) keepRegistered(ctx context.Context) {
	var lease pomelorelay.LeaseID
	e.runStoreTask(ctx, storeTask{name: "registration", minInterval: renewInterval, call: func(bool) error {
		if lease == 0 {
			opened, err := e.cfg.Platform.Register(ctx, e.cfg.Settings.Self, registrationTTL)
			e.metrics.CountStoreCall("announce", "registration", pomelorelay.CodeOf(err))
			if err == nil {
				lease = opened
			}
			return err
		}
		err := e.cfg.Platform.RenewLease(ctx, lease)
		e.metrics.CountStoreCall("renew", "registration", pomelorelay.CodeOf(err))
		if pomelorelay.IsErrCode(err, pomelorelay.CodeStoreLeaseLapsed) {
			lease = 0
		}
		return err
	}})
	if lease == 0 {
		return
	}
	// ctx has ended. Without this call the registration would remain until its lease lapses.
	closeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), deregisterTimeout)
	defer cancel()
	err := e.cfg.Platform.CloseLease(closeCtx, lease)
	e.metrics.CountStoreCall("close", "registration", pomelorelay.CodeOf(err))
	if err != nil {
		e.log(pomelorelay.EventPlatformLost, field("What", "registration"), field("Fault", err.Error()))
	}
}
