package pomeloforward_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay/pomelofake"
	"github.com/pomelorelay/pomelorelay/pomeloplace"
)

// endless answers with first and then repeats block, with a pause between, until the router closes the connection; closed tells when.
func endless(first func(*http.Request) string, block string, pause time.Duration, closed chan<- time.Time) func(net.Conn, *http.Request) {
	return func(conn net.Conn, r *http.Request) {
		_, err := conn.Write([]byte(first(r)))
		for err == nil {
			time.Sleep(pause)
			_, err = conn.Write([]byte(block))
		}
		closed <- time.Now()
	}
}

// Guards against an answer without end that outlasts its request's deadline or does not count against its upstream, and against forwarding it as complete.
func TestAnswerWithoutEndEndsByTheDeadline(t *testing.T) {
	// slack is less than the time that a late answer is given beyond the deadline. A busy machine delays single tries: one of them must be in time.
	const wait, slack, tries = 400 * time.Millisecond, 90 * time.Millisecond, 5
	// recognizedBy is well before the deadline of an answer that is recognized.
	const recognizedBy = 1900 * time.Millisecond
	none := func(*http.Request) string { return "" }
	signed := func(fields string) func(*http.Request) string {
		return func(r *http.Request) string { return head(r, 200, fields+"\r\n") }
	}
	const chunked, events = "Transfer-Encoding: chunked\r\n", "Content-Type: text/event-stream\r\n"
	long := strings.Repeat("x", 8<<10)
	for _, c := range []struct {
		name, path string
		first      func(*http.Request) string
		block      string
		// fast marks answers that are recognized before the deadline.
		fast bool
	}{
		{"garbage", "/book/", none, long, true},
		{"slow garbage", "/book/", none, "x", false},
		{"header field", "/book/", signed("Long: x"), long, true},
		{"interim answers", "/book/", none, "HTTP/1.1 102 Processing\r\n\r\n", true},
		{"body", "/book/", signed(""), long, false},
		{"chunks", "/book/", signed(chunked), chunkOf(long), false},
		{"slow chunks", "/book/", signed(chunked), chunkOf("x"), false},
		{"event", "/draft/", signed(events + chunked), chunkOf(long), false},
		{"blank events", "/draft/", signed(events), strings.Repeat("\n", 1<<10), true},
		{"blank events of a resumable stream", "/chat/", signed(events), strings.Repeat("\n", 1<<10), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			closed := make(chan time.Time, 2)
			u := newUpstream(t, endless(c.first, c.block, 5*time.Millisecond, closed))
			ask := func(wait string) time.Duration {
				h := newHarness(t, u.entry("u"))
				began := time.Now()
				got := h.call("POST", c.path, "x", pomelofake.TestHeaderWait, wait)
				if got.status == 200 && got.bodyErr == nil {
					t.Errorf("the answer was forwarded as complete, %d bytes", len(got.body))
				}
				took := (<-closed).Sub(began)
				if r := h.result(0); r != pomeloplace.ResultFailed {
					t.Errorf("result %v, want ResultFailed", r)
				}
				return took
			}
			if c.fast {
				if took := ask("9000"); took > recognizedBy {
					t.Errorf("the connection was closed after %v, want at most %v", took, recognizedBy)
				}
				return
			}
			var took []time.Duration
			for len(took) < tries {
				took = append(took, ask(fmt.Sprint(wait.Milliseconds())))
				if took[len(took)-1] <= wait+slack {
					return
				}
			}
			t.Errorf("the connections were closed after %v, the deadline is %v", took, wait)
		})
	}
}

// Guards against a caller that leaves at its deadline and so hides that its upstream's answer has no end.
func TestAnswerWithoutEndCountsWhenCallerLeavesAtDeadline(t *testing.T) {
	closed := make(chan time.Time, 2)
	u := newUpstream(t, endless(func(r *http.Request) string { return head(r, 200, "\r\n") }, "x", 5*time.Millisecond, closed))
	h := newHarness(t, u.entry("u"))
	conn, err := net.Dial("tcp", h.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	write(conn, "POST /book/ HTTP/1.1\r\nHost: h.example\r\nRequest-Id: req-1\r\n"+pomelofake.TestHeaderCallerKey+": key\r\n"+pomelofake.TestHeaderWait+": 300\r\nContent-Length: 1\r\n\r\nx")
	time.Sleep(270 * time.Millisecond)
	conn.Close()
	<-closed
	if r := h.result(0); r != pomeloplace.ResultFailed {
		t.Errorf("result %v, want ResultFailed", r)
	}
}

// Guards against an answer of unknown length that the router forwards for as long as the deadline allows.
func TestAnswerOfUnknownLengthIsLimited(t *testing.T) {
	closed := make(chan time.Time, 1)
	u := newUpstream(t, endless(func(r *http.Request) string { return head(r, 200, "\r\n") }, strings.Repeat("x", 1<<20), 0, closed))
	h := newHarness(t, u.entry("u"))
	got := h.call("POST", "/book/", "x")
	if got.bodyErr == nil || len(got.body) > 16<<20 || h.result(0) != pomeloplace.ResultFailed {
		t.Errorf("%d bytes forwarded (%v), want at most 16 MiB and a cut", len(got.body), got.bodyErr)
	}
}

// Guards against taking an upstream for failing because its streams last longer than their requests.
func TestStreamUntilDeadlineIsNoFailure(t *testing.T) {
	closed := make(chan time.Time, 1)
	u := newUpstream(t, func(conn net.Conn, r *http.Request) {
		_, err := conn.Write([]byte(streamHead(r)))
		for id := 1; err == nil; id++ {
			time.Sleep(5 * time.Millisecond)
			_, err = conn.Write([]byte(eventChunk(id)))
		}
		closed <- time.Now()
	})
	h := newHarness(t, u.entry("u"))
	if got := h.call("POST", "/draft/", "x", pomelofake.TestHeaderWait, "300"); got.bodyErr == nil {
		t.Errorf("answer %+v, want a cut stream", got)
	}
	<-closed
	if r := h.result(0); r != pomeloplace.ResultCancelled {
		t.Errorf("result %v, want ResultCancelled", r)
	}
}
