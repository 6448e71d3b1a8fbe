package pomeloentry

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

const (
	// configPullDelay is how long a router waits for its own watch of the store before it requests a newer configuration from a peer.
	// It allows several store round trips and is a twentieth of the time within which a configuration must be in force.
	configPullDelay = 100 * time.Millisecond
	// configPullInterval is the minimum time between two requests for a configuration.
	configPullInterval = 300 * time.Millisecond
)

// pendingPull is the newest configuration generation that a peer announced and this router lacks; from is the peer that announced it last,
// because earlier ones may have failed since. since is when a newer generation
// than this router's was first announced, requestedAt when this router last requested one.
type pendingPull struct {
	from        pomelorelay.NodeID
	generation  pomelorelay.Generation
	since       time.Time
	requestedAt time.Time
}

// recordGeneration records the configuration generation in the envelope of a peer's message.
func (c *control) recordGeneration(now time.Time, from pomelorelay.NodeID, generation pomelorelay.Generation) {
	if c.config != nil && generation <= c.config.Version {
		return
	}
	if generation < c.pendingPull.generation {
		return
	}
	if c.pendingPull.since.IsZero() {
		c.pendingPull.since = now
	}
	c.pendingPull.from, c.pendingPull.generation = from, generation
}

// requestNewerConfig requests a configuration that this router's own watch of the store did not deliver. A router cut off from the
// store would otherwise keep serving removed routes and keys, and callers would get different answers from different routers.
func (c *control) requestNewerConfig(now time.Time) {
	p := &c.pendingPull
	if p.generation == 0 || p.generation <= c.version() {
		*p = pendingPull{}
		return
	}
	if now.Sub(p.since) < configPullDelay || now.Sub(p.requestedAt) < configPullInterval {
		return
	}
	p.requestedAt = now
	if err := c.e.mesh.Send(p.from, &pomelorelay.ConfigPull{AboveGeneration: c.version()}); err != nil {
		// The peer is gone; the next message of another peer announces the generation again.
		*p = pendingPull{}
	}
}

func (c *control) version() pomelorelay.Generation {
	if c.config == nil {
		return 0
	}
	return c.config.Version
}

// sendConfig sends the configuration in force to a peer that has an older one.
func (c *control) sendConfig(to pomelorelay.NodeID, m *pomelorelay.ConfigPull) {
	if c.config == nil || c.config.Version <= m.AboveGeneration {
		return
	}
	if err := c.e.mesh.Send(to, &pomelorelay.ConfigPush{Root: c.config.Document}); err != nil {
		c.e.log(pomelorelay.EventPeerMissed, field("Node", to), field("Message", "configuration"), field("Fault", err.Error()))
	}
}

func (c *control) applyPushedConfig(now time.Time, from pomelorelay.NodeID, m *pomelorelay.ConfigPush) {
	config, err := c.e.cfg.Platform.ParseConfig(m.Root)
	if err != nil {
		c.e.log(pomelorelay.EventConfigBadRoot, field("Node", from), field("Fault", err.Error()))
		return
	}
	c.setConfig(now, config, string(from))
}
