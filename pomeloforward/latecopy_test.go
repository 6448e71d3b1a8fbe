package pomeloforward_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// earnRetries sends requests until the retry budget allows a request several attempts.
func (h *harness) earnRetries(path string) {
	h.t.Helper()
	placements := h.placements
	h.placements = nil
	for range 10 {
		if got := h.call("POST", path, ""); got.status != 503 {
			h.t.Fatalf("answer %+v without an upstream, want 503", got)
		}
	}
	h.placements = placements
}

// Guards against taking a late copy of a refusal for the answer to a further attempt at the same upstream, which runs the request.
func TestLateCopyOfRefusalAnswersNoFurtherAttempt(t *testing.T) {
	booked := func(conn net.Conn, r *http.Request) { write(conn, plainAnswer(r, 200, "booked")) }
	broken := func(conn net.Conn, r *http.Request) {
		write(conn, streamHead(r)+eventChunk(1))
		time.Sleep(20 * time.Millisecond)
		reset(conn)
	}
	plain := []func(net.Conn, *http.Request){booked}
	resumed := []func(net.Conn, *http.Request){broken, stream(2, 3)}
	for _, c := range []struct {
		path    string
		status  int
		delay   time.Duration
		answers []func(net.Conn, *http.Request)
	}{
		{"/book/", 503, 3 * time.Millisecond, plain},
		{"/book/", 503, 300 * time.Millisecond, plain},
		{"/book/", 421, 3 * time.Millisecond, plain},
		{"/book/", 421, 300 * time.Millisecond, plain},
		{"/read/", 503, 3 * time.Millisecond, plain},
		{"/chat/", 503, 300 * time.Millisecond, resumed},
	} {
		t.Run(fmt.Sprintf("%s %d after %v", c.path, c.status, c.delay), func(t *testing.T) {
			sends := make(chan int, 1)
			sends <- 0
			u := newUpstream(t, func(conn net.Conn, r *http.Request) {
				n := <-sends
				sends <- n + 1
				if n > 0 {
					time.Sleep(2 * c.delay)
					c.answers[n-1](conn, r)
					return
				}
				refusal := head(r, c.status, "Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
				write(conn, refusal)
				time.AfterFunc(c.delay, func() { write(conn, refusal) })
			})
			h := newHarness(t, u.entry("u"), u.entry("u"), u.entry("u"))
			h.earnRetries(c.path)
			got := h.call("POST", c.path, "x")
			if got.status != 200 || got.bodyErr != nil || got.body == "" {
				t.Errorf("answer %+v after %d sends, want the complete answer of the further attempts", got, u.requests())
			}
		})
	}
}
