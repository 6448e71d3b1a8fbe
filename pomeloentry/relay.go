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
	// directMost is the number of other routers that each reports to by itself.
	directMost = 12
	// relayTimeout is how long a silent router goes on counting as one that can relay: it sends something every second.
	relayTimeout = 1500 * time.Millisecond
	// relayGrace is how long a router that is new to this one counts as live.
	relayGrace = 3 * time.Second
	// standbyMost is the number of routers that a relay names to its neighbours as the next ones, and standbyGrace how much longer than the
	// relay they count as live.
	standbyMost  = 2
	standbyGrace = 700 * time.Millisecond
	// flushEvery is the least time between two summaries of a relay.
	flushEvery = 40 * time.Millisecond
)

// relays is what a relay sums up, and whose summary this router uses when it is none.
type relays struct {
	// local is of the routers of the own failure domain, all is of these and of the other domains.
	local, all *aggregate
	flushedAt  time.Time
	wholeAt    time.Time
	seq        uint64
	// from is the relay whose summaries are taken, incarnation and taken the last one's; domains names the relays of other domains whose summaries
	// this relay takes.
	from        pomelorelay.NodeID
	incarnation pomelorelay.Incarnation
	taken       uint64
	domains     map[pomelorelay.DomainID]pomelorelay.NodeID
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
	if a.CPUSpeed != b.CPUSpeed {
		return a.CPUSpeed > b.CPUSpeed
	}
	return a.Node < b.Node
}

// relaysHere reports whether this router relays for its failure domain.
func (c *control) relaysHere(now time.Time) bool {
	self := c.e.cfg.Settings.Self
	node, _ := c.relayOf(now, self.Domain)
	return node == self.Node
}

// relayOwn sends this router's report to its failure domain's relay, or sums it up if that is itself.
func (c *control) relayOwn(now time.Time, m *pomelorelay.LoadReport) {
	self := c.e.cfg.Settings.Self
	node, _ := c.relayOf(now, self.Domain)
	if node != self.Node {
		c.relayed.local, c.relayed.all = nil, nil
		if !m.Empty() {
			c.send(node, m)
		}
		return
	}
	c.beginRelay()
	if !m.Empty() {
		c.sumUp(now, self.Node, c.e.incarnation, m)
	}
	c.flush(now)
}

// beginRelay makes this router a relay; what its own relay summed up for it is dropped, since the reports come to itself now.
func (c *control) beginRelay() {
	r := &c.relayed
	if r.local != nil {
		return
	}
	if r.from != "" {
		c.placer.ForgetRouter(r.from)
	}
	*r = relays{local: newAggregate(), all: newAggregate(), seq: r.seq, domains: make(map[pomelorelay.DomainID]pomelorelay.NodeID)}
}

// sumUp adds the report of a router of the own failure domain.
func (c *control) sumUp(now time.Time, from pomelorelay.NodeID, incarnation pomelorelay.Incarnation, m *pomelorelay.LoadReport) {
	c.relayed.local.take(now, string(from), from, incarnation, m)
	c.relayed.all.take(now, string(from), from, incarnation, m)
}

// collect sums up a neighbour's report.
func (c *control) collect(now time.Time, m pomelorelay.Envelope, report *pomelorelay.LoadReport) {
	p := c.peers.present[m.From]
	if c.direct() || p == nil || p.Domain != c.e.cfg.Settings.Self.Domain || !c.relaysHere(now) {
		return
	}
	c.beginRelay()
	c.sumUp(now, m.From, m.Incarnation, report)
}

// takeSummary takes the sum of other routers' reports, from the own relay or, if this router relays, from that of another failure domain.
func (c *control) takeSummary(now time.Time, m pomelorelay.Envelope, s *pomelorelay.LoadSummary) {
	p := c.peers.present[m.From]
	if p == nil || c.direct() {
		return
	}
	relay, _ := c.relayOf(now, p.Domain)
	switch {
	case p.Domain != c.e.cfg.Settings.Self.Domain && c.relaysHere(now):
		c.takeDomain(now, p.Domain, m, s.Report)
	case p.Domain == c.e.cfg.Settings.Self.Domain && relay == m.From:
		c.takeFleet(now, m, s)
	}
}

// takeDomain takes the sum of another failure domain. One of a new relay there replaces that of the one before.
func (c *control) takeDomain(now time.Time, domain pomelorelay.DomainID, m pomelorelay.Envelope, report *pomelorelay.LoadReport) {
	c.beginRelay()
	r := &c.relayed
	if before := r.domains[domain]; before != m.From {
		if !report.Full {
			return
		}
		c.placer.ForgetRouter(before)
		for node, p := range c.peers.present {
			if p.Domain == domain {
				c.placer.ForgetRouter(node)
			}
		}
		r.domains[domain] = m.From
		c.shares.SetBaseline(m.From, m.Incarnation, report.Accounts)
	}
	r.all.take(now, "/"+string(domain), m.From, m.Incarnation, report)
	c.apply(now, m, report)
}

// takeFleet takes the sum of all other routers. That of a new relay replaces all that was known of others.
func (c *control) takeFleet(now time.Time, m pomelorelay.Envelope, s *pomelorelay.LoadSummary) {
	r := &c.relayed
	if r.from != m.From || r.incarnation != m.Incarnation {
		if !s.Report.Full {
			return
		}
		c.placer.ForgetRoutersExcept(m.From)
		r.from, r.incarnation, r.taken = m.From, m.Incarnation, 0
		c.shares.SetBaseline(m.From, m.Incarnation, s.Report.Accounts)
	}
	if s.Report.Seq <= r.taken {
		return
	}
	r.taken = s.Report.Seq
	for i, node := range s.Standby {
		if node != c.e.cfg.Settings.Self.Node {
			c.peers.noteMessage(now.Add(time.Duration(i+1)*standbyGrace), pomelorelay.Peer{Node: node})
		}
	}
	c.apply(now, m, s.Report)
}

// apply takes a report or a sum of reports for decisions.
func (c *control) apply(now time.Time, m pomelorelay.Envelope, report *pomelorelay.LoadReport) {
	c.placer.ApplyReport(now, m.From, m.Incarnation, report)
	c.shares.MergeReport(m.From, m.Incarnation, report.Accounts)
	c.takeLeaving(now, m.From, report.Leaving)
}

// flush sends what was summed up: the own domain's sum to the other domains' relays, and to each neighbour the sum of all others.
func (c *control) flush(now time.Time) {
	r := &c.relayed
	r.local.forgetSilent(now, pomeloplace.PeerTimeout)
	r.all.forgetSilent(now, pomeloplace.PeerTimeout)
	whole := now.Sub(r.wholeAt) >= wholeEvery
	if now.Sub(r.flushedAt) < flushEvery || (!whole && !r.all.changed()) {
		return
	}
	r.flushedAt = now
	if whole {
		r.wholeAt = now
	}
	r.seq++
	self := c.e.cfg.Settings.Self
	for _, domain := range c.domains() {
		if node, ok := c.relayOf(now, domain); ok && domain != self.Domain && (whole || r.local.changed()) {
			c.send(node, &pomelorelay.LoadSummary{Report: r.local.report("", whole, r.seq)})
		}
	}
	standby := c.standby(now)
	for node, p := range c.peers.present {
		if p.Domain == self.Domain {
			c.send(node, &pomelorelay.LoadSummary{Report: r.all.report(string(node), whole, r.seq), Standby: standby})
		}
	}
	r.local.flushed()
	r.all.flushed()
}

// standby returns the routers of the own failure domain that relay next.
func (c *control) standby(now time.Time) []pomelorelay.NodeID {
	var live []pomelorelay.Peer
	for _, p := range c.peers.present {
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
	for _, p := range live[:min(len(live), standbyMost)] {
		nodes = append(nodes, p.Node)
	}
	return nodes
}

// send queues a message; one that the mesh refuses is lost like one on a broken link, and the next whole report makes up for it.
func (c *control) send(to pomelorelay.NodeID, m pomelorelay.Message) {
	if err := c.e.mesh.Send(to, m); err != nil {
		c.e.metrics.CountMissedMessage()
	}
}
