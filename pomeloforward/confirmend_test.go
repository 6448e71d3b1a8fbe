package pomeloforward_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay/pomelofake"
	"github.com/pomelorelay/pomelorelay/pomeloplace"
)

const (
	undelimitedEvents = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"
	undelimitedHead   = "Content-Type: text/event-stream\r\n\r\n"
	unsizedReport     = "HTTP/1.0 200 X\r\n\r\n"
	noReport          = "HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n"
)

// longReport is a report of 1 MB that states no start time.
var longReport = fmt.Sprintf("HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n%s", 1<<20, strings.Repeat("x", 1<<20))

func isReport(r *http.Request) bool { return r.URL.Path == (pomelofake.TestWireFormat{}).ReportPath() }

func reportOf(start int) string {
	text := fmt.Sprint(start)
	return fmt.Sprintf("HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
}

// answerUndelimited answers without length and closes the connection.
func answerUndelimited(conn net.Conn, r *http.Request) {
	write(conn, head(r, 200, undelimitedHead+undelimitedEvents))
	conn.Close()
}

// Guards against forwarding an answer without length as complete whose upstream ended and was started again at its address before the router looked,
// and against failing one whose upstream lives on.
func TestEndOfAnswerWithoutLengthIsConfirmedByItsProcess(t *testing.T) {
	for _, c := range []struct {
		name, path string
		// before and after are the answers to requests for a report before and after the end of the answer; none for silence.
		before, after string
		whole         bool
	}{
		{"plain, same process", "/book/", reportOf(1000), reportOf(1000), true},
		{"plain, restarted", "/book/", reportOf(1000), reportOf(2000), false},
		{"stream, same process", "/draft/", reportOf(1000), reportOf(1000), true},
		{"stream, restarted", "/draft/", reportOf(1000), reportOf(2000), false},
		{"resumable stream, same process", "/chat/", reportOf(1000), reportOf(1000), true},
		{"resumable stream, restarted", "/chat/", reportOf(1000), reportOf(2000), false},
		{"resumable stream, restarted without a report", "/chat/", reportOf(1000), noReport, false},
		{"report closes the connection", "/book/", reportOf(1000), "HTTP/1.0 200 X\r\n\r\n1000", true},
		{"no report", "/book/", noReport, noReport, true},
		{"no start time", "/book/", reportOf(0), reportOf(0), true},
		{"resumable stream, no report", "/chat/", noReport, noReport, true},
		{"report refused by a full upstream", "/book/", reportOf(1000), "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", true},
		{"resumable stream, report refused", "/chat/", reportOf(1000), "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", false},
		{"report cut short", "/book/", reportOf(1000), "HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\n10", false},
		{"no start time, no length", "/book/", reportOf(1000), unsizedReport, true},
		{"resumable stream, start time no longer stated", "/chat/", reportOf(1000), unsizedReport, false},
		{"report without end", "/book/", reportOf(1000), longReport, false},
		{"resumable stream, report without end", "/chat/", reportOf(1000), longReport, false},
		{"silent", "/book/", reportOf(1000), "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var ended atomic.Bool
			u := newUpstream(t, func(conn net.Conn, r *http.Request) {
				switch {
				case !isReport(r):
					ended.Store(true)
					answerUndelimited(conn, r)
				case !ended.Load():
					write(conn, c.before)
				case c.after == "":
					time.Sleep(2 * time.Second)
				default:
					write(conn, c.after)
					if strings.HasPrefix(c.after, "HTTP/1.0") || strings.HasSuffix(c.after, "10") {
						conn.Close()
					}
				}
			})
			got := newHarness(t, u.startedAt("u", 1000)).call("POST", c.path, "x")
			if whole := got.status == 200 && got.bodyErr == nil; whole != c.whole {
				t.Errorf("answer %+v, want it whole: %v", got, c.whole)
			}
		})
	}
}

// Guards against failing all answers without length of an upstream that was started again under its ID and address, until its new entry is read.
func TestEndOfAnswerByReplacedProcessIsConfirmedOnceItIsKnown(t *testing.T) {
	u := newUpstream(t, reporting("2000", answerUndelimited))
	entry := u.startedAt("u", 1000)
	h := newHarness(t, entry, entry, entry)
	if got := h.call("POST", "/book/", "x"); got.status == 200 && got.bodyErr == nil {
		t.Errorf("answer %+v, want none: the registered process may have begun it", got)
	}
	for range 2 {
		if got := h.call("POST", "/book/", "x"); got.status != 200 || got.bodyErr != nil || got.body != undelimitedEvents {
			t.Errorf("answer %+v, want a whole one: its process was there before", got)
		}
	}
}

// Guards against taking an upstream for dead that accepts no further connections and lives on: it has stopped listening because it drains, or is at its
// limit of connections. An idle connection to its process shows that.
func TestEndOfAnswerIsConfirmedOnOpenConnection(t *testing.T) {
	for _, c := range []struct {
		name             string
		idle, resets     bool
		registered, want int64
	}{
		{"draining, idle connection", true, false, 1000, 200},
		{"at its limit, idle connection", true, true, 1000, 200},
		{"draining, none", false, false, 1000, 502},
		{"at its limit, none", false, true, 1000, 502},
		{"draining, none, start time not registered", false, false, 0, 502},
		{"at its limit, none, start time not registered", false, true, 0, 502},
	} {
		var u *upstream
		var waiting sync.WaitGroup
		waiting.Add(2)
		u = newUpstream(t, func(conn net.Conn, r *http.Request) {
			switch {
			case isReport(r):
				write(conn, reportOf(1000))
			case r.URL.Path == "/read/":
				// Two requests at a time take two connections.
				waiting.Done()
				waiting.Wait()
				write(conn, plainAnswer(r, 200, "ok"))
			default:
				if c.resets {
					u.full.Store(true)
				} else {
					u.l.Close()
				}
				answerUndelimited(conn, r)
			}
		})
		entry := u.startedAt("u", c.registered)
		h := newHarness(t, entry, entry, entry)
		if c.idle {
			var calls sync.WaitGroup
			for range 2 {
				calls.Go(func() { h.call("POST", "/read/", "x") })
			}
			calls.Wait()
		}
		if got := h.call("POST", "/book/", "x"); int64(got.status) != c.want || got.bodyErr != nil {
			t.Errorf("%s: answer %+v, want %d", c.name, got, c.want)
		}
	}
}

// Guards against confirming the end of an answer by an idle connection to a process that has ended.
func TestEndOfAnswerIsNotConfirmedOnConnectionOfEndedProcess(t *testing.T) {
	var u *upstream
	var start atomic.Int64
	var mu sync.Mutex
	var conns []net.Conn
	var waiting sync.WaitGroup
	waiting.Add(2)
	start.Store(1000)
	u = newUpstream(t, func(conn net.Conn, r *http.Request) {
		switch {
		case isReport(r):
			write(conn, reportOf(int(start.Load())))
		case r.URL.Path == "/read/":
			mu.Lock()
			conns = append(conns, conn)
			mu.Unlock()
			waiting.Done()
			waiting.Wait()
			write(conn, plainAnswer(r, 200, "ok"))
		default:
			write(conn, head(r, 200, undelimitedHead+undelimitedEvents))
			start.Store(2000)
			for _, c := range conns {
				c.Close()
			}
		}
	})
	entry := u.startedAt("u", 1000)
	h := newHarness(t, entry, entry, entry)
	var calls sync.WaitGroup
	for range 2 {
		calls.Go(func() { h.call("POST", "/read/", "x") })
	}
	calls.Wait()
	if got := h.call("POST", "/book/", "x"); got.status != 502 {
		t.Errorf("answer %+v, want 502", got)
	}
	if got := h.result(2); got != pomeloplace.ResultFailed {
		t.Errorf("result %v, want a failed attempt", got)
	}
}
