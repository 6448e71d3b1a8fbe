package pomeloplace

import (
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloroom"
	"github.com/pomelorelay/pomelorelay/pomelospeed"
	"github.com/pomelorelay/pomelorelay/pomelowarmup"
)

// Placer selects upstreams for requests.
type Placer struct {
	cfg       Config
	upstreams map[pomelorelay.UpstreamID]*upstream
	// removed holds upstreams that were removed, in case they are listed again.
	removed     map[pomelorelay.UpstreamID]*upstream
	pools       map[pomelorelay.ServiceID]*pool
	engineSpecs map[pomelorelay.ServiceID]*pomelorelay.EngineSpec
	// capacity is the configured throughput of all engines together, in tokens per second; zero when not configured.
	capacity pomelorelay.Cost
	// engineCount is the number of upstreams that are model engines.
	engineCount int
	peers       map[pomelorelay.NodeID]*peer
	domains     map[pomelorelay.DomainID]*domainState
	// warmup tracks cold upstreams; pendingStarts holds the upstream starts to include in the next load report.
	warmup        *pomelowarmup.Gate
	pendingStarts []pomelorelay.UpstreamStart
	// lastAnswerAt is when any upstream last answered this router.
	lastAnswerAt time.Time
	pendingParts []pomelorelay.PromptPartPlaced
	// oldestReportAt is the earliest arrival time among the last load reports of all routers; zero when no router has reported.
	oldestReportAt time.Time
	// tokensSinceReport is the number of prompt tokens sent since the last report.
	tokensSinceReport pomelorelay.Tokens
	seq               uint64
	// reportAges averages the ages of the other routers' reports.
	reportAges reportAges
	// regionLatencies holds the learnt additional round-trip time to other regions.
	regionLatencies map[pomelorelay.RegionID]time.Duration
	// targets holds the latency targets of each service.
	targets map[pomelorelay.ServiceID]latencyTargets
	// priorities holds the priorities of the services whose requests differ in it.
	priorities map[pomelorelay.ServiceID]*servicePriorities
}

// New returns a Placer without upstreams.
func New(cfg Config) *Placer {
	return &Placer{
		cfg:             cfg,
		upstreams:       make(map[pomelorelay.UpstreamID]*upstream),
		removed:         make(map[pomelorelay.UpstreamID]*upstream),
		pools:           make(map[pomelorelay.ServiceID]*pool),
		engineSpecs:     make(map[pomelorelay.ServiceID]*pomelorelay.EngineSpec),
		regionLatencies: make(map[pomelorelay.RegionID]time.Duration),
		peers:           make(map[pomelorelay.NodeID]*peer),
		domains:         make(map[pomelorelay.DomainID]*domainState),
		warmup: pomelowarmup.New(pomelowarmup.Config{
			Self: cfg.Self, Regions: cfg.Regions, Bounds: cfg.ColdBounds,
		}),
	}
}

// SetConfig applies the services, routes and limits of a fleet configuration.
func (p *Placer) SetConfig(config *pomelorelay.FleetConfig) {
	clear(p.engineSpecs)
	p.capacity = config.Limits.TokensPerSecond
	p.warmup.SetServices(config.Services)
	p.targets = latencyTargetsByService(config.Routes)
	p.priorities = prioritiesByService(config)
	for name, s := range p.pools {
		s.latencyTargets = p.targets[name]
	}
	for _, s := range config.Services {
		p.engineSpecs[s.Name] = s.Engine
	}
	p.engineCount = 0
	for _, u := range p.upstreams {
		u.setEngine(p.engineSpecs[u.info.Service])
		p.countEngine(u, 1)
	}
	p.updateInitialRate()
}

// countEngine adds delta to the number of engines if the upstream is one.
func (p *Placer) countEngine(u *upstream, delta int) {
	if u.engine != nil {
		p.engineCount += delta
	}
}

// updateInitialRate derives the initial prefill rate of each engine from the configured capacity.
func (p *Placer) updateInitialRate() {
	rate := initialPrefillRate
	if p.capacity > 0 && p.engineCount > 0 {
		rate = pomelospeed.PrefillRate(prefillRateFactor * float64(p.capacity) / float64(p.engineCount) / 1000)
	}
	for _, s := range p.pools {
		s.speed.SetPriorRate(rate)
	}
}

// PutUpstream adds or updates an upstream. An upstream that restarted or changed its address starts with empty state; one that was only
// temporarily unlisted keeps its state.
func (p *Placer) PutUpstream(now time.Time, info pomelorelay.FleetUpstream) {
	u := p.upstreams[info.ID]
	if u == nil {
		u = p.removed[info.ID]
	}
	if u == nil || !u.sameInstance(info) {
		p.RemoveUpstream(info.ID)
		u = newUpstream(info, p.engineSpecs[info.Service])
		u.warmup = p.warmupState(now, info)
		p.addPeerLoads(u, info.ID)
	}
	u.info = info
	u.region = p.cfg.Regions[info.Domain]
	u.otherRegion = u.region != p.cfg.Self.Region
	u.domain = p.ensureDomain(info.Domain)
	u.warmup.UpdateEntry(now, info)
	if p.upstreams[info.ID] == u {
		return
	}
	delete(p.removed, info.ID)
	p.upstreams[info.ID] = u
	s := p.pools[info.Service]
	if s == nil {
		s = newPool()
		if !p.cfg.DisabledMechanisms.SlotTime {
			s.slotTime = pomeloroom.NewSlotTime()
		}
		s.latencyTargets = p.targets[info.Service]
		p.pools[info.Service] = s
	}
	u.setEngine(p.engineSpecs[info.Service])
	s.add(u)
	u.pool = s
	p.countEngine(u, 1)
	p.updateInitialRate()
}

func (p *Placer) ensureDomain(id pomelorelay.DomainID) *domainState {
	d := p.domains[id]
	if d == nil {
		d = newDomainState()
		p.domains[id] = d
	}
	return d
}

// warmupState returns the warm-up state of a newly listed upstream.
func (p *Placer) warmupState(now time.Time, info pomelorelay.FleetUpstream) *pomelowarmup.Upstream {
	if p.lookUp(info.ID) != nil {
		return p.warmup.NewRestartedUpstream(now, info)
	}
	return p.warmup.NewUpstream(now, info)
}

// SetRouters sets the other registered routers.
func (p *Placer) SetRouters(others []pomelorelay.Peer) { p.warmup.SetRouters(others) }

// sameInstance reports whether the entry describes the same instance of the upstream, without a restart.
func (u *upstream) sameInstance(info pomelorelay.FleetUpstream) bool {
	return u.info.Service == info.Service && u.info.Addr == info.Addr && u.info.Version == info.Version && (u.info.StartUnixMilli == info.StartUnixMilli || info.StartUnixMilli == 0)
}

// maxRemoved limits the number of removed upstreams that are remembered; all of them are forgotten when that number is reached.
const maxRemoved = 256

// RemoveUpstream removes an upstream. Its requests continue, and its state is kept in case it is listed again.
func (p *Placer) RemoveUpstream(id pomelorelay.UpstreamID) {
	u := p.upstreams[id]
	if u == nil {
		return
	}
	if len(p.removed) >= maxRemoved {
		clear(p.removed)
	}
	p.removed[id] = u
	delete(p.upstreams, id)
	u.pool.remove(u)
	p.countEngine(u, -1)
	p.updateInitialRate()
}

// Place selects an upstream for the request or refuses it. The caller must record the end of the returned run.
func (p *Placer) Place(now time.Time, r Request) Decision {
	if r.Residency.Empty() {
		return Decision{Reason: ReasonNoAllowedRegion, RetryAfter: noRegionRetryAfter, ReportAge: p.reportAge(now)}
	}
	r.deferred = p.deferredFraction(now, &r)
	best, outcome, found := p.choose(now, &r)
	if !found {
		return p.noUpstreamDecision(now, &r)
	}
	return p.decide(now, best, outcome, &r)
}

// decide returns the decision for the best candidate and starts its run if it is admitted.
func (p *Placer) decide(now time.Time, best candidate, outcome admission, r *Request) Decision {
	d := Decision{
		LargestCostTerm: best.largestTerm,
		ReportAge:       p.reportAge(now),
		Upstream:        best.up.info, ExpectedLatency: best.expectedLatency, QueueDelay: best.queueDelay, PrefillTokens: best.prefillTokens, UncachedShared: best.uncachedShared, Running: best.up.running(),
	}
	d.Announced, d.AnnouncedAge, d.Slowness = best.up.announcement(now)
	if best.copyFrom != nil {
		d.CopyFrom, d.CopiedTokens = best.copyFrom.info, best.copiedTokens
	}
	d.Standing = r.standingAt(best.up)
	d.Reserve, d.MaxRunning, d.MaxQueueDelay = outcome.reserve, outcome.maxRunning, outcome.maxQueueDelay
	if r.WithinShare && best.up.hasFewSlots() {
		best.up.recordInShare(now, outcome.bound)
	}
	if outcome.bound != BoundNone {
		d.Reason, d.Bound, d.RetryAfter = outcome.reason, outcome.bound, outcome.retryAfter
		p.recordDenial(now, r, best.up, &d)
		return d
	}
	p.recordDenial(now, r, best.up, &d)
	d.Run = p.startRun(now, best, r)
	return d
}

// noUpstreamDecision returns the refusal of a request for which no upstream is available.
func (p *Placer) noUpstreamDecision(now time.Time, r *Request) Decision {
	d := Decision{Reason: ReasonNoUpstream, RetryAfter: unreachableBackoff, ReportAge: p.reportAge(now)}
	if wait, cold := p.coldWait(now, r); cold {
		d.Reason, d.RetryAfter = ReasonCold, wait
	} else if p.onlyEvacuated(r) {
		d.Reason, d.RetryAfter = ReasonEvacuated, evacuatedRetryAfter
	} else if r.VersionFixed {
		d.Reason = ReasonVersionGone
	}
	if r.Residency.Restricted {
		d.Reason, d.Cause = ReasonNoUpstreamInRegion, d.Reason
	}
	return d
}

// onlyEvacuated reports whether an upstream would be usable if its failure domain were not under evacuation.
func (p *Placer) onlyEvacuated(r *Request) bool {
	s := p.pools[r.Service]
	if s == nil {
		return false
	}
	return slices.ContainsFunc(s.upstreams, func(u *upstream) bool {
		return u.domain.evacuated && !u.info.Draining && p.allowed(u, r) && r.fitsVersion(u)
	})
}

// coldWait returns the time until this router may send the request to a cold upstream, and whether a cold upstream is usable at all.
func (p *Placer) coldWait(now time.Time, r *Request) (time.Duration, bool) {
	s := p.pools[r.Service]
	if s == nil {
		return 0, false
	}
	shortest, found := maxRetryAfter, false
	for _, u := range s.upstreams {
		if p.usable(u, r) && u.warmup.Cold(now) {
			shortest, found = min(shortest, u.warmup.RetryAfter(now)), true
		}
	}
	return max(shortest, minRetryAfter), found
}

// ColdUpstreams returns the status of each upstream that is or may be cold.
func (p *Placer) ColdUpstreams(now time.Time) map[pomelorelay.UpstreamID]pomelowarmup.Status {
	cold := make(map[pomelorelay.UpstreamID]pomelowarmup.Status)
	for id, u := range p.upstreams {
		if s := u.warmup.Status(now); s.Cold {
			cold[id] = s
		}
	}
	return cold
}

// SetEvacuated starts or ends the evacuation of a failure domain. When it ends, the domain's upstreams may be cold.
func (p *Placer) SetEvacuated(now time.Time, domain pomelorelay.DomainID, evacuated bool) {
	p.ensureDomain(domain).evacuated = evacuated
	if evacuated {
		return
	}
	for _, u := range p.upstreams {
		if u.info.Domain == domain {
			u.warmup.MarkMaybeCold(now)
		}
	}
}

// allowed reports whether the request's residency allows the upstream.
func (p *Placer) allowed(u *upstream, r *Request) bool {
	return r.Residency.Allows(u.region)
}

// usable reports whether the request may be sent to the upstream.
func (p *Placer) usable(u *upstream, r *Request) bool {
	return !u.info.Draining && !u.domain.evacuated && p.allowed(u, r) && r.fitsVersion(u)
}

// fitsVersion reports whether the upstream has the version at which the request's stream began.
func (r *Request) fitsVersion(u *upstream) bool {
	return !r.VersionFixed || u.info.Version == r.Version
}

// choose returns the best candidate and its admission. Cold upstreams are considered only if no other upstream admits the request.
func (p *Placer) choose(now time.Time, r *Request) (candidate, admission, bool) {
	open, outcome := p.searchAdmitted(now, r, pomelowarmup.AdmissionOpen)
	if (open.found && outcome.bound == BoundNone) || !open.fallbackSeen {
		return open.best, outcome, open.found
	}
	if cold, admitted := p.searchAdmitted(now, r, pomelowarmup.AdmissionFallback); cold.found && (admitted.bound == BoundNone || !open.found) {
		return cold.best, admitted, true
	}
	return open.best, outcome, open.found
}

// searchAdmitted returns the search for the best candidate of an admission class and the admission of that candidate. A request is refused only if it
// would also be without announced figures, which may be false.
func (p *Placer) searchAdmitted(now time.Time, r *Request, class pomelowarmup.Admission) (search, admission) {
	s := p.search(now, r, class, false)
	if !s.found {
		return s, admission{}
	}
	outcome := p.admit(now, s.best, r)
	if outcome.bound == BoundNone || !s.announcedSeen {
		return s, outcome
	}
	plain := p.search(now, r, class, true)
	if admitted := p.admit(now, plain.best, r); admitted.bound == BoundNone {
		outcome = admitted
		if plain.best.up != s.best.up {
			s = plain
		}
	}
	s.best.up.refreshAnnounced(now)
	return s, outcome
}

func (p *Placer) startRun(now time.Time, c candidate, r *Request) *Run {
	u := c.up
	u.warmup.RecordSend(now)
	u.domain.recordSend(now)
	run := &Run{up: u, sent: now, prefillTokens: c.prefillTokens, copiedTokens: c.copiedTokens, memoryTokens: r.PromptTokens + r.OutputTokens, momentary: u.momentary}
	u.own.running++
	u.own.requests++
	u.feedback.RecordSend(now)
	u.changed = true
	if u.engine == nil {
		return run
	}
	run.queuedTokens, run.waitedForSlot = u.queuedTokens(now), u.running() > u.slots()
	u.own.pendingPrefill += run.prefillTokens
	u.own.memoryTokens += run.memoryTokens
	u.own.sent += run.prefillTokens
	p.tokensSinceReport += run.prefillTokens
	u.trackRun(now, run, c, r)
	u.enqueue(now, run.prefillTokens*pomelorelay.Tokens(1+u.pool.unreportedRouters))
	u.noteLongPrefill(now)
	u.pool.typicalPrefill.add(run.prefillTokens)
	u.pool.work.addOwn(now, run.prefillTokens, u.pool.isLong(run.prefillTokens))
	p.recordParts(now, u, r)
	return run
}

// minReportedPart is the minimum size in tokens of a reported prompt part; prefilling a smaller one costs less than the report.
const minReportedPart = 64

func (p *Placer) recordParts(now time.Time, u *upstream, r *Request) {
	for i, part := range r.Parts {
		u.cache.add(part.Hash, part.Tokens)
		if part.Tokens >= minReportedPart && i < len(r.Parts)-1 && u.cache.markReported(now, part.Hash) {
			p.pendingParts = append(p.pendingParts, pomelorelay.PromptPartPlaced{Upstream: u.info.ID, Hash: part.Hash, Tokens: part.Tokens})
		}
	}
}

// RecordAnswerStart records that the answer of a run has begun.
func (p *Placer) RecordAnswerStart(now time.Time, run *Run) {
	if run.started || run.ended {
		return
	}
	run.started = true
	u := run.up
	run.expectedEnd = run.expectedEnd.Add(now.Sub(run.sent) - run.plan.FirstToken)
	p.recordAnswer(now, run)
	u.own.pendingPrefill -= run.prefillTokens
	u.changed = true
	p.updateRegionLatency(u, u.observeFirstToken(now, run, now.Sub(run.sent), p.regionLatency(u)))
}

// RecordEnd records the outcome of a run; further calls for the same run have no effect.
func (p *Placer) RecordEnd(now time.Time, run *Run, result Result) {
	if run.ended {
		return
	}
	run.ended = true
	u := run.up
	if u.engine != nil {
		if !run.started {
			u.own.pendingPrefill -= run.prefillTokens
		}
		u.own.memoryTokens -= run.memoryTokens
	}
	// A configuration may have removed the engine during the run, which must not stay among the upstream's runs.
	u.endRun(now, run, result)
	u.own.running--
	u.recordFeedbackEnd(now, run, result)
	if run.started && u.engine != nil && result.Answered() && u.longPrefillAt.After(run.sent) {
		u.pool.recordPause(now, result == ResultLongPause)
	}
	u.changed = true
	u.recordResult(now, result)
	if result == ResultUnreachable {
		p.recordUnreachable(now, run)
	}
}

// recordUnreachable records a failed connection attempt.
func (p *Placer) recordUnreachable(now time.Time, run *Run) {
	u, timedOut := run.up, now.Sub(run.sent) >= hungConnectAfter
	if timedOut {
		u.domain.recordHang(now, run.sent, u.info.ID)
	}
	if (!timedOut || p.lastAnswerAt.After(run.sent)) && u.warmup.RecordConnectFailure(now) {
		p.pendingStarts = append(p.pendingStarts, pomelorelay.UpstreamStart{Upstream: u.info.ID, Unreachable: true})
	}
}

// recordAnswer records that an upstream has answered.
func (p *Placer) recordAnswer(now time.Time, run *Run) {
	p.lastAnswerAt = now
	run.up.domain.recordAnswer(now)
	u := run.up
	if remaining, changed := u.warmup.RecordAnswer(now, run.sent); changed {
		p.pendingStarts = append(p.pendingStarts, pomelorelay.UpstreamStart{Upstream: u.info.ID, ColdRemaining: remaining})
	}
}

// applyStarts applies the upstream starts that another router reported.
func (p *Placer) applyStarts(now time.Time, starts []pomelorelay.UpstreamStart) {
	for _, s := range starts {
		u := p.upstreams[s.Upstream]
		switch {
		case u == nil:
		case s.Unreachable:
			u.warmup.MarkSuspect(now)
		default:
			u.warmup.MarkCold(now, s.ColdRemaining)
		}
	}
}
