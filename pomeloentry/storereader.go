package pomeloentry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pomelorelay/pomelorelay"

	"github.com/cespare/xxhash/v2"
)

// One router of the fleet reads the store and sends the changes to the relays of the other failure domains, which forward them to the
// other routers of their domains, their neighbours. The relay of the first domain reads continuously. The other relays, in an order that
// follows from the registrations, and after them all other routers read the store only after a time without updates. This time does not
// depend on the number of routers: each router reads the store before a change is due, whatever failed between it and the reader.
//
// A slow router may delay updates, so that each is old when it arrives. A router whose updates are older than the time above also reads the store,
// but does not send the result to other routers; such a read is called a check.

const (
	// minTakeoverPoll and maxTakeoverPoll bound the interval at which a router tests whether it must read the store.
	minTakeoverPoll = 10 * time.Millisecond
	maxTakeoverPoll = 200 * time.Millisecond
	// maxClockDifference is by how much the clocks of two routers may differ where none was stepped.
	maxClockDifference = 100 * time.Millisecond
	// maxUpdateAge is the age beyond which the clocks are assumed to differ, and the age of an update to be unknown.
	maxUpdateAge = time.Minute
	// startupDelayWork is the startup delay of a router whose CPUSpeed is 1 (one core), before it is multiplied by a factor from 1 to 2
	// derived from the router's name. Until the delay has passed, a router that has the complete state does not read the store. The
	// delay is inversely proportional to CPUSpeed. The fastest routers thus read the store first, and the others get the changes from them
	// without a store call.
	startupDelayWork = 250 * time.Millisecond
	// maxStartupDelay bounds the startup delay.
	maxStartupDelay = 3 * time.Second
)

// cursor is the store revision up to which this router has all changes.
type cursor struct {
	mu sync.Mutex
	at pomelorelay.Revision
}

func (c *cursor) get() pomelorelay.Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.at
}

// hasRead reports whether the router has the complete state of some store revision, read or received from a peer.
func (c *cursor) hasRead() bool { return c.get() > 0 }

// advance moves the cursor over a change between two revisions. It returns false when the change is old, or when an earlier change is
// missing.
func (c *cursor) advance(after, at pomelorelay.Revision, complete bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at < c.at || (!complete && (c.at == 0 || after != c.at)) {
		return false
	}
	c.at = at
	return true
}

// isBehind reports whether the cursor is before the revision, so that a change is missing.
func (c *cursor) isBehind(at pomelorelay.Revision) bool { return at > c.get() }

// readStoreLoop reads the store until this router has its complete state, and afterwards whenever shouldRead reports that this router
// must.
func (e *Router) readStoreLoop(ctx context.Context) {
	started := time.Now()
	delay := e.startupDelay()
	watch := watchPace{due: true}
	e.runStoreTask(ctx, storeTask{name: "store", probesStore: true, call: func(failed bool) error {
		due := e.dueRead()
		if e.cursor.hasRead() && (time.Since(started) < delay || due == readNone) {
			watch.due = true
			sleep(ctx, e.takeoverPoll())
			return nil
		}
		began := time.Now()
		if err := e.read(ctx, failed, due == readCheck, &watch); err != nil {
			return err
		}
		sleep(ctx, e.scaledChangeWait(readIntervalFraction)-time.Since(began))
		return nil
	}})
}

// startupDelay returns how long after its start the router waits for updates before its second read.
func (e *Router) startupDelay() time.Duration {
	speed := e.cfg.Settings.Self.CPUSpeed
	if speed <= 0 {
		return 0
	}
	spread := 1 + nameFraction(e.cfg.Settings.Self.Node)
	return min(time.Duration(spread/speed*float64(startupDelayWork)), maxStartupDelay)
}

// readKind tells why a router reads the store.
type readKind int

const (
	readNone readKind = iota
	// readShared is a read whose result is sent to the other routers, because no update arrives.
	readShared
	// readCheck is a read whose result is not sent to the other routers, because the updates that arrive are old, or seem so by clocks that differ.
	readCheck
)

// dueRead returns the read that this router must make now.
func (e *Router) dueRead() readKind {
	switch {
	case e.updateAge() >= time.Duration(e.readDelay.Load()):
		return readShared
	case e.storeReadAge() >= e.checkDelay():
		return readCheck
	}
	return readNone
}

// checkDelay returns the age of the last update from which this router makes a check.
func (e *Router) checkDelay() time.Duration {
	return e.scaledChangeWait(ownReadFraction + ownReadSpread*nameFraction(e.cfg.Settings.Self.Node))
}

// takeoverPoll returns the time until the next check whether this router must read the store.
func (e *Router) takeoverPoll() time.Duration {
	left := min(time.Duration(e.readDelay.Load())-e.updateAge(), e.checkDelay()-e.storeReadAge())
	return min(max(left, minTakeoverPoll), maxTakeoverPoll)
}

// storeReadAge returns the time since the read of the store that produced this router's state.
func (e *Router) storeReadAge() time.Duration {
	return time.Duration(e.steady() - e.storeReadAt.Load())
}

// updateAge returns the time since the last update from another router.
func (e *Router) updateAge() time.Duration { return time.Duration(e.steady() - e.lastUpdateAt.Load()) }

// read reads the complete state at first and after the store compacted its history, and changes otherwise.
func (e *Router) read(ctx context.Context, failed, check bool, watch *watchPace) error {
	r := &storeRead{askedAt: e.steady(), askedUnixMilli: e.cfg.Clock.Now().UnixMilli(), check: check}
	after := e.cursor.get()
	if after == 0 {
		// Changes missing from a stale read arrive with the first update.
		return e.readAll(ctx, r, "start", !failed)
	}
	var err error
	r.change, err = e.watch(ctx, after, watch)
	if pomelorelay.IsErrCode(err, pomelorelay.CodeStoreCompacted) {
		return e.readAll(ctx, r, "compacted", false)
	}
	if err != nil {
		return err
	}
	r.after, r.recovered = after, failed
	e.postRead(ctx, r)
	return nil
}

// watchPace is how the next watch is made.
type watchPace struct {
	// due is set for a read that may already be late, which does not wait for a change.
	due bool
	// patient leaves out the short timeout, because the last read exceeded it or used more than half of it.
	patient bool
}

// watch reads the changes after a revision and adjusts the pace of the next watch. A read that is not answered in time is made once more, on
// another connection.
func (e *Router) watch(ctx context.Context, after pomelorelay.Revision, pace *watchPace) (pomelorelay.FleetChange, error) {
	wait := e.scaledChangeWait(watchWaitFraction)
	if pace.due {
		wait = 0
	}
	timeout := e.scaledChangeWait(readTimeoutFraction)
	limit := wait + timeout
	if pace.patient {
		limit = 0
	}
	began := time.Now()
	change, err := e.watchOnce(ctx, after, wait, limit)
	took := time.Since(began)
	if err != nil && limit > 0 && took >= limit && ctx.Err() == nil {
		e.log(pomelorelay.EventStoreReadRepeated, field("AfterMS", took.Milliseconds()), field("UpdateAgeMS", e.updateAge().Milliseconds()), field("Fault", err.Error()))
		pace.patient = true
		change, err = e.watchOnce(ctx, after, 0, 0)
	}
	pace.due = err != nil
	pace.patient = pace.patient && (err != nil || time.Since(began) > wait+timeout/2)
	return change, err
}

// watchOnce makes one watch. It fails after the limit if that is above zero, and otherwise when the platform's call does.
func (e *Router) watchOnce(ctx context.Context, after pomelorelay.Revision, wait, limit time.Duration) (pomelorelay.FleetChange, error) {
	if limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, limit)
		defer cancel()
	}
	change, err := e.cfg.Platform.Watch(ctx, after, wait)
	e.metrics.CountStoreCall("watch", e.readerRole(), pomelorelay.CodeOf(err))
	return change, err
}

func (e *Router) readAll(ctx context.Context, r *storeRead, cause string, allowStale bool) error {
	var err error
	r.change, err = e.cfg.Platform.Read(ctx, allowStale)
	e.metrics.CountStoreCall("read", cause, pomelorelay.CodeOf(err))
	if err != nil {
		return err
	}
	r.stale = allowStale
	e.postRead(ctx, r)
	return nil
}

func (e *Router) readerRole() string {
	switch {
	case e.readDelay.Load() == 0:
		return "first"
	case e.updateAge() < time.Duration(e.readDelay.Load()):
		return "check"
	}
	return "takeover"
}

// postRead sends a read result to the control goroutine and waits until the result is applied, because that advances the cursor from which the
// next read starts.
func (e *Router) postRead(ctx context.Context, r *storeRead) {
	r.done = make(chan struct{})
	if !e.post(r) {
		return
	}
	select {
	case <-r.done:
	case <-ctx.Done():
	}
}

// storeRead is posted for each answer of the store. after is the revision the watch started from; recovered is set for the first
// answer after a failure. askedAt and askedUnixMilli are when the read began, by the steady clock and by the time of day; check is set for a
// read whose result is not sent to other routers.
type storeRead struct {
	change         pomelorelay.FleetChange
	after          pomelorelay.Revision
	askedAt        int64
	askedUnixMilli int64
	stale          bool
	recovered      bool
	check          bool
	done           chan struct{}
}

func (r *storeRead) apply(c *control, now time.Time) {
	defer close(r.done)
	m := c.updateFrom(r)
	// If the cursor moved, the next update would not start at it, and this router would request the full state.
	keepsCursor := r.check && hasNoMembers(m)
	c.logEntryErrors(&r.change)
	c.recordVersions(now, r.after, &r.change)
	c.streams.check.failing = false
	if !keepsCursor && !c.e.cursor.advance(r.after, r.change.Revision, r.change.Full) {
		// Another router's update arrived first; the next read starts after that update.
		return
	}
	if !r.stale {
		c.recordStoreRead(r.askedAt)
	}
	if !r.stale && !r.check {
		c.sendUpdate(now, m)
	}
	if keepsCursor {
		c.applyConfigChange(now, &r.change, "store")
		c.mergeCrashes(now, r.change.Crashes)
		return
	}
	c.applyChange(now, &r.change, r.recovered, "store")
}

// hasNoMembers reports whether an update changes no upstream, router or evacuation. What else it holds may be applied in any order.
func hasNoMembers(m *pomelorelay.FleetUpdate) bool {
	return !m.Full && len(m.Upstreams)+len(m.RemovedUpstreams)+len(m.Peers)+len(m.RemovedPeers)+len(m.Evacuated)+len(m.RestoredDomains) == 0
}

// updateFrom returns the parts of a change that the other routers lack; heartbeats of upstreams and routers that change nothing are
// left out.
func (c *control) updateFrom(r *storeRead) *pomelorelay.FleetUpdate {
	m := &pomelorelay.FleetUpdate{ReadUnixMilli: r.askedUnixMilli, After: r.after, Revision: r.change.Revision, Full: r.change.Full, RemovedUpstreams: r.change.RemovedUpstreams, RemovedPeers: r.change.RemovedPeers, Evacuated: r.change.Evacuated, RestoredDomains: r.change.RestoredDomains, VersionsPassed: r.change.VersionsPassed, Crashes: r.change.Crashes[:min(len(r.change.Crashes), maxCrashesPerMessage)]}
	if r.change.Config != nil {
		// The other routers advance their cursors to this revision. If they got no configuration and this router failed next, none of
		// them would read that configuration again.
		m.Document = r.change.Config.Document
	}
	for _, u := range r.change.Upstreams {
		_, lapsed := c.upstreams.lapsed[u.ID]
		if m.Full || lapsed || c.upstreams.present[u.ID] != u {
			m.Upstreams = append(m.Upstreams, u)
		}
	}
	for _, p := range r.change.Peers {
		if known := c.peers.byNode[p.Node]; m.Full || known == nil || !known.registered || known.Peer != p {
			m.Peers = append(m.Peers, p)
		}
	}
	return m
}

// applyChange applies a change of the store; source is the router that sent it, or "store" if this router read it.
func (c *control) applyChange(now time.Time, change *pomelorelay.FleetChange, recovered bool, source string) {
	c.applyConfigChange(now, change, source)
	c.applyUpstreams(now, change, recovered, source)
	c.applyEvacuations(now, change, source)
	c.applyPeers(now, change)
	c.mergeCrashes(now, change.Crashes)
}

func (c *control) applyConfigChange(now time.Time, change *pomelorelay.FleetChange, source string) {
	if change.ConfigError != nil && change.ConfigError.Error() != c.configError {
		c.configError = change.ConfigError.Error()
		c.e.log(pomelorelay.EventConfigRefused, field("Code", int(pomelorelay.CodeOf(change.ConfigError))), field("Fault", c.configError))
	}
	if change.Config != nil {
		c.configError = ""
		c.setConfig(now, change.Config, source)
	}
}

// recordStoreRead records when the read of the store that produced this router's state began, in nanoseconds of the steady clock.
func (c *control) recordStoreRead(at int64) {
	c.e.storeReadAt.Store(max(at, c.e.storeReadAt.Load()))
}

// recordUpdateRead records when the store was read for an update. The clocks of routers differ little unless one was stepped; the age of an update
// that seems to come from the future is unknown, so that it does not delay the next check.
func (c *control) recordUpdateRead(m *pomelorelay.FleetUpdate) {
	if m.ReadUnixMilli == 0 {
		c.recordStoreRead(c.e.steady())
		return
	}
	age := c.now().UnixMilli() - m.ReadUnixMilli
	if age < -maxClockDifference.Milliseconds() || age > maxUpdateAge.Milliseconds() {
		return
	}
	c.recordStoreRead(c.e.steady() - int64(time.Duration(max(age, 0))*time.Millisecond))
}

// sendUpdate sends an update to the relays of the other failure domains, and to the routers of this domain, directly or through their
// relay.
func (c *control) sendUpdate(now time.Time, m *pomelorelay.FleetUpdate) {
	self := c.e.cfg.Settings.Self
	for _, domain := range c.domains() {
		node, ok := c.relayOf(now, domain)
		if !ok {
			// Their registrations lapse when all routers of a failure domain are cut off from the store.
			node, ok = c.unregisteredRelayOf(now, domain)
		}
		if ok && node != self.Node {
			c.send(node, m)
		}
	}
	if c.isRelay(now) {
		c.forwardUpdate(self.Node, m)
	}
}

// forwardUpdate sends an update to the routers of this failure domain, except to the router it came from.
func (c *control) forwardUpdate(from pomelorelay.NodeID, m *pomelorelay.FleetUpdate) {
	forwarded := *m
	forwarded.Forwarded = true
	for node, p := range c.peers.byNode {
		if p.Domain == c.e.cfg.Settings.Self.Domain && node != from {
			c.send(node, &forwarded)
		}
	}
}

// receiveUpdate applies an update from the router that reads the store. If an earlier update is missing, this router requests the full
// state.
func (c *control) receiveUpdate(now time.Time, from pomelorelay.NodeID, m *pomelorelay.FleetUpdate) {
	applied := c.e.cursor.advance(m.After, m.Revision, m.Full)
	missed := !applied && c.e.cursor.isBehind(m.Revision)
	// A missed update is no news of the store: if the full state does not follow, this router reads the store.
	if applied || m.Revision == c.e.cursor.get() {
		c.e.lastUpdateAt.Store(c.e.steady())
		c.recordUpdateRead(m)
		c.e.storeRecovered.signal()
	}
	if !m.Forwarded && c.isRelay(now) {
		c.forwardUpdate(from, m)
	}
	if len(m.Document) > 0 {
		c.applyPushedConfig(now, from, &pomelorelay.ConfigPush{Root: m.Document})
	}
	// Crashes and versions are merged in any order, so that those of a missed update count too.
	c.mergeCrashes(now, m.Crashes)
	c.streams.versions.Merge(now, m.Revision, m.VersionsPassed)
	if missed {
		c.requestFullState(now, from)
	}
	if applied {
		change := pomelorelay.FleetChange{
			Revision: m.Revision, Full: m.Full, Upstreams: m.Upstreams, RemovedUpstreams: m.RemovedUpstreams, Peers: m.Peers, RemovedPeers: m.RemovedPeers,
			Evacuated: m.Evacuated, RestoredDomains: m.RestoredDomains,
		}
		c.applyChange(now, &change, false, string(from))
		c.recordVersions(now, m.After, &change)
	}
}

// domains returns the failure domains of this router and of its peers, sorted so that all routers use the same order.
func (c *control) domains() []pomelorelay.DomainID {
	all := []pomelorelay.DomainID{c.e.cfg.Settings.Self.Domain}
	c.peers.groupByDomain()
	for domain := range c.peers.byDomain {
		if domain != "" && domain != all[0] {
			all = append(all, domain)
		}
	}
	slices.Sort(all)
	return all
}

// updateReadDelay computes the time without updates after which this router reads the store. It is zero for the relay of the first
// failure domain.
func (c *control) updateReadDelay(now time.Time) {
	c.e.readDelay.Store(int64(c.e.scaledChangeWait(c.readDelayFraction(now))))
}

// readDelayFraction returns the read delay as a fraction of the change wait.
func (c *control) readDelayFraction(now time.Time) float64 {
	self := c.e.cfg.Settings.Self
	relays, position := 0, -1
	for _, domain := range c.domains() {
		node, ok := c.relayOf(now, domain)
		if !ok {
			continue
		}
		if node == self.Node {
			position = relays
		}
		relays++
	}
	switch {
	case position == 0:
		return 0
	case position > 0:
		return takeoverFraction + takeoverSpread*float64(position-1)/float64(relays-1)
	}
	return ownReadFraction + ownReadSpread*nameFraction(self.Node)
}

// nameFraction returns a number from 0 to 1, exclusive, that is derived from the name of a router.
func nameFraction(node pomelorelay.NodeID) float64 {
	return float64(xxhash.Sum64String(string(node))>>11) / (1 << 53)
}
