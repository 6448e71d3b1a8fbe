package pomelonode_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelofake"
)

const chat = `{"model":"` + model + `","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"a clasp estimate"}]}`

// longChat streams for about 600 ms.
const longChat = `{"model":"` + model + `","stream":true,"max_tokens":300,"messages":[{"role":"user","content":"a grant narrative"}]}`

func whole(a answer) bool {
	return a.err == nil && a.status == http.StatusOK && strings.Contains(a.body, "data: [DONE]")
}

func TestRequestsAreServedEndToEnd(t *testing.T) {
	f := newFleet(t, 2)
	f.awaitReady()
	for _, r := range f.routers {
		got := r.call(http.MethodPost, "/assistant/v1/chat/completions", "", chat)
		if !whole(got) {
			t.Fatalf("a stream was answered %d %v: %s", got.status, got.err, got.body)
		}
		booked := r.call(http.MethodPost, "/booking/jobs", "job-"+string(r.settings.Host.Name), `{"piece":"ring"}`)
		if booked.err != nil || booked.status != http.StatusOK {
			t.Fatalf("a booking was answered %d %v: %s", booked.status, booked.err, booked.body)
		}
	}
}

func TestGracefulStopEndsNoRequest(t *testing.T) {
	// An operator stops a router for an upgrade while a long narrative streams through it. Ended with the process, the
	// stream would break off in the middle and the caseworker would have to begin anew.
	f := newFleet(t, 2)
	f.awaitReady()
	streaming := make(chan answer, 1)
	go func() {
		streaming <- f.routers[0].call(http.MethodPost, "/assistant/v1/chat/completions", "", longChat)
	}()
	await(t, "the stream runs", func() bool { return f.running() > 0 })
	stopped := make(chan error, 1)
	go func() { stopped <- f.routers[0].node.Stop(context.Background()) }()
	await(t, "the router is not ready", func() bool { return !f.routers[0].node.Ready() })
	late := f.routers[0].call(http.MethodPost, "/status/jobs", "", "{}")
	if late.err == nil && (late.status != http.StatusServiceUnavailable || late.header.Get("Ran") != "No") {
		t.Errorf("new work during the stop was answered %d, Ran %q", late.status, late.header.Get("Ran"))
	}
	if got := <-streaming; !whole(got) {
		t.Errorf("the stream was cut off: %d %v", got.status, got.err)
	}
	if err := <-stopped; err != nil {
		t.Errorf("the stop failed: %v", err)
	}
	if got := f.routers[1].call(http.MethodPost, "/assistant/v1/chat/completions", "", chat); !whole(got) {
		t.Errorf("the other router answered %d: %s", got.status, got.body)
	}
}

// running returns how many requests the engines run.
func (f *fleet) running() int {
	n := 0
	for _, e := range f.engines {
		n += len(e.Runs(0))
	}
	return n
}

func TestIdempotentRequestsPassAStalledControlThread(t *testing.T) {
	// A router's control goroutine hangs, here in a send. Every caller of the router would wait until it goes on, although
	// the upstreams are idle.
	f := newFleet(t, 2)
	f.awaitReady()
	await(t, "requests are served", func() bool {
		return f.routers[0].call(http.MethodPost, "/status/jobs", "", "{}").status == http.StatusOK
	})
	release := make(chan struct{})
	var once sync.Once
	stop := func() { once.Do(func() { close(release) }) }
	defer stop()
	f.network.SetPartition(func(from, _ pomelorelay.Peer) bool {
		if from.Node == f.routers[0].settings.Host.Name {
			<-release
		}
		return false
	})
	time.Sleep(100 * time.Millisecond)
	began := time.Now()
	got := f.routers[0].call(http.MethodPost, "/status/jobs", "", `{"stalled":true}`)
	t.Logf("answered after %v", time.Since(began))
	if got.status != http.StatusOK {
		t.Errorf("with the control goroutine stalled a request was answered %d: %s", got.status, got.body)
	}
	f.network.SetPartition(nil)
	stop()
}

func TestStoreOutageRefusesOnlyWhatNeedsAClaim(t *testing.T) {
	// The platform's store is down. A booking could run twice if it were sent without a claim; a status check cannot.
	f := newFleet(t, 2)
	f.awaitReady()
	f.store.SetFaults(pomelofake.StoreFaults{Outage: true})
	for _, r := range f.routers {
		refused := r.call(http.MethodPost, "/booking/jobs", "outage", `{"piece":"brooch"}`)
		if refused.status != http.StatusServiceUnavailable || refused.header.Get("Ran") != "No" {
			t.Errorf("a booking was answered %d, Ran %q: %s", refused.status, refused.header.Get("Ran"), refused.body)
		}
		if refused.header.Get("Retry-After") == "" {
			t.Error("the refusal does not say when to come back")
		}
		if got := r.call(http.MethodPost, "/status/jobs", "", "{}"); got.status != http.StatusOK {
			t.Errorf("a status check was answered %d: %s", got.status, got.body)
		}
	}
	f.store.SetFaults(pomelofake.StoreFaults{})
	await(t, "the booking is taken again", func() bool {
		return f.routers[0].call(http.MethodPost, "/booking/jobs", "outage", `{"piece":"brooch"}`).status == http.StatusOK
	})
	if n := f.bookedRuns("outage"); n != 1 {
		t.Errorf("the booking ran %d times", n)
	}
}

func (f *fleet) bookedRuns(key string) int {
	n := 0
	for _, b := range f.bookings {
		n += b.RunsByKey(key)
	}
	return n
}

func TestResendsThroughEveryRouterRunOnce(t *testing.T) {
	// A caller's answer is late and it sends its paid booking again and again, through every router at once. Run twice, the
	// customer would be charged twice.
	f := newFleet(t, 4)
	f.awaitReady()
	for round := range 5 {
		key := fmt.Sprintf("paid-%d", round)
		f.atOnce(12, func(i int) { f.routers[i%4].call(http.MethodPost, "/booking/jobs", key, `{"piece":"ring"}`) })
		if n := f.bookedRuns(key); n != 1 {
			t.Errorf("the booking %s ran %d times", key, n)
		}
		// The settlement is a message to the keeper; until it has arrived, a repeat rightly hears "still running".
		await(t, "the repeat of a booking that ran gets the kept answer", func() bool {
			got := f.routers[0].call(http.MethodPost, "/booking/jobs", key, `{"piece":"ring"}`)
			return got.status == http.StatusOK && got.header.Get("Idempotency-Replayed") == "true"
		})
	}
}

func TestStopKeepsTheOutcomeOfTheLastBooking(t *testing.T) {
	// An operator stops a router in the moment in which it answers a booking. If the process ended before the store held the
	// answer, the customer's next try elsewhere would hear that nobody knows whether the booking ran.
	f := newFleet(t, 2)
	f.awaitReady()
	for i := range 3 {
		key := fmt.Sprintf("last-%d", i)
		got := f.routers[0].call(http.MethodPost, "/booking/jobs", key, `{"piece":"ring"}`)
		if err := f.routers[0].node.Stop(context.Background()); err != nil {
			t.Fatal(err)
		}
		await(t, "the other router repeats the answer", func() bool {
			again := f.routers[1].call(http.MethodPost, "/booking/jobs", key, `{"piece":"ring"}`)
			return again.status == http.StatusOK && again.body == got.body
		})
		f.start(0)
		f.awaitReady()
	}
}
