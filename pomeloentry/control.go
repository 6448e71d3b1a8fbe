package pomeloentry

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloforward"
	"github.com/pomelorelay/pomelorelay/pomeloplace"
	"github.com/pomelorelay/pomelorelay/pomeloresidency"
	"github.com/pomelorelay/pomelorelay/pomeloshare"
	"github.com/pomelorelay/pomelorelay/pomelospeed"
	"github.com/pomelorelay/pomelorelay/pomelotable"
	"github.com/pomelorelay/pomelorelay/pomelowarmup"
)

const (
	// tickInterval is the interval at which timers are looked at, adjustEvery that at which shares and loads are reckoned anew.
	tickInterval   = 20 * time.Millisecond
	adjustInterval = 50 * time.Millisecond
	// directReportInterval and relayedEvery are the intervals of reports to the other routers, sent to each by itself and by way of relays; until the
	// next one they place by older loads.
	directReportInterval  = 100 * time.Millisecond
	relayedReportInterval = 40 * time.Millisecond
	// fullReportInterval is the interval of reports that hold everything; a lost one is made up for within it.
	fullReportInterval = time.Second
	// minReportGap is the least time between reports: the round trip between regions takes longer.
	minReportGap = 20 * time.Millisecond
	// gaugeInterval is the interval at which the metrics of the router's state are renewed.
	gaugeInterval = time.Second
)

// control is the state of the control goroutine; nothing else touches it.
type control struct {
	e         *Entry
	placer    *pomeloplace.Placer
	shares    *pomeloshare.Shares
	residency *pomeloresidency.Policy
	config    *pomelorelay.FleetConfig
	upstreams upstreams
	// evacuated are the failure domains under evacuation; one ends only when the store or a peer's whole state says so.
	evacuated     map[pomelorelay.DomainID]bool
	peers         peers
	pendingPull   pendingPull
	stateRequests stateRequests
	relay         relayState

	adjustedAt   time.Time
	reportedAt   time.Time
	fullReportAt time.Time
	gaugesAt     time.Time
	// coldUpstreams are the upstreams that were cold at the last look.
	coldUpstreams map[pomelorelay.UpstreamID]pomelowarmup.Status
	// loggedSpeeds are the reading speeds that were last logged.
	loggedSpeeds map[pomelorelay.ServiceID]pomelospeed.Rate
}

func newControl(e *Entry) *control {
	s := e.cfg.Settings
	return &control{
		e:            e,
		placer:       pomeloplace.New(pomeloplace.Config{Self: s.Self, Regions: s.Regions, Cold: s.Cold, Without: e.cfg.Without}),
		shares:       pomeloshare.New(pomeloshare.Config{Window: s.ShareWindow}),
		residency:    pomeloresidency.New(pomeloresidency.Config{Overlap: s.ConfigWait}),
		upstreams:    newUpstreams(),
		evacuated:    make(map[pomelorelay.DomainID]bool),
		peers:        newPeers(),
		loggedSpeeds: make(map[pomelorelay.ServiceID]pomelospeed.Rate),
	}
}

// run takes in events, messages and ticks until the router ends.
func (c *control) run() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.e.ctx.Done():
			return
		case ev := <-c.e.events:
			now := c.now()
			ev.apply(c, now)
			if c.placer.Urgent() && now.Sub(c.reportedAt) >= minReportGap {
				c.report(now)
			}
		case m := <-c.e.mesh.Receive():
			c.receive(c.now(), m)
		case <-ticker.C:
			now := c.now()
			c.e.recordTick(now)
			c.e.adaptRequestLimit()
			c.tick(now)
		}
	}
}

func (c *control) now() time.Time { return c.e.cfg.Clock.Now() }

func (c *control) tick(now time.Time) {
	if now.Sub(c.adjustedAt) >= adjustInterval {
		c.adjustedAt = now
		c.adjust(now)
	}
	if now.Sub(c.reportedAt) >= c.reportInterval()-tickInterval/2 {
		c.report(now)
	}
	if c.relay.local != nil {
		c.flushSummaries(now)
	}
	if now.Sub(c.gaugesAt) >= gaugeInterval {
		c.gaugesAt = now
		c.setGauges()
		c.logWarmups(now)
	}
}

// adjust looks at everything that follows from time.
func (c *control) adjust(now time.Time) {
	c.shares.Tick(now)
	c.placer.SetUnreported(c.unreported(now))
	c.placer.Tick(now)
	c.removeLapsed(now)
	c.updateReadDelay(now)
	c.requestNewerConfig(now)
	c.requestMissingState(now)
	if c.peers.dropSilent(now) {
		c.setPeers()
	}
}

func (c *control) setGauges() {
	m := c.e.metrics
	m.Set("upstreams", float64(len(c.upstreams.present)))
	m.Set("evacuated_domains", float64(len(c.evacuated)))
	m.Set("peers", float64(len(c.peers.byNode)))
	m.Set("requests_in_flight", float64(c.e.inFlight.Load()))
	m.Set("caller_connections", float64(c.e.conns.Load()))
	m.Set("upstream_connections_opened", float64(c.e.forward.OpenedConnections()))
	if c.config != nil {
		m.Set("generation", float64(c.config.Version))
	}
	for _, s := range c.placer.Speeds() {
		m.Set("read_tokens_per_ms_"+string(s.Service), float64(s.Rate))
		m.Set("first_token_overhead_ms_"+string(s.Service), float64(s.Overhead.Milliseconds()))
		c.logSpeed(s)
	}
}

// speedLogRatio is the change of a reading speed from which it is worth a line.
const speedLogRatio = 1.2

// logSpeed writes a line when the estimate of a service's engines has changed: every later decision on their requests follows from it.
func (c *control) logSpeed(s pomeloplace.Speed) {
	logged := c.loggedSpeeds[s.Service]
	if logged > 0 && s.Rate < speedLogRatio*logged && logged < speedLogRatio*s.Rate {
		return
	}
	c.loggedSpeeds[s.Service] = s.Rate
	c.e.log(pomelorelay.EventSpeedLearnt, field("Service", s.Service), field("TokensPerMS", float64(s.Rate)), field("OverheadMS", s.Overhead.Milliseconds()),
		field("Pauses", s.Pauses), field("CopyPart", s.CopyPart))
}

// place decides on a request and charges its account.
func (c *control) place(now time.Time, w pomeloforward.PlacementRequest) pomeloplace.Decision {
	accounted := w.Cost > 0 && w.Account != ""
	r := w.Request
	// By the version in force at each attempt: one that narrows the regions binds also requests that came before it.
	r.Residency = c.residency.Of(now, w.Route, w.Account)
	r.Owed = true
	var share pomeloplace.ShareState
	if accounted {
		if !w.Retry {
			c.shares.Asked(w.Account, w.Cost)
		}
		// Only what may have run, and was charged, goes before others: were it so for each request that found an upstream down, a flood
		// would get past its share whenever many are, and other accounts would see their requests refused.
		r.Owed = w.Charged || c.shares.Owed(w.Account, w.Cost)
		r.Lead = c.shares.Lead(w.Account)
		r.Ahead = c.shares.Ahead(w.Account)
		share.Cost, share.Owed = w.Cost, r.Owed
		share.Asked, share.Served, share.Level = c.shares.State(w.Account)
	}
	d := c.placer.Place(now, r)
	d.Share, d.Residency = share, r.Residency
	if !c.upstreams.listedAt.IsZero() {
		d.ListAge = now.Sub(c.upstreams.listedAt)
	}
	c.e.metrics.Placed(string(d.Reason))
	switch {
	case d.Reason == pomeloplace.ReasonNone && accounted && !w.Charged:
		c.shares.Served(w.Account, w.Cost)
	case d.Reason == pomeloplace.ReasonShare:
		d.RetryAfter = c.retryAfter(&d, &w)
	}
	return d
}

// maxShareWaitFraction is the part of the target within which an account's wait for its share is worth the caller's while: the rest of the
// target is for the answer.
const maxShareWaitFraction = 0.5

// retryAfter returns when a caller whose account is beyond its share is to come back: once the account is owed the request, if the answer can
// still be in time then; else as soon as there may be a place again. In a flood that lasts, waiting longer raises no chance, and makes the
// answer late for sure.
func (c *control) retryAfter(d *pomeloplace.Decision, w *pomeloforward.PlacementRequest) time.Duration {
	wait := c.shares.Wait(w.Account, w.Cost)
	if wait > time.Duration(maxShareWaitFraction*float64(w.Request.Target)) {
		return d.RetryAfter
	}
	return max(d.RetryAfter, wait)
}

func (c *control) reportInterval() time.Duration {
	if c.reportsDirectly() {
		return directReportInterval
	}
	return relayedReportInterval
}

// report sends the other routers what changed here.
func (c *control) report(now time.Time) {
	m := &pomelorelay.LoadReport{Whole: now.Sub(c.fullReportAt) >= fullReportInterval}
	if m.Whole {
		c.fullReportAt = now
	}
	c.reportedAt = now
	c.placer.Report(m)
	m.Accounts = c.shares.Report(m.Whole, m.Accounts)
	m.Leaving = c.upstreams.reportedLeaving(now)
	if !c.reportsDirectly() {
		c.relayOwnReport(now, m)
		return
	}
	if m.Empty() {
		return
	}
	for node := range c.peers.byNode {
		c.send(node, m)
	}
}

// receiveReport takes another router's report, whoever brought it. One that is repeated or late is left out: for a moment two relays may hand
// on the same reports, and taken after a newer one, an old report would bring back work that has ended, and sums that have grown since.
func (c *control) receiveReport(now time.Time, from pomelorelay.NodeID, incarnation pomelorelay.Incarnation, m *pomelorelay.LoadReport) {
	if !c.peers.acceptReport(from, incarnation, m.Seq) {
		return
	}
	// A router's first report holds all that it has.
	if m.Whole || m.Seq == 1 {
		c.peers.markFullyReported(from)
	}
	c.applyReport(now, pomelorelay.Envelope{From: from, Incarnation: incarnation}, m)
}

func (c *control) receive(now time.Time, m pomelorelay.Envelope) {
	c.peers.recordMessage(now, pomelorelay.Peer{Node: m.From, Domain: m.Domain, Region: m.Region})
	c.recordGeneration(now, m.From, m.Generation)
	switch msg := m.Message.(type) {
	case *pomelorelay.LoadReport:
		if c.reportsDirectly() || c.isRelay(now) {
			c.receiveReport(now, m.From, m.Incarnation, msg)
			c.addNeighbourReport(now, m, msg)
		}
	case *pomelorelay.LoadSummary:
		c.receiveSummary(now, m, msg)
	case *pomelorelay.FleetUpdate:
		c.receiveUpdate(now, m.From, msg)
	case *pomelorelay.ConfigPull:
		c.sendConfig(m.From, msg)
	case *pomelorelay.ConfigPush:
		c.applyPushedConfig(now, m.From, msg)
	case *pomelorelay.StateAsk:
		c.sendState(m.From, msg)
	case *pomelorelay.FleetState:
		c.applyPeerState(now, m.From, msg)
	}
}

// setConfig puts a configuration in force, unless one as new is.
func (c *control) setConfig(now time.Time, config *pomelorelay.FleetConfig, source string) {
	if c.config != nil && config.Version <= c.config.Version {
		return
	}
	c.config = config
	c.shares.SetCapacity(config.Limits.TokensPerSecond)
	c.placer.SetConfig(config)
	c.residency.SetConfig(now, config)
	c.e.table.Store(pomelotable.New(config))
	c.e.mesh.SetGeneration(config.Version)
	c.e.log(pomelorelay.EventConfigInForce, field("Generation", uint64(config.Version)), field("Source", source), field("Routes", len(config.Routes)), field("Accounts", len(config.Accounts)))
}
