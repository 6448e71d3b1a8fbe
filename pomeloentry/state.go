package pomeloentry

import (
	"maps"
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

const (
	// askAfter is how long a router that lacks something waits for the store, which answers in 4 ms when it is well.
	askAfter = 300 * time.Millisecond
	// askEvery is the time between two asks: an answer from another region takes 25 ms, and holds the whole configuration.
	askEvery = 500 * time.Millisecond
)

// asks holds since when this router lacks something that its peers may have, and when it last asked for it.
type asks struct {
	since   time.Time
	askedAt time.Time
	// missedAt is when it last asked because it missed an update.
	missedAt time.Time
}

// lacks reports whether the router cannot serve, or stands alone, while the store is silent.
func (c *control) lacks(now time.Time) bool {
	if now.Sub(c.upstreams.listedAt) <= c.e.ofDrain(silentPart) {
		return false
	}
	return c.config == nil || !c.e.cursor.begun() || len(c.peers.present) == 0
}

// askForState asks a peer, or the seeds while none is known, for what the store does not answer. A router that starts while the store is
// away would refuse every request until the store is back, beside neighbours that serve; one that is parted from the store before it read
// the list of routers would go on with dropped routes and keys.
func (c *control) askForState(now time.Time) {
	if !c.lacks(now) {
		c.asks.since, c.asks.askedAt = time.Time{}, time.Time{}
		return
	}
	if c.asks.since.IsZero() {
		c.asks.since = now
	}
	if now.Sub(c.asks.since) < askAfter || now.Sub(c.asks.askedAt) < askEvery {
		return
	}
	c.asks.askedAt = now
	m := &pomelorelay.StateAsk{Above: c.version(), Upstreams: !c.e.cursor.begun()}
	// Any peer will do, another one each time: the first may lack as much as this router.
	for node := range c.peers.present {
		c.send(node, m)
		return
	}
	for _, seed := range c.e.cfg.Settings.Seeds {
		if seed == c.e.cfg.Settings.Self.Addr {
			continue
		}
		if err := c.e.mesh.SendToAddr(seed, m); err != nil {
			c.e.log(pomelorelay.EventPeerMissed, field("Address", seed.String()), field("Message", "state"), field("Fault", err.Error()))
		}
	}
}

// askState asks the sender of an update for everything, since an update before it was missed.
func (c *control) askState(now time.Time, from pomelorelay.NodeID) {
	if now.Sub(c.asks.missedAt) < askEvery {
		return
	}
	c.asks.missedAt = now
	c.send(from, &pomelorelay.StateAsk{Above: c.version(), Upstreams: true})
}

// sendState answers a router that asks. It answers also when it has nothing, so that both have each other's address.
func (c *control) sendState(to pomelorelay.NodeID, ask *pomelorelay.StateAsk) {
	m := &pomelorelay.FleetState{Peers: append(c.peers.registered(), c.e.cfg.Settings.Self)}
	if c.config != nil && c.config.Version > ask.Above {
		m.Document = c.config.Document
	}
	if ask.Upstreams {
		m.Revision = c.e.cursor.get()
		m.Evacuated = slices.Sorted(maps.Keys(c.evacuated))
		for id, u := range c.upstreams.present {
			if _, lapses := c.upstreams.lapsed[id]; !lapses {
				m.Upstreams = append(m.Upstreams, u)
			}
		}
	}
	if err := c.e.mesh.Send(to, m); err != nil {
		c.e.log(pomelorelay.EventPeerMissed, field("Node", to), field("Message", "state"), field("Fault", err.Error()))
	}
}

// takeState takes what a peer has, in so far as it is newer than what this router has.
func (c *control) takeState(now time.Time, from pomelorelay.NodeID, m *pomelorelay.FleetState) {
	if len(m.Document) > 0 {
		c.takePush(now, from, &pomelorelay.ConfigPush{Root: m.Document})
	}
	change := pomelorelay.FleetChange{Revision: m.Revision, Full: m.Revision > 0, Upstreams: m.Upstreams, Peers: m.Peers, Evacuated: m.Evacuated}
	switch {
	case m.Revision > c.e.cursor.get() && c.e.cursor.advance(0, m.Revision, true):
		c.applyUpstreams(now, &change, false, string(from))
		c.applyEvacuations(now, &change, string(from))
		c.applyPeers(now, &change)
	case !c.e.cursor.begun():
		c.applyPeers(now, &change)
	}
	c.e.log(pomelorelay.EventStateFromPeer, field("Node", from), field("Generation", uint64(c.version())), field("Revision", uint64(m.Revision)), field("Upstreams", len(m.Upstreams)), field("Peers", len(m.Peers)))
}
