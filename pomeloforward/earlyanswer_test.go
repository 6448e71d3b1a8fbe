package pomeloforward_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelofake"
	"github.com/pomelorelay/pomelorelay/pomeloforward"
)

// warmUpPath is the path of requests that an early upstream reads and answers, so that its connection is kept.
const warmUpPath = "/book/warm-up"

// newEarlyUpstream returns an upstream that answers requests before it has read their bodies; answer ends each connection.
func newEarlyUpstream(t *testing.T, answer func(conn *net.TCPConn, body *bufio.Reader, r *http.Request)) pomelorelay.FleetUpstream {
	t.Helper()
	l, err := pomelofake.ServeConns(func(conn *net.TCPConn) { serveEarly(conn, answer) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return pomelorelay.FleetUpstream{ID: "u", Service: "s", Addr: netip.MustParseAddrPort(l.Addr().String())}
}

func serveEarly(conn *net.TCPConn, answer func(conn *net.TCPConn, body *bufio.Reader, r *http.Request)) {
	// Long requests are still being written when the answer ends.
	_ = conn.SetReadBuffer(4 << 10)
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if r.URL.Path != warmUpPath {
			answer(conn, reader, r)
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		write(conn, plainAnswer(r, 200, "warm"))
	}
}

// closeInOrder ends the answer with FIN and reads the rest of the request until the router closes the connection.
func closeInOrder(conn *net.TCPConn, body *bufio.Reader) {
	_ = conn.CloseWrite()
	_, _ = io.Copy(io.Discard, body)
}

// earlyAnswer is an answer whose end only the end of the connection shows.
type earlyAnswer struct {
	name   string
	head   func(r *http.Request) string
	status int
	body   string
	// routes are the paths of the routes for which the answer is meant.
	routes []string
}

var (
	plainRoutes = []string{"/read/", "/book/"}
	allRoutes   = []string{"/read/", "/book/", "/draft/", "/chat/"}

	longAnswer   = earlyAnswer{name: "long", head: func(r *http.Request) string { return head(r, 200, "\r\n") }, status: 200, body: strings.Repeat("part ", 60<<10), routes: plainRoutes}
	earlyAnswers = []earlyAnswer{
		{"HTTP/1.1", func(r *http.Request) string { return head(r, 200, "\r\n") }, 200, strings.Repeat("part ", 16), plainRoutes},
		{"HTTP/1.0", func(r *http.Request) string { return oldHead(r, "\r\n") }, 200, strings.Repeat("part ", 16), plainRoutes},
		longAnswer,
		{"failure", func(r *http.Request) string { return head(r, 404, "\r\n") }, 404, strings.Repeat("part ", 16), allRoutes},
		{"events", func(r *http.Request) string { return head(r, 200, undelimitedHead) }, 200, undelimitedEvents, allRoutes},
	}
)

// sendFunc sends a request to an upstream and returns the caller's answer.
type sendFunc func(upstream pomelorelay.FleetUpstream) answer

// forEarlyAnswers calls test for each answer on its routes, with short and long requests on new and kept connections.
func forEarlyAnswers(t *testing.T, answers []earlyAnswer, test func(t *testing.T, a earlyAnswer, send sendFunc)) {
	for _, a := range answers {
		for _, path := range a.routes {
			for _, size := range []int{0, 12 << 10, 60 << 10, 400 << 10, 3 << 20} {
				for _, kept := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s%s, %d bytes, kept %v", a.name, path, size, kept), func(t *testing.T) {
						t.Parallel()
						test(t, a, func(upstream pomelorelay.FleetUpstream) answer {
							h := newHarnessWith(t, 4<<20, func(*pomeloforward.Config) {}, upstream, upstream, upstream)
							if kept {
								if got := h.call("POST", warmUpPath, "x"); got.status != 200 {
									t.Fatalf("answer %+v to the first request on the connection, want 200", got)
								}
							}
							return h.call("POST", path, strings.Repeat("u", size), pomelofake.TestHeaderRequestID, "req-2")
						})
					})
				}
			}
		}
	}
}

// Guards against forwarding a part of an answer without length as complete whose connection was reset while the request was being written.
func TestAnswerResetBeforeRequestIsReadIsNotComplete(t *testing.T) {
	for _, pause := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
		t.Run(fmt.Sprintf("reset after %v", pause), func(t *testing.T) {
			forEarlyAnswers(t, earlyAnswers, func(t *testing.T, a earlyAnswer, send sendFunc) {
				got := send(newEarlyUpstream(t, func(conn *net.TCPConn, _ *bufio.Reader, r *http.Request) {
					write(conn, a.head(r)+a.body)
					time.Sleep(pause)
					reset(conn)
				}))
				if got.status != 502 && got.bodyErr == nil {
					t.Errorf("answer with status %d and %d bytes was forwarded as complete", got.status, len(got.body))
				}
			})
		})
	}
}

// Guards against failing an answer without length that ended in order before its request was read.
func TestAnswerBeforeRequestIsReadIsComplete(t *testing.T) {
	for _, c := range []struct {
		name string
		// end ends the answer; the caller has it once answered is closed.
		end     func(conn *net.TCPConn, body *bufio.Reader, answered <-chan struct{})
		answers []earlyAnswer
	}{
		{"rest of the request read", func(conn *net.TCPConn, body *bufio.Reader, _ <-chan struct{}) { closeInOrder(conn, body) }, earlyAnswers},
		{"rest of the request not read", func(conn *net.TCPConn, _ *bufio.Reader, answered <-chan struct{}) {
			_ = conn.CloseWrite()
			<-answered
		}, earlyAnswers},
		// A reset discards what the kernel has not sent, which may be a part of the long answer.
		{"reset after the end", func(conn *net.TCPConn, _ *bufio.Reader, _ <-chan struct{}) {
			_ = conn.CloseWrite()
			reset(conn)
		}, slices.DeleteFunc(slices.Clone(earlyAnswers), func(a earlyAnswer) bool { return a.name == longAnswer.name })},
	} {
		t.Run(c.name, func(t *testing.T) {
			forEarlyAnswers(t, c.answers, func(t *testing.T, a earlyAnswer, send sendFunc) {
				answered := make(chan struct{})
				got := send(newEarlyUpstream(t, func(conn *net.TCPConn, body *bufio.Reader, r *http.Request) {
					write(conn, a.head(r)+a.body)
					c.end(conn, body, answered)
				}))
				close(answered)
				if got.status != a.status || got.body != a.body || got.bodyErr != nil || got.head.Get(pomelofake.TestHeaderSignedBy) != "me" {
					t.Errorf("status %d and %d bytes (%v), want %d and the whole body of %d bytes, signed", got.status, len(got.body), got.bodyErr, a.status, len(a.body))
				}
			})
		})
	}
}
