package pomeloentry

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// aggregate sums the load reports of several sources, so that a relay's messages grow with the number of upstreams instead of
// the number of routers. Gauges are the sum of each source's last report; counters are the sum of each source's increments.
type aggregate struct {
	sources   map[string]*source
	upstreams map[pomelorelay.UpstreamID]*loadSum
	accounts  map[pomelorelay.AccountID]*useSum
	speeds    map[pomelorelay.ServiceID]*speedSum
	parts     []sourcePart
	starts    []sourceStart
	streams   []sourceStream
	leaving   map[pomelorelay.UpstreamID]bool
}

// sums holds loads by upstream, usage by account and prefill speeds by service.
type sums struct {
	upstreams map[pomelorelay.UpstreamID]pomelorelay.UpstreamLoad
	accounts  map[pomelorelay.AccountID]pomelorelay.AccountUse
	speeds    map[pomelorelay.ServiceID]pomelorelay.SpeedSums
}

func newSums() sums {
	return sums{
		upstreams: make(map[pomelorelay.UpstreamID]pomelorelay.UpstreamLoad),
		accounts:  make(map[pomelorelay.AccountID]pomelorelay.AccountUse),
		speeds:    make(map[pomelorelay.ServiceID]pomelorelay.SpeedSums),
	}
}

// source holds the last report of one router or failure domain; its counters are relative to the baseline.
type source struct {
	node        pomelorelay.NodeID
	incarnation pomelorelay.Incarnation
	reportedAt  time.Time
	sums
	// baseline holds the value with which the source first reported each counter. baselineComplete is set by the first full report: a
	// counter that first appears after that report counts from zero.
	baseline         sums
	baselineComplete bool
}

// rebaseLoad returns the entry with its counters relative to the source's baseline.
func (s *source) rebaseLoad(l pomelorelay.UpstreamLoad) pomelorelay.UpstreamLoad {
	if _, known := s.upstreams[l.Upstream]; !known && !s.baselineComplete {
		s.baseline.upstreams[l.Upstream] = l
	}
	base := s.baseline.upstreams[l.Upstream]
	l.PromptTokensSent -= base.PromptTokensSent
	l.RequestsSent -= base.RequestsSent
	l.FirstTokenExpected -= base.FirstTokenExpected
	l.FirstTokenMeasured -= base.FirstTokenMeasured
	return l
}

func (s *source) rebaseUse(u pomelorelay.AccountUse) pomelorelay.AccountUse {
	if _, known := s.accounts[u.Account]; !known && !s.baselineComplete {
		s.baseline.accounts[u.Account] = u
	}
	base := s.baseline.accounts[u.Account]
	u.Requested -= base.Requested
	u.Served -= base.Served
	return u
}

func (s *source) rebaseSpeed(v pomelorelay.SpeedSums) pomelorelay.SpeedSums {
	if _, known := s.speeds[v.Service]; !known && !s.baselineComplete {
		s.baseline.speeds[v.Service] = v
	}
	return adjustSpeeds(v, pomelorelay.SpeedSums{}, s.baseline.speeds[v.Service])
}

type loadSum struct {
	pomelorelay.UpstreamLoad
	changed   bool
	announced announcedLoad
}

type useSum struct {
	pomelorelay.AccountUse
	changed bool
}

type speedSum struct {
	pomelorelay.SpeedSums
	changed bool
}

// sourcePart is a placed prompt part and the source that placed it.
type sourcePart struct {
	source string
	part   pomelorelay.PromptPartPlaced
}

// sourceStart is an upstream start and the source that reported it.
type sourceStart struct {
	source string
	start  pomelorelay.UpstreamStart
}

// sourceStream is a stream that has begun and the source that reported it.
type sourceStream struct {
	source string
	origin pomelorelay.StreamOrigin
}

func newAggregate() *aggregate {
	return &aggregate{
		sources:   make(map[string]*source),
		upstreams: make(map[pomelorelay.UpstreamID]*loadSum),
		accounts:  make(map[pomelorelay.AccountID]*useSum),
		speeds:    make(map[pomelorelay.ServiceID]*speedSum),
		leaving:   make(map[pomelorelay.UpstreamID]bool),
	}
}

// add merges a source's report. The first report of another node or incarnation replaces the gauges of the source.
func (a *aggregate) add(now time.Time, key string, node pomelorelay.NodeID, incarnation pomelorelay.Incarnation, m *pomelorelay.LoadReport) {
	s := a.sources[key]
	if s != nil && (s.node != node || s.incarnation != incarnation) {
		a.remove(key)
		s = nil
	}
	if s == nil {
		s = &source{node: node, incarnation: incarnation, sums: newSums(), baseline: newSums()}
		a.sources[key] = s
	}
	s.reportedAt = now
	if m.Full {
		a.clearGauges(s, m)
	}
	for _, l := range m.Upstreams {
		l = s.rebaseLoad(l)
		a.addLoad(s.upstreams[l.Upstream], l)
		a.addAnnounced(now, key, &l)
		s.upstreams[l.Upstream] = l
	}
	for _, u := range m.Accounts {
		u = s.rebaseUse(u)
		a.addUse(s.accounts[u.Account], u)
		s.accounts[u.Account] = u
	}
	for _, v := range m.Speeds {
		v = s.rebaseSpeed(v)
		a.addSpeed(s.speeds[v.Service], v)
		s.speeds[v.Service] = v
	}
	s.baselineComplete = s.baselineComplete || m.Full
	for _, p := range m.Parts {
		a.parts = append(a.parts, sourcePart{key, p})
	}
	for _, s := range m.Starts {
		a.starts = append(a.starts, sourceStart{key, s})
	}
	for _, o := range m.Streams {
		a.streams = append(a.streams, sourceStream{key, o})
	}
	for _, id := range m.Leaving {
		a.leaving[id] = true
	}
}

// clearGauges sets to zero the gauges of the source's upstreams that a full report omits.
func (a *aggregate) clearGauges(s *source, m *pomelorelay.LoadReport) {
	reported := make(map[pomelorelay.UpstreamID]bool, len(m.Upstreams))
	for _, l := range m.Upstreams {
		reported[l.Upstream] = true
	}
	for id, l := range s.upstreams {
		if !reported[id] && (l.Running != 0 || l.PendingPrefill != 0 || l.KVTokens != 0) {
			idle := l
			idle.Running, idle.PendingPrefill, idle.KVTokens = 0, 0, 0
			a.addLoad(l, idle)
			s.upstreams[id] = idle
		}
	}
}

func (a *aggregate) addLoad(before, l pomelorelay.UpstreamLoad) {
	sum := a.upstreams[l.Upstream]
	if sum == nil {
		sum = &loadSum{UpstreamLoad: pomelorelay.UpstreamLoad{Upstream: l.Upstream}}
		a.upstreams[l.Upstream] = sum
	}
	sum.Running += l.Running - before.Running
	sum.PendingPrefill += l.PendingPrefill - before.PendingPrefill
	sum.KVTokens += l.KVTokens - before.KVTokens
	sum.PromptTokensSent += l.PromptTokensSent - before.PromptTokensSent
	sum.RequestsSent += l.RequestsSent - before.RequestsSent
	sum.FirstTokenExpected += l.FirstTokenExpected - before.FirstTokenExpected
	sum.FirstTokenMeasured += l.FirstTokenMeasured - before.FirstTokenMeasured
	sum.changed = true
}

func (a *aggregate) addUse(before, u pomelorelay.AccountUse) {
	sum := a.accounts[u.Account]
	if sum == nil {
		sum = &useSum{AccountUse: pomelorelay.AccountUse{Account: u.Account}}
		a.accounts[u.Account] = sum
	}
	sum.Requested += u.Requested - before.Requested
	sum.Served += u.Served - before.Served
	sum.changed = true
}

func (a *aggregate) addSpeed(before, v pomelorelay.SpeedSums) {
	sum := a.speeds[v.Service]
	if sum == nil {
		sum = &speedSum{SpeedSums: pomelorelay.SpeedSums{Service: v.Service}}
		a.speeds[v.Service] = sum
	}
	sum.SpeedSums = adjustSpeeds(sum.SpeedSums, v, before)
	sum.changed = true
}

// adjustSpeeds returns s + more - less, field by field.
func adjustSpeeds(s, more, less pomelorelay.SpeedSums) pomelorelay.SpeedSums {
	s.Answers += more.Answers - less.Answers
	s.WeightSum += more.WeightSum - less.WeightSum
	s.TokenSum += more.TokenSum - less.TokenSum
	s.TimeSum += more.TimeSum - less.TimeSum
	s.TokenSquareSum += more.TokenSquareSum - less.TokenSquareSum
	s.TokenTimeSum += more.TokenTimeSum - less.TokenTimeSum
	s.DuringPrefill += more.DuringPrefill - less.DuringPrefill
	s.Stalled += more.Stalled - less.Stalled
	s.CopiedTokens += more.CopiedTokens - less.CopiedTokens
	s.CopyTimeTokens += more.CopyTimeTokens - less.CopyTimeTokens
	return s
}

// remove drops a source and its gauges; its counter increments remain in the sums.
func (a *aggregate) remove(key string) {
	s := a.sources[key]
	if s == nil {
		return
	}
	a.clearGauges(s, &pomelorelay.LoadReport{})
	delete(a.sources, key)
}

// removeSilent removes the sources whose last report is older than the timeout.
func (a *aggregate) removeSilent(now time.Time, timeout time.Duration) {
	for key, s := range a.sources {
		if now.Sub(s.reportedAt) > timeout {
			a.remove(key)
		}
	}
}

// report returns the entries that changed since the last flush of summaries, or all entries when full is set. It excludes what the
// source named key reported itself; an empty key excludes nothing.
func (a *aggregate) report(now time.Time, key string, full bool, seq uint64) *pomelorelay.LoadReport {
	m := &pomelorelay.LoadReport{Seq: seq, Full: full}
	own := a.sources[key]
	if own == nil {
		own = &source{}
	}
	for id, sum := range a.upstreams {
		if !sum.changed && !full {
			continue
		}
		l := sum.UpstreamLoad
		if o, ok := own.upstreams[id]; ok {
			l.Running -= o.Running
			l.PendingPrefill -= o.PendingPrefill
			l.KVTokens -= o.KVTokens
			l.PromptTokensSent -= o.PromptTokensSent
			l.RequestsSent -= o.RequestsSent
			l.FirstTokenExpected -= o.FirstTokenExpected
			l.FirstTokenMeasured -= o.FirstTokenMeasured
		}
		sum.announced.fill(now, key, &l)
		m.Upstreams = append(m.Upstreams, l)
	}
	for id, sum := range a.accounts {
		if !sum.changed && !full {
			continue
		}
		o := own.accounts[id]
		m.Accounts = append(m.Accounts, pomelorelay.AccountUse{Account: id, Requested: sum.Requested - o.Requested, Served: sum.Served - o.Served})
	}
	for id, sum := range a.speeds {
		if sum.changed || full {
			m.Speeds = append(m.Speeds, adjustSpeeds(sum.SpeedSums, pomelorelay.SpeedSums{}, own.speeds[id]))
		}
	}
	for _, p := range a.parts {
		if p.source != key {
			m.Parts = append(m.Parts, p.part)
		}
	}
	for _, s := range a.starts {
		if s.source != key {
			m.Starts = append(m.Starts, s.start)
		}
	}
	for _, s := range a.streams {
		if s.source != key {
			m.Streams = append(m.Streams, s.origin)
		}
	}
	for id := range a.leaving {
		m.Leaving = append(m.Leaving, id)
	}
	return m
}

// changed reports whether the sums of an upstream or of an account changed since the last flush, or a prompt part, an upstream start
// or a leaving upstream was added. Changed speeds alone do not count; the next report includes them.
func (a *aggregate) changed() bool {
	for _, sum := range a.upstreams {
		if sum.changed {
			return true
		}
	}
	for _, sum := range a.accounts {
		if sum.changed {
			return true
		}
	}
	return len(a.parts)+len(a.starts)+len(a.streams)+len(a.leaving) > 0
}

// markFlushed clears the marks of changed entries after summaries were sent.
func (a *aggregate) markFlushed() {
	for _, sum := range a.upstreams {
		sum.changed, sum.announced.unsent = false, false
	}
	for _, sum := range a.accounts {
		sum.changed = false
	}
	for _, sum := range a.speeds {
		sum.changed = false
	}
	a.parts = a.parts[:0]
	a.starts = a.starts[:0]
	a.streams = a.streams[:0]
	clear(a.leaving)
}
