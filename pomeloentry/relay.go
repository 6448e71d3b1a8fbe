package pomeloentry

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Up to a dozen routers each tells all others what it has on the upstreams. Beyond, that grows with the square of the routers: 66 of
// them took 211 s of processor time on a quiet day so, and 73 s in the way that follows. One router of each failure domain collects its
// neighbours' reports, exchanges them with those of the other domains, and hands all on. Which one follows from the registrations and
// from who is heard; two that both collect for a moment only repeat reports, which count once.

const (
	// directMost is the number of other routers that each is told by itself.
	directMost = 12
	// relayTrust is how long a silent router goes on counting as one that can relay: it sends something every second.
	relayTrust = 1500 * time.Millisecond
	// relayGrace is how long a router that is new to this one counts as heard.
	relayGrace = 3 * time.Second
)

// relays holds the reports that wait to be handed on.
type relays struct {
	// local are of routers of the own failure domain, foreign of others.
	local, foreign []pomelorelay.RelayedReport
}

func (c *control) direct() bool { return len(c.peers.present) <= directMost }

// relayOf returns the router that relays for a failure domain: the strongest that is there, and of equals the first by name.
func (c *control) relayOf(now time.Time, domain pomelorelay.DomainID) (pomelorelay.NodeID, bool) {
	var best pomelorelay.Peer
	found := false
	if self := c.e.cfg.Settings.Self; self.Domain == domain {
		best, found = self, true
	}
	for _, p := range c.peers.present {
		if p.Domain == domain && p.registered && p.relays(now) && (!found || stronger(p.Peer, best)) {
			best, found = p.Peer, true
		}
	}
	return best.Node, found
}

func stronger(a, b pomelorelay.Peer) bool {
	if a.Power != b.Power {
		return a.Power > b.Power
	}
	return a.Node < b.Node
}

// relaysHere reports whether this router relays for its failure domain.
func (c *control) relaysHere(now time.Time) bool {
	self := c.e.cfg.Settings.Self
	node, _ := c.relayOf(now, self.Domain)
	return node == self.Node
}

// relayOwn sends this router's report by way of its failure domain's relay, or hands on what it collected if that is itself.
func (c *control) relayOwn(now time.Time, m *pomelorelay.LoadReport) {
	self := c.e.cfg.Settings.Self
	node, _ := c.relayOf(now, self.Domain)
	if node != self.Node {
		c.relayed = relays{}
		if !m.Empty() {
			c.send(node, m)
		}
		return
	}
	if !m.Empty() {
		c.relayed.local = append(c.relayed.local, pomelorelay.RelayedReport{Node: self.Node, Incarnation: c.e.incarnation, Report: m})
	}
	c.handOn(now)
}

// collect keeps a neighbour's report to be handed on.
func (c *control) collect(now time.Time, m pomelorelay.Envelope, report *pomelorelay.LoadReport) {
	p := c.peers.present[m.From]
	if c.direct() || p == nil || p.Domain != c.e.cfg.Settings.Self.Domain || !c.relaysHere(now) {
		return
	}
	c.relayed.local = append(c.relayed.local, pomelorelay.RelayedReport{Node: m.From, Incarnation: m.Incarnation, Report: report})
}

// takeBundle takes reports that another router collected.
func (c *control) takeBundle(now time.Time, from pomelorelay.NodeID, b *pomelorelay.LoadBundle) {
	for _, r := range b.Reports {
		if r.Node != c.e.cfg.Settings.Self.Node {
			c.peers.hear(now, pomelorelay.Peer{Node: r.Node})
			c.takeReport(now, r.Node, r.Incarnation, r.Report)
		}
	}
	p := c.peers.present[from]
	if p != nil && p.Domain != c.e.cfg.Settings.Self.Domain && c.relaysHere(now) {
		c.relayed.foreign = append(c.relayed.foreign, b.Reports...)
	}
}

// handOn sends what was collected: the own domain's reports to the other domains' relays, all to the neighbours.
func (c *control) handOn(now time.Time) {
	local, all := c.relayed.local, append(c.relayed.local, c.relayed.foreign...)
	c.relayed = relays{}
	domains := make(map[pomelorelay.DomainID]bool)
	for node, p := range c.peers.present {
		if p.Domain != c.e.cfg.Settings.Self.Domain {
			domains[p.Domain] = true
		} else if len(all) > 0 {
			c.send(node, &pomelorelay.LoadBundle{Reports: all})
		}
	}
	for domain := range domains {
		if node, ok := c.relayOf(now, domain); ok && len(local) > 0 {
			c.send(node, &pomelorelay.LoadBundle{Reports: local})
		}
	}
}

// send queues a message; one that the mesh refuses is lost like one on a broken link, and the next whole report makes up for it.
func (c *control) send(to pomelorelay.NodeID, m pomelorelay.Message) {
	if err := c.e.mesh.Send(to, m); err != nil {
		c.e.metrics.Missed()
	}
}
