package pomelocheck

import (
	"cmp"
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Config sets the limits that a Checker enforces; a zero duration takes its default.
type Config struct {
	// GapBounds are the maximum differences in normalised service (cost over weight) between two accounts of a pool; a pool without
	// a bound is not checked.
	GapBounds map[pomelorelay.PoolID]pomelorelay.Tag
	// GapSampleInterval is the time between samples of the normalised service, 100 ms by default.
	GapSampleInterval time.Duration
	// MaxWait is the maximum time that a request may take over all its attempts, and the maximum time that a backlogged account may
	// receive no service; 60 s by default.
	MaxWait time.Duration
	// LeaveGrace is how long a leaving upstream may still receive new requests, 3 s by default.
	LeaveGrace time.Duration
	// MaxConfigDelay is the maximum time until an accepted configuration is in force on all routers, 17 s by default.
	MaxConfigDelay time.Duration
	// MaxRefusalDelay is the maximum for each of three durations: from a router's decision to refuse an attempt to the end of the
	// refusal, from the first to the last byte of the refusal, and from the caller's deadline to the end of the attempt; 1 s by default.
	MaxRefusalDelay time.Duration
	// MaxClockSkew is the maximum difference between the clocks of two observers, zero by default.
	MaxClockSkew time.Duration
}

const (
	defaultGapSampleInterval = 100 * time.Millisecond
	defaultMaxWait           = 60 * time.Second
	defaultLeaveGrace        = 3 * time.Second
	defaultMaxConfigDelay    = 17 * time.Second
	defaultMaxRefusalDelay   = time.Second
)

func (cfg Config) withDefaults() Config {
	setDefault(&cfg.GapSampleInterval, defaultGapSampleInterval)
	setDefault(&cfg.MaxWait, defaultMaxWait)
	setDefault(&cfg.LeaveGrace, defaultLeaveGrace)
	setDefault(&cfg.MaxConfigDelay, defaultMaxConfigDelay)
	setDefault(&cfg.MaxRefusalDelay, defaultMaxRefusalDelay)
	return cfg
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// Checker collects events in any order and checks them on request; it is not safe for concurrent use.
type Checker struct {
	cfg         Config
	attempts    map[AttemptID]*attempt
	requests    map[ContentID]*requestHistory
	services    map[accountKey]*accountService
	leaving     map[pomelorelay.UpstreamID]time.Time
	stops       map[pomelorelay.NodeID]time.Time
	kills       map[pomelorelay.NodeID]time.Time
	suspensions map[pomelorelay.NodeID][]RouterSuspended
	resumptions map[pomelorelay.NodeID][]RouterResumed
	accepted    []ConfigAccepted
	inForce     map[pomelorelay.NodeID][]ConfigInForce
}

type attempt struct {
	sent     *RequestSent
	answered []RequestAnswered
	refused  []RequestRefused
	broken   []RequestBroken
}

type requestHistory struct {
	attempts []AttemptID
	runs     []RunStarted
}

// New returns a Checker without events.
func New(cfg Config) *Checker {
	return &Checker{
		cfg:         cfg.withDefaults(),
		attempts:    make(map[AttemptID]*attempt),
		requests:    make(map[ContentID]*requestHistory),
		services:    make(map[accountKey]*accountService),
		leaving:     make(map[pomelorelay.UpstreamID]time.Time),
		stops:       make(map[pomelorelay.NodeID]time.Time),
		kills:       make(map[pomelorelay.NodeID]time.Time),
		suspensions: make(map[pomelorelay.NodeID][]RouterSuspended),
		resumptions: make(map[pomelorelay.NodeID][]RouterResumed),
		inForce:     make(map[pomelorelay.NodeID][]ConfigInForce),
	}
}

// Observe adds one event.
func (c *Checker) Observe(e Event) { e.apply(c) }

// Violations checks all events up to now and returns the violations in order of time.
func (c *Checker) Violations(now time.Time) []Violation {
	var out []Violation
	out = c.checkAnswers(out)
	out = c.checkWaits(now, out)
	out = c.checkRefusals(now, out)
	out = c.checkRuns(out)
	out = c.checkLeaving(out)
	out = c.checkStops(out)
	out = c.checkGenerations(out)
	out = c.checkStarvation(now, out)
	out = c.checkGap(now, out)
	slices.SortStableFunc(out, compareViolations)
	return out
}

// compareViolations orders violations by time, and those of the same time by kind and subject, so that the order is deterministic.
func compareViolations(a, b Violation) int {
	if order := a.At.Compare(b.At); order != 0 {
		return order
	}
	if order := cmp.Compare(a.Kind, b.Kind); order != 0 {
		return order
	}
	return cmp.Compare(a.Subject, b.Subject)
}

func (c *Checker) attempt(id AttemptID) *attempt {
	a, ok := c.attempts[id]
	if !ok {
		a = &attempt{}
		c.attempts[id] = a
	}
	return a
}

func (c *Checker) requestHistory(id ContentID) *requestHistory {
	t, ok := c.requests[id]
	if !ok {
		t = &requestHistory{}
		c.requests[id] = t
	}
	return t
}

func (e RequestSent) apply(c *Checker) {
	c.attempt(e.Attempt).sent = &e
	t := c.requestHistory(e.Content)
	t.attempts = append(t.attempts, e.Attempt)
}

func (e RequestAnswered) apply(c *Checker) {
	a := c.attempt(e.Attempt)
	a.answered = append(a.answered, e)
}

func (e RequestRefused) apply(c *Checker) {
	a := c.attempt(e.Attempt)
	a.refused = append(a.refused, e)
}

func (e RequestBroken) apply(c *Checker) {
	a := c.attempt(e.Attempt)
	a.broken = append(a.broken, e)
}

func (e RunStarted) apply(c *Checker) {
	t := c.requestHistory(e.Content)
	t.runs = append(t.runs, e)
}

func (e UpstreamLeaving) apply(c *Checker) { keepEarliest(c.leaving, e.Upstream, e.At) }

func (e RouterStopping) apply(c *Checker) {
	if at, ok := c.stops[e.Node]; !ok || e.At.Before(at) {
		c.stops[e.Node] = e.At
	}
}

func (e RouterKilled) apply(c *Checker) {
	if at, ok := c.kills[e.Node]; !ok || e.At.Before(at) {
		c.kills[e.Node] = e.At
	}
}

func (e RouterSuspended) apply(c *Checker) { c.suspensions[e.Node] = append(c.suspensions[e.Node], e) }

func (e RouterResumed) apply(c *Checker) { c.resumptions[e.Node] = append(c.resumptions[e.Node], e) }

func (e ConfigAccepted) apply(c *Checker) { c.accepted = append(c.accepted, e) }

func (e ConfigInForce) apply(c *Checker) { c.inForce[e.Node] = append(c.inForce[e.Node], e) }

func keepEarliest(times map[pomelorelay.UpstreamID]time.Time, id pomelorelay.UpstreamID, at time.Time) {
	if known, ok := times[id]; !ok || at.Before(known) {
		times[id] = at
	}
}
