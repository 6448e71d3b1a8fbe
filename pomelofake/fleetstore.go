package pomelofake

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// FleetStore is an in-memory stand-in for the platform's store as entry routers use it: it holds the configuration, the upstreams,
// the evacuated failure domains and the routers' registrations, each with a revision. It is safe for concurrent use.
type FleetStore struct {
	mu             sync.Mutex
	revision       pomelorelay.Revision
	changed        chan struct{}
	unavailable    bool
	config         *pomelorelay.FleetConfig
	configRevision pomelorelay.Revision
	upstreams      map[pomelorelay.UpstreamID]fleetEntry
	peers          map[pomelorelay.NodeID]fleetEntry
	evacuated      map[pomelorelay.DomainID]fleetEntry
	// passed are the versions of upstreams' entries that were replaced or deleted, with the revision of the entry.
	passed []passedVersion
	leases map[pomelorelay.LeaseID]pomelorelay.NodeID
	// crashLeases are the open leases for crash records, crashRecords the records by router process.
	crashLeases  map[pomelorelay.LeaseID]bool
	crashRecords map[crashRecordKey]crashRecord
	nextLease    pomelorelay.LeaseID
	// compactedAt is the oldest revision from which a watch can continue.
	compactedAt pomelorelay.Revision
	calls       FleetStoreCallCounts
	// DecodeConfig decodes configuration documents; it is required if routers fetch configurations from their peers.
	DecodeConfig func(document []byte) (*pomelorelay.FleetConfig, error)
}

// fleetEntry is an upstream, a router or an evacuation at a revision, or the tombstone of one.
type fleetEntry struct {
	revision pomelorelay.Revision
	deleted  bool
	upstream pomelorelay.FleetUpstream
	peer     pomelorelay.Peer
}

type passedVersion struct {
	revision pomelorelay.Revision
	seen     pomelorelay.VersionSeen
}

// crashRecordKey identifies the process of a router that wrote a crash record.
type crashRecordKey struct {
	node        pomelorelay.NodeID
	incarnation pomelorelay.Incarnation
}

type crashRecord struct {
	revision pomelorelay.Revision
	lease    pomelorelay.LeaseID
	crashes  []pomelorelay.RequestCrash
}

// NewFleetStore returns an empty store.
func NewFleetStore() *FleetStore {
	return &FleetStore{
		changed:   make(chan struct{}),
		upstreams: make(map[pomelorelay.UpstreamID]fleetEntry),
		peers:     make(map[pomelorelay.NodeID]fleetEntry),
		evacuated: make(map[pomelorelay.DomainID]fleetEntry),
		leases:    make(map[pomelorelay.LeaseID]pomelorelay.NodeID),

		crashLeases:  make(map[pomelorelay.LeaseID]bool),
		crashRecords: make(map[crashRecordKey]crashRecord),
	}
}

// commit calls apply with the next revision and notifies the watches.
func (s *FleetStore) commit(apply func(at pomelorelay.Revision)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	apply(s.revision)
	close(s.changed)
	s.changed = make(chan struct{})
}

// PublishConfig writes the configuration.
func (s *FleetStore) PublishConfig(config *pomelorelay.FleetConfig) {
	s.commit(func(at pomelorelay.Revision) { s.config, s.configRevision = config, at })
}

// PutUpstream writes an upstream's entry.
func (s *FleetStore) PutUpstream(u pomelorelay.FleetUpstream) {
	s.putUpstream(u.ID, fleetEntry{upstream: u})
}

// DeleteUpstream deletes an upstream's entry.
func (s *FleetStore) DeleteUpstream(id pomelorelay.UpstreamID) {
	s.putUpstream(id, fleetEntry{deleted: true})
}

func (s *FleetStore) putUpstream(id pomelorelay.UpstreamID, e fleetEntry) {
	s.commit(func(at pomelorelay.Revision) {
		if before, known := s.upstreams[id]; known && !before.deleted {
			s.passed = append(s.passed, passedVersion{before.revision, pomelorelay.VersionSeen{Service: before.upstream.Service, Version: before.upstream.Version}})
		}
		e.revision = at
		s.upstreams[id] = e
	})
}

// Evacuate marks a failure domain as evacuated.
func (s *FleetStore) Evacuate(domain pomelorelay.DomainID) {
	s.commit(func(at pomelorelay.Revision) { s.evacuated[domain] = fleetEntry{revision: at} })
}

// CancelEvacuation cancels the evacuation of a failure domain.
func (s *FleetStore) CancelEvacuation(domain pomelorelay.DomainID) {
	s.commit(func(at pomelorelay.Revision) { s.evacuated[domain] = fleetEntry{revision: at, deleted: true} })
}

// SetUnavailable sets whether every call fails with CodeStoreUnavailable.
func (s *FleetStore) SetUnavailable(unavailable bool) {
	s.commit(func(pomelorelay.Revision) { s.unavailable = unavailable })
}

// ExpireLeases expires the leases of all routers and deletes their registrations and crash records, as a long outage does.
func (s *FleetStore) ExpireLeases() {
	s.commit(func(at pomelorelay.Revision) {
		for lease, node := range s.leases {
			delete(s.leases, lease)
			s.peers[node] = fleetEntry{revision: at, deleted: true}
		}
		clear(s.crashLeases)
		clear(s.crashRecords)
	})
}

// Compact discards the history, so that a watch from an older revision fails with CodeStoreCompacted.
func (s *FleetStore) Compact() {
	s.commit(func(at pomelorelay.Revision) { s.compactedAt = at })
}

// CrashRecords returns the number of crash records.
func (s *FleetStore) CrashRecords() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.crashRecords)
}

// FleetStoreCallCounts counts the reads, watches and registrations of routers, including failed ones.
type FleetStoreCallCounts struct{ Reads, Watches, Registrations int }

// Calls returns the number of calls since the store was created.
func (s *FleetStore) Calls() FleetStoreCallCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *FleetStore) countCall(calls *int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*calls++
}

// FleetStoreClient is one router's connection to a FleetStore.
type FleetStoreClient struct {
	s           *FleetStore
	mu          sync.Mutex
	partitioned bool
}

var _ pomelorelay.Platform = (*FleetStoreClient)(nil)

// NewClient returns a new connection to the store for one router.
func (s *FleetStore) NewClient() *FleetStoreClient { return &FleetStoreClient{s: s} }

// SetPartitioned sets whether the router is partitioned from the store.
func (c *FleetStoreClient) SetPartitioned(partitioned bool) {
	c.mu.Lock()
	c.partitioned = partitioned
	c.mu.Unlock()
	c.s.commit(func(pomelorelay.Revision) {})
}

func (c *FleetStoreClient) availableLocked() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.partitioned || c.s.unavailable {
		return pomelorelay.NewError(pomelorelay.CodeStoreUnavailable, "", nil)
	}
	return nil
}

// await waits until ready returns true or the wait is over. It fails with CodeStoreUnavailable if the store is unavailable or
// partitioned from the router, or if ctx ends.
func (c *FleetStoreClient) await(ctx context.Context, wait time.Duration, ready func() bool) error {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		c.s.mu.Lock()
		err := c.availableLocked()
		if err != nil || ready() {
			c.s.mu.Unlock()
			return err
		}
		changed := c.s.changed
		c.s.mu.Unlock()
		select {
		case <-ctx.Done():
			return pomelorelay.NewError(pomelorelay.CodeStoreUnavailable, "", ctx.Err())
		case <-timeout.C:
			return nil
		case <-changed:
		}
	}
}

// Read returns the configuration and all upstreams, routers and evacuations; see pomelorelay.Platform. The result is never stale.
func (c *FleetStoreClient) Read(ctx context.Context, _ bool) (pomelorelay.FleetChange, error) {
	c.s.countCall(&c.s.calls.Reads)
	change := pomelorelay.FleetChange{Full: true}
	err := c.await(ctx, 0, func() bool {
		c.s.collect(&change, 0)
		return true
	})
	return change, err
}

// Watch returns the changes after a revision; see pomelorelay.Platform.
func (c *FleetStoreClient) Watch(ctx context.Context, after pomelorelay.Revision, wait time.Duration) (pomelorelay.FleetChange, error) {
	c.s.countCall(&c.s.calls.Watches)
	var change pomelorelay.FleetChange
	compacted := false
	err := c.await(ctx, wait, func() bool {
		compacted = after < c.s.compactedAt
		return compacted || c.s.collect(&change, after)
	})
	if err == nil && compacted {
		err = pomelorelay.NewError(pomelorelay.CodeStoreCompacted, "", nil)
	}
	return change, err
}

// collect adds the entries written after the revision and reports whether there are any. The caller holds the mutex.
func (s *FleetStore) collect(change *pomelorelay.FleetChange, after pomelorelay.Revision) bool {
	change.Revision = s.revision
	if s.config != nil && s.configRevision > after {
		change.Config = s.config
	}
	changed := change.Config != nil
	add := func(e fleetEntry, present, deleted func()) {
		if e.revision <= after {
			return
		}
		changed = true
		if e.deleted {
			deleted()
			return
		}
		present()
	}
	for id, e := range s.upstreams {
		add(e, func() { change.Upstreams = append(change.Upstreams, e.upstream) }, func() { change.RemovedUpstreams = append(change.RemovedUpstreams, id) })
	}
	for _, p := range s.passed {
		if p.revision > after && !change.Full {
			change.VersionsPassed = append(change.VersionsPassed, p.seen)
		}
	}
	for node, e := range s.peers {
		add(e, func() { change.Peers = append(change.Peers, e.peer) }, func() { change.RemovedPeers = append(change.RemovedPeers, node) })
	}
	for domain, e := range s.evacuated {
		add(e, func() { change.Evacuated = append(change.Evacuated, domain) }, func() { change.RestoredDomains = append(change.RestoredDomains, domain) })
	}
	for _, r := range s.crashRecords {
		if r.revision > after {
			changed = true
			change.Crashes = append(change.Crashes, r.crashes...)
		}
	}
	return changed
}

// ParseConfig decodes a configuration document received from a peer.
func (c *FleetStoreClient) ParseConfig(document []byte) (*pomelorelay.FleetConfig, error) {
	return c.s.DecodeConfig(document)
}

// Register registers a router and returns a lease, which does not expire by itself; see pomelorelay.Platform.
func (c *FleetStoreClient) Register(_ context.Context, self pomelorelay.Peer, _ time.Duration) (pomelorelay.LeaseID, error) {
	c.s.countCall(&c.s.calls.Registrations)
	if err := c.available(); err != nil {
		return 0, err
	}
	var lease pomelorelay.LeaseID
	c.s.commit(func(at pomelorelay.Revision) {
		c.s.nextLease++
		lease = c.s.nextLease
		c.s.leases[lease] = self.Node
		c.s.peers[self.Node] = fleetEntry{revision: at, peer: self}
	})
	return lease, nil
}

func (c *FleetStoreClient) available() error {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	return c.availableLocked()
}

// RenewLease renews a lease; it fails with CodeStoreLeaseLapsed if the lease has ended.
func (c *FleetStoreClient) RenewLease(_ context.Context, lease pomelorelay.LeaseID) error {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	if err := c.availableLocked(); err != nil {
		return err
	}
	if _, ok := c.s.leases[lease]; !ok && !c.s.crashLeases[lease] {
		return pomelorelay.NewError(pomelorelay.CodeStoreLeaseLapsed, "", nil)
	}
	return nil
}

// OpenLease opens a lease for crash records; it does not expire by itself.
func (c *FleetStoreClient) OpenLease(context.Context, time.Duration) (pomelorelay.LeaseID, error) {
	if err := c.available(); err != nil {
		return 0, err
	}
	var lease pomelorelay.LeaseID
	c.s.commit(func(pomelorelay.Revision) {
		c.s.nextLease++
		lease = c.s.nextLease
		c.s.crashLeases[lease] = true
	})
	return lease, nil
}

// RecordCrashes replaces the crash record of a router's process; see pomelorelay.Platform.
func (c *FleetStoreClient) RecordCrashes(_ context.Context, node pomelorelay.NodeID, incarnation pomelorelay.Incarnation, crashes []pomelorelay.RequestCrash, lease pomelorelay.LeaseID) error {
	if err := c.available(); err != nil {
		return err
	}
	var err error
	c.s.commit(func(at pomelorelay.Revision) {
		if !c.s.crashLeases[lease] {
			err = pomelorelay.NewError(pomelorelay.CodeStoreLeaseLapsed, "", nil)
			return
		}
		c.s.crashRecords[crashRecordKey{node, incarnation}] = crashRecord{revision: at, lease: lease, crashes: crashes}
	})
	return err
}

// CloseLease ends a lease and deletes what was written under it.
func (c *FleetStoreClient) CloseLease(_ context.Context, lease pomelorelay.LeaseID) error {
	if err := c.available(); err != nil {
		return err
	}
	c.s.commit(func(at pomelorelay.Revision) {
		if node, ok := c.s.leases[lease]; ok {
			delete(c.s.leases, lease)
			c.s.peers[node] = fleetEntry{revision: at, deleted: true}
		}
		delete(c.s.crashLeases, lease)
		maps.DeleteFunc(c.s.crashRecords, func(_ crashRecordKey, r crashRecord) bool { return r.lease == lease })
	})
	return nil
}
