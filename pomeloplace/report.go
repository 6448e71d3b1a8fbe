package pomeloplace

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloroom"
	"github.com/pomelorelay/pomelorelay/pomelospeed"
)

// peer holds the latest loads and prefill speeds reported by another router.
type peer struct {
	incarnation pomelorelay.Incarnation
	seenAt      time.Time
	// complete is set after a report of the full state: an upstream that appears later counts from zero.
	complete bool
	// sends is the rate of the router's requests to small engines, weight the weight of its report in the mean age.
	sends  pomeloroom.Rate
	weight float64
	loads  map[pomelorelay.UpstreamID]load
	speeds map[pomelorelay.ServiceID]pomelorelay.SpeedSums
}

// FillReport adds this router's load to a load report: changes since the last report, or the full state if Full is set.
func (p *Placer) FillReport(m *pomelorelay.LoadReport) {
	p.seq++
	p.tokensSinceReport = 0
	m.Seq = p.seq
	for name, s := range p.pools {
		if sums := s.speed.LocalSums(); s.speedReportDue(sums.Answers) || (m.Full && sums.Answers > 0) {
			s.reportedAnswers = sums.Answers
			sums.Service = name
			pauses := s.pauseRatio.LocalSums()
			sums.DuringPrefill, sums.Stalled = pauses.Denominator, pauses.Numerator
			copies := s.copyRatio.LocalSums()
			sums.CopiedTokens, sums.CopyTimeTokens = copies.Denominator, copies.Numerator
			m.Speeds = append(m.Speeds, sums)
		}
		for _, u := range s.upstreams {
			if !u.changed && (!m.Full || u.own == (load{})) {
				continue
			}
			u.changed = false
			m.Upstreams = append(m.Upstreams, pomelorelay.UpstreamLoad{
				Upstream: u.info.ID, Running: uint32(max(0, u.own.running)), PendingPrefill: max(0, u.own.pendingPrefill), KVTokens: max(0, u.own.memoryTokens), PromptTokensSent: u.own.sent,
				FirstTokenExpected: u.own.expectedSum, FirstTokenMeasured: u.own.measuredSum,
				RequestsSent: u.own.requests,
			})
		}
	}
	m.Parts = append(m.Parts, p.pendingParts...)
	p.pendingParts = p.pendingParts[:0]
	m.Starts = append(m.Starts, p.pendingStarts...)
	p.pendingStarts = p.pendingStarts[:0]
}

// speedReportDue reports whether enough new times to first token have accumulated for a report: at first a single one, later a tenth of those
// reported before, but at most maxUnreportedAnswers.
func (s *pool) speedReportDue(answers float64) bool {
	return answers >= s.reportedAnswers+min(max(1, s.reportedAnswers/10), maxUnreportedAnswers)
}

// maxUnreportedAnswers is the number of answers with unreported times to first token from which a speed report is due in any case.
const maxUnreportedAnswers = 20

// urgentTokens is the number of prompt tokens sent since the last report that triggers an immediate report. With a lower value each request
// would trigger one; with a higher value other routers would send to the same engine before they know of these tokens.
const urgentTokens = 4000

// ReportUrgent reports whether a load report should be sent ahead of schedule.
func (p *Placer) ReportUrgent() bool {
	return p.tokensSinceReport >= urgentTokens || len(p.pendingStarts) > 0
}

// ApplyReport applies another router's load report. Reports of an earlier incarnation are ignored.
func (p *Placer) ApplyReport(now time.Time, from pomelorelay.NodeID, incarnation pomelorelay.Incarnation, m *pomelorelay.LoadReport) {
	o := p.peers[from]
	if o != nil && incarnation < o.incarnation {
		return
	}
	if o == nil || incarnation > o.incarnation {
		p.forgetRouter(from)
		o = &peer{incarnation: incarnation, loads: make(map[pomelorelay.UpstreamID]load), speeds: make(map[pomelorelay.ServiceID]pomelorelay.SpeedSums)}
		p.peers[from] = o
	}
	p.reportAges.move(o, now)
	o.seenAt = now
	p.applySpeeds(now, o, m.Speeds)
	p.applyStarts(now, m.Starts)
	identified := p.applyParts(now, m.Parts)
	for _, l := range m.Upstreams {
		before := o.loads[l.Upstream]
		p.applyLoad(now, o, l)
		if u := p.upstreams[l.Upstream]; u != nil && before.sent > 0 && !p.cfg.DisabledMechanisms.RemoteCacheUse {
			u.cache.addUnidentified(l.PromptTokensSent - before.sent - identified[l.Upstream])
		}
	}
	if m.Full {
		p.clearUnlistedLoads(now, o, m)
	}
	o.complete = o.complete || m.Full
}

// applyParts records the prompt parts used by another router's requests and returns the tokens that each upstream had to prefill for them.
func (p *Placer) applyParts(now time.Time, parts []pomelorelay.PromptPartPlaced) map[pomelorelay.UpstreamID]pomelorelay.Tokens {
	prefilled := make(map[pomelorelay.UpstreamID]pomelorelay.Tokens)
	for _, part := range parts {
		u := p.upstreams[part.Upstream]
		if u == nil {
			continue
		}
		if u.cache.parts[part.Hash] == nil {
			prefilled[part.Upstream] += part.Tokens
		}
		u.cache.add(part.Hash, part.Tokens)
		u.cache.markReported(now, part.Hash)
	}
	return prefilled
}

// clearUnlistedLoads clears loads that a full report does not list, since an earlier report of their end was lost.
func (p *Placer) clearUnlistedLoads(now time.Time, o *peer, m *pomelorelay.LoadReport) {
	listed := make(map[pomelorelay.UpstreamID]bool, len(m.Upstreams))
	for _, l := range m.Upstreams {
		listed[l.Upstream] = true
	}
	for id, l := range o.loads {
		if !listed[id] && l.running != 0 {
			p.applyLoad(now, o, pomelorelay.UpstreamLoad{Upstream: id, PromptTokensSent: l.sent, FirstTokenExpected: l.expectedSum, FirstTokenMeasured: l.measuredSum, RequestsSent: l.requests})
		}
	}
}

func (p *Placer) applySpeeds(now time.Time, o *peer, speeds []pomelorelay.SpeedSums) {
	if p.cfg.DisabledMechanisms.SharedSpeeds {
		return
	}
	for _, sums := range speeds {
		before := o.speeds[sums.Service]
		o.speeds[sums.Service] = sums
		if s := p.pools[sums.Service]; s != nil {
			s.speed.Merge(now, before, sums)
			s.pauseRatio.Merge(now, pauseSums(before), pauseSums(sums))
			s.copyRatio.Merge(now, copySums(before), copySums(sums))
		}
	}
}

func pauseSums(s pomelorelay.SpeedSums) pomelospeed.RatioSums {
	return pomelospeed.RatioSums{Numerator: s.Stalled, Denominator: s.DuringPrefill}
}

func copySums(s pomelorelay.SpeedSums) pomelospeed.RatioSums {
	return pomelospeed.RatioSums{Numerator: s.CopyTimeTokens, Denominator: s.CopiedTokens}
}

func (p *Placer) applyLoad(now time.Time, o *peer, l pomelorelay.UpstreamLoad) {
	next := load{running: int(l.Running), pendingPrefill: l.PendingPrefill, memoryTokens: l.KVTokens, sent: l.PromptTokensSent, expectedSum: l.FirstTokenExpected, measuredSum: l.FirstTokenMeasured, requests: l.RequestsSent}
	before, known := o.loads[l.Upstream]
	o.loads[l.Upstream] = next
	u := p.lookUp(l.Upstream)
	if u == nil {
		return
	}
	p.applyAnnounced(now, u, &l)
	u.others.running += next.running - before.running
	u.others.pendingPrefill += next.pendingPrefill - before.pendingPrefill
	u.others.memoryTokens += next.memoryTokens - before.memoryTokens
	if u.hasFewSlots() {
		recordReported(now, o, u, before, next, known || o.complete)
	}
	if known && next.expectedSum > before.expectedSum {
		u.observeSpeed(now, next.measuredSum-before.measuredSum, next.expectedSum-before.expectedSum)
	}
	switch {
	case known && next.sent > before.sent:
		u.enqueue(now, next.sent-before.sent)
		u.noteLongPrefill(now)
		u.pool.work.add(now, next.sent-before.sent)
	case !known:
		u.enqueue(now, next.pendingPrefill)
	}
}

// SetUnreportedRouters sets the number of registered routers without a load report. Each is assumed to send as much as this router. Without
// this assumption, routers that start at once would all see idle engines and overfill them several times before the first reports arrive,
// and callers would get answers seconds late after a restart of the fleet.
func (p *Placer) SetUnreportedRouters(routers int) {
	if p.cfg.DisabledMechanisms.UnreportedRouterLoad {
		routers = 0
	}
	for _, s := range p.pools {
		s.unreportedRouters = routers
	}
}

// Tick removes routers whose reports have expired and updates the estimates from announcements and the assignment of long prompts.
func (p *Placer) Tick(now time.Time) {
	for _, s := range p.pools {
		// A placement refreshes only the upstreams that it considers; the queues of the others would drain at an outdated rate.
		for _, u := range s.upstreams {
			u.refreshAnnounced(now)
		}
		s.assignLongEngines(now, &p.cfg.DisabledMechanisms)
	}
	p.oldestReportAt = time.Time{}
	p.reportAges = reportAges{base: now}
	for node, o := range p.peers {
		if now.Sub(o.seenAt) > PeerTimeout {
			p.forgetRouter(node)
			continue
		}
		p.reportAges.add(now, o)
		if p.oldestReportAt.IsZero() || o.seenAt.Before(p.oldestReportAt) {
			p.oldestReportAt = o.seenAt
		}
	}
}

// reportAge returns the age of the oldest report in use, as of the last tick.
func (p *Placer) reportAge(now time.Time) time.Duration {
	if p.oldestReportAt.IsZero() {
		return 0
	}
	return now.Sub(p.oldestReportAt)
}

// forgetRouter removes a router's load.
func (p *Placer) forgetRouter(node pomelorelay.NodeID) {
	o := p.peers[node]
	if o == nil {
		return
	}
	delete(p.peers, node)
	for id, l := range o.loads {
		if u := p.lookUp(id); u != nil {
			u.others.running -= l.running
			u.others.pendingPrefill -= l.pendingPrefill
			u.others.memoryTokens -= l.memoryTokens
		}
	}
}

// ForgetRouter removes a router's load.
func (p *Placer) ForgetRouter(node pomelorelay.NodeID) { p.forgetRouter(node) }

// ForgetRoutersExcept removes the load of all routers except one.
func (p *Placer) ForgetRoutersExcept(except pomelorelay.NodeID) {
	for node := range p.peers {
		if node != except {
			p.forgetRouter(node)
		}
	}
}

// addPeerLoads adds the other routers' load to a new upstream.
func (p *Placer) addPeerLoads(u *upstream, id pomelorelay.UpstreamID) {
	for _, o := range p.peers {
		l := o.loads[id]
		u.others.running += l.running
		u.others.pendingPrefill += l.pendingPrefill
		u.others.memoryTokens += l.memoryTokens
	}
}

// lookUp returns a listed or recently removed upstream; nil if unknown.
func (p *Placer) lookUp(id pomelorelay.UpstreamID) *upstream {
	if u := p.upstreams[id]; u != nil {
		return u
	}
	return p.removed[id]
}
