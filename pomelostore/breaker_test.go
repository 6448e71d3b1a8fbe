package pomelostore_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelostore"
)

// eventList keeps the events that were logged.
type eventList struct {
	mu  sync.Mutex
	ids []pomelorelay.EventID
}

func (l *eventList) Log(id pomelorelay.EventID, _ ...pomelorelay.Field) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ids = append(l.ids, id)
}

// The store is down for a while. Without a breaker every call waits for its timeout, and the store is met by all of them when
// it comes back; a user sees slow answers long after the outage.
func TestBreakerOpensProbesAndCloses(t *testing.T) {
	var calls atomic.Int64
	var down atomic.Bool
	down.Store(true)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		if down.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusNotFound)
	}))
	defer server.Close()
	clock, events := newClock(), &eventList{}
	client := newClient(t, pomelostore.Config{
		Addresses: []netip.AddrPort{addressOf(t, server)}, BreakerFailures: 3, BreakerCooldown: time.Second, Clock: clock, Logger: events,
	})
	get := func() error {
		_, err := client.Get(context.Background(), "k")
		return err
	}
	for range 20 {
		wantCode(t, get(), pomelorelay.CodeStoreUnavailable)
	}
	if got := calls.Load(); got != 3 {
		t.Fatalf("%d of 20 calls reached a store that is down, want 3", got)
	}
	var failure *pomelorelay.Error
	if err := get(); !errors.As(err, &failure) || failure.RetryAfter != time.Second {
		t.Fatalf("got %v, want to come back after 1s", err)
	}
	clock.advance(time.Second)
	for range 5 {
		wantCode(t, get(), pomelorelay.CodeStoreUnavailable)
	}
	if got := calls.Load(); got != 4 {
		t.Fatalf("%d calls after one probe, want 4", got)
	}
	clock.advance(time.Second)
	down.Store(false)
	for range 5 {
		if err := get(); err != nil {
			t.Fatal(err)
		}
	}
	if len(events.ids) != 2 || events.ids[0] != pomelorelay.EventStoreBreakerOpen || events.ids[1] != pomelorelay.EventStoreBreakerClosed {
		t.Fatalf("events %v", events.ids)
	}
}

// The store comes back while many calls wait to be made. Were all let out at once as probes, they would be the next overload.
func TestOnlyOneProbeGoesOut(t *testing.T) {
	var calls atomic.Int64
	var hold atomic.Bool
	entered, release := make(chan struct{}, 64), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		if hold.Load() {
			entered <- struct{}{}
			<-release
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	clock := newClock()
	client := newClient(t, pomelostore.Config{Addresses: []netip.AddrPort{addressOf(t, server)}, BreakerFailures: 1, BreakerCooldown: time.Second, Clock: clock})
	_, err := client.Get(context.Background(), "k")
	wantCode(t, err, pomelorelay.CodeStoreUnavailable)
	clock.advance(time.Second)
	hold.Store(true)
	probe := make(chan error)
	go func() {
		_, err := client.Get(context.Background(), "k")
		probe <- err
	}()
	<-entered
	for range 10 {
		_, err := client.Get(context.Background(), "k")
		wantCode(t, err, pomelorelay.CodeStoreUnavailable)
	}
	close(release)
	wantCode(t, <-probe, pomelorelay.CodeStoreUnavailable)
	if got := calls.Load(); got != 2 {
		t.Fatalf("%d calls, want the first and one probe", got)
	}
}

// A watch is the first call after an outage and waits for a change, as watches do. Taken for the probe, it would keep every other call
// from the store for as long as nothing changes; a user sees bookings refused long after the store is back.
func TestWatchAfterAnOutageLetsOthersThrough(t *testing.T) {
	var down atomic.Bool
	down.Store(true)
	changed := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if down.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if wait, _ := time.ParseDuration(r.URL.Query().Get("wait")); wait > 0 {
			<-changed
		}
		w.WriteHeader(http.StatusNoContent)
	}))
	defer server.Close()
	clock, events := newClock(), make(chan pomelorelay.EventID, 8)
	client := newClient(t, pomelostore.Config{
		Addresses: []netip.AddrPort{addressOf(t, server)}, BreakerFailures: 1, BreakerCooldown: time.Second, Clock: clock, Logger: eventChannel(events),
	})
	ctx, cancel := context.WithCancel(context.Background())
	_, err := client.Watch(ctx, "k", 0)
	wantCode(t, err, pomelorelay.CodeStoreUnavailable)
	<-events
	clock.advance(time.Second)
	down.Store(false)
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		_, _ = client.Watch(ctx, "k", 0)
	}()
	select {
	case id := <-events:
		if id != pomelorelay.EventStoreBreakerClosed {
			t.Errorf("event %d, want the breaker closed", id)
		}
	case <-time.After(10 * time.Second):
		t.Error("the waiting watch keeps the breaker open")
	}
	cancel()
	close(changed)
	<-watched
}

// eventChannel passes on the events that are logged.
type eventChannel chan pomelorelay.EventID

func (l eventChannel) Log(id pomelorelay.EventID, _ ...pomelorelay.Field) { l <- id }

// A part of the router asks the store in a loop. It may spend only this router's own share of the store's rate.
func TestBudgetBoundsCalls(t *testing.T) {
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		w.WriteHeader(http.StatusNotFound)
	}))
	defer server.Close()
	clock := newClock()
	client := newClient(t, pomelostore.Config{Addresses: []netip.AddrPort{addressOf(t, server)}, CallsPerSecond: 10, Clock: clock})
	for second := range 3 {
		for range 100 {
			client.Get(context.Background(), "k")
		}
		if got, want := calls.Load(), int64(10*(second+1)); got != want {
			t.Fatalf("%d calls after %d s, want %d", got, second, want)
		}
		clock.advance(time.Second)
	}
	if got := client.Stats().Throttled.Value(); got != 270 {
		t.Fatalf("%d calls throttled, want 270", got)
	}
}
