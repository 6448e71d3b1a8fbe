package pomeloentry

import (
	"context"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

const (
	// registrationTTL is how long a router's entry outlives its last renewal; its peers close nothing before their links break.
	registrationTTL = 30 * time.Second
	// renewEvery is the interval of renewals, a third of the time to live.
	renewEvery = 10 * time.Second
	// leaveWait bounds the call that ends the registration at a planned stop.
	leaveWait = 500 * time.Millisecond
)

// silentAfter is how long an unregistered router may be silent until it is taken as gone: a few whole reports.
const silentAfter = 5 * time.Second

// knownPeer is a router that is registered, or was and still sends messages.
type knownPeer struct {
	pomelorelay.Peer
	registered bool
	seenAt     time.Time
	// since is when this router first knew it.
	since time.Time
	// whole is set once it has reported all that it has on the upstreams.
	whole bool
	// incarnation and seq are of the last report that was taken.
	incarnation pomelorelay.Incarnation
	seq         uint64
}

// relays reports whether the router is there to relay.
func (p *knownPeer) relays(now time.Time) bool {
	return now.Sub(p.seenAt) <= relayTimeout || now.Sub(p.since) <= relayGrace
}

// peers are the other routers. One that cannot reach the store loses its registration; it still gets every message as long as its
// own messages come, or it would go on with an old configuration beside neighbours that could give it the new one.
type peers struct {
	present map[pomelorelay.NodeID]*knownPeer
}

func newPeers() peers { return peers{present: make(map[pomelorelay.NodeID]*knownPeer)} }

func (p *peers) put(now time.Time, peer pomelorelay.Peer) {
	known := p.present[peer.Node]
	if known == nil {
		known = &knownPeer{since: now}
		p.present[peer.Node] = known
	}
	known.Peer, known.registered = peer, true
}

func (p *peers) unregister(node pomelorelay.NodeID) {
	if known := p.present[node]; known != nil {
		known.registered = false
	}
}

// noteMessage notes a router's message. One that was never seen registered is answered over its own link: it may have been parted from the
// store before this router could read its entry. What is not known of where it is, the message's sender says.
func (p *peers) noteMessage(now time.Time, peer pomelorelay.Peer) {
	known := p.present[peer.Node]
	if known == nil {
		known = &knownPeer{Peer: peer, since: now}
		p.present[peer.Node] = known
	}
	if known.Domain == "" {
		known.Domain, known.Region = peer.Domain, peer.Region
	}
	known.seenAt = now
}

// newer reports whether a report comes after all that were taken from the router, and notes it.
func (p *peers) newer(node pomelorelay.NodeID, incarnation pomelorelay.Incarnation, seq uint64) bool {
	known := p.present[node]
	if known == nil || incarnation < known.incarnation || (incarnation == known.incarnation && seq <= known.seq) {
		return false
	}
	known.incarnation, known.seq = incarnation, seq
	return true
}

// noteWhole notes that a router has reported all that it has.
func (p *peers) noteWhole(node pomelorelay.NodeID) { p.present[node].whole = true }

// unreportedFor is how long a router without a report yet counts as sending as much as this one: several whole reports. Taken so for longer, a
// router that starts while other regions are cut off would keep most of the upstreams that it reaches free for them, and refuse its callers
// beside idle engines until the cut ends.
const unreportedFor = 3 * time.Second

// unreported returns the number of registered routers that have not reported yet what they have on the upstreams.
func (p *peers) unreported(now time.Time, summed func(*knownPeer) bool) int {
	n := 0
	for _, known := range p.present {
		if known.registered && !known.whole && now.Sub(known.since) < unreportedFor && !summed(known) {
			n++
		}
	}
	return n
}

// unreported leaves out the routers that a relay's summary holds.
func (c *control) unreported(now time.Time) int {
	return c.peers.unreported(now, func(p *knownPeer) bool {
		return c.relayed.from != "" || c.relayed.domains[p.Domain] != ""
	})
}

// drop forgets unregistered routers that are silent; it reports whether there were any.
func (p *peers) drop(now time.Time) bool {
	dropped := false
	for node, known := range p.present {
		if !known.registered && now.Sub(known.seenAt) > silentAfter {
			delete(p.present, node)
			dropped = true
		}
	}
	return dropped
}

// registered returns the registered routers.
func (p *peers) registered() []pomelorelay.Peer {
	list := make([]pomelorelay.Peer, 0, len(p.present)+1)
	for _, known := range p.present {
		if known.registered {
			list = append(list, known.Peer)
		}
	}
	return list
}

// list returns the routers that can be dialled.
func (p *peers) list() []pomelorelay.Peer {
	list := make([]pomelorelay.Peer, 0, len(p.present))
	for _, known := range p.present {
		if known.Addr.IsValid() {
			list = append(list, known.Peer)
		}
	}
	return list
}

// applyPeers takes in what changed among the registered routers.
func (c *control) applyPeers(now time.Time, change *pomelorelay.FleetChange) {
	if change.Full {
		for node := range c.peers.present {
			c.peers.unregister(node)
		}
	}
	for _, p := range change.Peers {
		if p.Node != c.e.cfg.Settings.Self.Node {
			c.peers.put(now, p)
		}
	}
	for _, node := range change.RemovedPeers {
		c.peers.unregister(node)
	}
	dropped := c.peers.drop(now)
	if dropped || change.Full || len(change.Peers)+len(change.RemovedPeers) > 0 {
		c.setPeers()
	}
}

func (c *control) setPeers() {
	list := c.peers.list()
	c.e.mesh.SetPeers(list)
	c.placer.SetRouters(c.peers.registered())
	c.e.log(pomelorelay.EventPeersChanged, field("Peers", len(list)))
}

// keepRegistered keeps this router's entry in the store, so that the others find it.
func (e *Router) keepRegistered(ctx context.Context) {
	var lease pomelorelay.LeaseID
	e.follow(ctx, followed{name: "registration", pace: renewEvery, call: func(bool) error {
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
	// ctx has ended; the entry would lapse by itself, a little later.
	left, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveWait)
	defer cancel()
	err := e.cfg.Platform.CloseLease(left, lease)
	e.metrics.CountStoreCall("close", "registration", pomelorelay.CodeOf(err))
	if err != nil {
		e.log(pomelorelay.EventPlatformLost, field("What", "registration"), field("Fault", err.Error()))
	}
}
