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
	// tickEvery is the interval at which timers are looked at, adjustEvery that at which shares and loads are reckoned anew.
	tickEvery   = 20 * time.Millisecond
	adjustEvery = 50 * time.Millisecond
	// directEvery and relayedEvery are the intervals of reports to the other routers, sent to each by itself and by way of relays; until the
	// next one they place by older loads.
	directEvery  = 100 * time.Millisecond
	relayedEvery = 40 * time.Millisecond
	// wholeEvery is the interval of reports that hold everything; a lost one is made up for within it.
	wholeEvery = time.Second
	// urgentGap is the least time between reports: the round trip between regions takes longer.
	urgentGap = 20 * time.Millisecond
	// gaugesEvery is the interval at which the metrics of the router's state are renewed.
	gaugesEvery = time.Second
)

// control is the state of the control goroutine; nothing else touches it.
type control struct {
	e         *Router
	placer    *pomeloplace.Placer
	shares    *pomeloshare.Shares
	residency *pomeloresidency.Policy
	config    *pomelorelay.FleetConfig
	upstreams upstreams
	// evacuated are the failure domains under evacuation; one ends only when the store or a peer's whole state says so.
	evacuated map[pomelorelay.DomainID]bool
	peers     peers
	pulls     pulls
	asks      asks
	relayed   relays

	adjustedAt time.Time
	reportedAt time.Time
	wholeAt    time.Time
	gaugesAt   time.Time
	// cold are the upstreams that were cold at the last look.
	cold map[pomelorelay.UpstreamID]pomelowarmup.Status
	// speeds are the reading speeds that were last logged.
	speeds map[pomelorelay.ServiceID]pomelospeed.PrefillRate
}

func newControl(e *Router) *control {
	s := e.cfg.Settings
	return &control{
		e:         e,
		placer:    pomeloplace.New(pomeloplace.Config{Self: s.Self, Regions: s.Regions, ColdBounds: s.ColdBounds, Disabled: e.cfg.DisabledMechanisms}),
		shares:    pomeloshare.New(pomeloshare.Config{Window: s.ShareWindow}),
		residency: pomeloresidency.New(pomeloresidency.Config{Overlap: s.ConfigApplyTimeout}),
		upstreams: newUpstreams(),
		evacuated: make(map[pomelorelay.DomainID]bool),
		peers:     newPeers(),
		speeds:    make(map[pomelorelay.ServiceID]pomelospeed.PrefillRate),
	}
}

// run takes in events, messages and ticks until the router ends.
func (c *control) run() {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-c.e.ctx.Done():
			return
		case ev := <-c.e.events:
			now := c.now()
			ev.apply(c, now)
			if c.placer.Urgent() && now.Sub(c.reportedAt) >= urgentGap {
				c.report(now)
			}
		case m := <-c.e.mesh.Receive():
			c.receive(c.now(), m)
		case <-ticker.C:
			now := c.now()
			c.e.noteTick(now)
			c.e.adapt()
			c.tick(now)
		}
	}
}

func (c *control) now() time.Time { return c.e.cfg.Clock.Now() }

func (c *control) tick(now time.Time) {
	if now.Sub(c.adjustedAt) >= adjustEvery {
		c.adjustedAt = now
		c.adjust(now)
	}
	if now.Sub(c.reportedAt) >= c.reportEvery()-tickEvery/2 {
		c.report(now)
	}
	if c.relayed.local != nil {
		c.flush(now)
	}
	if now.Sub(c.gaugesAt) >= gaugesEvery {
		c.gaugesAt = now
		c.setGauges()
		c.noteWarmups(now)
	}
}

// adjust looks at everything that follows from time.
func (c *control) adjust(now time.Time) {
	c.shares.Tick(now)
	c.placer.SetUnreportedRouters(c.unreported(now))
	c.placer.Tick(now)
	c.dropLapsed(now)
	c.takeTurn(now)
	c.pullBehind(now)
	c.askForState(now)
	if c.peers.drop(now) {
		c.setPeers()
	}
}

func (c *control) setGauges() {
	m := c.e.metrics
	m.SetGauge("upstreams", float64(len(c.upstreams.present)))
	m.SetGauge("evacuated_domains", float64(len(c.evacuated)))
	m.SetGauge("peers", float64(len(c.peers.present)))
	m.SetGauge("requests_in_flight", float64(c.e.inFlight.Load()))
	m.SetGauge("caller_connections", float64(c.e.conns.Load()))
	m.SetGauge("upstream_connections_opened", float64(c.e.forward.Opened()))
	if c.config != nil {
		m.SetGauge("generation", float64(c.config.Version))
	}
	for _, s := range c.placer.Speeds() {
		m.SetGauge("read_tokens_per_ms_"+string(s.Service), float64(s.PrefillRate))
		m.SetGauge("first_token_overhead_ms_"+string(s.Service), float64(s.FirstTokenOverhead.Milliseconds()))
		c.noteSpeed(s)
	}
}

// speedNews is the change of a reading speed from which it is worth a line.
const speedNews = 1.2

// noteSpeed writes a line when the estimate of a service's engines has changed: every later decision on their requests follows from it.
func (c *control) noteSpeed(s pomeloplace.Speed) {
	told := c.speeds[s.Service]
	if told > 0 && s.PrefillRate < speedNews*told && told < speedNews*s.PrefillRate {
		return
	}
	c.speeds[s.Service] = s.PrefillRate
	c.e.log(pomelorelay.EventSpeedLearnt, field("Service", s.Service), field("TokensPerMS", float64(s.PrefillRate)), field("OverheadMS", s.FirstTokenOverhead.Milliseconds()),
		field("Pauses", s.PauseWeight), field("CopyPart", s.CopyFraction))
}

// place decides on a request and charges its account.
func (c *control) place(now time.Time, w pomeloforward.Work) pomeloplace.Decision {
	counts := w.Cost > 0 && w.Account != ""
	r := w.Place
	// By the version in force at each attempt: one that narrows the regions binds also requests that came before it.
	r.Residency = c.residency.Residency(now, w.Route, w.Account)
	r.WithinShare = true
	var share pomeloplace.ShareState
	if counts {
		if !w.Again {
			c.shares.RecordRequest(w.Account, w.Cost)
		}
		// Only what may have run, and was charged, goes before others: were it so for each request that found an upstream down, a flood
		// would get past its share whenever many are, and other accounts would see their requests refused.
		r.WithinShare = w.Charged || c.shares.WithinShare(w.Account, w.Cost)
		r.LeadOverLevel = c.shares.LeadOverLevel(w.Account)
		r.LeadOverLeastServed = c.shares.LeadOverLeastServed(w.Account)
		share.Cost, share.WithinShare = w.Cost, r.WithinShare
		share.Requested, share.Served, share.FairShare = c.shares.Usage(w.Account)
	}
	d := c.placer.Place(now, r)
	d.Share, d.Residency = share, r.Residency
	if !c.upstreams.listedAt.IsZero() {
		d.ListAge = now.Sub(c.upstreams.listedAt)
	}
	c.e.metrics.CountPlacement(string(d.Reason))
	switch {
	case d.Reason == pomeloplace.ReasonNone && counts && !w.Charged:
		c.shares.RecordServed(w.Account, w.Cost)
	case d.Reason == pomeloplace.ReasonOverShare:
		d.RetryAfter = c.returnAfter(&d, &w)
	}
	return d
}

// worthWaiting is the part of the target within which an account's wait for its share is worth the caller's while: the rest of the
// target is for the answer.
const worthWaiting = 0.5

// returnAfter returns when a caller whose account is beyond its share is to come back: once the account is owed the request, if the answer can
// still be in time then; else as soon as there may be a place again. In a flood that lasts, waiting longer raises no chance, and makes the
// answer late for sure.
func (c *control) returnAfter(d *pomeloplace.Decision, w *pomeloforward.Work) time.Duration {
	wait := c.shares.RetryAfter(w.Account, w.Cost)
	if wait > time.Duration(worthWaiting*float64(w.Place.Target)) {
		return d.RetryAfter
	}
	return max(d.RetryAfter, wait)
}

func (c *control) reportEvery() time.Duration {
	if c.direct() {
		return directEvery
	}
	return relayedEvery
}

// report sends the other routers what changed here.
func (c *control) report(now time.Time) {
	m := &pomelorelay.LoadReport{Full: now.Sub(c.wholeAt) >= wholeEvery}
	if m.Full {
		c.wholeAt = now
	}
	c.reportedAt = now
	c.placer.FillReport(m)
	m.Accounts = c.shares.AppendReport(m.Full, m.Accounts)
	m.Leaving = c.upstreams.announced(now)
	if !c.direct() {
		c.relayOwn(now, m)
		return
	}
	if m.Empty() {
		return
	}
	for node := range c.peers.present {
		c.send(node, m)
	}
}

// takeReport takes another router's report, whoever brought it. One that is repeated or late is left out: for a moment two relays may hand
// on the same reports, and taken after a newer one, an old report would bring back work that has ended, and sums that have grown since.
func (c *control) takeReport(now time.Time, from pomelorelay.NodeID, incarnation pomelorelay.Incarnation, m *pomelorelay.LoadReport) {
	if !c.peers.newer(from, incarnation, m.Seq) {
		return
	}
	// A router's first report holds all that it has.
	if m.Full || m.Seq == 1 {
		c.peers.noteWhole(from)
	}
	c.apply(now, pomelorelay.Envelope{From: from, Incarnation: incarnation}, m)
}

func (c *control) receive(now time.Time, m pomelorelay.Envelope) {
	c.peers.noteMessage(now, pomelorelay.Peer{Node: m.From, Domain: m.Domain, Region: m.Region})
	c.noteGeneration(now, m.From, m.Generation)
	switch msg := m.Message.(type) {
	case *pomelorelay.LoadReport:
		if c.direct() || c.relaysHere(now) {
			c.takeReport(now, m.From, m.Incarnation, msg)
			c.collect(now, m, msg)
		}
	case *pomelorelay.LoadSummary:
		c.takeSummary(now, m, msg)
	case *pomelorelay.FleetUpdate:
		c.receiveUpdate(now, m.From, msg)
	case *pomelorelay.ConfigPull:
		c.push(m.From, msg)
	case *pomelorelay.ConfigPush:
		c.takePush(now, m.From, msg)
	case *pomelorelay.StateAsk:
		c.sendState(m.From, msg)
	case *pomelorelay.FleetState:
		c.takeState(now, m.From, msg)
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
