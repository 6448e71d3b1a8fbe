package pomelonode_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// inFlight returns the number of requests in progress that the router reports.
func (r *router) inFlight() int {
	var vars struct{ Pomelo struct{ InFlight int } }
	resp, err := http.Get(r.operator + "/debug/vars")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&vars); err != nil {
		return 0
	}
	return vars.Pomelo.InFlight
}

func TestAllRoutersCanStopAtOnce(t *testing.T) {
	// All routers stop at the same time, right after they answered bookings whose outcomes are not yet stored. If no router accepted the
	// outcomes, every stop would reach its time limit and the claims on the bookings' idempotency keys would stay open.
	f := newFleet(t, 4)
	f.awaitReady()
	f.concurrently(40, func(i int) {
		key := fmt.Sprintf("last-%d", i)
		if got := f.routers[i%4].call(http.MethodPost, "/booking/jobs", key, `{"piece":"ring"}`); got.status != http.StatusOK {
			t.Errorf("booking %s was answered %d: %s", key, got.status, got.body)
		}
	})
	f.concurrently(len(f.routers), func(i int) {
		ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
		defer cancel()
		if err := f.routers[i].node.Stop(ctx); err != nil {
			t.Errorf("router %d: the stop failed: %v", i, err)
		}
	})
}

// busySlots returns the number of requests that the engines run.
func (f *fleet) busySlots() int {
	n := 0
	for _, e := range f.engines {
		n += e.Load().Running
	}
	return n
}

// Guards against cutting requests that run, wait for a slot or send their body when the time for a stop ends: each gets a true answer.
func TestLateStopAnswersRequestsInProgress(t *testing.T) {
	f := newFleet(t, 1)
	f.awaitReady()
	r := f.routers[0]
	const requests = 2*slotsPerUpstream + 4
	answers := make(chan answer, requests)
	for range requests {
		go func() {
			answers <- r.call(http.MethodPost, "/assistant/v1/chat/completions", "", `{"model":"`+model+`","max_tokens":4000,"messages":[{"role":"user","content":"a narrative"}]}`)
		}()
	}
	await(t, "the engines are full", func() bool { return r.inFlight() == requests && f.busySlots() == 2*slotsPerUpstream })
	conn, err := net.Dial("tcp", r.settings.Listen.Caller.String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST /status/jobs HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\nhalf", token)
	await(t, "the body arrives", func() bool { return r.inFlight() == requests+1 })
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := r.node.Stop(ctx); !pomelorelay.IsErrCode(err, pomelorelay.CodeStopLate) {
		t.Errorf("the stop returned %v, want CodeStopLate", err)
	}
	ran := map[string]int{}
	for range requests {
		got := <-answers
		if got.err != nil {
			t.Errorf("a request was cut: %v", got.err)
			continue
		}
		ran[fmt.Sprint(got.status, " ", got.header.Get("Ran"))]++
	}
	if ran["500 Unknown"] != 2*slotsPerUpstream || ran["503 No"] != requests-2*slotsPerUpstream {
		t.Errorf("answers %v, want 500 Unknown for the requests that run and 503 No for those that wait", ran)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Ran") != "No" {
		t.Errorf("the request whose body arrives: %v, %v, want 503 that did not run", resp, err)
	}
}
