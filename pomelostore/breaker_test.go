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

// eventRecorder records the logged events.
type eventRecorder struct {
	mu       sync.Mutex
	recorded []pomelorelay.EventID
}

func (l *eventRecorder) Log(id pomelorelay.EventID, _ ...pomelorelay.Field) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recorded = append(l.recorded, id)
}

// Guards against calls that wait for their timeout while the store is down and then all reach the store at once when it recovers, which
// keeps responses slow long after the outage.
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
	clock, events := newClock(), &eventRecorder{}
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
		t.Fatalf("%d of 20 calls reached the failed store, want 3", got)
	}
	var failure *pomelorelay.Error
	if err := get(); !errors.As(err, &failure) || failure.RetryAfter != time.Second {
		t.Fatalf("got %v, want RetryAfter of 1s", err)
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
	if len(events.recorded) != 2 || events.recorded[0] != pomelorelay.EventStoreBreakerOpen || events.recorded[1] != pomelorelay.EventStoreBreakerClosed {
		t.Fatalf("events %v", events.recorded)
	}
}

// Guards against many concurrent calls that are all sent as probes when the breaker's open period ends, and overload a recovering store.
func TestOpenBreakerAllowsOneProbe(t *testing.T) {
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
		t.Fatalf("%d calls, want 2: the first call and one probe", got)
	}
}

// The first call after an outage is a watch and becomes the probe. Guards against a probe that waits for a change: it would block every
// other call until something changes, and requests would be refused long after the store has recovered.
func TestWatchClosesBreakerAfterOutage(t *testing.T) {
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
			t.Errorf("got event %d, want EventStoreBreakerClosed", id)
		}
	case <-time.After(10 * time.Second):
		t.Error("breaker is still open 10 s after the watch was sent")
	}
	cancel()
	close(changed)
	<-watched
}

// eventChannel sends the logged events on a channel.
type eventChannel chan pomelorelay.EventID

func (l eventChannel) Log(id pomelorelay.EventID, _ ...pomelorelay.Field) { l <- id }

// Guards against a component that calls the store in a loop and exceeds this router's share of the store's rate limit.
func TestCallBudgetLimitsRate(t *testing.T) {
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
			t.Fatalf("%d calls sent after %d s, want %d", got, second, want)
		}
		clock.advance(time.Second)
	}
	if got := client.Stats().Throttled.Value(); got != 270 {
		t.Fatalf("%d calls throttled, want 270", got)
	}
}
