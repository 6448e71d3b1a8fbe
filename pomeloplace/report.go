package pomeloplace

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelospeed"
)

// peer is the last report of another router.
type peer struct {
	incarnation pomelorelay.Incarnation
	seenAt      time.Time
	loads       map[pomelorelay.UpstreamID]load
	speeds      map[pomelorelay.ServiceID]pomelorelay.SpeedSums
}

// FillReport fills in what this router has on the upstreams: what changed since the last report, or all.
func (p *Placer) FillReport(m *pomelorelay.LoadReport) {
	p.seq++
	p.sentSince = 0
	m.Seq = p.seq
	for name, s := range p.services {
		if sums := s.line.LocalSums(); s.tells(sums.Answers) || (m.Full && sums.Answers > 0) {
			s.told = sums.Answers
			sums.Service = name
			pauses := s.pauses.LocalSums()
			sums.DuringPrefill, sums.Stalled = pauses.Denominator, pauses.Numerator
			copies := s.copies.LocalSums()
			sums.CopiedTokens, sums.CopyTimeTokens = copies.Denominator, copies.Numerator
			m.Speeds = append(m.Speeds, sums)
		}
		for _, u := range s.list {
			if !u.changed && (!m.Full || u.own == (load{})) {
				continue
			}
			u.changed = false
			m.Upstreams = append(m.Upstreams, pomelorelay.UpstreamLoad{
				Upstream: u.info.ID, Running: uint32(max(0, u.own.running)), PendingPrefill: max(0, u.own.unread), KVTokens: max(0, u.own.held), PromptTokensSent: u.own.sent,
				FirstTokenExpected: u.own.expected, FirstTokenMeasured: u.own.took,
			})
		}
	}
	m.Parts = append(m.Parts, p.parts...)
	p.parts = p.parts[:0]
	m.Starts = append(m.Starts, p.starts...)
	p.starts = p.starts[:0]
}

// tells reports whether the times of so many answers are due for a report: each of the first ones, later a tenth more, or fewer where they are many.
func (s *pool) tells(answers float64) bool {
	return answers >= s.told+min(max(1, s.told/10), mostUnreported)
}

// mostUnreported is the most answers whose times wait for the next whole report.
const mostUnreported = 20

// urgentTokens is the number of prompt tokens sent since the last report from which the next one is sent at once. With fewer, each
// request would make a report of its own; with more, others would send to the same engine meanwhile.
const urgentTokens = 4000

// Urgent reports whether the other routers should have a report before the next one is due.
func (p *Placer) Urgent() bool { return p.sentSince >= urgentTokens || len(p.starts) > 0 }

// ApplyReport takes another router's report.
func (p *Placer) ApplyReport(now time.Time, from pomelorelay.NodeID, incarnation pomelorelay.Incarnation, m *pomelorelay.LoadReport) {
	o := p.peers[from]
	if o != nil && incarnation < o.incarnation {
		return
	}
	if o == nil || incarnation > o.incarnation {
		p.forget(from)
		o = &peer{incarnation: incarnation, loads: make(map[pomelorelay.UpstreamID]load), speeds: make(map[pomelorelay.ServiceID]pomelorelay.SpeedSums)}
		p.peers[from] = o
	}
	o.seenAt = now
	p.takeSpeeds(now, o, m.Speeds)
	p.takeStarts(now, m.Starts)
	named := p.takeParts(now, m.Parts)
	for _, l := range m.Upstreams {
		before := o.loads[l.Upstream]
		p.take(now, o, l)
		if u := p.upstreams[l.Upstream]; u != nil && before.sent > 0 && !p.cfg.Disabled.OthersMemory {
			u.kept.noteUnnamed(l.PromptTokensSent - before.sent - named[l.Upstream])
		}
	}
	if m.Full {
		p.clearOthers(now, o, m)
	}
}

// takeParts notes the parts that another router's requests used, and returns the tokens that each upstream had to read of them.
func (p *Placer) takeParts(now time.Time, parts []pomelorelay.PartPlaced) map[pomelorelay.UpstreamID]pomelorelay.Tokens {
	read := make(map[pomelorelay.UpstreamID]pomelorelay.Tokens)
	for _, part := range parts {
		u := p.upstreams[part.Upstream]
		if u == nil {
			continue
		}
		if u.kept.parts[part.Hash] == nil {
			read[part.Upstream] += part.Tokens
		}
		u.kept.note(part.Hash, part.Tokens)
		u.kept.tell(now, part.Hash)
	}
	return read
}

// clearOthers takes back what a whole report does not hold: the report in which it fell to nothing was lost.
func (p *Placer) clearOthers(now time.Time, o *peer, m *pomelorelay.LoadReport) {
	told := make(map[pomelorelay.UpstreamID]bool, len(m.Upstreams))
	for _, l := range m.Upstreams {
		told[l.Upstream] = true
	}
	for id, l := range o.loads {
		if !told[id] && l.running != 0 {
			p.take(now, o, pomelorelay.UpstreamLoad{Upstream: id, PromptTokensSent: l.sent, FirstTokenExpected: l.expected, FirstTokenMeasured: l.took})
		}
	}
}

func (p *Placer) takeSpeeds(now time.Time, o *peer, speeds []pomelorelay.SpeedSums) {
	if p.cfg.Disabled.SharedSpeeds {
		return
	}
	for _, sums := range speeds {
		before := o.speeds[sums.Service]
		o.speeds[sums.Service] = sums
		if s := p.services[sums.Service]; s != nil {
			s.line.Merge(now, before, sums)
			s.pauses.Merge(now, pauseSums(before), pauseSums(sums))
			s.copies.Merge(now, copySums(before), copySums(sums))
		}
	}
}

func pauseSums(s pomelorelay.SpeedSums) pomelospeed.RatioSums {
	return pomelospeed.RatioSums{Numerator: s.Stalled, Denominator: s.DuringPrefill}
}

func copySums(s pomelorelay.SpeedSums) pomelospeed.RatioSums {
	return pomelospeed.RatioSums{Numerator: s.CopyTimeTokens, Denominator: s.CopiedTokens}
}

func (p *Placer) take(now time.Time, o *peer, l pomelorelay.UpstreamLoad) {
	next := load{running: int(l.Running), unread: l.PendingPrefill, held: l.KVTokens, sent: l.PromptTokensSent, expected: l.FirstTokenExpected, took: l.FirstTokenMeasured}
	before, known := o.loads[l.Upstream]
	o.loads[l.Upstream] = next
	u := p.known(l.Upstream)
	if u == nil {
		return
	}
	u.others.running += next.running - before.running
	u.others.unread += next.unread - before.unread
	u.others.held += next.held - before.held
	if known && next.expected > before.expected {
		u.factor.Observe(now, next.took-before.took, next.expected-before.expected)
	}
	switch {
	case known && next.sent > before.sent:
		u.enqueue(now, next.sent-before.sent)
		u.noteLong(now)
		u.pool.flow.add(now, next.sent-before.sent)
	case !known:
		u.enqueue(now, next.unread)
	}
}

// SetUnreportedRouters sets the number of registered routers without a report yet. They count as sending as much as this one: when all routers start at
// once, each sees idle engines, and together they would fill them several times over before the first reports arrive. What callers
// notice are seconds of late answers after a restart of the fleet.
func (p *Placer) SetUnreportedRouters(routers int) {
	if p.cfg.Disabled.Unreported {
		routers = 0
	}
	for _, s := range p.services {
		s.unreported = routers
	}
}

// Tick forgets routers that have been silent and spreads the long prompts anew.
func (p *Placer) Tick(now time.Time) {
	for _, s := range p.services {
		s.spread(now, &p.cfg.Disabled)
	}
	p.oldest = time.Time{}
	for node, o := range p.peers {
		if now.Sub(o.seenAt) > PeerTimeout {
			p.forget(node)
			continue
		}
		if p.oldest.IsZero() || o.seenAt.Before(p.oldest) {
			p.oldest = o.seenAt
		}
	}
}

// reportAge returns the age of the oldest report that counts, as of the last tick.
func (p *Placer) reportAge(now time.Time) time.Duration {
	if p.oldest.IsZero() {
		return 0
	}
	return now.Sub(p.oldest)
}

// forget takes back what a router had on the upstreams.
func (p *Placer) forget(node pomelorelay.NodeID) {
	o := p.peers[node]
	if o == nil {
		return
	}
	delete(p.peers, node)
	for id, l := range o.loads {
		if u := p.known(id); u != nil {
			u.others.running -= l.running
			u.others.unread -= l.unread
			u.others.held -= l.held
		}
	}
}

// ForgetRouter takes back what a router had on the upstreams.
func (p *Placer) ForgetRouter(node pomelorelay.NodeID) { p.forget(node) }

// ForgetRoutersExcept takes back what all routers but one had on the upstreams.
func (p *Placer) ForgetRoutersExcept(but pomelorelay.NodeID) {
	for node := range p.peers {
		if node != but {
			p.forget(node)
		}
	}
}

// recount sums up the other routers' load of a new upstream.
func (p *Placer) recount(u *upstream, id pomelorelay.UpstreamID) {
	for _, o := range p.peers {
		l := o.loads[id]
		u.others.running += l.running
		u.others.unread += l.unread
		u.others.held += l.held
	}
}

// known returns an upstream that is there or may come back.
func (p *Placer) known(id pomelorelay.UpstreamID) *upstream {
	if u := p.upstreams[id]; u != nil {
		return u
	}
	return p.retired[id]
}
