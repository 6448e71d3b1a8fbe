package pomeloforward_test

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay/pomelofake"
)

// oldHead returns the head of an answer of HTTP/1.0.
func oldHead(r *http.Request, fields string) string {
	return strings.Replace(head(r, 200, fields), "HTTP/1.1", "HTTP/1.0", 1)
}

// Guards against forwarding the framing of an HTTP/1.0 answer as part of its body, and against forwarding a part of one as complete.
func TestOldAnswerIsWholeOrBroken(t *testing.T) {
	const chunked, body = "Transfer-Encoding: chunked\r\n", "all of it"
	events := strings.Join(cutEvents(0), "")
	for _, c := range []struct {
		name, path, fields, text, want string
		whole                          bool
	}{
		{"length", "/book/", "Content-Length: 9\r\n\r\n", body, body, true},
		{"length, cut", "/book/", "Content-Length: 9\r\n\r\n", body[:5], "", false},
		{"no length", "/book/", "\r\n", body, body, true},
		{"chunked", "/book/", chunked + "\r\n", chunkOf(body) + lastChunk, body, true},
		{"chunked, other case", "/book/", "transfer-encoding: Chunked\r\n\r\n", chunkOf(body) + lastChunk, body, true},
		{"chunked, cut after a chunk", "/book/", chunked + "\r\n", chunkOf(body), "", false},
		{"chunked, cut in the last chunk", "/book/", chunked + "\r\n", chunkOf(body) + "0\r\n", "", false},
		{"chunked, with a length", "/book/", chunked + "Content-Length: 9\r\n\r\n", chunkOf(body) + lastChunk, body, true},
		{"named chunked, and is not", "/book/", chunked + "\r\n", body, "", false},
		{"named gzip", "/book/", "Transfer-Encoding: gzip\r\n\r\n", body, "", false},
		{"after 100", "/book/", chunked + "\r\n", chunkOf(body) + lastChunk, body, true},
		{"stream", "/draft/", "\r\n", events, events, true},
		{"chunked stream", "/draft/", chunked + "\r\n", chunkOf(events) + lastChunk, events, true},
		{"chunked stream, cut", "/draft/", chunked + "\r\n", chunkOf(events), events, false},
	} {
		u := newUpstream(t, func(conn net.Conn, r *http.Request) {
			if c.name == "after 100" {
				write(conn, "HTTP/1.0 100 Continue\r\n\r\n")
			}
			write(conn, oldHead(r, c.fields)+c.text)
			conn.Close()
		})
		got := newHarness(t, u.entry("u1")).call("POST", c.path, "x")
		if whole := got.status == 200 && got.bodyErr == nil; whole != c.whole {
			t.Errorf("%s: answer %+v, want it whole: %v", c.name, got, c.whole)
		}
		if got.status == 200 && got.body != c.want {
			t.Errorf("%s: body %q, want %q", c.name, got.body, c.want)
		}
	}
}

// Guards against reusing a connection that an HTTP/1.0 upstream closes after its answer, and against closing one that it keeps open.
func TestOldConnectionIsKeptIfItsUpstreamSaysSo(t *testing.T) {
	for _, c := range []struct {
		name, fields, text string
		connections        int64
	}{
		{"nothing said", "Content-Length: 2\r\n\r\n", "ok", 2},
		{"keep-alive", "Connection: keep-alive\r\nContent-Length: 2\r\n\r\n", "ok", 1},
		{"close", "Connection: close\r\nContent-Length: 2\r\n\r\n", "ok", 2},
		{"keep-alive and chunked", "Connection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n", chunkOf("ok") + lastChunk, 2},
	} {
		u := newUpstream(t, func(conn net.Conn, r *http.Request) { write(conn, oldHead(r, c.fields)+c.text) })
		h := newHarness(t, u.entry("u"), u.entry("u"))
		for range 2 {
			if got := h.call("POST", "/book/", "x"); got.status != 200 || got.body != "ok" {
				t.Errorf("%s: answer %+v, want 200", c.name, got)
			}
		}
		if n := u.accepted.Load(); n != c.connections {
			t.Errorf("%s: %d connections, want %d", c.name, n, c.connections)
		}
	}
}

// Guards against taking an HTTP/1.0 answer without length that its upstream keeps open for a complete one.
func TestOldAnswerThatNeverEndsIsNotComplete(t *testing.T) {
	u := newUpstream(t, func(conn net.Conn, r *http.Request) {
		write(conn, oldHead(r, "Connection: keep-alive\r\n\r\nok"))
		time.Sleep(3 * time.Second)
	})
	if got := newHarness(t, u.entry("u")).call("POST", "/book/", "x", pomelofake.TestHeaderWait, "300"); got.status == 200 && got.bodyErr == nil {
		t.Errorf("answer %+v, want none", got)
	}
}
