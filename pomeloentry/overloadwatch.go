package pomeloentry

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloforward"
	"github.com/pomelorelay/pomelorelay/pomelooverload"
	"github.com/pomelorelay/pomelorelay/pomeloplace"
)

// overloadWatch is the control goroutine's part of the overload control.
type overloadWatch struct {
	rotation pomelooverload.Rotation
	// domain is the buffer of domainRouters.
	domain []pomelooverload.Router
	// last is the state at the last tick, and noticeAt when the neighbours were last told of the limit.
	last     pomelooverload.State
	noticeAt time.Time
	// expected is the mean expected time to the answer by route.
	expected map[pomelorelay.RouteID]time.Duration
}

// expectedWeight is the weight of a placement in the mean expected time of its route.
const expectedWeight = 0.05

// recordExpected adds a placement to the mean expected time of its route.
func (w *overloadWatch) recordExpected(route pomelorelay.RouteID, expected time.Duration) {
	mean, known := w.expected[route]
	if !known {
		mean = expected
	}
	w.expected[route] = mean + time.Duration(expectedWeight*float64(expected-mean))
}

// tickOverload observes the tick's delay and logs the beginning and the end of the limit.
func (c *control) tickOverload() {
	o, now := c.e.overload, c.e.steady()
	if lag := time.Duration(c.e.tickLag.Load()); lag <= maxLag || o.lagSeenAt.Load() < now-int64(lag) {
		o.observe(now, pomelooverload.StageTick, lag)
	}
	s, last := o.state(now), c.overload.last
	c.overload.last = s
	switch {
	case s.Limited && !last.Limited:
		c.e.log(pomelorelay.EventOverloadBegan, field("DelayMS", s.Delay.Milliseconds()), field("Limit", s.Limit), field("InFlight", c.e.inFlight.Load()))
	case !s.Limited && last.Limited:
		c.e.log(pomelorelay.EventOverloadEnded, field("DelayMS", s.Delay.Milliseconds()), field("LastedMS", (time.Duration(now)-last.Since).Milliseconds()), field("Refused", s.Refused))
	}
}

// adjustOverload publishes the snapshot while it is needed, flushes the refused requests, and decides on the rotation.
func (c *control) adjustOverload(now time.Time) {
	o := c.e.overload
	c.flushUnread()
	if o.limited.Load() || o.aboveHalf.Load() {
		o.shares.Store(c.shareSnapshot())
	} else {
		o.shares.Store(nil)
	}
	setFlag(&o.away, !c.overload.rotation.Ready(time.Duration(c.e.steady()), c.e.cfg.Settings.Self.Node, c.domainRouters(now)))
	c.sendLimited(now)
}

func (c *control) flushUnread() {
	o := c.e.overload
	o.mu.Lock()
	defer o.mu.Unlock()
	for account, u := range o.unread {
		c.shares.RecordRequest(account, u.cost)
		c.countUnread(account, u)
	}
	clear(o.unread)
}

func (c *control) shareSnapshot() *shareSnapshot {
	s := &shareSnapshot{overShare: make(map[pomelorelay.AccountID]bool), expected: make(map[pomelorelay.RouteID]time.Duration, len(c.overload.expected))}
	for route, expected := range c.overload.expected {
		s.expected[route] = expected
	}
	if c.config == nil {
		return s
	}
	for i := range c.config.Accounts {
		account := c.config.Accounts[i].Name
		if !c.shares.WithinShare(account, 0) {
			s.overShare[account] = true
		}
	}
	return s
}

// recordPlacement records what the overload control uses of a placement decision.
func (c *control) recordPlacement(req *pomeloforward.PlacementRequest, d *pomeloplace.Decision) {
	switch {
	case d.Reason == pomeloplace.ReasonNone:
		c.overload.recordExpected(req.Route, d.ExpectedLatency)
	case d.Reason == pomeloplace.ReasonOverShare && d.Bound == pomeloplace.BoundSlots:
		c.e.overload.markFullService(c.e.steady(), req.Account, req.Request.Service, d.RetryAfter)
	}
}

func (c *control) setOverloadGauges() {
	m, o := c.e.metrics, c.e.overload
	for _, class := range []pomelooverload.Class{pomelooverload.ClassHopeless, pomelooverload.ClassOverShare, pomelooverload.ClassPriority, pomelooverload.ClassWithinShare, classNoFreeSlot} {
		m.SetGauge("overload_refused_"+string(class), float64(o.refused.of(class).Load()))
	}
	m.SetGauge("overload_closed_unread", float64(o.refused.unreadConns.Load()))
	away := 0.0
	if o.away.Load() {
		away = 1
	}
	m.SetGauge("overload_out_of_rotation", away)
	m.SetGauge("overload_limit", c.overload.last.Limit)
	m.SetGauge("overload_delay_seconds", c.overload.last.Delay.Seconds())
}
