package pomeloentry

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

const (
	// pullAfter is how long a router waits for its own watch before it asks a peer for a newer configuration: several answers of
	// the store, and a twentieth of the time within which a configuration is to be in force.
	pullAfter = 100 * time.Millisecond
	// pullEvery is the time between two asks.
	pullEvery = 300 * time.Millisecond
)

// pulls holds which peer has a newer configuration, and since when.
type pulls struct {
	from       pomelorelay.NodeID
	generation pomelorelay.Generation
	since      time.Time
	askedAt    time.Time
}

// noteGeneration takes a peer's generation, which rides on each of its messages.
func (c *control) noteGeneration(now time.Time, from pomelorelay.NodeID, generation pomelorelay.Generation) {
	if c.config != nil && generation <= c.config.Version {
		return
	}
	if generation <= c.pulls.generation {
		return
	}
	if c.pulls.since.IsZero() {
		c.pulls.since = now
	}
	c.pulls.from, c.pulls.generation = from, generation
}

// pullBehind asks a peer for the newer configuration that this router's own watch did not bring. Without it a router that cannot
// reach the store would go on with dropped routes and keys; callers would notice by other answers than their neighbours'.
func (c *control) pullBehind(now time.Time) {
	p := &c.pulls
	if p.generation == 0 || p.generation <= c.version() {
		*p = pulls{}
		return
	}
	if now.Sub(p.since) < pullAfter || now.Sub(p.askedAt) < pullEvery {
		return
	}
	p.askedAt = now
	if err := c.e.mesh.Send(p.from, &pomelorelay.ConfigPull{Above: c.version()}); err != nil {
		// The peer is gone; another one's message names the generation again.
		*p = pulls{}
	}
}

func (c *control) version() pomelorelay.Generation {
	if c.config == nil {
		return 0
	}
	return c.config.Version
}

// push answers a peer that is behind.
func (c *control) push(to pomelorelay.NodeID, m *pomelorelay.ConfigPull) {
	if c.config == nil || c.config.Version <= m.Above {
		return
	}
	if err := c.e.mesh.Send(to, &pomelorelay.ConfigPush{Root: c.config.Document}); err != nil {
		c.e.log(pomelorelay.EventPeerMissed, field("Node", to), field("Message", "configuration"), field("Fault", err.Error()))
	}
}

func (c *control) takePush(now time.Time, from pomelorelay.NodeID, m *pomelorelay.ConfigPush) {
	config, err := c.e.cfg.Platform.ParseConfig(m.Root)
	if err != nil {
		c.e.log(pomelorelay.EventConfigBadRoot, field("Node", from), field("Fault", err.Error()))
		return
	}
	c.setConfig(now, config, string(from))
}
