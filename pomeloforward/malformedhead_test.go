package pomeloforward_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay/pomelofake"
	"github.com/pomelorelay/pomelorelay/pomelohead"
)

// malformedHead is a head that differs from a sound one in its status or a field line.
type malformedHead struct {
	name, status, field string
}

var tooManyFields = malformedHead{"too many fields", "200 OK", strings.Repeat("a:\r\n", pomelohead.MaxFields) + "a:"}

var malformedHeads = []malformedHead{
	{"status 000", "000 X", ""},
	{"status 001", "001 X", ""},
	{"status 099", "099 X", ""},
	{"status 600", "600 X", ""},
	{"status 999", "999 X", ""},
	{"status with a sign", "+20 X", ""},
	{"status after two blanks", " 200 OK", ""},
	{"control byte in the reason", "200 O\x01K", ""},
	{"blank before the length's colon", "200 OK", "Content-Length : 4"},
	{"blank before the encoding's colon", "200 OK", "Transfer-Encoding : chunked"},
	{"blank in a name", "200 OK", "X Foo: y"},
	{"blank after a name", "200 OK", "X-Foo : y"},
	{"blank in the name of a refusal's field", "200 OK", pomelofake.TestHeaderNotRun + " : 1"},
	{"tab after a name", "200 OK", "X-Foo\t: y"},
	{"tab in a name", "200 OK", "X\tFoo: y"},
	{"zero byte in a name", "200 OK", "X\x00Foo: y"},
	{"control byte in a name", "200 OK", "X\x01Foo: y"},
	{"delete in a name", "200 OK", "X\x7fFoo: y"},
	{"byte over 127 in a name", "200 OK", "X\xe9Foo: y"},
	{"carriage return in a name", "200 OK", "X\rFoo: y"},
	{"separator in a name", "200 OK", "X(Foo: y"},
	{"empty name", "200 OK", ": y"},
	{"no colon", "200 OK", "X-Foo"},
	{"blank before a length's name", "200 OK", " Content-Length: 4"},
	{"tab before an encoding's name", "200 OK", "\tTransfer-Encoding: chunked"},
	{"blank before a name", "200 OK", " X-Foo: y"},
	{"zero byte in a value", "200 OK", "X-Foo: \x00"},
	{"control byte in a value", "200 OK", "X-Foo: a\x01b"},
	{"carriage return in a value", "200 OK", "X-Foo: a\rb"},
}

// bodiesAfterHead are what follows a malformed head. The last one is an answer itself.
var bodiesAfterHead = []string{"", "4\r\npart\r\n0\r\n\r\n", strings.Repeat("part", 20<<10), "HTTP/1.1 200 OK\r\nRequest-Id: req-2\r\nSigned-By: me\r\nContent-Length: 4\r\n\r\nfake"}

// Guards against forwarding anything of an answer whose head is none in HTTP, and against taking it for the proof that a request has not run.
func TestMalformedHeadIsNoAnswer(t *testing.T) {
	for _, c := range append(slices.Clone(malformedHeads), tooManyFields) {
		t.Run(c.name, func(t *testing.T) {
			for _, path := range allRoutes {
				for i, body := range bodiesAfterHead {
					for _, kept := range []bool{false, true} {
						t.Run(fmt.Sprintf("%s, body %d, kept %v", path, i, kept), func(t *testing.T) {
							t.Parallel()
							fields := "Request-Id: req-2\r\nSigned-By: me\r\n"
							if path == "/draft/" || path == "/chat/" {
								fields += "Content-Type: text/event-stream\r\n"
							}
							if c.field != "" {
								fields += c.field + "\r\n"
							}
							var runs atomic.Int64
							upstream := newEarlyUpstream(t, func(conn *net.TCPConn, reader *bufio.Reader, r *http.Request) {
								runs.Add(1)
								_, _ = io.Copy(io.Discard, r.Body)
								write(conn, "HTTP/1.1 "+c.status+"\r\n"+fields+"\r\n"+body)
								closeInOrder(conn, reader)
							})
							h := newHarness(t, upstream, upstream, upstream)
							if kept {
								h.call("POST", warmUpPath, "x")
							}
							got := h.call("POST", path, "x", pomelofake.TestHeaderRequestID, "req-2")
							if got.status != 502 || got.bodyErr != nil || got.head.Get(pomelofake.TestHeaderSignedBy) != "" || strings.Contains(got.body, "part") {
								t.Errorf("status %d, fields %v, %d bytes (%v), want a 502 by the router", got.status, got.head, len(got.body), got.bodyErr)
							}
							if repeatable := path == "/read/" || path == "/chat/"; runs.Load() > 1 && !repeatable {
								t.Errorf("the request ran %d times", runs.Load())
							}
						})
					}
				}
			}
		})
	}
}

// Guards against forwarding an answer whose malformed head arrives in pieces, or after the head of an interim answer.
func TestMalformedHeadInPiecesIsNoAnswer(t *testing.T) {
	for _, c := range malformedHeads {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			upstream := newEarlyUpstream(t, func(conn *net.TCPConn, reader *bufio.Reader, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				text := "HTTP/1.1 102 X\r\n\r\nHTTP/1.1 " + c.status + "\r\nRequest-Id: req-1\r\nSigned-By: me\r\n" + c.field
				for _, piece := range strings.SplitAfter(text, "\n") {
					for at := range len(piece) {
						write(conn, piece[at:at+1])
						time.Sleep(50 * time.Microsecond)
					}
				}
				if c.field != "" {
					write(conn, "\r\n")
				}
				write(conn, "\r\nbody")
				closeInOrder(conn, reader)
			})
			if got := newHarness(t, upstream).call("POST", "/book/", "x"); got.status != 502 || got.bodyErr != nil {
				t.Errorf("status %d, %d bytes (%v), want a 502 by the router", got.status, len(got.body), got.bodyErr)
			}
		})
	}
}
