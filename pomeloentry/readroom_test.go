package pomeloentry_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloentry"
	"github.com/pomelorelay/pomelorelay/pomelofake"
)

// storeCallTimeout is how long a call to unansweredStore takes beyond its wait when nothing else ends it.
const storeCallTimeout = 1500 * time.Millisecond

// unansweredStore is a store that leaves a number of watches unanswered.
type unansweredStore struct {
	pomelorelay.Platform
	mu         sync.Mutex
	peers      []pomelorelay.Peer
	config     *pomelorelay.FleetConfig
	revision   pomelorelay.Revision
	unanswered int
}

func (s *unansweredStore) Read(context.Context, bool) (pomelorelay.FleetChange, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return pomelorelay.FleetChange{Full: true, Revision: s.revision, Config: s.config, Peers: s.peers}, nil
}

func (s *unansweredStore) Watch(ctx context.Context, after pomelorelay.Revision, wait time.Duration) (pomelorelay.FleetChange, error) {
	if s.losesAnswer() {
		ctx, cancel := context.WithTimeout(ctx, wait+storeCallTimeout)
		defer cancel()
		<-ctx.Done()
		return pomelorelay.FleetChange{}, pomelorelay.NewError(pomelorelay.CodeStoreUnavailable, "watch", ctx.Err())
	}
	for end := time.Now().Add(wait); ; time.Sleep(4 * time.Millisecond) {
		s.mu.Lock()
		change := pomelorelay.FleetChange{Revision: s.revision}
		if s.revision > after {
			change.Config = s.config
		}
		s.mu.Unlock()
		if change.Config != nil || !time.Now().Before(end) {
			return change, nil
		}
	}
}

func (s *unansweredStore) losesAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unanswered == 0 {
		return false
	}
	s.unanswered--
	return true
}

// publish puts a configuration into force, and leaves the next watches unanswered.
func (s *unansweredStore) publish(config *pomelorelay.FleetConfig, unanswered int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.config, s.unanswered = config, unanswered
}

func (s *unansweredStore) Register(context.Context, pomelorelay.Peer, time.Duration) (pomelorelay.LeaseID, error) {
	return 1, nil
}

func (s *unansweredStore) RenewLease(context.Context, pomelorelay.LeaseID) error { return nil }

func (s *unansweredStore) CloseLease(context.Context, pomelorelay.LeaseID) error { return nil }

// inboxMesh receives what a test sends and discards what the router sends.
type inboxMesh struct {
	discardedMessages
	inbox chan pomelorelay.Envelope
}

func (m inboxMesh) Receive() <-chan pomelorelay.Envelope { return m.inbox }

type discardedMessages struct{ pomelorelay.Mesh }

func (discardedMessages) Send(pomelorelay.NodeID, pomelorelay.Message) error { return nil }
func (discardedMessages) SetPeers([]pomelorelay.Peer)                        {}
func (discardedMessages) SetGeneration(pomelorelay.Generation)               {}
func (discardedMessages) Close() error                                       { return nil }

// Guards against a bound on configuration that leaves a router's own read of the store no time for a call that is not answered.
func TestUnansweredReadLeavesTimeForAnother(t *testing.T) {
	const maxShare = 0.85
	peers := peersOf(6, 15)
	for _, wait := range []time.Duration{2500 * time.Millisecond, 4 * time.Second} {
		for _, self := range []pomelorelay.Peer{peers[5], peers[20], peers[33], peers[52], peers[89]} {
			t.Run(fmt.Sprint(wait, " ", self.Node), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					if took := timeToOwnRead(t, wait, self, peers); took > time.Duration(maxShare*float64(wait)) {
						t.Errorf("in force %v after the change, of %v", took, wait)
					}
				})
			})
		}
	}
}

// timeToOwnRead returns how long after a change a router has it in force that hears of it from nobody and whose first read is not answered.
func timeToOwnRead(t *testing.T, wait time.Duration, self pomelorelay.Peer, peers []pomelorelay.Peer) time.Duration {
	fleet := newFleet(t)
	store := &unansweredStore{Platform: fleet.store.NewClient(), peers: peers, config: fleet.config(1, "/a/"), revision: 10}
	mesh := inboxMesh{inbox: make(chan pomelorelay.Envelope)}
	log := &eventLog{}
	router, err := pomeloentry.New(pomeloentry.Config{
		Settings: pomelorelay.FleetSettings{Self: self, DrainTimeout: wait, ConfigApplyTimeout: wait}, Platform: store, Mesh: mesh, Wire: pomelofake.TestWireFormat{}, Logger: log,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer router.Close()
	// The relay of the router's domain sends updates until the change, and goes on with other messages.
	relayed := func(length time.Duration, m pomelorelay.Message) {
		for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
			mesh.inbox <- pomelorelay.Envelope{From: self.Node[:1] + "-0", Domain: self.Domain, Incarnation: 1, Generation: 1, Message: m}
		}
	}
	relayed(6*time.Second, &pomelorelay.FleetUpdate{After: 10, Revision: 10})
	changed := time.Now()
	store.publish(fleet.config(2, "/a/", "/b/"), 1)
	relayed(3*wait, &pomelorelay.LoadReport{})
	isNewer := func(f pomelorelay.Field) bool { return f.Key == "Generation" && f.Value == uint64(2) }
	at, ok := log.timeOf(pomelorelay.EventConfigInForce, isNewer)
	if !ok {
		t.Fatal("the change is not in force")
	}
	return at.Sub(changed)
}
