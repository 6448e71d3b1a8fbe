package pomeloentry_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloentry"
	"github.com/pomelorelay/pomelorelay/pomelofake"
)

// storeCallTimeout is how long a call to unansweredStore takes beyond its wait when nothing else ends it.
const storeCallTimeout = 1500 * time.Millisecond

// unansweredStore is a client of the store that leaves a number of watches unanswered.
type unansweredStore struct {
	*pomelofake.FleetStoreClient
	unanswered atomic.Int64
}

func (s *unansweredStore) Watch(ctx context.Context, after pomelorelay.Revision, wait time.Duration) (pomelorelay.FleetChange, error) {
	if s.unanswered.Add(-1) < 0 {
		return s.FleetStoreClient.Watch(ctx, after, wait)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+storeCallTimeout)
	defer cancel()
	<-ctx.Done()
	return pomelorelay.FleetChange{}, pomelorelay.NewError(pomelorelay.CodeStoreUnavailable, "watch", ctx.Err())
}

// inboxMesh receives what a test sends and discards what the router sends.
type inboxMesh struct {
	pomeloentry.DiscardMesh
	inbox chan pomelorelay.Envelope
}

func (m inboxMesh) Receive() <-chan pomelorelay.Envelope { return m.inbox }

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
	fleet.store.PublishConfig(fleet.config(1, "/a/"))
	store := &unansweredStore{FleetStoreClient: fleet.store.NewClient()}
	for _, p := range peers {
		if _, err := store.Register(context.Background(), p, time.Minute); err != nil {
			t.Fatal(err)
		}
	}
	mesh := inboxMesh{inbox: make(chan pomelorelay.Envelope)}
	log := &eventLog{}
	router, err := pomeloentry.New(pomeloentry.Config{
		Settings: pomelorelay.FleetSettings{Self: self, DrainTimeout: wait, ConfigApplyTimeout: wait}, Platform: store, Mesh: mesh, Wire: pomelofake.TestWireFormat{}, Logger: log,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer router.Close()
	// The router's own registration is a change.
	time.Sleep(time.Second)
	unchanged, err := store.Read(context.Background(), false)
	if err != nil {
		t.Fatal(err)
	}
	// The relay of the router's domain sends updates until the change, and goes on with other messages.
	relayed := func(length time.Duration, m pomelorelay.Message) {
		for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
			mesh.inbox <- pomelorelay.Envelope{From: self.Node[:1] + "-0", Domain: self.Domain, Incarnation: 1, Generation: 1, Message: m}
		}
	}
	relayed(6*time.Second, &pomelorelay.FleetUpdate{After: unchanged.Revision, Revision: unchanged.Revision})
	changed := time.Now()
	store.unanswered.Store(1)
	fleet.store.PublishConfig(fleet.config(2, "/a/", "/b/"))
	relayed(3*wait, &pomelorelay.LoadReport{})
	isNewer := func(f pomelorelay.Field) bool { return f.Key == "Generation" && f.Value == uint64(2) }
	at, ok := log.timeOf(pomelorelay.EventConfigInForce, isNewer)
	if !ok {
		t.Fatal("the change is not in force")
	}
	took := at.Sub(changed)
	if took < wait/2 {
		t.Fatalf("in force after %v, before the router's own read is due", took)
	}
	return took
}
