package pomeloplace

import (
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelospeed"
	"github.com/pomelorelay/pomelorelay/pomelowarmup"
)

// Placer decides where requests go.
type Placer struct {
	cfg       Config
	upstreams map[pomelorelay.UpstreamID]*upstream
	// retired are upstreams that were removed.
	retired  map[pomelorelay.UpstreamID]*upstream
	services map[pomelorelay.ServiceID]*pool
	engines  map[pomelorelay.ServiceID]*pomelorelay.EngineSpec
	// capacity is what all engines together produce in a second as the operators configured it; zero when they did not.
	capacity pomelorelay.Cost
	// engineCount is the number of upstreams that are model engines.
	engineCount int
	peers       map[pomelorelay.NodeID]*peer
	domains     map[pomelorelay.DomainID]*domainState
	// warmup is which upstreams are cold, starts what the other routers are to learn of it.
	warmup *pomelowarmup.Gate
	starts []pomelorelay.UpstreamStart
	// answeredAt is when an upstream last answered this router.
	answeredAt time.Time
	parts      []pomelorelay.PartPlaced
	// oldest is the time of the oldest last report of another router; zero when there is none.
	oldest time.Time
	// sentSince are the prompt tokens that were sent since the last report.
	sentSince pomelorelay.Tokens
	seq       uint64
	// latencies are the round trips to other regions that were learnt, beyond those within the own.
	latencies map[pomelorelay.RegionID]time.Duration
	// expected are what the callers of each service expect.
	expected map[pomelorelay.ServiceID]expectation
}

// New returns a Placer without upstreams.
func New(cfg Config) *Placer {
	return &Placer{
		cfg:       cfg,
		upstreams: make(map[pomelorelay.UpstreamID]*upstream),
		retired:   make(map[pomelorelay.UpstreamID]*upstream),
		services:  make(map[pomelorelay.ServiceID]*pool),
		engines:   make(map[pomelorelay.ServiceID]*pomelorelay.EngineSpec),
		latencies: make(map[pomelorelay.RegionID]time.Duration),
		peers:     make(map[pomelorelay.NodeID]*peer),
		domains:   make(map[pomelorelay.DomainID]*domainState),
		warmup: pomelowarmup.New(pomelowarmup.Config{
			Self: cfg.Self, Regions: cfg.Regions, Bounds: cfg.ColdBounds,
		}),
	}
}

// SetConfig takes what the configuration says of the services and of what their engines produce.
func (p *Placer) SetConfig(config *pomelorelay.FleetConfig) {
	clear(p.engines)
	p.capacity = config.Limits.TokensPerSecond
	p.warmup.SetServices(config.Services)
	p.expected = expectations(config.Routes)
	for name, s := range p.services {
		s.expectation = p.expected[name]
	}
	for _, s := range config.Services {
		p.engines[s.Name] = s.Engine
	}
	p.engineCount = 0
	for _, u := range p.upstreams {
		u.setEngine(p.engines[u.info.Service])
		p.count(u, 1)
	}
	p.guess()
}

// count counts an upstream that comes or goes among the engines.
func (p *Placer) count(u *upstream, change int) {
	if u.engine != nil {
		p.engineCount += change
	}
}

// guess makes the operators' figure the first guess of how fast each engine reads.
func (p *Placer) guess() {
	rate := startRate
	if p.capacity > 0 && p.engineCount > 0 {
		rate = pomelospeed.PrefillRate(readTimes * float64(p.capacity) / float64(p.engineCount) / 1000)
	}
	for _, s := range p.services {
		s.line.SetPriorRate(rate)
	}
}

// PutUpstream takes an upstream's entry. One that was born anew, or has another address, keeps nothing of before; one whose entry only was
// away for a while keeps all.
func (p *Placer) PutUpstream(now time.Time, info pomelorelay.FleetUpstream) {
	u := p.upstreams[info.ID]
	if u == nil {
		u = p.retired[info.ID]
	}
	if u == nil || !u.same(info) {
		p.RemoveUpstream(info.ID)
		u = newUpstream(info, p.engines[info.Service])
		u.start = p.startOf(now, info)
		p.recount(u, info.ID)
	}
	u.info = info
	u.region = p.cfg.Regions[info.Domain]
	u.foreign = u.region != p.cfg.Self.Region
	u.domain = p.domain(info.Domain)
	u.start.UpdateEntry(now, info)
	if p.upstreams[info.ID] == u {
		return
	}
	delete(p.retired, info.ID)
	p.upstreams[info.ID] = u
	s := p.services[info.Service]
	if s == nil {
		s = newPool()
		s.expectation = p.expected[info.Service]
		p.services[info.Service] = s
	}
	u.setEngine(p.engines[info.Service])
	s.add(u)
	u.pool = s
	p.count(u, 1)
	p.guess()
}

func (p *Placer) domain(id pomelorelay.DomainID) *domainState {
	d := p.domains[id]
	if d == nil {
		d = newDomainState()
		p.domains[id] = d
	}
	return d
}

// startOf returns what is known of the start of an upstream that is listed anew.
func (p *Placer) startOf(now time.Time, info pomelorelay.FleetUpstream) *pomelowarmup.Upstream {
	if p.known(info.ID) != nil {
		return p.warmup.NewRestartedUpstream(now, info)
	}
	return p.warmup.NewUpstream(now, info)
}

// SetRouters takes the other routers that are registered.
func (p *Placer) SetRouters(others []pomelorelay.Peer) { p.warmup.SetRouters(others) }

// same reports whether an entry is of the same start of the same upstream.
func (u *upstream) same(info pomelorelay.FleetUpstream) bool {
	return u.info.Service == info.Service && u.info.Addr == info.Addr && (u.info.StartUnixMilli == info.StartUnixMilli || info.StartUnixMilli == 0)
}

// mostRetired bounds the upstreams that are remembered after they were removed.
const mostRetired = 256

// RemoveUpstream takes an upstream out; what runs there goes on, and it is remembered in case that its entry comes back.
func (p *Placer) RemoveUpstream(id pomelorelay.UpstreamID) {
	u := p.upstreams[id]
	if u == nil {
		return
	}
	if len(p.retired) >= mostRetired {
		clear(p.retired)
	}
	p.retired[id] = u
	delete(p.upstreams, id)
	u.pool.remove(u)
	p.count(u, -1)
	p.guess()
}

// Place decides on a request. The run that it returns must be ended.
func (p *Placer) Place(now time.Time, r Request) Decision {
	if r.Residency.Empty() {
		return Decision{Reason: ReasonNoAllowedRegion, RetryAfter: noRegionRetry, ReportAge: p.reportAge(now)}
	}
	best, v, found := p.choose(now, &r)
	if !found {
		return p.unplaced(now, &r)
	}
	d := Decision{
		Term:      best.largest,
		ReportAge: p.reportAge(now),
		Upstream:  best.up.info, ExpectedLatency: best.expected, QueueDelay: best.backlog, PrefillTokens: best.missing, UncachedShared: best.shared, Running: best.up.running(),
	}
	if best.from != nil {
		d.CopyFrom, d.CopiedTokens = best.from.info, best.copied
	}
	if v.bound != BoundNone {
		d.Reason, d.Bound, d.RetryAfter = v.reason, v.bound, v.retryAfter
		return d
	}
	d.Run = p.start(now, best, &r)
	return d
}

// unplaced is the decision on a request for which there is no upstream.
func (p *Placer) unplaced(now time.Time, r *Request) Decision {
	d := Decision{Reason: ReasonNoUpstream, RetryAfter: unreachedFor, ReportAge: p.reportAge(now)}
	if wait, cold := p.coldWait(now, r); cold {
		d.Reason, d.RetryAfter = ReasonCold, wait
	} else if p.onlyEvacuated(r) {
		d.Reason, d.RetryAfter = ReasonEvacuated, evacuatedRetry
	}
	if r.Residency.Restricted {
		d.Reason, d.Cause = ReasonNoUpstreamInRegion, d.Reason
	}
	return d
}

// onlyEvacuated reports whether an upstream would take the request if it were not for an evacuation.
func (p *Placer) onlyEvacuated(r *Request) bool {
	s := p.services[r.Service]
	if s == nil {
		return false
	}
	return slices.ContainsFunc(s.list, func(u *upstream) bool {
		return u.domain.evacuated && !u.info.Draining && p.allowed(u, r)
	})
}

// coldWait returns when this router may send the request to a cold upstream, and whether there is any that it could go to.
func (p *Placer) coldWait(now time.Time, r *Request) (time.Duration, bool) {
	s := p.services[r.Service]
	if s == nil {
		return 0, false
	}
	least, found := mostRetry, false
	for _, u := range s.list {
		if p.usable(u, r) && u.start.Cold(now) {
			least, found = min(least, u.start.RetryAfter(now)), true
		}
	}
	return max(least, leastRetry), found
}

// ColdUpstreams returns the upstreams that are cold or may be.
func (p *Placer) ColdUpstreams(now time.Time) map[pomelorelay.UpstreamID]pomelowarmup.Status {
	cold := make(map[pomelorelay.UpstreamID]pomelowarmup.Status)
	for id, u := range p.upstreams {
		if s := u.start.Status(now); s.Cold {
			cold[id] = s
		}
	}
	return cold
}

// SetEvacuated begins or ends the evacuation of a failure domain. Its upstreams may have become cold meanwhile.
func (p *Placer) SetEvacuated(now time.Time, domain pomelorelay.DomainID, evacuated bool) {
	p.domain(domain).evacuated = evacuated
	if evacuated {
		return
	}
	for _, u := range p.upstreams {
		if u.info.Domain == domain {
			u.start.MarkMaybeCold(now)
		}
	}
}

// allowed reports whether the request's residency allows the upstream.
func (p *Placer) allowed(u *upstream, r *Request) bool {
	return r.Residency.Allows(u.region)
}

// usable reports whether the request may be sent to the upstream at all.
func (p *Placer) usable(u *upstream, r *Request) bool {
	return !u.info.Draining && !u.domain.evacuated && p.allowed(u, r)
}

// choose returns the best candidate for the request, and whether it is admitted there. Cold upstreams are taken only when no other one admits it.
func (p *Placer) choose(now time.Time, r *Request) (candidate, verdict, bool) {
	best, found := p.best(now, r, pomelowarmup.Open)
	var v verdict
	if found {
		if v = p.admit(best, r); v.bound == BoundNone {
			return best, v, true
		}
	}
	if cold, ok := p.best(now, r, pomelowarmup.Reserve); ok {
		if admitted := p.admit(cold, r); admitted.bound == BoundNone || !found {
			return cold, admitted, true
		}
	}
	return best, v, found
}

// best returns the candidate of the lowest cost among the upstreams of a class. Those that failed this request or take no connections are taken
// only when there is no other.
func (p *Placer) best(now time.Time, r *Request, class pomelowarmup.Admission) (candidate, bool) {
	var best candidate
	s := p.services[r.Service]
	if s == nil {
		return best, false
	}
	found := false
	least := r.PromptTokens
	source := p.source(now, s, r)
	s.renew(now)
	for round := 0; round < 2 && !found; round++ {
		for _, u := range s.list {
			if !p.usable(u, r) || u.start.Admission(now) != class || (round == 0 && (u.rests(now, &p.cfg.Disabled) || slices.Contains(r.Avoid, u.info.ID))) {
				continue
			}
			c := p.weigh(now, u, source, r)
			least = min(least, c.shared)
			if !found || c.cost < best.cost {
				best, found = c, true
			}
		}
	}
	best.again = best.shared - least
	return best, found
}

func (p *Placer) start(now time.Time, c candidate, r *Request) *Run {
	u := c.up
	u.start.RecordSend(now)
	u.domain.sent(now)
	run := &Run{up: u, sent: now, missing: c.missing, copied: c.copied, held: r.PromptTokens + r.OutputTokens}
	u.own.running++
	u.changed = true
	if u.engine == nil {
		return run
	}
	run.ahead, run.crowded = u.backlog(now), u.running() > u.slots()
	u.own.unread += run.missing
	u.own.held += run.held
	u.own.sent += run.missing
	p.sentSince += run.missing
	u.enqueue(now, run.missing*pomelorelay.Tokens(1+u.pool.unreported))
	u.noteLong(now)
	u.pool.flow.addOwn(now, run.missing, u.pool.long(run.missing))
	p.notePlaced(now, u, r)
	return run
}

// leastPart is the least number of tokens of a part that is reported to other routers: below, reading it again costs less than the report.
const leastPart = 64

func (p *Placer) notePlaced(now time.Time, u *upstream, r *Request) {
	for i, part := range r.Parts {
		u.kept.note(part.Hash, part.Tokens)
		if part.Tokens >= leastPart && i < len(r.Parts)-1 && u.kept.tell(now, part.Hash) {
			p.parts = append(p.parts, pomelorelay.PartPlaced{Upstream: u.info.ID, Hash: part.Hash, Tokens: part.Tokens})
		}
	}
}

// RecordAnswerStart notes that a run's answer began.
func (p *Placer) RecordAnswerStart(now time.Time, run *Run) {
	if run.begun || run.ended {
		return
	}
	run.begun = true
	u := run.up
	p.noteAnswer(now, run)
	u.own.unread -= run.missing
	u.changed = true
	p.learnLatency(u, u.learn(now, run, now.Sub(run.sent), p.latency(u)))
}

// RecordEnd notes that a run ended.
func (p *Placer) RecordEnd(now time.Time, run *Run, result Result) {
	if run.ended {
		return
	}
	run.ended = true
	u := run.up
	if u.engine != nil {
		if !run.begun {
			u.own.unread -= run.missing
		}
		u.own.held -= run.held
	}
	u.own.running--
	if run.begun && u.engine != nil && (result == ResultCompleted || result == ResultLongPause) && u.longAt.After(run.sent) {
		u.pool.notePause(now, result == ResultLongPause)
	}
	u.changed = true
	u.result(now, result)
	if result == ResultUnreachable {
		p.noteUnreached(now, run)
	}
}

// noteUnreached notes that an upstream took no connection.
func (p *Placer) noteUnreached(now time.Time, run *Run) {
	u, hung := run.up, now.Sub(run.sent) >= hangFor
	if hung {
		u.domain.hang(now, run.sent, u.info.ID)
	}
	if (!hung || p.answeredAt.After(run.sent)) && u.start.RecordConnectFailure(now) {
		p.starts = append(p.starts, pomelorelay.UpstreamStart{Upstream: u.info.ID, Unreachable: true})
	}
}

// noteAnswer notes that an upstream answers.
func (p *Placer) noteAnswer(now time.Time, run *Run) {
	p.answeredAt = now
	run.up.domain.answer(now)
	u := run.up
	if left, news := u.start.RecordAnswer(now, run.sent); news {
		p.starts = append(p.starts, pomelorelay.UpstreamStart{Upstream: u.info.ID, ColdRemaining: left})
	}
}

// takeStarts takes what another router found out of upstreams' starts.
func (p *Placer) takeStarts(now time.Time, starts []pomelorelay.UpstreamStart) {
	for _, s := range starts {
		u := p.upstreams[s.Upstream]
		switch {
		case u == nil:
		case s.Unreachable:
			u.start.MarkSuspect(now)
		default:
			u.start.MarkCold(now, s.ColdRemaining)
		}
	}
}
