package pomeloforward_test

import (
	"net"
	"net/http"
	"testing"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelofake"
)

// Upstreams announce their load in all responses. Guards against losing what errors and refusals announce, which come from the busiest upstreams,
// and against recording an announcement twice.
func TestAnnouncedLoadIsRecordedOncePerResponse(t *testing.T) {
	want := pomelorelay.UpstreamFigures{Running: 3, Waiting: 1, Slots: 12, SlownessPercent: 250}
	load := pomelofake.TestHeaderLoad + ": 3,1,12,250\r\n"
	empty := "Content-Length: 0\r\n\r\n"
	for _, c := range []struct {
		name, path, fields string
		status             int
	}{
		{"answer", "/book/", load + empty, 200},
		{"error", "/book/", load + empty, 500},
		{"refusal", "/book/", pomelofake.TestHeaderNotRun + ": 1\r\n" + load + empty, 503},
		{"unconfirmed refusal", "/book/", load + empty, 503},
		{"stream", "/chat/", load + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + eventChunk(1) + lastChunk, 200},
	} {
		u := newUpstream(t, func(conn net.Conn, r *http.Request) { write(conn, head(r, c.status, c.fields)) })
		h := newHarness(t, u.entry("u"))
		h.call("POST", c.path, "x")
		h.mu.Lock()
		loads := h.loads
		h.mu.Unlock()
		if len(loads) != 1 || loads[0].Figures != want || loads[0].Invalid || loads[0].ReadAt.IsZero() {
			t.Errorf("%s: recorded %+v, want once %+v", c.name, loads, want)
		}
	}
}

// Guards against a malformed announcement that changes anything else than a count: the answer is good.
func TestInvalidLoadIsReportedWithTheAnswer(t *testing.T) {
	u := newUpstream(t, func(conn net.Conn, r *http.Request) {
		write(conn, head(r, 200, pomelofake.TestHeaderLoad+": 3,x\r\nContent-Length: 2\r\n\r\nok"))
	})
	h := newHarness(t, u.entry("u"))
	if got := h.call("POST", "/book/", "x"); got.status != 200 || got.body != "ok" {
		t.Errorf("answer %+v, want 200", got)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.loads) != 1 || !h.loads[0].Invalid {
		t.Errorf("recorded %+v, want one invalid announcement", h.loads)
	}
}
