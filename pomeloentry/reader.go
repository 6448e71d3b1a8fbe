package pomeloentry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pomelorelay/pomelorelay"

	"github.com/cespare/xxhash/v2"
)

// One router of the fleet reads the store and sends what changed to the relays of the other failure domains, which forward it to their
// neighbours. The turn of each router to read follows from the registrations: the relay of the first failure domain reads at once, the others
// when no update has come for longer, in an order that every router computes alike.

const (
	// pacePart is the least time between two reads, as a part of the time to the last request of an upstream that leaves: upstreams write
	// all the time.
	pacePart = 0.2
	// waitPart is how long a read waits for a change, as a part of the same time.
	waitPart = 0.2
	// turnPart is the part of that time without an update after which the second router in turn reads, and turnStep what each further one
	// waits longer. The reader is silent for its pace and its wait together at most.
	turnPart = 0.5
	turnStep = 0.03
	// turnLook is how often a router looks whether its turn has come.
	turnLook = 200 * time.Millisecond
	// settleWork is the work, in seconds of a whole core, after which a router that starts reads by itself if nobody sends it updates. The
	// strongest routers read first then and spare the others.
	settleWork = 250 * time.Millisecond
	// settleMost bounds that time.
	settleMost = 3 * time.Second
)

// cursor is the revision up to which this router has what the store holds.
type cursor struct {
	mu sync.Mutex
	at pomelorelay.Revision
}

func (w *cursor) get() pomelorelay.Revision {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.at
}

// begun reports whether the router has read everything once.
func (w *cursor) begun() bool { return w.get() > 0 }

// advance moves on by a change between two revisions; it reports false when the change is old, or when a part before it is missing.
func (w *cursor) advance(after, at pomelorelay.Revision, whole bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if at < w.at || (!whole && (w.at == 0 || after != w.at)) {
		return false
	}
	w.at = at
	return true
}

// misses reports whether a change shows that something before it is missing.
func (w *cursor) misses(at pomelorelay.Revision) bool { return at > w.get() }

// followStore reads the store whenever it is this router's turn.
func (e *Router) followStore(ctx context.Context) {
	started := time.Now()
	settle := e.settleTime()
	e.follow(ctx, followed{name: "store", probes: true, call: func(failed bool) error {
		if e.cursor.begun() && (time.Since(started) < settle || !e.readsNow()) {
			sleep(ctx, turnLook)
			return nil
		}
		began := time.Now()
		if err := e.read(ctx, failed); err != nil {
			return err
		}
		sleep(ctx, e.ofDrain(pacePart)-time.Since(began))
		return nil
	}})
}

// settleTime returns how long after its start the router waits for updates before it reads again.
func (e *Router) settleTime() time.Duration {
	power := e.cfg.Settings.Self.CPUSpeed
	if power <= 0 {
		return 0
	}
	spread := 1 + float64(xxhash.Sum64String(string(e.cfg.Settings.Self.Node))>>11)/(1<<53)
	return min(time.Duration(spread/power*float64(settleWork)), settleMost)
}

// readsNow reports whether it is this router's turn to read the store.
func (e *Router) readsNow() bool {
	turn := e.turn.Load()
	return turn == 0 || e.cfg.Clock.Now().UnixNano()-e.updatedAt.Load() >= turn
}

// read reads everything at first and after the store dropped its history, and changes otherwise.
func (e *Router) read(ctx context.Context, failed bool) error {
	after := e.cursor.get()
	if after == 0 {
		// What a stale read lacks comes with the first update.
		return e.readAll(ctx, "start", !failed)
	}
	change, err := e.cfg.Platform.Watch(ctx, after, e.ofDrain(waitPart))
	e.metrics.CountStoreCall("watch", e.turnName(), pomelorelay.CodeOf(err))
	if pomelorelay.IsErrCode(err, pomelorelay.CodeStoreCompacted) {
		return e.readAll(ctx, "compacted", false)
	}
	if err != nil {
		return err
	}
	e.postRead(ctx, &storeRead{change: change, after: after, back: failed})
	return nil
}

func (e *Router) readAll(ctx context.Context, cause string, stale bool) error {
	change, err := e.cfg.Platform.Read(ctx, stale)
	e.metrics.CountStoreCall("read", cause, pomelorelay.CodeOf(err))
	if err != nil {
		return err
	}
	e.postRead(ctx, &storeRead{change: change, stale: stale})
	return nil
}

func (e *Router) turnName() string {
	if e.turn.Load() == 0 {
		return "first"
	}
	return "takeover"
}

// postRead hands what was read to the control goroutine and waits until it is taken in: the next read goes on from there.
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

// storeRead is posted when the store answered this router; back is set when it had not answered before, after from where it was watched.
type storeRead struct {
	change pomelorelay.FleetChange
	after  pomelorelay.Revision
	stale  bool
	back   bool
	done   chan struct{}
}

func (a *storeRead) apply(c *control, now time.Time) {
	defer close(a.done)
	if !c.e.cursor.advance(a.after, a.change.Revision, a.change.Full) {
		// Another router's update came first; the next read goes on from it.
		return
	}
	if !a.stale {
		c.sendUpdate(now, c.updateOf(a))
	}
	c.applyChange(now, &a.change, a.back, "store")
}

// updateOf returns what of a change the other routers do not have: heartbeats that change nothing are left out.
func (c *control) updateOf(a *storeRead) *pomelorelay.FleetUpdate {
	m := &pomelorelay.FleetUpdate{After: a.after, Revision: a.change.Revision, Full: a.change.Full, RemovedUpstreams: a.change.RemovedUpstreams, RemovedPeers: a.change.RemovedPeers, Evacuated: a.change.Evacuated, Restored: a.change.Restored}
	if a.change.Config != nil {
		// The others go on from this revision: should this router die next, the configuration would not be read again.
		m.Document = a.change.Config.Document
	}
	for _, u := range a.change.Upstreams {
		_, lapses := c.upstreams.lapsed[u.ID]
		if m.Full || lapses || c.upstreams.present[u.ID] != u {
			m.Upstreams = append(m.Upstreams, u)
		}
	}
	for _, p := range a.change.Peers {
		if known := c.peers.present[p.Node]; m.Full || known == nil || !known.registered || known.Peer != p {
			m.Peers = append(m.Peers, p)
		}
	}
	return m
}

// applyChange takes in what the store holds; source names the router that read it.
func (c *control) applyChange(now time.Time, change *pomelorelay.FleetChange, back bool, source string) {
	if change.ConfigError != nil {
		c.e.log(pomelorelay.EventConfigRefused, field("Code", int(pomelorelay.CodeOf(change.ConfigError))), field("Fault", change.ConfigError.Error()))
	}
	if change.Config != nil {
		c.setConfig(now, change.Config, source)
	}
	c.applyUpstreams(now, change, back, source)
	c.applyEvacuations(now, change, source)
	c.applyPeers(now, change)
}

// sendUpdate sends what was read to the relays of the other failure domains and to the neighbours, directly or by their relay.
func (c *control) sendUpdate(now time.Time, m *pomelorelay.FleetUpdate) {
	self := c.e.cfg.Settings.Self
	for _, domain := range c.domains() {
		if node, ok := c.relayOf(now, domain); ok && node != self.Node {
			c.send(node, m)
		}
	}
	if c.relaysHere(now) {
		c.forwardUpdate(self.Node, m)
	}
}

// forwardUpdate passes an update on to the neighbours.
func (c *control) forwardUpdate(from pomelorelay.NodeID, m *pomelorelay.FleetUpdate) {
	forwarded := *m
	forwarded.Forwarded = true
	for node, p := range c.peers.present {
		if p.Domain == c.e.cfg.Settings.Self.Domain && node != from {
			c.send(node, &forwarded)
		}
	}
}

// receiveUpdate takes what another router read in the store. Where something before it is missing, the router asks for everything.
func (c *control) receiveUpdate(now time.Time, from pomelorelay.NodeID, m *pomelorelay.FleetUpdate) {
	taken := c.e.cursor.advance(m.After, m.Revision, m.Full)
	missed := !taken && c.e.cursor.misses(m.Revision)
	if taken || missed || m.Revision == c.e.cursor.get() {
		c.e.updatedAt.Store(now.UnixNano())
		c.e.storeBack.signal()
	}
	if !m.Forwarded && c.relaysHere(now) {
		c.forwardUpdate(from, m)
	}
	if len(m.Document) > 0 {
		c.takePush(now, from, &pomelorelay.ConfigPush{Root: m.Document})
	}
	if missed {
		c.askState(now, from)
	}
	if taken {
		change := pomelorelay.FleetChange{
			Revision: m.Revision, Full: m.Full, Upstreams: m.Upstreams, RemovedUpstreams: m.RemovedUpstreams, Peers: m.Peers, RemovedPeers: m.RemovedPeers,
			Evacuated: m.Evacuated, Restored: m.Restored,
		}
		c.applyChange(now, &change, false, string(from))
	}
}

// domains returns the failure domains of this router and of those that it has links to, in an order that is the same everywhere.
func (c *control) domains() []pomelorelay.DomainID {
	all := []pomelorelay.DomainID{c.e.cfg.Settings.Self.Domain}
	for _, p := range c.peers.present {
		if p.Domain != "" && !slices.Contains(all, p.Domain) {
			all = append(all, p.Domain)
		}
	}
	slices.Sort(all)
	return all
}

// takeTurn reckons how long without an update this router waits until it reads the store itself: not at all for the relay of the first
// failure domain, the longer the later a router is in the order of relays, and then of all others by a hash.
func (c *control) takeTurn(now time.Time) {
	self := c.e.cfg.Settings.Self
	rank, place := 0, -1
	for _, domain := range c.domains() {
		node, ok := c.relayOf(now, domain)
		if !ok {
			continue
		}
		if node == self.Node {
			place = rank
		}
		rank++
	}
	if place < 0 {
		place = rank + int(xxhash.Sum64String(string(self.Node))%uint64(len(c.peers.present)+1))
	}
	turn := time.Duration(0)
	if place > 0 {
		turn = c.e.ofDrain(turnPart + turnStep*float64(place-1))
	}
	c.e.turn.Store(int64(turn))
}
