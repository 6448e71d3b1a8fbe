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

// longChat is a request whose answer streams for about 600 ms.
const longChat = `{"model":"` + model + `","stream":true,"max_tokens":300,"messages":[{"role":"user","content":"a grant narrative"}]}`

func isCompleteStream(a answer) bool {
	return a.err == nil && a.status == http.StatusOK && strings.Contains(a.body, "data: [DONE]")
}

func TestRequestsAreServedEndToEnd(t *testing.T) {
	f := newFleet(t, 2)
	f.awaitReady()
	for _, r := range f.routers {
		got := r.call(http.MethodPost, "/assistant/v1/chat/completions", "", chat)
		if !isCompleteStream(got) {
			t.Fatalf("a stream was answered %d %v: %s", got.status, got.err, got.body)
		}
		booked := r.call(http.MethodPost, "/booking/jobs", "job-"+string(r.settings.Host.Name), `{"piece":"ring"}`)
		if booked.err != nil || booked.status != http.StatusOK {
			t.Fatalf("a booking was answered %d %v: %s", booked.status, booked.err, booked.body)
		}
	}
}

func TestGracefulStopCompletesRunningRequests(t *testing.T) {
	// An operator stops a router while a long stream runs through it. If the stream ended with the process, its caller would get a
	// truncated answer and would have to start again.
	f := newFleet(t, 2)
	f.awaitReady()
	streaming := make(chan answer, 1)
	go func() {
		streaming <- f.routers[0].call(http.MethodPost, "/assistant/v1/chat/completions", "", longChat)
	}()
	await(t, "the stream runs", func() bool { return f.runningRequests() > 0 })
	stopped := make(chan error, 1)
	go func() { stopped <- f.routers[0].node.Stop(context.Background()) }()
	await(t, "the router is not ready", func() bool { return !f.routers[0].node.Ready() })
	late := f.routers[0].call(http.MethodPost, "/status/jobs", "", "{}")
	if late.err == nil && (late.status != http.StatusServiceUnavailable || late.header.Get("Ran") != "No") {
		t.Errorf("new work during the stop was answered %d, Ran %q", late.status, late.header.Get("Ran"))
	}
	if got := <-streaming; !isCompleteStream(got) {
		t.Errorf("the stream was truncated: %d %v", got.status, got.err)
	}
	if err := <-stopped; err != nil {
		t.Errorf("the stop failed: %v", err)
	}
	if got := f.routers[1].call(http.MethodPost, "/assistant/v1/chat/completions", "", chat); !isCompleteStream(got) {
		t.Errorf("the other router answered %d: %s", got.status, got.body)
	}
}

// runningRequests returns the number of requests that the engines run.
func (f *fleet) runningRequests() int {
	n := 0
	for _, e := range f.engines {
		n += len(e.Runs(0))
	}
	return n
}

func TestIdempotentRequestsBypassStalledControlGoroutine(t *testing.T) {
	// A router's control goroutine is blocked, here while it sends a message. If requests could not bypass it, all callers of the router
	// would wait until that goroutine resumes, although the upstreams are idle.
	f := newFleet(t, 2)
	f.awaitReady()
	await(t, "requests are served", func() bool {
		return f.routers[0].call(http.MethodPost, "/status/jobs", "", "{}").status == http.StatusOK
	})
	release := make(chan struct{})
	var once sync.Once
	resume := func() { once.Do(func() { close(release) }) }
	defer resume()
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
	resume()
}

func TestStoreOutageRefusesOnlyNonIdempotentRequests(t *testing.T) {
	// The store is down. A booking sent without a stored claim on its idempotency key could run twice, so it must be refused; idempotent
	// requests must be served.
	f := newFleet(t, 2)
	f.awaitReady()
	f.store.SetFaults(pomelofake.StoreFaults{Outage: true})
	for _, r := range f.routers {
		refused := r.call(http.MethodPost, "/booking/jobs", "outage", `{"piece":"brooch"}`)
		if refused.status != http.StatusServiceUnavailable || refused.header.Get("Ran") != "No" {
			t.Errorf("a booking was answered %d, Ran %q: %s", refused.status, refused.header.Get("Ran"), refused.body)
		}
		if refused.header.Get("Retry-After") == "" {
			t.Error("the refusal has no Retry-After")
		}
		if got := r.call(http.MethodPost, "/status/jobs", "", "{}"); got.status != http.StatusOK {
			t.Errorf("a status check was answered %d: %s", got.status, got.body)
		}
	}
	f.store.SetFaults(pomelofake.StoreFaults{})
	await(t, "the booking is accepted after the outage", func() bool {
		return f.routers[0].call(http.MethodPost, "/booking/jobs", "outage", `{"piece":"brooch"}`).status == http.StatusOK
	})
	if n := f.bookingRuns("outage"); n != 1 {
		t.Errorf("the booking ran %d times", n)
	}
}

func (f *fleet) bookingRuns(key string) int {
	n := 0
	for _, b := range f.bookings {
		n += b.RunsByKey(key)
	}
	return n
}

func TestConcurrentResendsRunOnce(t *testing.T) {
	// A caller resends a booking whose answer is late, concurrently through every router. If the booking ran twice, the customer would be
	// charged twice.
	f := newFleet(t, 4)
	f.awaitReady()
	for round := range 5 {
		key := fmt.Sprintf("paid-%d", round)
		f.concurrently(12, func(i int) { f.routers[i%4].call(http.MethodPost, "/booking/jobs", key, `{"piece":"ring"}`) })
		if n := f.bookingRuns(key); n != 1 {
			t.Errorf("the booking %s ran %d times", key, n)
		}
		// The outcome is sent to the router that stores the claim; until the outcome arrives there, a retry is correctly refused because
		// the booking counts as still running.
		await(t, "a retry of a completed booking gets the stored answer", func() bool {
			got := f.routers[0].call(http.MethodPost, "/booking/jobs", key, `{"piece":"ring"}`)
			return got.status == http.StatusOK && got.header.Get("Idempotency-Replayed") == "true"
		})
	}
}

func TestStopStoresOutcomeOfLastBooking(t *testing.T) {
	// An operator stops a router just after it answered a booking. If the process ended before the outcome was stored, a retry
	// through another router would be answered "outcome unknown".
	f := newFleet(t, 2)
	f.awaitReady()
	for i := range 3 {
		key := fmt.Sprintf("last-%d", i)
		got := f.routers[0].call(http.MethodPost, "/booking/jobs", key, `{"piece":"ring"}`)
		if err := f.routers[0].node.Stop(context.Background()); err != nil {
			t.Fatal(err)
		}
		await(t, "the other router replays the answer", func() bool {
			again := f.routers[1].call(http.MethodPost, "/booking/jobs", key, `{"piece":"ring"}`)
			return again.status == http.StatusOK && again.body == got.body
		})
		f.start(0)
		f.awaitReady()
	}
}
