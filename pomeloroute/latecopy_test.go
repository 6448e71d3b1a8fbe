package pomeloroute_test

import (
	"bufio"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay/pomeloroute"
)

// Guards against taking a late copy of a refusal for the answer to a further attempt at the same address, which runs the request.
func TestLateCopyOfRefusalAnswersNoFurtherAttempt(t *testing.T) {
	for _, delay := range []time.Duration{3 * time.Millisecond, 300 * time.Millisecond} {
		w := newScriptedUpstream(t, func(w *scriptedUpstream, _ int64, conn net.Conn, r *bufio.Reader) {
			for {
				id, ok := w.read(r)
				if !ok {
					return
				}
				if w.requests.Load() > 1 {
					time.Sleep(2 * delay)
					_, _ = conn.Write(plainAnswer(id, "done"))
					continue
				}
				refusal := fmt.Sprintf("HTTP/1.1 503 Full\r\nX-Request-Id: %s\r\nRan: No\r\nContent-Length: 0\r\n\r\n", id)
				_, _ = conn.Write([]byte(refusal))
				time.AfterFunc(delay, func() { _, _ = conn.Write([]byte(refusal)) })
			}
		})
		b := newHarness(t, pomeloroute.Options{})
		b.addUpstream(w.addr())
		b.addUpstream(w.addr())
		if got := b.call("GET", "/status/", ""); got.status != 200 || got.body != "done" {
			t.Errorf("copy after %v: answer %d %q, want 200 of the second attempt", delay, got.status, got.body)
		}
	}
}
