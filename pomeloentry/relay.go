package pomeloentry

import (
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloplace"
)

// Up to a dozen routers each reports to all others. Beyond, that grows with the square of the routers. One router of each failure domain, its
// relay, sums up its neighbours' reports, exchanges the sums with the relays of the other domains, and sends each neighbour the sum of all other
// routers. Which one relays follows from the registrations and from whose messages arrive.

const (
	// maxDirectPeers is the number of other routers that each reports to by itself.
	maxDirectPeers = 12
	// relayTimeout is how long a silent router goes on counting as one that can relay: it sends something every second.
	relayTimeout = 1500 * time.Millisecond
	// relayGrace is how long a router that is new to this one counts as live.
	relayGrace = 3 * time.Second
	// maxStandbys is the number of routers that a relay names to its neighbours as the next ones, and standbyGrace how much longer than the
	// relay they count as live.
	maxStandbys  = 2
	standbyGrace = 700 * time.Millisecond
	// flushInterval is the least time between two summaries of a relay.
	flushInterval = 40 * time.Millisecond
)

// relayState is what a relay sums up, and whose summary this router uses when it is none.
type relayState struct {
	// local is of the routers of the own failure domain, all is of these and of the other domains.
	local, all    *aggregate
	flushedAt     time.Time
	fullSummaryAt time.Time
	seq           uint64
	// relayNode is the relay whose summaries are taken, incarnation and taken the last one's; domains names the relays of other domains whose summaries
	// this relay takes.
	relayNode        pomelorelay.NodeID
	relayIncarnation pomelorelay.Incarnation
	lastSeq          uint64
	domainRelays     map[pomelorelay.DomainID]pomelorelay.NodeID
}

func (c *control) reportsDirectly() bool { return len(c.peers.byNode) <= maxDirectPeers }

// relayOf returns the router that relays for a failure domain: the strongest that is there, and of equals the first by name.
func (c *control) relayOf(now time.Time, domain pomelorelay.DomainID) (pomelorelay.NodeID, bool) {
	var best pomelorelay.Peer
	found := false
	if self := c.e.cfg.Settings.Self; self.Domain == domain {
		best, found = self, true
	}
	for _, p := range c.peers.byNode {
		if p.Domain == domain && p.registered && p.relayEligible(now) && (!found || stronger(p.Peer, best)) {
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

// isRelay reports whether this router relays for its failure domain.
func (c *control) isRelay(now time.Time) bool {
	self := c.e.cfg.Settings.Self
	node, _ := c.relayOf(now, self.Domain)
	return node == self.Node
}

// relayOwnReport sends this router's report to its failure domain's relay, or sums it up if that is itself.
func (c *control) relayOwnReport(now time.Time, m *pomelorelay.LoadReport) {
	self := c.e.cfg.Settings.Self
	node, _ := c.relayOf(now, self.Domain)
	if node != self.Node {
		c.relay.local, c.relay.all = nil, nil
		if !m.Empty() {
			c.send(node, m)
		}
		return
	}
	c.startRelaying()
	if !m.Empty() {
		c.addLocalReport(now, self.Node, c.e.incarnation, m)
	}
	c.flushSummaries(now)
}

// startRelaying makes this router a relay; what its own relay summed up for it is dropped, since the reports come to itself now.
func (c *control) startRelaying() {
	r := &c.relay
	if r.local != nil {
		return
	}
	if r.relayNode != "" {
		c.placer.Forget(r.relayNode)
	}
	*r = relayState{local: newAggregate(), all: newAggregate(), seq: r.seq, domainRelays: make(map[pomelorelay.DomainID]pomelorelay.NodeID)}
}

// addLocalReport adds the report of a router of the own failure domain.
func (c *control) addLocalReport(now time.Time, from pomelorelay.NodeID, incarnation pomelorelay.Incarnation, m *pomelorelay.LoadReport) {
	c.relay.local.add(now, string(from), from, incarnation, m)
	c.relay.all.add(now, string(from), from, incarnation, m)
}

// addNeighbourReport sums up a neighbour's report.
func (c *control) addNeighbourReport(now time.Time, m pomelorelay.Envelope, report *pomelorelay.LoadReport) {
	p := c.peers.byNode[m.From]
	if c.reportsDirectly() || p == nil || p.Domain != c.e.cfg.Settings.Self.Domain || !c.isRelay(now) {
		return
	}
	c.startRelaying()
	c.addLocalReport(now, m.From, m.Incarnation, report)
}

// receiveSummary takes the sum of other routers' reports, from the own relay or, if this router relays, from that of another failure domain.
func (c *control) receiveSummary(now time.Time, m pomelorelay.Envelope, s *pomelorelay.LoadSummary) {
	p := c.peers.byNode[m.From]
	if p == nil || c.reportsDirectly() {
		return
	}
	relay, _ := c.relayOf(now, p.Domain)
	switch {
	case p.Domain != c.e.cfg.Settings.Self.Domain && c.isRelay(now):
		c.applyDomainSummary(now, p.Domain, m, s.Report)
	case p.Domain == c.e.cfg.Settings.Self.Domain && relay == m.From:
		c.applyFleetSummary(now, m, s)
	}
}

// applyDomainSummary takes the sum of another failure domain. One of a new relay there replaces that of the one before.
func (c *control) applyDomainSummary(now time.Time, domain pomelorelay.DomainID, m pomelorelay.Envelope, report *pomelorelay.LoadReport) {
	c.startRelaying()
	r := &c.relay
	if before := r.domainRelays[domain]; before != m.From {
		if !report.Whole {
			return
		}
		c.placer.Forget(before)
		for node, p := range c.peers.byNode {
			if p.Domain == domain {
				c.placer.Forget(node)
			}
		}
		r.domainRelays[domain] = m.From
		c.shares.Mark(m.From, m.Incarnation, report.Accounts)
	}
	r.all.add(now, "/"+string(domain), m.From, m.Incarnation, report)
	c.applyReport(now, m, report)
}

// applyFleetSummary takes the sum of all other routers. That of a new relay replaces all that was known of others.
func (c *control) applyFleetSummary(now time.Time, m pomelorelay.Envelope, s *pomelorelay.LoadSummary) {
	r := &c.relay
	if r.relayNode != m.From || r.relayIncarnation != m.Incarnation {
		if !s.Report.Whole {
			return
		}
		c.placer.ForgetOthers(m.From)
		r.relayNode, r.relayIncarnation, r.lastSeq = m.From, m.Incarnation, 0
		c.shares.Mark(m.From, m.Incarnation, s.Report.Accounts)
	}
	if s.Report.Seq <= r.lastSeq {
		return
	}
	r.lastSeq = s.Report.Seq
	for i, node := range s.Standby {
		if node != c.e.cfg.Settings.Self.Node {
			c.peers.recordMessage(now.Add(time.Duration(i+1)*standbyGrace), pomelorelay.Peer{Node: node})
		}
	}
	c.applyReport(now, m, s.Report)
}

// applyReport takes a report or a sum of reports for decisions.
func (c *control) applyReport(now time.Time, m pomelorelay.Envelope, report *pomelorelay.LoadReport) {
	c.placer.TakeReport(now, m.From, m.Incarnation, report)
	c.shares.TakeReport(m.From, m.Incarnation, report.Accounts)
	c.applyLeaving(now, m.From, report.Leaving)
}

// flushSummaries sends what was summed up: the own domain's sum to the other domains' relays, and to each neighbour the sum of all others.
func (c *control) flushSummaries(now time.Time) {
	r := &c.relay
	r.local.removeSilent(now, pomeloplace.SilentAfter)
	r.all.removeSilent(now, pomeloplace.SilentAfter)
	full := now.Sub(r.fullSummaryAt) >= fullReportInterval
	if now.Sub(r.flushedAt) < flushInterval || (!full && !r.all.changed()) {
		return
	}
	r.flushedAt = now
	if full {
		r.fullSummaryAt = now
	}
	r.seq++
	self := c.e.cfg.Settings.Self
	for _, domain := range c.domains() {
		if node, ok := c.relayOf(now, domain); ok && domain != self.Domain && (full || r.local.changed()) {
			c.send(node, &pomelorelay.LoadSummary{Report: r.local.report("", full, r.seq)})
		}
	}
	standby := c.standbys(now)
	for node, p := range c.peers.byNode {
		if p.Domain == self.Domain {
			c.send(node, &pomelorelay.LoadSummary{Report: r.all.report(string(node), full, r.seq), Standby: standby})
		}
	}
	r.local.markFlushed()
	r.all.markFlushed()
}

// standbys returns the routers of the own failure domain that relay next.
func (c *control) standbys(now time.Time) []pomelorelay.NodeID {
	var live []pomelorelay.Peer
	for _, p := range c.peers.byNode {
		if p.Domain == c.e.cfg.Settings.Self.Domain && p.registered && now.Sub(p.seenAt) <= relayTimeout {
			live = append(live, p.Peer)
		}
	}
	slices.SortFunc(live, func(a, b pomelorelay.Peer) int {
		if stronger(a, b) {
			return -1
		}
		return 1
	})
	var nodes []pomelorelay.NodeID
	for _, p := range live[:min(len(live), maxStandbys)] {
		nodes = append(nodes, p.Node)
	}
	return nodes
}

// send queues a message; one that the mesh refuses is lost like one on a broken link, and the next whole report makes up for it.
func (c *control) send(to pomelorelay.NodeID, m pomelorelay.Message) {
	if err := c.e.mesh.Send(to, m); err != nil {
		c.e.metrics.Missed()
	}
}
