package pomeloforward_test

import (
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelofake"
	"github.com/pomelorelay/pomelorelay/pomeloforward"
)

// fingerprintsOf returns the fingerprints under which a run may have crashed its upstream.
func fingerprintsOf(run pomeloforward.BrokenRun) []pomelorelay.Fingerprint {
	var list []pomelorelay.Fingerprint
	for _, crash := range run.Crashes {
		list = append(list, crash.Fingerprint)
	}
	return list
}

// Guards against requests that share a prompt part and count apart, and against the last part, which belongs to one request, counting for others.
func TestBrokenRunNamesSharedParts(t *testing.T) {
	u := newUpstream(t, func(conn net.Conn, _ *http.Request) { reset(conn) })
	broken := func(body, parts string) []pomelorelay.Fingerprint {
		h := newHarness(t, u.entry("u1"))
		h.call("POST", "/draft/", body, pomelofake.TestHeaderPromptParts, parts)
		h.result(0)
		return fingerprintsOf(h.broken[0])
	}
	first, second := broken("x", "1:10 2:10 3:10"), broken("y", "4:10 2:10 3:10")
	if len(first) != 3 || len(second) != 3 || first[2] != second[2] || first[1] == second[1] || first[0] == second[0] {
		t.Errorf("fingerprints %v and %v, want that of the second part in both, and no other", first, second)
	}
	for _, parts := range []string{"", "5:10"} {
		if got := broken("x", parts); !slices.Equal(got, first[:1]) {
			t.Errorf("fingerprints %v of parts %q, want that of the request only", got, parts)
		}
	}
}

// Guards against blaming the prompt of an answer that its upstream had been sending for long when it crashed.
func TestLongAnswerClearsItsParts(t *testing.T) {
	for _, c := range []struct {
		name   string
		events int
		pause  time.Duration
		parts  int
	}{{"at its beginning", 5, 0, 1}, {"after two events", 1, 600 * time.Millisecond, 1}, {"later", 5, 150 * time.Millisecond, 0}} {
		u := newUpstream(t, func(conn net.Conn, r *http.Request) {
			write(conn, streamHead(r))
			for n := range c.events {
				write(conn, eventChunk(n+1))
				time.Sleep(c.pause)
			}
			write(conn, eventChunk(c.events+1))
			time.Sleep(20 * time.Millisecond)
			reset(conn)
		})
		h := newHarness(t, u.entry("u1"))
		h.call("POST", "/draft/", "x", pomelofake.TestHeaderPromptParts, "1:10 2:10")
		h.result(0)
		if got := len(h.broken[0].Crashes) - 1; got != c.parts || h.lasting != 1-c.parts {
			t.Errorf("a crash %s counts against %d parts, want %d; the answer lasted: %t", c.name, got, c.parts, h.lasting > 0)
		}
	}
}

// Guards against taking an error, a refusal or the end of an upstream's process as proof that a request crashes no upstream.
func TestOnlyDelimitedSuccessIsAnAnswer(t *testing.T) {
	undelimited := func(text string) func(net.Conn, *http.Request) {
		return func(conn net.Conn, r *http.Request) {
			write(conn, head(r, 200, "\r\n"+text))
			conn.Close()
		}
	}
	plain := func(status int) func(net.Conn, *http.Request) {
		return func(conn net.Conn, r *http.Request) { write(conn, plainAnswer(r, status, "x")) }
	}
	for _, c := range []struct {
		name, path            string
		answer                func(net.Conn, *http.Request)
		answered, undelimited int
	}{
		{"success", "/book/", plain(200), 1, 0},
		{"error", "/book/", plain(500), 0, 0},
		{"rejected", "/book/", plain(404), 0, 0},
		{"plain without length", "/book/", undelimited("all of it"), 0, 1},
		{"stream", "/draft/", stream(1, 2), 1, 0},
		{"stream without length", "/draft/", undelimited("id: 1\ndata: piece 1\n\n"), 0, 1},
		{"stream without length, cut inside an event", "/draft/", undelimited("id: 1\nda"), 0, 0},
	} {
		h := newHarness(t, newUpstream(t, c.answer).entry("u1"))
		h.call("POST", c.path, "x")
		h.result(0)
		if h.answered != c.answered || len(h.undelimited) != c.undelimited {
			t.Errorf("%s: %d answers and %d that may be cut, want %d and %d", c.name, h.answered, len(h.undelimited), c.answered, c.undelimited)
		}
	}
}
