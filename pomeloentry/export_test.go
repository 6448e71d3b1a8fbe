package pomeloentry

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloforward"
	"github.com/pomelorelay/pomelorelay/pomelometric"
	"github.com/pomelorelay/pomelorelay/pomeloplace"
)

// NewLimited returns a router that does nothing but keep its limit of requests at once.
func NewLimited(settings pomelorelay.FleetSettings) *Entry {
	e := &Entry{bounds: boundsOf(settings)}
	e.limit.Store(e.bounds.first)
	return e
}

// TickWith plays a tick of the control goroutine that came late by the lag, with so many requests at once, and returns the new limit.
func (e *Entry) TickWith(lag time.Duration, running int64) int64 {
	e.tickLag.Store(int64(lag))
	e.inFlight.Store(running)
	e.adapt()
	return e.limit.Load()
}

// Decider decides on places as the control goroutine does, without the goroutine.
type Decider struct{ c *control }

// NewDecider returns a Decider that knows the configuration's limits and services, and the upstreams.
func NewDecider(config pomelorelay.FleetConfig, upstreams ...pomelorelay.FleetUpstream) Decider {
	settings := pomelorelay.FleetSettings{Self: pomelorelay.Peer{Node: "r", Domain: "a", Region: "ra"}, ShareWindow: 4 * time.Second}
	c := newControl(&Entry{cfg: Config{Settings: settings, Clock: pomelorelay.SystemClock{}, Logger: pomelorelay.NopLogger{}}, metrics: pomelometric.New()})
	c.shares.SetCapacity(config.Limits.TokensPerSecond)
	c.placer.SetConfig(&config)
	for _, u := range upstreams {
		c.placer.Put(u)
	}
	return Decider{c}
}

// UnheardAfter returns how many routers are taken to send as much as this one, so long after one registered that is never heard.
func UnheardAfter(passed time.Duration) int {
	p, now := newPeers(), time.Now()
	p.put(now, pomelorelay.Peer{Node: "silent", Domain: "b", Region: "rb"})
	return p.unheard(now.Add(passed))
}

// RefusedUnread notes a request that a full router refused.
func (d Decider) RefusedUnread(now time.Time, account pomelorelay.AccountID, cost pomelorelay.Cost) {
	(&refusedUnread{account, cost}).apply(d.c, now)
}

// Place decides on a request.
func (d Decider) Place(now time.Time, w pomeloforward.Work) pomeloplace.Decision {
	d.c.shares.Tick(now)
	return d.c.place(now, w)
}

// Hear takes another router's report.
func (d Decider) Hear(now time.Time, from pomelorelay.NodeID, incarnation pomelorelay.Incarnation, m *pomelorelay.LoadReport) {
	d.c.peers.hear(now, pomelorelay.Peer{Node: from})
	d.c.takeReport(now, from, incarnation, m)
}

// Served returns what an account was served in the window.
func (d Decider) Served(id pomelorelay.AccountID) pomelorelay.Cost {
	_, served, _ := d.c.shares.State(id)
	return served
}

// LongestPause returns how long a relay may tell its neighbours nothing, by the time after which an upstream that leaves must get nothing.
func LongestPause(drain time.Duration) time.Duration {
	return time.Duration((pacePart + waitPart) * float64(drain))
}

// NewsLast returns how long a router relies on a neighbour's last word of the upstreams.
func NewsLast(drain time.Duration) time.Duration { return time.Duration(newsPart * float64(drain)) }

// Look returns how often a router looks whether it has to ask the store itself.
const Look = newsLook

// LooksAgain tells a router of the relay r1 that others bring it news, in the order given, and returns whether it will read the routers anew.
func LooksAgain(from ...pomelorelay.NodeID) bool {
	settings := pomelorelay.FleetSettings{Self: pomelorelay.Peer{Node: "r9", Domain: "a", Region: "ra"}}
	c := newControl(&Entry{cfg: Config{Settings: settings, Clock: pomelorelay.SystemClock{}, Logger: pomelorelay.NopLogger{}}, metrics: pomelometric.New()})
	now := time.Unix(1000, 0)
	for _, node := range []pomelorelay.NodeID{"r1", "r2"} {
		c.peers.put(now, pomelorelay.Peer{Node: node, Domain: "a", Region: "ra"})
	}
	for _, node := range from {
		c.takeNews(now, node, &pomelorelay.UpstreamNews{At: 5})
	}
	return c.e.relayChanged.Load()
}
