package pomeloentry

import (
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloplace"
)

// In a fleet of up to maxDirectPeers+1 routers, each reports to all others. In a larger fleet such reports would grow with the square
// of the number of routers, so one router of each failure domain, its relay, sums the reports of its neighbours (the routers of its
// domain). It exchanges sums with the relays of the other domains, and sends each neighbour the sum of all other routers.
// Registrations and recent messages determine which router is the relay.

const (
	// maxDirectPeers is the maximum number of other routers that each router reports to directly.
	maxDirectPeers = 12
	// relayTimeout is how long a silent router still counts as a possible relay; a live one sends something every second.
	relayTimeout = 1500 * time.Millisecond
	// relayGrace is how long a newly known router that has sent nothing yet counts as live.
	relayGrace = 3 * time.Second
	// maxStandbys is the maximum number of successors that a relay announces to the routers of its failure domain. standbyGrace is how
	// much longer than the relay the first successor counts as live, and each further one longer than the one before.
	maxStandbys  = 2
	standbyGrace = 700 * time.Millisecond
	// relayNamedGrace is how much longer than its own relay a router counts the relays of the other failure domains as live: until the last
	// standby has taken over and sent them its first summary.
	relayNamedGrace = (maxStandbys + 1) * standbyGrace
	// flushInterval is the minimum time between two summaries of a relay.
	flushInterval = 40 * time.Millisecond
)

// relayState holds the sums of reports on a relay. On a router that is not a relay, it identifies the relay whose summaries are
// applied.
type relayState struct {
	// local sums the reports of the routers of this failure domain; all also includes the summaries of the other domains.
	local, all    *aggregate
	flushedAt     time.Time
	fullSummaryAt time.Time
	seq           uint64
	// relayNode is the relay whose summaries this router applies; relayIncarnation and lastSeq are the incarnation and the sequence
	// number of its last summary. On a relay, domainRelays names the relays of other domains whose summaries it applies.
	relayNode        pomelorelay.NodeID
	relayIncarnation pomelorelay.Incarnation
	lastSeq          uint64
	domainRelays     map[pomelorelay.DomainID]pomelorelay.NodeID
	// applied is the store revision that all routers have applied by the last full summary of relayNode; zero without one. On a relay, domainApplied
	// holds that of the other failure domains.
	applied       pomelorelay.Revision
	domainApplied map[pomelorelay.DomainID]pomelorelay.Revision
}

func (c *control) reportsDirectly() bool { return len(c.peers.byNode) <= maxDirectPeers }

// relayOf returns the relay of a failure domain: its live router with the highest CPU speed, and among equals the first by name.
func (c *control) relayOf(now time.Time, domain pomelorelay.DomainID) (pomelorelay.NodeID, bool) {
	var best pomelorelay.Peer
	found := false
	if self := c.e.cfg.Settings.Self; self.Domain == domain {
		best, found = self, true
	}
	for _, p := range c.peers.inDomain(domain) {
		if p.registered && p.relayEligible(now) && (!found || precedes(p.Peer, best)) {
			best, found = p.Peer, true
		}
	}
	return best.Node, found
}

// unregisteredRelayOf returns the router to which updates for a failure domain without registered routers are sent, one that still sends messages.
func (c *control) unregisteredRelayOf(now time.Time, domain pomelorelay.DomainID) (pomelorelay.NodeID, bool) {
	var best pomelorelay.Peer
	found := false
	for _, p := range c.peers.inDomain(domain) {
		if now.Sub(p.seenAt) <= relayTimeout && (!found || precedes(p.Peer, best)) {
			best, found = p.Peer, true
		}
	}
	return best.Node, found
}

func precedes(a, b pomelorelay.Peer) bool {
	if a.CPUSpeed != b.CPUSpeed {
		return a.CPUSpeed > b.CPUSpeed
	}
	return a.Node < b.Node
}

// isRelay reports whether this router is the relay of its failure domain.
func (c *control) isRelay(now time.Time) bool {
	self := c.e.cfg.Settings.Self
	node, _ := c.relayOf(now, self.Domain)
	return node == self.Node
}

// relayOwnReport sends this router's report to its relay, or adds it to the sums if this router is the relay.
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

// startRelaying makes this router a relay. It drops the sums of the previous relay, because the routers of the failure domain now
// report to this router.
func (c *control) startRelaying() {
	r := &c.relay
	if r.local != nil {
		return
	}
	if r.relayNode != "" {
		c.placer.ForgetRouter(r.relayNode)
	}
	*r = relayState{
		local: newAggregate(), all: newAggregate(), seq: r.seq, domainRelays: make(map[pomelorelay.DomainID]pomelorelay.NodeID),
		domainApplied: make(map[pomelorelay.DomainID]pomelorelay.Revision),
	}
}

// addLocalReport adds the report of a router of this failure domain to the sums.
func (c *control) addLocalReport(now time.Time, from pomelorelay.NodeID, incarnation pomelorelay.Incarnation, m *pomelorelay.LoadReport) {
	c.relay.local.add(now, string(from), from, incarnation, m)
	c.relay.all.add(now, string(from), from, incarnation, m)
}

// addNeighbourReport adds the report of a neighbour, a router of the same failure domain, to the sums if this router is the relay.
func (c *control) addNeighbourReport(now time.Time, m pomelorelay.Envelope, report *pomelorelay.LoadReport) {
	p := c.peers.byNode[m.From]
	if c.reportsDirectly() || p == nil || p.Domain != c.e.cfg.Settings.Self.Domain || !c.isRelay(now) {
		return
	}
	c.startRelaying()
	c.addLocalReport(now, m.From, m.Incarnation, report)
}

// receiveSummary applies a summary from this router's relay or, if this router is a relay, from the relay of another failure domain.
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

// applyDomainSummary applies the summary of another failure domain. The first full summary of a new relay replaces the loads reported
// by the previous relay and by the routers of that domain.
func (c *control) applyDomainSummary(now time.Time, domain pomelorelay.DomainID, m pomelorelay.Envelope, report *pomelorelay.LoadReport) {
	c.startRelaying()
	r := &c.relay
	if before := r.domainRelays[domain]; before != m.From {
		if !report.Full {
			return
		}
		c.placer.ForgetRouter(before)
		for node, p := range c.peers.byNode {
			if p.Domain == domain {
				c.placer.ForgetRouter(node)
			}
		}
		r.domainRelays[domain] = m.From
		c.shares.SetBaseline(m.From, m.Incarnation, report.Accounts)
	}
	if report.Full {
		r.domainApplied[domain] = reportedApplied(report)
	}
	r.all.add(now, "/"+string(domain), m.From, m.Incarnation, report)
	c.applyReport(now, m, report)
}

// applyFleetSummary applies the summary of all other routers. The first full summary of a new relay replaces all loads that other
// routers reported.
func (c *control) applyFleetSummary(now time.Time, m pomelorelay.Envelope, s *pomelorelay.LoadSummary) {
	r := &c.relay
	if r.relayNode != m.From || r.relayIncarnation != m.Incarnation {
		if !s.Report.Full {
			return
		}
		c.placer.ForgetRoutersExcept(m.From)
		r.relayNode, r.relayIncarnation, r.lastSeq = m.From, m.Incarnation, 0
		c.shares.SetBaseline(m.From, m.Incarnation, s.Report.Accounts)
	}
	if s.Report.Seq <= r.lastSeq {
		return
	}
	r.lastSeq = s.Report.Seq
	if s.Report.Full {
		r.applied = reportedApplied(s.Report)
	}
	for i, node := range s.Standby {
		if node != c.e.cfg.Settings.Self.Node {
			c.peers.recordMessage(now.Add(time.Duration(i+1)*standbyGrace), pomelorelay.Peer{Node: node})
		}
	}
	for _, node := range s.Relays {
		if c.peers.byNode[node] != nil {
			c.peers.recordMessage(now.Add(relayNamedGrace), pomelorelay.Peer{Node: node})
		}
	}
	c.applyReport(now, m, s.Report)
}

// applyReport applies a report or summary to placement, shares and upstreams.
func (c *control) applyReport(now time.Time, m pomelorelay.Envelope, report *pomelorelay.LoadReport) {
	c.placer.ApplyReport(now, m.From, m.Incarnation, report)
	c.shares.MergeReport(m.From, m.Incarnation, report.Accounts)
	c.applyLeaving(now, m.From, report.Leaving)
}

// flushSummaries sends the sum of this failure domain's reports to the relays of the other domains, and to each router of this domain
// the sum of all reports but its own.
func (c *control) flushSummaries(now time.Time) {
	r := &c.relay
	r.local.removeSilent(now, pomeloplace.PeerTimeout)
	r.all.removeSilent(now, pomeloplace.PeerTimeout)
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
	var domainApplied, fleetApplied pomelorelay.Revision
	if full {
		domainApplied, fleetApplied = c.domainApplied(), c.fleetApplied()
	}
	var relays []pomelorelay.NodeID
	for _, domain := range c.domains() {
		node, ok := c.relayOf(now, domain)
		if !ok || domain == self.Domain {
			continue
		}
		if full {
			relays = append(relays, node)
		}
		if full || r.local.changed() {
			m := &pomelorelay.LoadSummary{Report: r.local.report(now, "", full, r.seq)}
			m.Report.Applied = domainApplied
			c.send(node, m)
		}
	}
	standby := c.nextRelays(now)
	for node, p := range c.peers.byNode {
		if p.Domain == self.Domain {
			m := &pomelorelay.LoadSummary{Report: r.all.report(now, string(node), full, r.seq), Standby: standby, Relays: relays}
			m.Report.Applied = fleetApplied
			c.send(node, m)
		}
	}
	r.local.markFlushed()
	r.all.markFlushed()
}

// nextRelays returns the routers of this failure domain that would next become its relay.
func (c *control) nextRelays(now time.Time) []pomelorelay.NodeID {
	var live []pomelorelay.Peer
	for _, p := range c.peers.byNode {
		if p.Domain == c.e.cfg.Settings.Self.Domain && p.registered && now.Sub(p.seenAt) <= relayTimeout {
			live = append(live, p.Peer)
		}
	}
	slices.SortFunc(live, func(a, b pomelorelay.Peer) int {
		if precedes(a, b) {
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

// send queues a message. A message that the mesh refuses counts as lost, as on a broken link; the next full report makes up for it.
func (c *control) send(to pomelorelay.NodeID, m pomelorelay.Message) {
	if err := c.e.mesh.Send(to, m); err != nil {
		c.e.metrics.CountUnqueuedMessage()
	}
}
