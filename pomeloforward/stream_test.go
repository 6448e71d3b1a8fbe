package pomeloforward_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelofake"
	"github.com/pomelorelay/pomelorelay/pomeloplace"
)

func TestStreamForwardsEachEventOnce(t *testing.T) {
	u := newUpstream(t, stream(1, 2, 2, 3))
	h := newHarness(t, u.entry("u"))
	got := h.call("POST", "/draft/", "x")
	if want := "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\n"; got.body != want || got.bodyErr != nil {
		t.Fatalf("answer %+v, want each event once and a complete stream", got)
	}
	// The slot time is learnt from the events; an attempt that reports none is not learnt from.
	if got := h.eventsOf(0); got != 4 {
		t.Errorf("%d events reported, want the 4 that the upstream sent", got)
	}
}

// Guards against a stream with a gap or a cut that ends as if complete: the caller would take a part for the whole answer.
func TestBrokenStreamCutsCallerConnection(t *testing.T) {
	for name, answer := range map[string]func(net.Conn, *http.Request){
		"gap": stream(1, 3),
		"reset": func(conn net.Conn, r *http.Request) {
			write(conn, streamHead(r)+eventChunk(1))
			time.Sleep(20 * time.Millisecond)
			reset(conn)
		},
		"closed": func(conn net.Conn, r *http.Request) {
			write(conn, streamHead(r)+eventChunk(1)+chunkOf("id: 2\nda"))
			conn.Close()
		},
		"half an event": func(conn net.Conn, r *http.Request) {
			write(conn, streamHead(r)+eventChunk(1)+chunkOf("id: 2\nda")+lastChunk)
		},
	} {
		u := newUpstream(t, answer)
		got := newHarness(t, u.entry("u"), u.entry("u")).call("POST", "/draft/", "x")
		if got.bodyErr == nil || strings.Contains(got.body, "id: 2") || strings.Contains(got.body, "id: 3") || u.requests() != 1 {
			t.Errorf("%s: answer %+v after %d sends, want a cut stream after one", name, got, u.requests())
		}
	}
}

// Guards against taking the end of an upstream's process for the end of an answer without length, and its request for answered.
func TestAnswerThatEndsWithItsConnectionMayBeBroken(t *testing.T) {
	for _, c := range []struct {
		name, path, body string
		want             pomeloplace.Result
		broken           int
	}{
		{"no event", "/draft/", "", pomeloplace.ResultFailed, 1},
		{"half an event", "/draft/", "id: 1\nda", pomeloplace.ResultFailed, 1},
		{"whole events", "/draft/", "id: 1\ndata: piece 1\n\n", pomeloplace.ResultCompleted, 0},
		{"no body", "/book/", "", pomeloplace.ResultFailed, 1},
		{"a body", "/book/", "all of it", pomeloplace.ResultCompleted, 0},
	} {
		u := newUpstream(t, func(conn net.Conn, r *http.Request) {
			write(conn, head(r, 200, "Content-Type: text/event-stream\r\n\r\n"+c.body))
			conn.Close()
		})
		h := newHarness(t, u.entry("u"))
		got := h.call("POST", c.path, "x")
		if h.result(0) != c.want || len(h.broken) != c.broken || (got.status == 200) != (c.broken == 0) {
			t.Errorf("%s: answer %+v, result %v, %d broken connections", c.name, got, h.result(0), len(h.broken))
		}
	}
}

// Guards against forwarding an answer without length as complete although its upstream accepts no connections any more, and against failing one
// whose end needs no proof.
func TestEndOfAnswerWithoutLengthIsConfirmed(t *testing.T) {
	const event, events = "id: 1\ndata: piece 1\n\n", "Content-Type: text/event-stream\r\n\r\n"
	long := strings.Repeat("x", 64<<10)
	for _, c := range []struct {
		name, method, path, answer string
		status                     int
		dies, whole                bool
	}{
		{"plain, upstream lives", "POST", "/book/", "\r\nall of it", 200, false, true},
		{"plain, upstream died", "POST", "/book/", "\r\nhalf of it", 200, true, false},
		{"long, upstream lives", "POST", "/book/", "\r\n" + long, 200, false, true},
		{"long, upstream died", "POST", "/book/", "\r\n" + long, 200, true, false},
		{"too long to buffer, upstream died", "POST", "/book/", "\r\n" + strings.Repeat(long, 32), 200, true, false},
		{"error, upstream died", "POST", "/book/", "\r\nhalf of it", 404, true, false},
		{"stream, upstream lives", "POST", "/draft/", events + event, 200, false, true},
		{"stream, upstream died", "POST", "/draft/", events + event, 200, true, false},
		{"length, upstream died", "POST", "/book/", "Content-Length: 9\r\n\r\nall of it", 200, true, true},
		{"chunked stream, upstream died", "POST", "/draft/", "Transfer-Encoding: chunked\r\n" + events + eventChunk(1) + lastChunk, 200, true, true},
		{"HEAD, upstream died", "HEAD", "/read/", "\r\n", 200, true, true},
		{"no content, upstream died", "POST", "/book/", "\r\n", 204, true, true},
		{"not modified, upstream died", "GET", "/read/", "\r\n", 304, true, true},
	} {
		var u *upstream
		u = newUpstream(t, func(conn net.Conn, r *http.Request) {
			write(conn, head(r, c.status, c.answer))
			if c.dies {
				u.l.Close()
			}
			conn.Close()
		})
		h := newHarness(t, u.entry("u"))
		got := h.call(c.method, c.path, "")
		if whole := got.status == c.status && got.bodyErr == nil; whole != c.whole {
			t.Errorf("%s: status %d with %d bytes (%v), want it whole: %v", c.name, got.status, len(got.body), got.bodyErr, c.whole)
		}
	}
}

// Guards against a resumable stream without length that ends with its upstream's process and is not continued.
func TestStreamWithoutLengthContinuesAfterItsUpstreamDied(t *testing.T) {
	var first *upstream
	first = newUpstream(t, func(conn net.Conn, r *http.Request) {
		write(conn, head(r, 200, "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"))
		first.l.Close()
		conn.Close()
	})
	h := newHarness(t, first.entry("a"), newUpstream(t, stream(3, 4)).entry("b"))
	want := "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\n"
	if got := h.call("POST", "/chat/", "x"); got.body != want || got.bodyErr != nil {
		t.Errorf("body %q (%v), want %q", got.body, got.bodyErr, want)
	}
}

// Guards against failing a caller that resumes a stream after its last event.
func TestResumedStreamMayHaveNoMoreEvents(t *testing.T) {
	u := newUpstream(t, func(conn net.Conn, r *http.Request) {
		write(conn, head(r, 200, "Content-Type: text/event-stream\r\n\r\n"))
		conn.Close()
	})
	h := newHarness(t, u.entry("u"))
	if got := h.call("POST", "/chat/", "x", pomelofake.TestHeaderLastEventID, "3"); got.status != 200 || got.body != "" || len(h.broken) > 0 {
		t.Errorf("answer %+v, %d broken connections, want a complete empty stream", got, len(h.broken))
	}
}

// Guards against a resumable stream that fails, or repeats or loses events, when its upstream stops and another one continues it.
func TestResumableStreamContinuesAtAnotherUpstream(t *testing.T) {
	first := newUpstream(t, func(conn net.Conn, r *http.Request) {
		write(conn, streamHead(r)+eventChunk(1)+eventChunk(2)+chunkOf("id: 3\nda"))
		time.Sleep(20 * time.Millisecond)
		reset(conn)
	})
	second := newUpstream(t, func(conn net.Conn, r *http.Request) {
		if r.Header.Get(pomelofake.TestHeaderLastEventID) != "2" {
			write(conn, plainAnswer(r, 400, "no"))
			return
		}
		stream(3, 4)(conn, r)
	})
	got := newHarness(t, first.entry("a"), second.entry("b")).call("POST", "/chat/", "x")
	if want := "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\n"; got.body != want || got.bodyErr != nil {
		t.Fatalf("answer %+v, want each event once and a complete stream", got)
	}
}

// Guards against counting a stream as a good answer although it paused too long while its engine processed the long prompt of another request:
// placement would not learn to send long prompts elsewhere.
func TestStreamWithLongPauseIsReportedAsPaused(t *testing.T) {
	for _, c := range []struct {
		pause time.Duration
		want  pomeloplace.Result
	}{
		{0, pomeloplace.ResultCompleted},
		{300 * time.Millisecond, pomeloplace.ResultLongPause},
	} {
		u := newUpstream(t, func(conn net.Conn, r *http.Request) {
			write(conn, streamHead(r)+eventChunk(1))
			time.Sleep(c.pause)
			write(conn, eventChunk(2)+lastChunk)
		})
		h := newHarness(t, u.entry("u1"))
		if got := h.call("POST", "/talk/", "x"); got.status != 200 || got.bodyErr != nil {
			t.Fatalf("answer %+v, want 200 with the complete body", got)
		}
		if got := h.result(0); got != c.want {
			t.Errorf("after a pause of %v: %v, want %v", c.pause, got, c.want)
		}
	}
}

// Guards against reordering or losing the parts of a stream that are no events of their own, as comments that keep a connection alive.
func TestCommentsOfStreamAreForwarded(t *testing.T) {
	const comment = ": still there\n\n"
	u := newUpstream(t, func(conn net.Conn, r *http.Request) {
		write(conn, streamHead(r)+chunkOf(comment)+eventChunk(1)+chunkOf(comment)+eventChunk(2)+chunkOf(comment)+lastChunk)
	})
	h := newHarness(t, u.entry("u"))
	want := comment + "id: 1\ndata: piece 1\n\n" + comment + "id: 2\ndata: piece 2\n\n" + comment
	if got := h.call("POST", "/chat/", "x"); got.body != want || got.bodyErr != nil {
		t.Errorf("body %q (%v), want %q", got.body, got.bodyErr, want)
	}
}

// Guards against forwarding bytes that belong to no event, of a stream that breaks off and is resumed elsewhere.
func TestBlankEventsOfBrokenStreamAreNotForwarded(t *testing.T) {
	broken := newUpstream(t, func(conn net.Conn, r *http.Request) {
		write(conn, streamHead(r)+chunkOf("\n\n\n\n"))
		time.Sleep(20 * time.Millisecond)
		reset(conn)
	})
	h := newHarness(t, broken.entry("u1"), newUpstream(t, stream(1, 2)).entry("u2"))
	want := "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"
	if got := h.call("POST", "/chat/", "x"); got.body != want || got.bodyErr != nil {
		t.Errorf("body %q (%v), want %q", got.body, got.bodyErr, want)
	}
}

// reporting answers reports with the given text and other requests with the given function.
func reporting(report string, answer func(conn net.Conn, r *http.Request)) func(conn net.Conn, r *http.Request) {
	return func(conn net.Conn, r *http.Request) {
		if r.URL.Path == (pomelofake.TestWireFormat{}).ReportPath() {
			write(conn, fmt.Sprintf("HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n%s", len(report), report))
			return
		}
		answer(conn, r)
	}
}

// startedAt returns the entry of an upstream whose process was started at the given time.
func (u *upstream) startedAt(id pomelorelay.UpstreamID, unixMilli int64) pomelorelay.FleetUpstream {
	entry := u.entry(id)
	entry.StartUnixMilli = unixMilli
	return entry
}

// Guards against resuming a stream at a process that has taken over an upstream's ID and address, whose version may be another one.
func TestStreamIsNotResumedAtReplacedProcess(t *testing.T) {
	broken := newUpstream(t, reporting("1000", func(conn net.Conn, r *http.Request) {
		write(conn, streamHead(r)+eventChunk(1))
		time.Sleep(20 * time.Millisecond)
		reset(conn)
	}))
	replaced := newUpstream(t, reporting("2000", stream(2, 3)))
	listed := newUpstream(t, reporting("1000", stream(2, 3)))
	h := newHarness(t, broken.startedAt("a", 1000), replaced.startedAt("b", 1000), listed.startedAt("c", 1000))
	if got, want := h.call("POST", "/chat/", "x"), "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\n"; got.body != want || got.bodyErr != nil {
		t.Errorf("answer %+v, want a complete stream", got)
	}
	if n := broken.requests(); n != 2 {
		t.Errorf("%d requests to the first upstream, want its report and the stream", n)
	}
	if n := replaced.requests(); n != 1 {
		t.Errorf("%d requests to the replaced upstream, want its report alone", n)
	}
	if n := listed.requests(); n != 2 {
		t.Errorf("%d requests to the listed upstream, want its report and the stream", n)
	}
	if got := h.result(1); got != pomeloplace.ResultReplaced {
		t.Errorf("result %v at the replaced upstream, want that it counts neither as run nor as unreachable", got)
	}
}

// Guards against beginning a stream that may be resumed at a process that has taken over an upstream's ID and address: nothing would tell its version later.
func TestStreamDoesNotBeginAtReplacedProcess(t *testing.T) {
	replaced := newUpstream(t, reporting("2000", stream(1, 2)))
	listed := newUpstream(t, reporting("1000", stream(1, 2)))
	h := newHarness(t, replaced.startedAt("a", 1000), listed.startedAt("b", 1000))
	if got := h.call("POST", "/chat/", "x"); got.status != http.StatusOK || got.bodyErr != nil {
		t.Errorf("answer %+v, want a complete stream", got)
	}
	if replaced.requests() != 1 || listed.requests() != 2 {
		t.Errorf("%d and %d requests, want the report of the replaced process alone", replaced.requests(), listed.requests())
	}
}

// Guards against ending the resumption of streams at upstreams that state no start time in their reports, or have none.
func TestStreamIsResumedAtUpstreamWithoutStartTime(t *testing.T) {
	for _, answer := range []func(conn net.Conn, r *http.Request){
		reporting("", stream(2, 3)),
		func(conn net.Conn, r *http.Request) {
			if r.URL.Path == (pomelofake.TestWireFormat{}).ReportPath() {
				write(conn, "HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n")
				return
			}
			stream(2, 3)(conn, r)
		},
	} {
		broken := newUpstream(t, reporting("1000", func(conn net.Conn, r *http.Request) {
			write(conn, streamHead(r)+eventChunk(1))
			time.Sleep(20 * time.Millisecond)
			reset(conn)
		}))
		h := newHarness(t, broken.startedAt("a", 1000), newUpstream(t, answer).startedAt("b", 1000))
		if got, want := h.call("POST", "/chat/", "x"), "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\n"; got.body != want || got.bodyErr != nil {
			t.Errorf("answer %+v, want a complete stream", got)
		}
	}
}

// Guards against ending streams whose connections were reset although the process at the other end lives on.
func TestStreamIsResumedAtTheUpstreamThatResetIt(t *testing.T) {
	u := newUpstream(t, reporting("1000", func(conn net.Conn, r *http.Request) {
		if r.Header.Get(pomelofake.TestHeaderLastEventID) != "" {
			stream(2, 3)(conn, r)
			return
		}
		write(conn, streamHead(r)+eventChunk(1))
		time.Sleep(20 * time.Millisecond)
		reset(conn)
	}))
	h := newHarness(t, u.startedAt("a", 1000), u.startedAt("a", 1000))
	if got, want := h.call("POST", "/chat/", "x"), "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\n"; got.body != want || got.bodyErr != nil {
		t.Errorf("answer %+v, want a complete stream", got)
	}
}

// Guards against never sending streams that may be resumed to an upstream that closes each connection after its answer, and against sending one to
// another process there.
func TestUpstreamThatClosesWithItsReportIsSentStreams(t *testing.T) {
	for _, c := range []struct {
		name, answer string
		status       int
	}{
		{"states its start", "HTTP/1.1 200 X\r\nConnection: close\r\nContent-Length: 4\r\n\r\n1000", 200},
		{"without length", "HTTP/1.1 200 X\r\n\r\n1000", 200},
		{"HTTP/1.0", "HTTP/1.0 200 X\r\n\r\n1000", 200},
		{"has no report", "HTTP/1.1 404 X\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", 200},
		{"another process", "HTTP/1.1 200 X\r\nConnection: close\r\nContent-Length: 4\r\n\r\n2000", 503},
	} {
		u := newUpstream(t, func(conn net.Conn, r *http.Request) {
			if r.URL.Path == (pomelofake.TestWireFormat{}).ReportPath() {
				write(conn, c.answer)
			} else {
				stream(1, 2)(conn, r)
			}
			conn.Close()
		})
		h := newHarness(t, u.startedAt("u", 1000))
		if got := h.call("POST", "/chat/", "x"); got.status != c.status || got.bodyErr != nil {
			t.Errorf("%s: answer %+v, want %d", c.name, got, c.status)
		}
	}
}
