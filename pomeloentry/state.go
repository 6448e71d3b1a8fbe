package pomeloentry

import (
	"maps"
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

const (
	// stateRequestDelay is how long a router that lacks the configuration, the upstreams or the list of routers waits for the store
	// before it requests them from another router. A healthy store answers in 4 ms.
	stateRequestDelay = 300 * time.Millisecond
	// stateRequestInterval is the minimum time between two requests to other routers for missing configuration, upstreams or routers.
	// An answer from another region takes 25 ms and holds the whole configuration.
	stateRequestInterval = 500 * time.Millisecond
)

// stateRequests holds the time since which this router lacks the configuration, the upstreams or the list of routers, and the time of its last
// request to another router for them.
type stateRequests struct {
	since       time.Time
	requestedAt time.Time
	// gapRequestedAt is when this router last requested the full state because it had missed an update.
	gapRequestedAt time.Time
}

// lacksState reports whether the store has not answered for some time and this router lacks the configuration, the upstreams or any
// peers.
func (c *control) lacksState(now time.Time) bool {
	if now.Sub(c.upstreams.listedAt) <= c.e.scaledChangeWait(storeSilenceFraction) {
		return false
	}
	return c.config == nil || !c.e.cursor.hasRead() || len(c.peers.byNode) == 0
}

// requestMissingState requests the configuration, the upstreams and the list of routers from a peer, or from the seeds while no peer
// is known. Otherwise a router started in a store outage would refuse every request while its neighbours serve, and one cut off before
// it read the list of routers would keep serving removed routes and keys.
func (c *control) requestMissingState(now time.Time) {
	if !c.lacksState(now) {
		c.stateRequests.since, c.stateRequests.requestedAt = time.Time{}, time.Time{}
		return
	}
	if c.stateRequests.since.IsZero() {
		c.stateRequests.since = now
	}
	if now.Sub(c.stateRequests.since) < stateRequestDelay || now.Sub(c.stateRequests.requestedAt) < stateRequestInterval {
		return
	}
	c.stateRequests.requestedAt = now
	m := &pomelorelay.StateAsk{Above: c.version(), Upstreams: !c.e.cursor.hasRead()}
	// The random order of map iteration lets repeated requests reach different peers, because any single peer may lack the same state.
	for node := range c.peers.byNode {
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

// requestFullState requests the full state (upstreams, evacuations and list of routers) from the sender of an update, because an
// earlier update is missing.
func (c *control) requestFullState(now time.Time, from pomelorelay.NodeID) {
	if now.Sub(c.stateRequests.gapRequestedAt) < stateRequestInterval {
		return
	}
	c.stateRequests.gapRequestedAt = now
	c.send(from, &pomelorelay.StateAsk{Above: c.version(), Upstreams: true})
}

// sendState answers another router's request for the configuration, the upstreams and the list of routers. It answers even without a
// configuration and upstreams, so that both routers learn each other's address.
func (c *control) sendState(now time.Time, to pomelorelay.NodeID, ask *pomelorelay.StateAsk) {
	m := &pomelorelay.FleetState{Peers: c.peers.registeredWith(c.e.cfg.Settings.Self)}
	if c.config != nil && c.config.Version > ask.Above {
		m.Document = c.config.Document
	}
	if ask.Upstreams {
		m.Revision = c.e.cursor.get()
		m.Evacuated = slices.Sorted(maps.Keys(c.evacuated))
		m.Crashes = c.crashes.log.All(maxCrashesPerMessage)
		for id, u := range c.upstreams.present {
			if _, lapsed := c.upstreams.lapsed[id]; !lapsed {
				m.Upstreams = append(m.Upstreams, u)
			}
		}
	}
	if ask.Streams {
		c.sendStreams(now, to)
	}
	if err := c.e.mesh.Send(to, m); err != nil {
		c.e.log(pomelorelay.EventPeerMissed, field("Node", to), field("Message", "state"), field("Fault", err.Error()))
	}
}

// applyPeerState applies the configuration, the upstreams and the list of routers from a peer where they are newer than this router's.
func (c *control) applyPeerState(now time.Time, from pomelorelay.NodeID, m *pomelorelay.FleetState) {
	if len(m.Document) > 0 {
		c.applyPushedConfig(now, from, &pomelorelay.ConfigPush{Root: m.Document})
	}
	c.mergeCrashes(now, m.Crashes)
	change := pomelorelay.FleetChange{Revision: m.Revision, Full: m.Revision > 0, Upstreams: m.Upstreams, Peers: m.Peers, Evacuated: m.Evacuated}
	switch {
	case m.Revision > c.e.cursor.get() && c.e.cursor.advance(0, m.Revision, true):
		c.e.lastUpdateAt.Store(c.e.steady())
		c.applyUpstreams(now, &change, false, string(from))
		c.applyEvacuations(now, &change, string(from))
		c.applyPeers(now, &change)
		c.recordVersions(now, 0, &change)
	case !c.e.cursor.hasRead():
		c.applyPeers(now, &change)
	}
	c.e.log(pomelorelay.EventStateFromPeer, field("Node", from), field("Generation", uint64(c.version())), field("Revision", uint64(m.Revision)), field("Upstreams", len(m.Upstreams)), field("Peers", len(m.Peers)))
}
