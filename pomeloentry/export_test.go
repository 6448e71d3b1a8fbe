package pomeloentry

import (
	"maps"
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloforward"
	"github.com/pomelorelay/pomelorelay/pomelometric"
	"github.com/pomelorelay/pomelorelay/pomeloplace"
)

// NewLimited returns a router that does nothing but keep its limit of requests at once.
func NewLimited(settings pomelorelay.FleetSettings) *Router {
	e := &Router{bounds: boundsOf(settings)}
	e.limit.Store(e.bounds.first)
	return e
}

// TickWith plays a tick of the control goroutine that came late by the lag, with so many requests at once, and returns the new limit.
func (e *Router) TickWith(lag time.Duration, running int64) int64 {
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
	c := newControl(&Router{cfg: Config{Settings: settings, Clock: pomelorelay.SystemClock{}, Logger: pomelorelay.NopLogger{}}, metrics: pomelometric.New()})
	c.shares.SetCapacity(config.Limits.TokensPerSecond)
	c.placer.SetConfig(&config)
	c.residency.SetConfig(time.Time{}, &config)
	for _, u := range upstreams {
		c.placer.PutUpstream(time.Time{}, u)
	}
	return Decider{c}
}

// UnreportedAfter returns how many routers are taken to send as much as this one, so long after one registered that is never heard.
func UnreportedAfter(passed time.Duration) int {
	p, now := newPeers(), time.Now()
	p.put(now, pomelorelay.Peer{Node: "silent", Domain: "b", Region: "rb"})
	return p.unreported(now.Add(passed), func(*knownPeer) bool { return false })
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

// Report takes another router's report.
func (d Decider) Report(now time.Time, from pomelorelay.NodeID, incarnation pomelorelay.Incarnation, m *pomelorelay.LoadReport) {
	d.c.peers.noteMessage(now, pomelorelay.Peer{Node: from})
	d.c.takeReport(now, from, incarnation, m)
}

// Served returns what an account was served in the window.
func (d Decider) Served(id pomelorelay.AccountID) pomelorelay.Cost {
	_, served, _ := d.c.shares.Usage(id)
	return served
}

// LongestPause returns how long a reader may send no update, by the time after which an upstream that leaves must get nothing.
func LongestPause(drain time.Duration) time.Duration {
	return time.Duration((pacePart + waitPart) * float64(drain))
}

// Turn returns how long without an update the router waits that is so many places after the first in the order of readers.
func Turn(drain time.Duration, place int) time.Duration {
	return time.Duration((turnPart + turnStep*float64(place-1)) * float64(drain))
}

// Look returns how often a router looks whether it has to read the store itself.
const Look = turnLook

// Follower is the part of a router that takes updates and decides whether it reads the store.
type Follower struct{ c *control }

// NewFollower returns the router named, one of the peers; all of them were just registered.
func NewFollower(self pomelorelay.NodeID, drain time.Duration, peers []pomelorelay.Peer) Follower {
	e := &Router{cfg: Config{Clock: pomelorelay.SystemClock{}, Logger: pomelorelay.NopLogger{}}, metrics: pomelometric.New(), mesh: noMesh{}}
	e.cfg.Settings.DrainTimeout = drain
	for _, p := range peers {
		if p.Node == self {
			e.cfg.Settings.Self = p
		}
	}
	c := newControl(e)
	c.applyPeers(time.Now(), &pomelorelay.FleetChange{Peers: peers})
	return Follower{c}
}

// Turn returns how long without an update the router waits until it reads the store itself.
func (f Follower) Turn(now time.Time) time.Duration {
	f.c.takeTurn(now)
	return time.Duration(f.c.e.turn.Load())
}

// Receive takes an update, and returns the revision up to which the router has everything.
func (f Follower) Receive(now time.Time, from pomelorelay.NodeID, m *pomelorelay.FleetUpdate) pomelorelay.Revision {
	f.c.receiveUpdate(now, from, m)
	return f.c.e.cursor.get()
}

// SetPlatform sets what reads configurations' documents.
func (f Follower) SetPlatform(p pomelorelay.Platform) { f.c.e.cfg.Platform = p }

// UpdateOf returns the update that the router sends of what it read.
func (f Follower) UpdateOf(change pomelorelay.FleetChange) *pomelorelay.FleetUpdate {
	return f.c.updateOf(&storeRead{change: change})
}

// Version returns the version of the configuration in force.
func (f Follower) Version() pomelorelay.Generation { return f.c.version() }

// TakeState takes what a peer has.
func (f Follower) TakeState(now time.Time, from pomelorelay.NodeID, m *pomelorelay.FleetState) pomelorelay.Revision {
	f.c.takeState(now, from, m)
	return f.c.e.cursor.get()
}

// TakeSummary takes the sum of the others' reports from the relay of its failure domain, and returns the number of other routers.
func (f Follower) TakeSummary(now time.Time, from pomelorelay.NodeID, m *pomelorelay.LoadSummary) int {
	f.c.takeSummary(now, pomelorelay.Envelope{From: from, Incarnation: 1, Message: m}, m)
	return len(f.c.peers.present)
}

// Upstreams returns the ids of the upstreams that the router has.
func (f Follower) Upstreams() []pomelorelay.UpstreamID {
	return slices.Sorted(maps.Keys(f.c.upstreams.present))
}

// Evacuated returns the failure domains under evacuation.
func (f Follower) Evacuated() []pomelorelay.DomainID { return slices.Sorted(maps.Keys(f.c.evacuated)) }

// noMesh loses every message.
type noMesh struct{ pomelorelay.Mesh }

func (noMesh) Send(pomelorelay.NodeID, pomelorelay.Message) error { return nil }
func (noMesh) SetPeers([]pomelorelay.Peer)                        {}
func (noMesh) SetGeneration(pomelorelay.Generation)               {}

// Sum sums up the reports of several sources as a relay does.
type Sum struct{ a *aggregate }

// NewSum returns a Sum of nothing.
func NewSum() Sum { return Sum{newAggregate()} }

// Take adds a source's report.
func (s Sum) Take(now time.Time, from pomelorelay.NodeID, incarnation pomelorelay.Incarnation, m *pomelorelay.LoadReport) {
	s.a.take(now, string(from), from, incarnation, m)
}

// Reports returns what changed, or everything, for each source, without what that source has.
func (s Sum) Reports(whole bool, sources ...pomelorelay.NodeID) map[pomelorelay.NodeID]*pomelorelay.LoadReport {
	all := make(map[pomelorelay.NodeID]*pomelorelay.LoadReport)
	for _, from := range sources {
		all[from] = s.a.report(string(from), whole, 1)
	}
	s.a.flushed()
	return all
}

// ForgetSilent forgets the sources that have reported nothing for a time.
func (s Sum) ForgetSilent(now time.Time, most time.Duration) { s.a.forgetSilent(now, most) }
