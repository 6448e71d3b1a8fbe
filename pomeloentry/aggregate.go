package pomeloentry

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// aggregate sums up the reports of several sources, so that what a relay sends grows with the upstreams and not with the routers. Gauges are sums
// of what each source last reported; counters are sums of what each source has added.
type aggregate struct {
	sources   map[string]*source
	upstreams map[pomelorelay.UpstreamID]*loadSum
	accounts  map[pomelorelay.AccountID]*useSum
	speeds    map[pomelorelay.ServiceID]*speedSum
	parts     []sourcePart
	starts    []sourceStart
	leaving   map[pomelorelay.UpstreamID]bool
}

// sums are loads, uses and speeds by what they belong to.
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

// source is what one router or one failure domain last reported, with its counters from the base on.
type source struct {
	node        pomelorelay.NodeID
	incarnation pomelorelay.Incarnation
	reportedAt  time.Time
	sums
	// base holds the counters as they were first reported; settled is set once everything was reported, after which nothing is added to it.
	base    sums
	settled bool
}

// load returns a report's entry with its counters from the base on.
func (s *source) load(l pomelorelay.UpstreamLoad) pomelorelay.UpstreamLoad {
	if _, known := s.upstreams[l.Upstream]; !known && !s.settled {
		s.base.upstreams[l.Upstream] = l
	}
	base := s.base.upstreams[l.Upstream]
	l.PromptTokensSent -= base.PromptTokensSent
	l.FirstTokenExpected -= base.FirstTokenExpected
	l.FirstTokenMeasured -= base.FirstTokenMeasured
	return l
}

func (s *source) use(u pomelorelay.AccountUse) pomelorelay.AccountUse {
	if _, known := s.accounts[u.Account]; !known && !s.settled {
		s.base.accounts[u.Account] = u
	}
	base := s.base.accounts[u.Account]
	u.Requested -= base.Requested
	u.Served -= base.Served
	return u
}

func (s *source) speed(v pomelorelay.SpeedSums) pomelorelay.SpeedSums {
	if _, known := s.speeds[v.Service]; !known && !s.settled {
		s.base.speeds[v.Service] = v
	}
	return plusSpeeds(v, pomelorelay.SpeedSums{}, s.base.speeds[v.Service])
}

type loadSum struct {
	pomelorelay.UpstreamLoad
	changed bool
}

type useSum struct {
	pomelorelay.AccountUse
	changed bool
}

type speedSum struct {
	pomelorelay.SpeedSums
	changed bool
}

// sourcePart is a part of a prompt with the source that placed it.
type sourcePart struct {
	source string
	part   pomelorelay.PartPlaced
}

// sourceStart is what a source found out of an upstream's start.
type sourceStart struct {
	source string
	start  pomelorelay.UpstreamStart
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

// take adds a source's report; a report of another router or incarnation replaces what the source had.
func (a *aggregate) take(now time.Time, key string, node pomelorelay.NodeID, incarnation pomelorelay.Incarnation, m *pomelorelay.LoadReport) {
	s := a.sources[key]
	if s != nil && (s.node != node || s.incarnation != incarnation) {
		a.forget(key)
		s = nil
	}
	if s == nil {
		s = &source{node: node, incarnation: incarnation, sums: newSums(), base: newSums()}
		a.sources[key] = s
	}
	s.reportedAt = now
	if m.Full {
		a.clear(s, m)
	}
	for _, l := range m.Upstreams {
		l = s.load(l)
		a.addLoad(s.upstreams[l.Upstream], l)
		s.upstreams[l.Upstream] = l
	}
	for _, u := range m.Accounts {
		u = s.use(u)
		a.addUse(s.accounts[u.Account], u)
		s.accounts[u.Account] = u
	}
	for _, v := range m.Speeds {
		v = s.speed(v)
		a.addSpeed(s.speeds[v.Service], v)
		s.speeds[v.Service] = v
	}
	s.settled = s.settled || m.Full
	for _, p := range m.Parts {
		a.parts = append(a.parts, sourcePart{key, p})
	}
	for _, s := range m.Starts {
		a.starts = append(a.starts, sourceStart{key, s})
	}
	for _, id := range m.Leaving {
		a.leaving[id] = true
	}
}

// clear takes back the gauges of upstreams that a whole report does not hold.
func (a *aggregate) clear(s *source, m *pomelorelay.LoadReport) {
	held := make(map[pomelorelay.UpstreamID]bool, len(m.Upstreams))
	for _, l := range m.Upstreams {
		held[l.Upstream] = true
	}
	for id, l := range s.upstreams {
		if !held[id] && (l.Running != 0 || l.PendingPrefill != 0 || l.KVTokens != 0) {
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
	sum.SpeedSums = plusSpeeds(sum.SpeedSums, v, before)
	sum.changed = true
}

// plusSpeeds returns the sums with more added and less taken off.
func plusSpeeds(s, more, less pomelorelay.SpeedSums) pomelorelay.SpeedSums {
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

// forget takes back a source's gauges; what it added to counters stays.
func (a *aggregate) forget(key string) {
	s := a.sources[key]
	if s == nil {
		return
	}
	a.clear(s, &pomelorelay.LoadReport{})
	delete(a.sources, key)
}

// forgetSilent forgets the sources that have reported nothing for a time.
func (a *aggregate) forgetSilent(now time.Time, most time.Duration) {
	for key, s := range a.sources {
		if now.Sub(s.reportedAt) > most {
			a.forget(key)
		}
	}
}

// report returns what changed since the last flush, or everything, without what the source named has reported itself; an empty key leaves out
// nothing.
func (a *aggregate) report(key string, whole bool, seq uint64) *pomelorelay.LoadReport {
	m := &pomelorelay.LoadReport{Seq: seq, Full: whole}
	own := a.sources[key]
	if own == nil {
		own = &source{}
	}
	for id, sum := range a.upstreams {
		if !sum.changed && !whole {
			continue
		}
		l := sum.UpstreamLoad
		if o, ok := own.upstreams[id]; ok {
			l.Running -= o.Running
			l.PendingPrefill -= o.PendingPrefill
			l.KVTokens -= o.KVTokens
			l.PromptTokensSent -= o.PromptTokensSent
			l.FirstTokenExpected -= o.FirstTokenExpected
			l.FirstTokenMeasured -= o.FirstTokenMeasured
		}
		m.Upstreams = append(m.Upstreams, l)
	}
	for id, sum := range a.accounts {
		if !sum.changed && !whole {
			continue
		}
		o := own.accounts[id]
		m.Accounts = append(m.Accounts, pomelorelay.AccountUse{Account: id, Requested: sum.Requested - o.Requested, Served: sum.Served - o.Served})
	}
	for id, sum := range a.speeds {
		if sum.changed || whole {
			m.Speeds = append(m.Speeds, plusSpeeds(sum.SpeedSums, pomelorelay.SpeedSums{}, own.speeds[id]))
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
	for id := range a.leaving {
		m.Leaving = append(m.Leaving, id)
	}
	return m
}

// changed reports whether anything was reported since the last flush.
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
	return len(a.parts)+len(a.starts)+len(a.leaving) > 0
}

// flushed marks everything as reported.
func (a *aggregate) flushed() {
	for _, sum := range a.upstreams {
		sum.changed = false
	}
	for _, sum := range a.accounts {
		sum.changed = false
	}
	for _, sum := range a.speeds {
		sum.changed = false
	}
	a.parts = a.parts[:0]
	a.starts = a.starts[:0]
	clear(a.leaving)
}
