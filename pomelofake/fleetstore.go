package pomelofake

import (
	"context"
	"sync"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// FleetStore stands in for the platform's store as the entry routers use it: the operators' configuration, the upstreams' entries and
// the routers' registrations, each with a revision. It is safe for concurrent use.
type FleetStore struct {
	mu        sync.Mutex
	revision  pomelorelay.Revision
	changed   chan struct{}
	down      bool
	config    *pomelorelay.FleetConfig
	configAt  pomelorelay.Revision
	upstreams map[pomelorelay.UpstreamID]fleetEntry
	peers     map[pomelorelay.NodeID]fleetEntry
	evacuated map[pomelorelay.DomainID]fleetEntry
	leases    map[pomelorelay.LeaseID]pomelorelay.NodeID
	nextLease pomelorelay.LeaseID
	// oldest is the revision from which the history is kept.
	oldest pomelorelay.Revision
	calls  FleetCalls
	// DecodeConfig reads the documents that peers give; it is required where routers give each other configurations.
	DecodeConfig func(document []byte) (*pomelorelay.FleetConfig, error)
}

// fleetEntry is an upstream, a router or an evacuation at a revision, or the mark that one was removed.
type fleetEntry struct {
	at       pomelorelay.Revision
	gone     bool
	upstream pomelorelay.FleetUpstream
	peer     pomelorelay.Peer
}

// NewFleetStore returns an empty store.
func NewFleetStore() *FleetStore {
	return &FleetStore{
		changed:   make(chan struct{}),
		upstreams: make(map[pomelorelay.UpstreamID]fleetEntry),
		peers:     make(map[pomelorelay.NodeID]fleetEntry),
		evacuated: make(map[pomelorelay.DomainID]fleetEntry),
		leases:    make(map[pomelorelay.LeaseID]pomelorelay.NodeID),
	}
}

// change runs f as one change and wakes the watches.
func (s *FleetStore) change(f func(at pomelorelay.Revision)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	f(s.revision)
	close(s.changed)
	s.changed = make(chan struct{})
}

// PublishConfig puts a configuration into the store.
func (s *FleetStore) PublishConfig(config *pomelorelay.FleetConfig) {
	s.change(func(at pomelorelay.Revision) { s.config, s.configAt = config, at })
}

// PutUpstream writes an upstream's entry.
func (s *FleetStore) PutUpstream(u pomelorelay.FleetUpstream) {
	s.change(func(at pomelorelay.Revision) { s.upstreams[u.ID] = fleetEntry{at: at, upstream: u} })
}

// DeleteUpstream removes an upstream's entry.
func (s *FleetStore) DeleteUpstream(id pomelorelay.UpstreamID) {
	s.change(func(at pomelorelay.Revision) { s.upstreams[id] = fleetEntry{at: at, gone: true} })
}

// Evacuate writes the evacuation of a failure domain.
func (s *FleetStore) Evacuate(domain pomelorelay.DomainID) {
	s.change(func(at pomelorelay.Revision) { s.evacuated[domain] = fleetEntry{at: at} })
}

// CancelEvacuation takes an evacuation back.
func (s *FleetStore) CancelEvacuation(domain pomelorelay.DomainID) {
	s.change(func(at pomelorelay.Revision) { s.evacuated[domain] = fleetEntry{at: at, gone: true} })
}

// SetUnavailable makes every call fail, or ends that.
func (s *FleetStore) SetUnavailable(down bool) {
	s.change(func(pomelorelay.Revision) { s.down = down })
}

// ExpireLeases ends every lease of a router, as an outage does.
func (s *FleetStore) ExpireLeases() {
	s.change(func(at pomelorelay.Revision) {
		for lease, node := range s.leases {
			delete(s.leases, lease)
			s.peers[node] = fleetEntry{at: at, gone: true}
		}
	})
}

// Compact drops the history, so that watches must read everything anew.
func (s *FleetStore) Compact() {
	s.change(func(at pomelorelay.Revision) { s.oldest = at })
}

// FleetCalls counts the calls that routers made, answered or not.
type FleetCalls struct{ Reads, Watches, Announces int }

// Calls returns the counts since the start.
func (s *FleetStore) Calls() FleetCalls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *FleetStore) count(calls *int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*calls++
}

// StoreClient is the store as one router reaches it.
type StoreClient struct {
	s   *FleetStore
	mu  sync.Mutex
	cut bool
}

var _ pomelorelay.Platform = (*StoreClient)(nil)

// NewClient returns the store as one router reaches it.
func (s *FleetStore) NewClient() *StoreClient { return &StoreClient{s: s} }

// SetPartitioned parts the router from the store, or ends that.
func (v *StoreClient) SetPartitioned(cut bool) {
	v.mu.Lock()
	v.cut = cut
	v.mu.Unlock()
	v.s.change(func(pomelorelay.Revision) {})
}

func (v *StoreClient) reaches() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cut || v.s.down {
		return pomelorelay.NewError(pomelorelay.CodeStoreUnavailable, "", nil)
	}
	return nil
}

// await waits until fresh reports something, at most for the wait; it fails when the store cannot be reached.
func (v *StoreClient) await(ctx context.Context, wait time.Duration, fresh func() bool) error {
	over := time.NewTimer(wait)
	defer over.Stop()
	for {
		v.s.mu.Lock()
		err := v.reaches()
		if err != nil || fresh() {
			v.s.mu.Unlock()
			return err
		}
		changed := v.s.changed
		v.s.mu.Unlock()
		select {
		case <-ctx.Done():
			return pomelorelay.NewError(pomelorelay.CodeStoreUnavailable, "", ctx.Err())
		case <-over.C:
			return nil
		case <-changed:
		}
	}
}

// Read returns everything; see pomelorelay.Platform. It is never stale here.
func (v *StoreClient) Read(ctx context.Context, _ bool) (pomelorelay.FleetChange, error) {
	v.s.count(&v.s.calls.Reads)
	change := pomelorelay.FleetChange{Full: true}
	err := v.await(ctx, 0, func() bool {
		v.s.collect(&change, 0)
		return true
	})
	return change, err
}

// Watch returns what changed after a revision; see pomelorelay.Platform.
func (v *StoreClient) Watch(ctx context.Context, after pomelorelay.Revision, wait time.Duration) (pomelorelay.FleetChange, error) {
	v.s.count(&v.s.calls.Watches)
	var change pomelorelay.FleetChange
	compacted := false
	err := v.await(ctx, wait, func() bool {
		compacted = after < v.s.oldest
		return compacted || v.s.collect(&change, after)
	})
	if err == nil && compacted {
		err = pomelorelay.NewError(pomelorelay.CodeStoreCompacted, "", nil)
	}
	return change, err
}

// collect adds to the change what happened after the revision; it reports whether anything did. The mutex is held.
func (s *FleetStore) collect(change *pomelorelay.FleetChange, after pomelorelay.Revision) bool {
	change.Revision = s.revision
	if s.config != nil && s.configAt > after {
		change.Config = s.config
	}
	changed := change.Config != nil
	add := func(e fleetEntry, present, gone func()) {
		if e.at <= after {
			return
		}
		changed = true
		if e.gone {
			gone()
			return
		}
		present()
	}
	for id, e := range s.upstreams {
		add(e, func() { change.Upstreams = append(change.Upstreams, e.upstream) }, func() { change.RemovedUpstreams = append(change.RemovedUpstreams, id) })
	}
	for node, e := range s.peers {
		add(e, func() { change.Peers = append(change.Peers, e.peer) }, func() { change.RemovedPeers = append(change.RemovedPeers, node) })
	}
	for domain, e := range s.evacuated {
		add(e, func() { change.Evacuated = append(change.Evacuated, domain) }, func() { change.Restored = append(change.Restored, domain) })
	}
	return changed
}

// ParseConfig reads a configuration's document that a peer gave.
func (v *StoreClient) ParseConfig(document []byte) (*pomelorelay.FleetConfig, error) {
	return v.s.DecodeConfig(document)
}

// Register registers a router; see pomelorelay.Platform. Leases do not lapse by themselves here.
func (v *StoreClient) Register(_ context.Context, self pomelorelay.Peer, _ time.Duration) (pomelorelay.LeaseID, error) {
	v.s.count(&v.s.calls.Announces)
	if err := v.reachesNow(); err != nil {
		return 0, err
	}
	var lease pomelorelay.LeaseID
	v.s.change(func(at pomelorelay.Revision) {
		v.s.nextLease++
		lease = v.s.nextLease
		v.s.leases[lease] = self.Node
		v.s.peers[self.Node] = fleetEntry{at: at, peer: self}
	})
	return lease, nil
}

func (v *StoreClient) reachesNow() error {
	v.s.mu.Lock()
	defer v.s.mu.Unlock()
	return v.reaches()
}

// RenewLease renews a lease; it fails with CodeStoreLeaseLapsed when it has ended.
func (v *StoreClient) RenewLease(_ context.Context, lease pomelorelay.LeaseID) error {
	v.s.mu.Lock()
	defer v.s.mu.Unlock()
	if err := v.reaches(); err != nil {
		return err
	}
	if _, ok := v.s.leases[lease]; !ok {
		return pomelorelay.NewError(pomelorelay.CodeStoreLeaseLapsed, "", nil)
	}
	return nil
}

// CloseLease ends a lease and removes its router.
func (v *StoreClient) CloseLease(_ context.Context, lease pomelorelay.LeaseID) error {
	if err := v.reachesNow(); err != nil {
		return err
	}
	v.s.change(func(at pomelorelay.Revision) {
		if node, ok := v.s.leases[lease]; ok {
			delete(v.s.leases, lease)
			v.s.peers[node] = fleetEntry{at: at, gone: true}
		}
	})
	return nil
}
