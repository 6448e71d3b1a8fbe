package pomelocheck

import (
	"cmp"
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Config sets the bounds that a Checker holds the fleet to; a zero duration takes its default.
type Config struct {
	// GapBounds are the largest allowed differences of normalised service; a pool without one is not checked.
	GapBounds map[pomelorelay.PoolID]pomelorelay.Tag
	// GapStep is the time between two samples of the gap, 100 ms by default.
	GapStep time.Duration
	// MaxWait is how long a request with all its attempts, or a backlogged account's next service, may take, 60 s by default.
	MaxWait time.Duration
	// LeaveWithin is how long a leaving upstream may still get new work, 3 s by default.
	LeaveWithin time.Duration
	// InForceWithin is how long an accepted configuration may take to be in force everywhere, 17 s by default.
	InForceWithin time.Duration
	// RefuseWithin is how long a refusal may take to reach the caller once the router gave up, 1 s by default.
	RefuseWithin time.Duration
	// MaxClockSkew is how far two observers' clocks may differ, zero by default.
	MaxClockSkew time.Duration
}

const (
	defaultGapStep       = 100 * time.Millisecond
	defaultMaxWait       = 60 * time.Second
	defaultLeaveWithin   = 3 * time.Second
	defaultInForceWithin = 17 * time.Second
	defaultRefuseWithin  = time.Second
)

func (cfg Config) withDefaults() Config {
	setDefault(&cfg.GapStep, defaultGapStep)
	setDefault(&cfg.MaxWait, defaultMaxWait)
	setDefault(&cfg.LeaveWithin, defaultLeaveWithin)
	setDefault(&cfg.InForceWithin, defaultInForceWithin)
	setDefault(&cfg.RefuseWithin, defaultRefuseWithin)
	return cfg
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// Checker collects events in any order and judges them at the end; it is not safe for concurrent use.
type Checker struct {
	cfg      Config
	attempts map[AttemptID]*attempt
	contents map[ContentID]*content
	shares   map[shareKey]*share
	leaving  map[pomelorelay.UpstreamID]time.Time
	stops    map[pomelorelay.NodeID]time.Time
	kills    map[pomelorelay.NodeID]time.Time
	frozen   map[pomelorelay.NodeID][]RouterSuspended
	goneOn   map[pomelorelay.NodeID][]RouterResumed
	accepted []ConfigAccepted
	inForce  map[pomelorelay.NodeID][]ConfigInForce
}

type attempt struct {
	sent     *RequestSent
	answered []RequestAnswered
	refused  []RequestRefused
	broken   []RequestBroken
}

type content struct {
	attempts []AttemptID
	runs     []RunStarted
}

// New returns a Checker without observations.
func New(cfg Config) *Checker {
	return &Checker{
		cfg:      cfg.withDefaults(),
		attempts: make(map[AttemptID]*attempt),
		contents: make(map[ContentID]*content),
		shares:   make(map[shareKey]*share),
		leaving:  make(map[pomelorelay.UpstreamID]time.Time),
		stops:    make(map[pomelorelay.NodeID]time.Time),
		kills:    make(map[pomelorelay.NodeID]time.Time),
		frozen:   make(map[pomelorelay.NodeID][]RouterSuspended),
		goneOn:   make(map[pomelorelay.NodeID][]RouterResumed),
		inForce:  make(map[pomelorelay.NodeID][]ConfigInForce),
	}
}

// Observe takes one event.
func (c *Checker) Observe(e Event) { e.apply(c) }

// Violations judges everything observed up to now and returns what did not hold, ordered by time.
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

// The subject breaks ties so that the same observations give the same list.
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

func (c *Checker) content(id ContentID) *content {
	t, ok := c.contents[id]
	if !ok {
		t = &content{}
		c.contents[id] = t
	}
	return t
}

func (e RequestSent) apply(c *Checker) {
	c.attempt(e.Attempt).sent = &e
	t := c.content(e.Content)
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
	t := c.content(e.Content)
	t.runs = append(t.runs, e)
}

func (e UpstreamLeaving) apply(c *Checker) { keepFirst(c.leaving, e.Upstream, e.At) }

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

func (e RouterSuspended) apply(c *Checker) { c.frozen[e.Node] = append(c.frozen[e.Node], e) }

func (e RouterResumed) apply(c *Checker) { c.goneOn[e.Node] = append(c.goneOn[e.Node], e) }

func (e ConfigAccepted) apply(c *Checker) { c.accepted = append(c.accepted, e) }

func (e ConfigInForce) apply(c *Checker) { c.inForce[e.Node] = append(c.inForce[e.Node], e) }

func keepFirst(times map[pomelorelay.UpstreamID]time.Time, id pomelorelay.UpstreamID, at time.Time) {
	if known, ok := times[id]; !ok || at.Before(known) {
		times[id] = at
	}
}
