package pomeloentry

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloforward"
	"github.com/pomelorelay/pomelorelay/pomelolistener"
	"github.com/pomelorelay/pomelorelay/pomeloplace"
	"github.com/pomelorelay/pomelorelay/pomelopromise"
	"github.com/pomelorelay/pomelorelay/pomeloresidency"
	"github.com/pomelorelay/pomelorelay/pomeloshare"
	"github.com/pomelorelay/pomelorelay/pomelospeed"
	"github.com/pomelorelay/pomelorelay/pomelostream"
	"github.com/pomelorelay/pomelorelay/pomelotable"
	"github.com/pomelorelay/pomelorelay/pomelowarmup"
)

const (
	// tickInterval is the interval of timer checks, adjustInterval that of share and load updates.
	tickInterval   = 20 * time.Millisecond
	adjustInterval = 50 * time.Millisecond
	// directReportInterval and relayedReportInterval are the intervals of load reports, sent to each router directly or through
	// relays. Until the next report, the other routers place requests by older loads.
	directReportInterval  = 100 * time.Millisecond
	relayedReportInterval = 40 * time.Millisecond
	// fullReportInterval is the interval of full reports, and so the longest time for which a lost report has an effect.
	fullReportInterval = time.Second
	// minReportGap is the minimum time between reports. More frequent reports would gain little, since a round trip between regions
	// takes longer.
	minReportGap = 20 * time.Millisecond
	// gaugeInterval is the interval at which the gauges of the router's state are updated.
	gaugeInterval = time.Second
)

// control is the state of the control goroutine, which alone accesses it.
type control struct {
	e         *Router
	placer    *pomeloplace.Placer
	shares    *pomeloshare.Shares
	promises  *pomelopromise.Promises
	residency *pomeloresidency.Policy
	config    *pomelorelay.FleetConfig
	upstreams upstreams
	streams   streams
	// evacuated holds the failure domains under evacuation. Only the store or the full state sent by a peer ends an evacuation.
	evacuated     map[pomelorelay.DomainID]bool
	crashes       crashes
	peers         peers
	pendingPull   pendingPull
	stateRequests stateRequests
	relay         relayState
	overload      overloadWatch
	// clients is the account of clients' connections as it was last logged.
	clients pomelolistener.Stats

	adjustedAt   time.Time
	reportedAt   time.Time
	fullReportAt time.Time
	gaugesAt     time.Time
	// coldUpstreams holds the upstreams that were cold when logWarmups last ran.
	coldUpstreams map[pomelorelay.UpstreamID]pomelowarmup.Status
	// loggedSpeeds holds the prefill speeds that were last logged.
	loggedSpeeds map[pomelorelay.ServiceID]pomelospeed.PrefillRate
	// loggedInvalid holds the times at which malformed announcements of upstreams were last logged.
	loggedInvalid map[pomelorelay.UpstreamID]time.Time
	// entryErrors holds the errors of the entries that cannot be used, by key, and configError that of the configuration; empty if it can be used.
	entryErrors map[string]string
	configError string
}

func newControl(e *Router) *control {
	s := e.cfg.Settings
	c := &control{
		e:             e,
		placer:        pomeloplace.New(pomeloplace.Config{Self: s.Self, Regions: s.Regions, ColdBounds: s.ColdBounds, DisabledMechanisms: e.cfg.DisabledMechanisms}),
		shares:        pomeloshare.New(pomeloshare.Config{Window: s.ShareWindow}),
		promises:      pomelopromise.New(),
		residency:     pomeloresidency.New(pomeloresidency.Config{Overlap: s.ConfigApplyTimeout}),
		upstreams:     newUpstreams(),
		streams:       newStreams(e.cfg.Clock.Now()),
		evacuated:     make(map[pomelorelay.DomainID]bool),
		crashes:       newCrashes(e.cfg.Logger),
		peers:         newPeers(),
		loggedSpeeds:  make(map[pomelorelay.ServiceID]pomelospeed.PrefillRate),
		loggedInvalid: make(map[pomelorelay.UpstreamID]time.Time),
		entryErrors:   make(map[string]string),
		overload:      overloadWatch{expected: make(map[pomelorelay.RouteID]time.Duration)},
	}
	if e.overload == nil {
		e.overload = newOverload()
	}
	e.crashSnapshot.Store(c.crashes.log.Snapshot())
	return c
}

// run processes events, messages and ticks until the router is closed.
func (c *control) run() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer c.answerWaiting()
	for {
		select {
		case <-c.e.ctx.Done():
			return
		case ev := <-c.e.events:
			now := c.now()
			ev.apply(c, now)
			if c.placer.ReportUrgent() && now.Sub(c.reportedAt) >= minReportGap {
				c.report(now)
			}
		case m := <-c.e.mesh.Receive():
			c.receive(c.now(), m)
		case <-ticker.C:
			now := c.now()
			c.e.recordTick()
			c.e.adaptRequestLimit()
			c.tickOverload()
			c.tick(now)
		}
	}
}

func (c *control) now() time.Time { return c.e.cfg.Clock.Now() }

func (c *control) tick(now time.Time) {
	if now.Sub(c.adjustedAt) >= adjustInterval {
		c.adjustedAt = now
		c.adjust(now)
		c.adjustOverload(now)
	}
	if now.Sub(c.reportedAt) >= c.reportInterval()-tickInterval/2 {
		c.report(now)
	}
	if c.relay.local != nil {
		c.flushSummaries(now)
	}
	c.flushCrashes(now)
	if now.Sub(c.gaugesAt) >= gaugeInterval {
		c.gaugesAt = now
		c.setGauges()
		c.logClients()
		c.logWarmups(now)
	}
}

// adjust runs the periodic updates of fair shares, placement, lapsed upstreams, the delay of store reads, missing configuration and
// state, and peers.
func (c *control) adjust(now time.Time) {
	c.shares.Tick(now)
	c.promises.Expire(now)
	c.placer.SetUnreportedRouters(c.unreported(now))
	c.placer.Tick(now)
	c.removeLapsed(now)
	c.expireCrashes(now)
	applied := c.fleetApplied()
	c.streams.versions.SetApplied(now, applied)
	c.streams.coverage.SetApplied(now, applied)
	c.streams.origins.Expire(now)
	c.streams.listings.Expire(now, c.resumeWindow(now))
	c.requestStreams(now)
	c.readSkippedVersions(now)
	c.updateReadDelay(now)
	c.requestNewerConfig(now)
	c.requestMissingState(now)
	if c.peers.dropSilent(now) {
		c.setPeers()
	}
}

func (c *control) setGauges() {
	m := c.e.metrics
	m.SetGauge("upstreams", float64(len(c.upstreams.present)))
	m.SetGauge("evacuated_domains", float64(len(c.evacuated)))
	suspects := c.e.crashSnapshot.Load()
	m.SetGauge("crash_suspects", float64(suspects.Suspects()))
	m.SetGauge("quarantined_requests", float64(suspects.Quarantined(c.now())))
	m.SetGauge("stream_origins", float64(c.streams.origins.Len()))
	m.SetGauge("peers", float64(len(c.peers.byNode)))
	m.SetGauge("update_age_seconds", c.e.updateAge().Seconds())
	m.SetGauge("store_read_age_seconds", c.e.storeReadAge().Seconds())
	m.SetGauge("read_delay_seconds", time.Duration(c.e.readDelay.Load()).Seconds())
	m.SetGauge("requests_in_flight", float64(c.e.inFlight.Load()))
	m.SetGauge("caller_connections", float64(c.e.callers.Conns()))
	m.SetGauge("upstream_connections_opened", float64(c.e.forward.OpenedConnections()))
	c.setOverloadGauges()
	c.setClientGauges()
	if c.config != nil {
		m.SetGauge("generation", float64(c.config.Version))
	}
	for _, s := range c.placer.Speeds() {
		m.SetGauge("read_tokens_per_ms_"+string(s.Service), float64(s.PrefillRate))
		m.SetGauge("first_token_overhead_ms_"+string(s.Service), float64(s.FirstTokenOverhead.Milliseconds()))
		c.logSpeed(s)
	}
	for _, s := range c.placer.SlotTimes(c.now()) {
		m.SetGauge("slot_time_median_error_"+string(s.Service), s.MedianError)
		m.SetGauge("slot_time_p90_error_"+string(s.Service), s.P90Error)
		m.SetGauge("slot_time_remaining_ms_"+string(s.Service), float64(s.MeanRemaining.Milliseconds()))
		m.SetGauge("reserve_slots_"+string(s.Service), s.Reserve)
		m.SetGauge("reserve_sends_per_second_"+string(s.Service), s.SendsPerSecond)
		m.SetGauge("reserve_report_age_seconds_"+string(s.Service), s.ReportAge.Seconds())
	}
}

// speedLogRatio is the factor by which a prefill speed must change to be logged again.
const speedLogRatio = 1.2

// logSpeed logs a changed prefill speed of a service's engines, because all later placements of the service depend on it.
func (c *control) logSpeed(s pomeloplace.Speed) {
	logged := c.loggedSpeeds[s.Service]
	if logged > 0 && s.PrefillRate < speedLogRatio*logged && logged < speedLogRatio*s.PrefillRate {
		return
	}
	c.loggedSpeeds[s.Service] = s.PrefillRate
	c.e.log(pomelorelay.EventSpeedLearnt, field("Service", s.Service), field("TokensPerMS", float64(s.PrefillRate)), field("OverheadMS", s.FirstTokenOverhead.Milliseconds()),
		field("Pauses", s.PauseWeight), field("CopyPart", s.CopyFraction))
}

// place selects an upstream for a request and charges the request's account.
func (c *control) place(now time.Time, req pomeloforward.PlacementRequest, resume pomelostream.Evidence) pomeloplace.Decision {
	accounted := req.Cost > 0 && req.Account != ""
	r := req.Request
	if !resume.Basis.Known() {
		return pomeloplace.Decision{Reason: pomeloplace.ReasonVersionUnknown, RetryAfter: c.versionRetryAfter(now, resume), Resume: resume}
	}
	r.Version, r.VersionFixed = resume.Version, resume.Basis != pomelostream.BasisNone
	// The regions are determined anew at each attempt: if a new configuration allows fewer regions, this also applies to requests that
	// arrived before it.
	r.Residency = c.residency.Residency(now, req.Route, req.Account)
	r.WithinShare = true
	var share pomeloplace.ShareState
	if accounted {
		if !req.Retry {
			c.shares.RecordRequest(req.Account, req.Cost)
		}
		// Only retries that may have run and were charged skip the share check. If every retry after an unreachable upstream skipped
		// it, a flood could exceed its share while many upstreams are down, and requests of other accounts would be refused.
		r.WithinShare = req.Charged || c.shares.WithinShare(req.Account, req.Cost)
		if !req.Charged {
			r.Standing, r.RegionStandings = c.shares.Standing(req.Account), c.shares.RegionStandings(req.Account)
		}
		r.Owed = c.shares.Owed(req.Account)
		share.Cost, share.WithinShare = req.Cost, r.WithinShare
		share.Requested, share.Served, share.FairShare = c.shares.Usage(req.Account)
		share.TotalServed = c.shares.TotalServed()
	}
	d := c.placer.Place(now, r)
	d.Share, d.Residency, d.Resume = share, r.Residency, resume
	if !c.upstreams.listedAt.IsZero() {
		d.ListAge = now.Sub(c.upstreams.listedAt)
	}
	c.e.metrics.CountPlacement(string(d.Reason))
	switch {
	case d.Reason == pomeloplace.ReasonNone && accounted && !req.Charged:
		c.shares.RecordServed(req.Account, req.Cost)
	case d.Reason == pomeloplace.ReasonOverShare:
		d.RetryAfter = c.retryAfter(&d, &req)
	}
	c.recordPlacement(&req, &d)
	c.countAccount(&req, &d, r.WithinShare)
	c.countPromise(now, &req, &d)
	return d
}

// maxShareWaitFraction is the longest useful wait for capacity within an account's share, as a fraction of the latency target; the
// remainder is for the answer.
const maxShareWaitFraction = 0.5

// retryAfter returns when a caller over its account's share should retry: when the share covers the request if the answer can then
// still meet the target, and otherwise as soon as a slot may be free. In a lasting flood a longer wait does not improve the chance of
// a slot and makes the answer late.
func (c *control) retryAfter(d *pomeloplace.Decision, req *pomeloforward.PlacementRequest) time.Duration {
	wait := c.shares.RetryAfter(req.Account, req.Cost)
	if wait > time.Duration(maxShareWaitFraction*float64(req.Request.Target)) {
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

// report sends the other routers the load changes of this router.
func (c *control) report(now time.Time) {
	m := &pomelorelay.LoadReport{Full: now.Sub(c.fullReportAt) >= fullReportInterval}
	if m.Full {
		c.fullReportAt = now
		m.Applied = c.ownApplied()
	}
	c.reportedAt = now
	c.placer.FillReport(m)
	c.placer.FillAnnounced(now, m)
	m.Accounts = c.shares.AppendReport(m.Full, m.Accounts)
	m.Leaving = c.upstreams.reportedLeaving(now)
	m.Streams = c.streams.origins.TakePending()
	m.Limited = c.limitAnnounced()
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

// receiveReport applies another router's load report, received directly or through a relay. Repeated and late reports are ignored:
// during a relay change two relays may forward the same reports, and an old report applied after a newer one would restore finished
// requests and outdated sums.
func (c *control) receiveReport(now time.Time, from pomelorelay.NodeID, incarnation pomelorelay.Incarnation, m *pomelorelay.LoadReport) {
	if !c.peers.acceptReport(from, incarnation, m.Seq) {
		return
	}
	// The first report of a router is always complete.
	if m.Full || m.Seq == 1 {
		c.peers.markFullyReported(from)
	}
	if m.Full {
		c.peers.byNode[from].applied = reportedApplied(m)
	}
	c.applyReport(now, pomelorelay.Envelope{From: from, Incarnation: incarnation}, m)
}

func (c *control) receive(now time.Time, m pomelorelay.Envelope) {
	c.peers.lastMessageAt = now
	c.peers.recordMessage(now, pomelorelay.Peer{Node: m.From, Domain: m.Domain, Region: m.Region})
	c.recordGeneration(now, m.From, m.Generation)
	switch msg := m.Message.(type) {
	case *pomelorelay.LoadReport:
		c.peers.markLimited(now, m.From, msg.Limited)
		if isLimitedNotice(msg) {
			return
		}
		c.streams.origins.Merge(now, msg.Streams)
		if c.reportsDirectly() || c.isRelay(now) {
			c.receiveReport(now, m.From, m.Incarnation, msg)
			c.addNeighbourReport(now, m, msg)
		}
	case *pomelorelay.LoadSummary:
		c.streams.origins.Merge(now, msg.Report.Streams)
		c.receiveSummary(now, m, msg)
	case *pomelorelay.FleetUpdate:
		c.receiveUpdate(now, m.From, msg)
	case *pomelorelay.ConfigPull:
		c.sendConfig(m.From, msg)
	case *pomelorelay.ConfigPush:
		c.applyPushedConfig(now, m.From, msg)
	case *pomelorelay.StateAsk:
		c.sendState(now, m.From, msg)
	case *pomelorelay.FleetState:
		c.applyPeerState(now, m.From, msg)
	case *pomelorelay.StreamState:
		c.applyStreamState(now, msg)
	case *pomelorelay.CrashNotice:
		c.receiveCrashes(now, m.From, msg)
	}
}

// configureDecisions applies the configuration to the parts that decide on placements.
func (c *control) configureDecisions(now time.Time) {
	c.placer.SetConfig(c.config)
	c.residency.SetConfig(now, c.config)
	c.shares.SetCapacity(c.config.Limits.TokensPerSecond)
	c.shares.SetResidencies(c.residency.Accounts(), c.regions())
}

// setConfig activates a configuration unless the one in force has the same or a newer version.
func (c *control) setConfig(now time.Time, config *pomelorelay.FleetConfig, source string) {
	if c.config != nil && config.Version <= c.config.Version {
		return
	}
	c.keepResumable(now)
	c.config = config
	c.configureDecisions(now)
	c.e.overload.fullServices.Store(newFullServiceTable(config))
	c.e.table.Store(pomelotable.New(config))
	c.e.mesh.SetGeneration(config.Version)
	c.e.log(pomelorelay.EventConfigInForce, field("Generation", uint64(config.Version)), field("Source", source), field("Routes", len(config.Routes)), field("Accounts", len(config.Accounts)),
		field("UpdateAgeMS", c.e.updateAge().Milliseconds()), field("ReadDelayMS", time.Duration(c.e.readDelay.Load()).Milliseconds()), field("StoreReadAgeMS", c.e.storeReadAge().Milliseconds()))
}
