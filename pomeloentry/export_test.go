package pomeloentry

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloforward"
	"github.com/pomelorelay/pomelorelay/pomelometric"
	"github.com/pomelorelay/pomelorelay/pomelooverload"
	"github.com/pomelorelay/pomelorelay/pomeloplace"
	"github.com/pomelorelay/pomelorelay/pomelostream"
)

// NewRequestLimiter returns a router that only adapts its request limit.
func NewRequestLimiter(settings pomelorelay.FleetSettings) *Router {
	e := &Router{hostLimits: hostLimitsOf(settings)}
	e.requestLimit.Store(e.hostLimits.initialRequests)
	return e
}

// TickWithLag simulates a control goroutine tick with a delay and a number of concurrent requests, and returns the new request limit.
func (e *Router) TickWithLag(lag time.Duration, running int64) int64 {
	e.tickLag.Store(int64(lag))
	e.inFlight.Store(running)
	e.adaptRequestLimit()
	return e.requestLimit.Load()
}

// Overload makes the router's overload control limit its requests, as late requests do.
func (e *Router) Overload() {
	for range 10 {
		e.overload.observe(e.steady(), pomelooverload.StagePlace, 200*time.Millisecond)
	}
}

// IgnoreDelay makes the router's overload control take only longer delays for late.
func (e *Router) IgnoreDelay(d time.Duration) {
	e.overload.mu.Lock()
	defer e.overload.mu.Unlock()
	e.overload.control = pomelooverload.New(pomelooverload.Config{Threshold: d})
}

// LimitedWithoutTicks reports whether the overload control of a router whose control goroutine has not run for a while limits its requests once
// handlers have decided on a number of requests, one each interval, before the control goroutine runs.
func LimitedWithoutTicks(stalled time.Duration, requests int, interval time.Duration) bool {
	now := stalled
	e := &Router{cfg: Config{Steady: func() time.Duration { return now }}, overload: newOverload()}
	for range requests {
		now += interval
		e.observeArrival(e.steady(), arrival{first: true})
	}
	return e.overload.limited.Load()
}

// RefuseForSlots acts as if a placement of the account, which is beyond its share, had just found no slot.
func (e *Router) RefuseForSlots(account pomelorelay.AccountID, service pomelorelay.ServiceID, retryAfter time.Duration) {
	e.overload.shares.Store(&shareSnapshot{overShare: map[pomelorelay.AccountID]bool{account: true}})
	e.overload.markFullService(e.steady(), account, service, retryAfter)
}

// FullServiceRetryAfter returns the Retry-After with which the account's over-share requests are refused without a placement the given time from now,
// and false if they are placed.
func (d PlacementControl) FullServiceRetryAfter(account pomelorelay.AccountID, service pomelorelay.ServiceID, after time.Duration) (time.Duration, bool) {
	return d.c.e.overload.fullServiceRetryAfter(d.c.e.steady()+int64(after), &pomeloforward.Preview{Account: account, Service: service})
}

// OverShare returns the accounts that are beyond their share according to the handlers' snapshot.
func (d PlacementControl) OverShare() map[pomelorelay.AccountID]bool {
	return d.c.shareSnapshot().overShare
}

// Limited reports whether the overload control limits the router's requests.
func (e *Router) Limited() bool { return e.overload.limited.Load() }

// RecordingMesh is a DiscardMesh that keeps the load reports sent to each router.
type RecordingMesh struct {
	discardMesh
	Reports map[pomelorelay.NodeID][]*pomelorelay.LoadReport
}

// Send records a load report.
func (m RecordingMesh) Send(to pomelorelay.NodeID, message pomelorelay.Message) error {
	if r, ok := message.(*pomelorelay.LoadReport); ok {
		m.Reports[to] = append(m.Reports[to], r)
	}
	return nil
}

// TickLimited runs the updates of the overload control while the router is, or is not, limited; it returns the load reports sent to each router.
func (f UpdateControl) TickLimited(now time.Time, limited bool) map[pomelorelay.NodeID][]*pomelorelay.LoadReport {
	mesh := RecordingMesh{Reports: make(map[pomelorelay.NodeID][]*pomelorelay.LoadReport)}
	f.c.e.mesh = mesh
	f.c.overload.last = pomelooverload.State{Limited: limited, Since: -time.Second}
	f.c.e.overload.limited.Store(limited)
	f.c.adjustOverload(now)
	return mesh.Reports
}

// ReceiveReport processes a load report that another router sent directly.
func (f UpdateControl) ReceiveReport(now time.Time, from pomelorelay.NodeID, m *pomelorelay.LoadReport) {
	f.ReceiveReportOf(now, from, 1, m)
}

// ReceiveReportOf processes a load report that a process of another router sent directly.
func (f UpdateControl) ReceiveReportOf(now time.Time, from pomelorelay.NodeID, incarnation pomelorelay.Incarnation, m *pomelorelay.LoadReport) {
	f.c.receive(now, pomelorelay.Envelope{From: from, Incarnation: incarnation, Domain: f.domainOf(from), Message: m})
}

// FullReport returns the full report that the router sends to another one.
func (f UpdateControl) FullReport(now time.Time, to pomelorelay.NodeID) *pomelorelay.LoadReport {
	mesh := RecordingMesh{Reports: make(map[pomelorelay.NodeID][]*pomelorelay.LoadReport)}
	f.c.e.mesh, f.c.fullReportAt = mesh, time.Time{}
	f.c.report(now)
	return mesh.Reports[to][0]
}

// Versions returns the number of versions of a service at which streams of unknown origin may have begun.
func (f UpdateControl) Versions(now time.Time, service pomelorelay.ServiceID) int {
	return ModelRouter(f).Versions(now, service)
}

// domainOf returns the failure domain of a known router.
func (f UpdateControl) domainOf(node pomelorelay.NodeID) pomelorelay.DomainID {
	return f.c.peers.byNode[node].Domain
}

// DomainRouters returns the routers of its failure domain that the router knows to be live, itself included, by name.
func (f UpdateControl) DomainRouters(now time.Time) []pomelooverload.Router {
	return slices.SortedFunc(slices.Values(f.c.domainRouters(now)), func(a, b pomelooverload.Router) int { return strings.Compare(string(a.Node), string(b.Node)) })
}

// Away reports whether the router is out of the load balancer's rotation.
func (f UpdateControl) Away() bool { return f.c.e.overload.away.Load() }

// eventFunc is an event that runs in the control goroutine.
type eventFunc func(c *control, now time.Time)

func (f eventFunc) apply(c *control, now time.Time) { f(c, now) }

// JoinDomain makes the router hear the others for a minute, as routers of its failure domain.
func (e *Router) JoinDomain(others ...pomelorelay.NodeID) {
	e.post(eventFunc(func(c *control, now time.Time) {
		for _, node := range others {
			c.peers.recordMessage(now.Add(time.Minute), pomelorelay.Peer{Node: node, Domain: e.cfg.Settings.Self.Domain, Region: e.cfg.Settings.Self.Region})
		}
	}))
}

// PlacementControl places requests as the control goroutine does, without the goroutine.
type PlacementControl struct{ c *control }

// NewPlacementControl returns a PlacementControl with the configuration and the upstreams.
func NewPlacementControl(config pomelorelay.FleetConfig, upstreams ...pomelorelay.FleetUpstream) PlacementControl {
	settings := pomelorelay.FleetSettings{Self: pomelorelay.Peer{Node: "r", Domain: "a", Region: "ra"}, ShareWindow: 4 * time.Second, Regions: map[pomelorelay.DomainID]pomelorelay.RegionID{"a": "ra", "b": "rb"}}
	began := time.Now()
	steady := func() time.Duration { return time.Since(began) }
	c := newControl(&Router{cfg: Config{Settings: settings, Clock: pomelorelay.SystemClock{}, Steady: steady, Logger: pomelorelay.NopLogger{}}, metrics: pomelometric.New()})
	c.config = &config
	c.e.overload.fullServices.Store(newFullServiceTable(&config))
	c.configureDecisions(time.Time{})
	for _, u := range upstreams {
		c.placer.PutUpstream(time.Time{}, u)
	}
	return PlacementControl{c}
}

// UnreportedAfter returns how many routers count as unreported when the given time has passed since the registration of a router that never
// sends a report.
func UnreportedAfter(passed time.Duration) int {
	p, now := newPeers(), time.Now()
	p.register(now, pomelorelay.Peer{Node: "silent", Domain: "b", Region: "rb"})
	return p.unreported(now.Add(passed), func(*knownPeer) bool { return false })
}

// RefusedUnread records a request that a full router refused without reading it.
func (d PlacementControl) RefusedUnread(now time.Time, account pomelorelay.AccountID, cost pomelorelay.Cost) {
	(&refusedUnread{account, cost}).apply(d.c, now)
}

// Place selects an upstream for a request.
func (d PlacementControl) Place(now time.Time, req pomeloforward.PlacementRequest) pomeloplace.Decision {
	d.c.shares.Tick(now)
	return d.c.place(now, req, d.c.resumeEvidence(now, time.Duration(d.c.e.steady()), &req))
}

// RefusedByOverload records a request that the overload control refused without reading it.
func (d PlacementControl) RefusedByOverload(account pomelorelay.AccountID, cost pomelorelay.Cost) {
	d.c.e.overload.count(pomeloforward.Preview{Account: account, Cost: cost}, pomelooverload.ClassOverShare)
	d.c.flushUnread()
}

// Metrics returns the handler that serves the control's metrics.
func (d PlacementControl) Metrics() http.Handler { return d.c.e.metrics.Handler() }

// Report applies another router's load report.
func (d PlacementControl) Report(now time.Time, from pomelorelay.NodeID, incarnation pomelorelay.Incarnation, m *pomelorelay.LoadReport) {
	d.c.peers.recordMessage(now, pomelorelay.Peer{Node: from})
	d.c.receiveReport(now, from, incarnation, m)
}

// Served returns the cost charged to an account within ShareWindow, the time over which accounts' shares are computed.
func (d PlacementControl) Served(id pomelorelay.AccountID) pomelorelay.Cost {
	_, served, _ := d.c.shares.Usage(id)
	return served
}

// LongestReadPause returns, for a change wait, the longest time between updates from a router that reads the store continuously.
func LongestReadPause(wait time.Duration) time.Duration {
	return time.Duration((readIntervalFraction + watchWaitFraction) * float64(wait))
}

// UpdateControl applies updates and computes read delays as the control goroutine does.
type UpdateControl struct{ c *control }

// NewUpdateControl returns the UpdateControl of the router named self, which is one of the peers; all were just registered.
func NewUpdateControl(self pomelorelay.NodeID, drain time.Duration, peers []pomelorelay.Peer) UpdateControl {
	began := time.Now()
	e := &Router{cfg: Config{Clock: pomelorelay.SystemClock{}, Steady: func() time.Duration { return time.Since(began) }, Logger: pomelorelay.NopLogger{}}, metrics: pomelometric.New(), mesh: discardMesh{}}
	e.cfg.Settings.DrainTimeout = drain
	e.crashRecorder = newCrashRecorder(e)
	for _, p := range peers {
		if p.Node == self {
			e.cfg.Settings.Self = p
		}
	}
	c := newControl(e)
	c.applyPeers(time.Now(), &pomelorelay.FleetChange{Peers: peers})
	return UpdateControl{c}
}

// ReadDelay returns the time without updates after which the router reads the store.
func (f UpdateControl) ReadDelay(now time.Time) time.Duration {
	f.c.updateReadDelay(now)
	return time.Duration(f.c.e.readDelay.Load())
}

// Receive applies an update and returns the revision of the cursor.
func (f UpdateControl) Receive(now time.Time, from pomelorelay.NodeID, m *pomelorelay.FleetUpdate) pomelorelay.Revision {
	f.c.receiveUpdate(now, from, m)
	return f.c.e.cursor.get()
}

// SetPlatform sets the platform that decodes configuration documents.
func (f UpdateControl) SetPlatform(p pomelorelay.Platform) { f.c.e.cfg.Platform = p }

// UpdateFrom returns the update that the router sends for a change read from the store.
func (f UpdateControl) UpdateFrom(change pomelorelay.FleetChange) *pomelorelay.FleetUpdate {
	return f.c.updateFrom(&storeRead{change: change})
}

// Announce records the generation in the envelope of a router's message, and returns the router from which the configuration is requested
// after the given time; empty if none is.
func (f UpdateControl) Announce(now time.Time, from pomelorelay.NodeID, generation pomelorelay.Generation, after time.Duration) pomelorelay.NodeID {
	f.c.recordGeneration(now, from, generation)
	f.c.requestNewerConfig(now.Add(after))
	return f.c.pendingPull.from
}

// Version returns the version of the configuration in force.
func (f UpdateControl) Version() pomelorelay.Generation { return f.c.version() }

// ApplyPeerState applies a peer's state and returns the revision of the cursor.
func (f UpdateControl) ApplyPeerState(now time.Time, from pomelorelay.NodeID, m *pomelorelay.FleetState) pomelorelay.Revision {
	f.c.applyPeerState(now, from, m)
	return f.c.e.cursor.get()
}

// ReceiveSummary applies a summary from the relay of the failure domain, and returns the number of other routers.
func (f UpdateControl) ReceiveSummary(now time.Time, from pomelorelay.NodeID, m *pomelorelay.LoadSummary) int {
	f.RecordMessage(now, from)
	f.c.receiveSummary(now, pomelorelay.Envelope{From: from, Incarnation: 1, Message: m}, m)
	return len(f.c.peers.byNode)
}

// RecordMessage records a message from a router.
func (f UpdateControl) RecordMessage(now time.Time, from pomelorelay.NodeID) {
	f.c.peers.recordMessage(now, pomelorelay.Peer{Node: from})
}

// Adjust runs the periodic updates.
func (f UpdateControl) Adjust(now time.Time) { f.c.adjust(now) }

// AppliedSummary returns the sequence number of the last summary that was applied.
func (f UpdateControl) AppliedSummary() uint64 { return f.c.relay.lastSeq }

// Upstreams returns the ids of the known upstreams.
func (f UpdateControl) Upstreams() []pomelorelay.UpstreamID {
	return slices.Sorted(maps.Keys(f.c.upstreams.present))
}

// Evacuated returns the failure domains under evacuation.
func (f UpdateControl) Evacuated() []pomelorelay.DomainID {
	return slices.Sorted(maps.Keys(f.c.evacuated))
}

// DiscardMesh discards every message.
type DiscardMesh = discardMesh

type discardMesh struct{ pomelorelay.Mesh }

func (discardMesh) Send(pomelorelay.NodeID, pomelorelay.Message) error { return nil }
func (discardMesh) SetPeers([]pomelorelay.Peer)                        {}
func (discardMesh) SetGeneration(pomelorelay.Generation)               {}
func (discardMesh) Close() error                                       { return nil }

// Aggregate sums the reports of several sources as a relay does.
type Aggregate struct{ a *aggregate }

// NewAggregate returns an empty Aggregate.
func NewAggregate() Aggregate { return Aggregate{newAggregate()} }

// Add merges a source's report.
func (s Aggregate) Add(now time.Time, from pomelorelay.NodeID, incarnation pomelorelay.Incarnation, m *pomelorelay.LoadReport) {
	s.a.add(now, string(from), from, incarnation, m)
}

// Reports returns for each source the entries that changed, or all entries when full is set, without the source's own contribution.
func (s Aggregate) Reports(full bool, sources ...pomelorelay.NodeID) map[pomelorelay.NodeID]*pomelorelay.LoadReport {
	return s.ReportsAt(time.Time{}, full, sources...)
}

// ReportsAt returns the same as Reports, with the ages of announcements at the given time.
func (s Aggregate) ReportsAt(now time.Time, full bool, sources ...pomelorelay.NodeID) map[pomelorelay.NodeID]*pomelorelay.LoadReport {
	all := make(map[pomelorelay.NodeID]*pomelorelay.LoadReport)
	for _, from := range sources {
		all[from] = s.a.report(now, string(from), full, 1)
	}
	s.a.markFlushed()
	return all
}

// RemoveSilent removes the sources whose last report is older than the timeout.
func (s Aggregate) RemoveSilent(now time.Time, timeout time.Duration) { s.a.removeSilent(now, timeout) }

// ModelRouter runs the control state of one router without goroutines, on a model's clock, mesh and platform.
type ModelRouter struct{ c *control }

// NewModelRouter returns the ModelRouter of a router that starts with the model's settings.
func NewModelRouter(cfg Config) ModelRouter {
	e := &Router{cfg: cfg, incarnation: cfg.Incarnation, metrics: pomelometric.New(), mesh: cfg.Mesh}
	e.crashRecorder = newCrashRecorder(e)
	e.lastUpdateAt.Store(longAgo)
	e.storeReadAt.Store(longAgo)
	c := newControl(e)
	// The gauges read parts of the router that the model leaves out.
	c.gaugesAt = cfg.Clock.Now().Add(24 * time.Hour)
	return ModelRouter{c}
}

// Tick runs the timer checks of the control goroutine.
func (r ModelRouter) Tick(now time.Time) { r.c.tick(now) }

// Receive processes another router's message.
func (r ModelRouter) Receive(now time.Time, m pomelorelay.Envelope) { r.c.receive(now, m) }

// Version returns the version of the configuration in force.
func (r ModelRouter) Version() pomelorelay.Generation { return r.c.version() }

// Cursor returns the store revision up to which the router has all changes.
func (r ModelRouter) Cursor() pomelorelay.Revision { return r.c.e.cursor.get() }

// Versions returns the number of versions of a service at which streams of unknown origin may have begun.
func (r ModelRouter) Versions(now time.Time, service pomelorelay.ServiceID) int {
	n, _ := r.c.streams.versions.Count(now, r.c.versionMemory(now), service)
	return n
}

// PollInterval returns the time until the router checks again whether it must read the store.
func (r ModelRouter) PollInterval() time.Duration { return r.c.e.takeoverPoll() }

// ReadDue reports whether the router must read the store now, the given time after its start, and whether for itself only.
func (r ModelRouter) ReadDue(uptime time.Duration) (due, check bool) {
	kind := r.c.e.dueRead()
	return !r.c.e.cursor.hasRead() || (uptime >= r.c.e.startupDelay() && kind != readNone), kind == readCheck
}

// ApplyRead applies an answer of the store to a read of the changes after a revision.
func (r ModelRouter) ApplyRead(now time.Time, after pomelorelay.Revision, change pomelorelay.FleetChange, stale, check bool) {
	e := r.c.e
	read := storeRead{
		change: change, after: after, stale: stale, check: check, done: make(chan struct{}), askedAt: e.steady(), askedUnixMilli: r.c.now().UnixMilli(),
	}
	read.apply(r.c, now)
}

// AnnouncementControl records announced loads as the control goroutine does.
type AnnouncementControl struct{ c *control }

// NewAnnouncementControl returns an AnnouncementControl that logs to the given logger.
func NewAnnouncementControl(logger pomelorelay.Logger) AnnouncementControl {
	e := &Router{cfg: Config{Clock: pomelorelay.SystemClock{}, Logger: logger}, metrics: pomelometric.New(), mesh: discardMesh{}}
	e.crashRecorder = newCrashRecorder(e)
	return AnnouncementControl{newControl(e)}
}

// RecordInvalid records a malformed announcement.
func (a AnnouncementControl) RecordInvalid(now time.Time, id pomelorelay.UpstreamID) {
	a.c.recordAnnounced(now, reservation{upstream: pomelorelay.FleetUpstream{ID: id}}, pomeloforward.AnnouncedLoad{Invalid: true})
}

// ApplyRead applies an answer of the store to a read of the changes after a revision.
func (f UpdateControl) ApplyRead(now time.Time, after pomelorelay.Revision, change pomelorelay.FleetChange) {
	ModelRouter(f).ApplyRead(now, after, change, false, false)
}

// CheckVersions applies a read of the store that begins now and for which requests wait.
func (f UpdateControl) CheckVersions(now time.Time, read func(after pomelorelay.Revision) pomelorelay.FleetChange) {
	r := &versionsRead{began: f.c.e.cfg.Steady(), after: pomelorelay.Revision(f.c.e.versionsUpTo.Load())}
	r.change = read(r.after)
	r.apply(f.c, now)
}

// FailVersionCheck applies a read of the store that is not answered.
func (f UpdateControl) FailVersionCheck(now time.Time) {
	r := &versionsRead{began: f.c.e.cfg.Steady(), after: pomelorelay.Revision(f.c.e.versionsUpTo.Load())}
	r.err = pomelorelay.NewError(pomelorelay.CodeStoreUnavailable, "not answered", nil)
	r.apply(f.c, now)
}

// Resume returns on what a resumed stream of unknown origin is decided if its request came before the last read of the store began.
func (f UpdateControl) Resume(now time.Time, service pomelorelay.ServiceID) pomelostream.Basis {
	req := &pomeloforward.PlacementRequest{Stream: pomeloforward.StreamProgress{Resumable: true, Resumed: true}, Request: pomeloplace.Request{Service: service}}
	return f.c.resumeEvidence(now, 0, req).Basis
}
