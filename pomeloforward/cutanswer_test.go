package pomeloforward_test

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay/pomelofake"
	"github.com/pomelorelay/pomelorelay/pomeloforward"
)

const (
	// cutStreamEvents is the number of events of a stream, cutWorkers the number of callers at a time, cutMaxAttempts the most attempts of a request.
	cutStreamEvents, cutWorkers, cutMaxAttempts = 4, 8, 3
	cutBody                                     = "the whole body"
)

// cutCase is a request whose first answer, or the one that resumes its stream, is cut after a number of bytes.
type cutCase struct {
	route, answer string
	resumed       bool
	at            int
	// follows is sent in place of the rest.
	follows string
}

func (c *cutCase) String() string {
	return fmt.Sprintf("%s, %s, resumed %v, cut after %d bytes, then %q", c.route, c.answer, c.resumed, c.at, c.follows)
}

// cutAnswers are the framings of answers: their heads without the first line and the fields that all have, and how the body is encoded.
var cutAnswers = map[string]struct {
	before, fields, lineEnd string
	chunked, sized, old     bool
}{
	"length":            {lineEnd: "\r\n", sized: true},
	"chunked":           {lineEnd: "\r\n", chunked: true, fields: "Transfer-Encoding: chunked\r\n"},
	"without length":    {lineEnd: "\r\n"},
	"LF only":           {lineEnd: "\n", sized: true},
	"after 100":         {lineEnd: "\r\n", sized: true, before: "HTTP/1.1 100 Continue\r\n\r\n"},
	"chunked after 103": {lineEnd: "\r\n", chunked: true, fields: "Transfer-Encoding: chunked\r\n", before: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
	"HTTP/1.0":          {lineEnd: "\r\n", old: true, sized: true},
	"HTTP/1.0 chunked":  {lineEnd: "\r\n", old: true, chunked: true, fields: "Transfer-Encoding: chunked\r\n"},
	"folded":            {lineEnd: "\r\n", sized: true, fields: "Note: a\r\n b\r\n"},
}

// cutAnswer returns the whole answer to a request, and the length of its head.
func cutAnswer(kind, id string, body []string) (string, int) {
	a := cutAnswers[kind]
	text := fmt.Sprintf("%sHTTP/1.1 200 OK\r\n%s: %s\r\n%s: me\r\nContent-Type: text/event-stream\r\nConnection: close\r\n%s", a.before, pomelofake.TestHeaderRequestID, id, pomelofake.TestHeaderSignedBy, a.fields)
	if a.old {
		text = strings.Replace(text, "HTTP/1.1", "HTTP/1.0", 1)
	}
	if a.sized {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(strings.Join(body, "")))
	}
	text = strings.ReplaceAll(text+"\r\n", "\r\n", a.lineEnd)
	head := len(text)
	for _, part := range body {
		if a.chunked {
			part = fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
		}
		text += part
	}
	if a.chunked {
		text += "0\r\n\r\n"
	}
	return text, head
}

// cutEvents returns the events of a stream after the given one.
func cutEvents(after int) []string {
	var events []string
	for n := after + 1; n <= cutStreamEvents; n++ {
		events = append(events, fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n))
	}
	return events
}

// cutUpstream answers each request by its case: it cuts the first answer, or the second one where that resumes the stream.
type cutUpstream struct {
	cases map[string]*cutCase
	mu    sync.Mutex
	runs  map[string]int
}

func (u *cutUpstream) answer(conn net.Conn, r *http.Request) {
	defer conn.Close()
	id := r.Header.Get(pomelofake.TestHeaderRequestID)
	u.mu.Lock()
	u.runs[id]++
	run := u.runs[id]
	u.mu.Unlock()
	c, body := u.cases[id], []string{cutBody}
	if c.streams() {
		// A missing header gives zero, the number before the first event.
		last, _ := strconv.Atoi(r.Header.Get(pomelofake.TestHeaderLastEventID))
		body = cutEvents(last)
	}
	text, _ := cutAnswer(c.answer, id, body)
	switch {
	case c.resumed && run == 1:
		first, head := cutAnswer("chunked", id, body)
		text = first[:head+len(chunkOf(body[0]))]
	case run == 1 || (c.resumed && run == 2):
		text = text[:min(c.at, len(text))] + c.follows
	}
	write(conn, text)
}

func (u *cutUpstream) runsOf(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[id]
}

func (c *cutCase) streams() bool { return c.route != "/book/" && c.route != "/read/" }

// check returns what is wrong with an answer, or nothing.
func (c *cutCase) check(got answer, runs int) string {
	want := cutBody
	if c.streams() {
		want = strings.Join(cutEvents(0), "")
	}
	switch {
	case got.status == 200 && got.bodyErr == nil && got.body != want:
		return "a part was forwarded as complete"
	case got.status == 200 && !strings.HasPrefix(want, got.body):
		return "other bytes were forwarded"
	case got.status > 200 && got.status < 500, got.status == 503 && runs > 0:
		return "a request that ran was answered as one that did not"
	case runs > 1 && (c.route == "/book/" || c.route == "/draft/"):
		return "a request that may run once ran again"
	}
	return ""
}

// otherAnswer is the answer to another request.
const otherAnswer = "HTTP/1.1 200 OK\r\n" + pomelofake.TestHeaderRequestID + ": other\r\n" + pomelofake.TestHeaderSignedBy + ": me\r\nContent-Length: 5\r\n\r\nother"

// cutCases returns a case for each byte of the answers of all framings on a route.
func cutCases(route string, resumed bool) []*cutCase {
	var cases []*cutCase
	for kind := range cutAnswers {
		c := cutCase{route: route, answer: kind, resumed: resumed}
		body := []string{cutBody}
		if c.streams() {
			body = cutEvents(0)
		}
		text, head := cutAnswer(kind, "req-0000", body)
		end := len(text)
		if kind == "without length" {
			// The end of its body can't be told from a cut while the upstream lives.
			end = head
		}
		for c.at = range end {
			c.follows = ""
			cut := c
			cases = append(cases, &cut)
			if c.at < head {
				c.follows = otherAnswer
				followed := c
				cases = append(cases, &followed)
			}
		}
	}
	return cases
}

// Guards against a cut answer that reaches the caller as a whole one, of any framing and cut after any byte: by itself, with another answer behind
// it, or in place of the rest of a stream that is resumed.
func TestCutAnswerIsNotComplete(t *testing.T) {
	for _, c := range []struct {
		route   string
		resumed bool
	}{{"/book/", false}, {"/read/", false}, {"/draft/", false}, {"/chat/", false}, {"/long-chat/", true}} {
		t.Run(fmt.Sprintf("%s resumed %v", c.route, c.resumed), func(t *testing.T) {
			t.Parallel()
			sendCutCases(t, cutCases(c.route, c.resumed))
		})
	}
}

// sendCutCases sends a request for each case and checks its answer.
func sendCutCases(t *testing.T, cases []*cutCase) {
	t.Helper()
	u := &cutUpstream{cases: make(map[string]*cutCase), runs: make(map[string]int)}
	ids := make(chan string, len(cases))
	for i, c := range cases {
		id := fmt.Sprintf("req-%04d", i)
		u.cases[id] = c
		ids <- id
	}
	close(ids)
	up := newUpstream(t, u.answer)
	h := newHarnessWith(t, 1000, func(cfg *pomeloforward.Config) { cfg.RetryRatio, cfg.RetrySlack = 2, float64(2*len(cases)) })
	for range cutMaxAttempts * len(cases) {
		h.placements = append(h.placements, decisionFor(up))
	}
	var served, again atomic.Int64
	var workers sync.WaitGroup
	for range cutWorkers {
		workers.Go(func() {
			for id := range ids {
				c := u.cases[id]
				got, runs := h.call("POST", c.route, "x", pomelofake.TestHeaderRequestID, id), u.runsOf(id)
				if fault := c.check(got, runs); fault != "" {
					t.Errorf("%v: %s: %d runs, answer %+v", c, fault, runs, got)
				}
				if got.status == 200 && got.bodyErr == nil {
					served.Add(1)
				}
				if runs > 1 {
					again.Add(1)
				}
			}
		})
	}
	workers.Wait()
	t.Logf("%d answers were cut, %d requests ran again, %d were served whole", len(cases), again.Load(), served.Load())
}

// Guards against forwarding a success whose head is not one of a whole answer by the upstream.
func TestUnsoundHeadIsNoAnswer(t *testing.T) {
	for _, c := range []struct{ name, answer string }{
		{"no signature, no body", "HTTP/1.1 200 OK\r\nRequest-Id: req-1\r\nContent-Length: 0\r\n\r\n"},
		{"empty signature", "HTTP/1.1 200 OK\r\nRequest-Id: req-1\r\nSigned-By:\r\nContent-Length: 0\r\n\r\n"},
		{"no signature, no content", "HTTP/1.1 204 X\r\nRequest-Id: req-1\r\n\r\n"},
		{"two signatures", "HTTP/1.1 200 OK\r\nSigned-By: m\r\nSigned-By: me\r\nRequest-Id: req-1\r\nContent-Length: 3\r\n\r\nall"},
		{"another answer's head", "HTTP/1.1 200 OK\r\nSigned-By: me\r\nRequest-Id: req-1\r\nContent-Type: te" + otherAnswer},
		{"another answer's head within the ID", "HTTP/1.1 200 OK\r\nSigned-By: me\r\nRequest-Id: req-1" + otherAnswer},
		{"unknown transfer encoding", "HTTP/1.1 200 OK\r\nRequest-Id: req-1\r\nSigned-By: me\r\nTransfer-Encoding: chu\r\n\r\n3\r\nall\r\n0\r\n\r\n"},
		{"two lengths", "HTTP/1.1 200 OK\r\nRequest-Id: req-1\r\nSigned-By: me\r\nContent-Length: 1\r\nContent-Length: 3\r\n\r\nall"},
		{"length that is no number", "HTTP/1.1 200 OK\r\nRequest-Id: req-1\r\nSigned-By: me\r\nContent-Length: 3x\r\n\r\nall"},
		{"line without colon", "HTTP/1.1 200 OK\r\nRequest-Id: req-1\r\nSigned-By: me\r\nContent-Len\r\n\r\nall"},
		{"folded first line", "HTTP/1.1 200 OK\r\n Request-Id: req-1\r\nSigned-By: me\r\nContent-Length: 3\r\n\r\nall"},
		{"version before 1.0", "HTTP/0.9 200 OK\r\nRequest-Id: req-1\r\nSigned-By: me\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nall\r\n0\r\n\r\n"},
		{"status line alone", "HTTP/1.1 200 OK\r\n\r\n"},
		{"half a status", "HTTP/1.1 20\r\nRequest-Id: req-1\r\nSigned-By: me\r\nContent-Length: 3\r\n\r\nall"},
		{"no content, cut", "HTTP/1.1 204 X\r\nRequest-Id: req-1\r\nSigned-By: me\r\n"},
		{"not modified, cut", "HTTP/1.1 304 X\r\nRequest-Id: req-1\r\nSigned-By: me\r\n"},
	} {
		for _, path := range []string{"/book/", "/read/", "/draft/", "/chat/"} {
			u := newUpstream(t, func(conn net.Conn, _ *http.Request) {
				write(conn, c.answer)
				conn.Close()
			})
			got := newHarness(t, u.entry("u1")).call("POST", path, "x")
			if got.status != 502 && (got.status != 0 || got.bodyErr == nil) {
				t.Errorf("%s, %s: answer %+v, want 502 or a closed connection", c.name, path, got)
			}
		}
	}
}

// Guards against a caller that waits beyond its deadline for a head that stops, gets a part of an answer or a status for "not run", or has its request
// run again.
func TestSilentHalfHeadEndsAtDeadline(t *testing.T) {
	const half = "HTTP/1.1 200 OK\r\nRequest-Id: req-1\r\nSigned-By: me\r\nContent-Le"
	const wait, slack = 300 * time.Millisecond, 2 * time.Second
	for _, path := range []string{"/book/", "/read/", "/draft/", "/chat/", "/long-chat/"} {
		resumed := path == "/long-chat/"
		var u *upstream
		u = newUpstream(t, func(conn net.Conn, r *http.Request) {
			if resumed && u.requests() == 1 {
				write(conn, streamHead(r)+eventChunk(1))
				conn.Close()
				return
			}
			write(conn, half)
			time.Sleep(2 * slack)
		})
		began := time.Now()
		got := newHarness(t, u.entry("u1"), u.entry("u2"), u.entry("u3")).call("POST", path, "x", pomelofake.TestHeaderWait, fmt.Sprint(wait.Milliseconds()))
		broken := resumed && got.status == 200 && got.bodyErr != nil && strings.Count(got.body, "id: ") == 1
		if got.status != 504 && !broken {
			t.Errorf("%s: answer %+v, want 504, or a broken stream of one event", path, got)
		}
		if took := time.Since(began); took > wait+slack {
			t.Errorf("%s: answered after %v, the caller waits for %v", path, took, wait)
		}
	}
}

// Guards against overlooking the crash of an upstream that ends in the middle of its answer's head, and against taking garbage for one.
func TestHalfHeadIsABrokenConnection(t *testing.T) {
	for text, broken := range map[string]int{
		"": 1, "HT": 1, "HTTP/1.1 200 OK\r\n": 1, "HTTP/1.1 200 OK\r\nRequest-Id: req-1\r\nSigned-By: me\r\nContent-Le": 1, "garbage": 0, "HTTP and garbage": 0,
	} {
		u := newUpstream(t, func(conn net.Conn, _ *http.Request) {
			write(conn, text)
			conn.Close()
		})
		h := newHarness(t, u.entry("u1"))
		if got := h.call("POST", "/book/", "x"); got.status != 502 || len(h.broken) != broken {
			t.Errorf("%q: status %d, %d broken connections, want 502 and %d", text, got.status, len(h.broken), broken)
		}
	}
}

// Guards against ending a stream as complete where the answer that resumes it has no events: other bytes completed its head, which was cut before the
// field that tells its length.
func TestCompletedHeadWithoutEventsEndsNoStream(t *testing.T) {
	for _, follows := range []string{"\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n"} {
		var cases []*cutCase
		for _, c := range cutCases("/long-chat/", true) {
			if c.follows == otherAnswer {
				c.follows = follows
				cases = append(cases, c)
			}
		}
		sendCutCases(t, cases)
	}
}

// Guards against forwarding a part of an event, or ending a stream as complete, where the stream is cut within a character, a line end or the blank line
// of an event: by the stated length, in chunks, or without length by the end of the upstream's process.
func TestStreamCutWithinEventIsNotComplete(t *testing.T) {
	events := []string{"id: 1\r\ndata: pomelo \u67da\u5b50\r\n\r\n", "id: 2\ndata: \U0001f34a\n\n"}
	whole := strings.Join(events, "")
	for _, path := range []string{"/draft/", "/chat/"} {
		for _, framing := range []string{"length", "chunked", "one chunk", "without length"} {
			if framing == "without length" && path == "/chat/" {
				// The process is checked before the stream begins there, which TestEndOfAnswerWithoutLengthIsConfirmedByItsProcess covers.
				continue
			}
			text, fields := whole, "\r\n"
			switch framing {
			case "length":
				fields = fmt.Sprintf("Content-Length: %d\r\n\r\n", len(whole))
			case "chunked":
				text, fields = chunkOf(events[0])+chunkOf(events[1])+lastChunk, "Transfer-Encoding: chunked\r\n\r\n"
			case "one chunk":
				text, fields = chunkOf(whole)+lastChunk, "Transfer-Encoding: chunked\r\n\r\n"
			}
			for at := range len(text) {
				var starts atomic.Int64
				u := newUpstream(t, func(conn net.Conn, r *http.Request) {
					if isReport(r) {
						write(conn, reportOf(int(2000+starts.Add(1))))
						return
					}
					write(conn, head(r, 200, "Content-Type: text/event-stream\r\n"+fields)+text[:at])
					conn.Close()
				})
				entry := u.entry("u")
				if path == "/draft/" {
					entry.StartUnixMilli = 1000
				}
				got := newHarness(t, entry).call("POST", path, "x")
				if got.status == 200 && got.bodyErr == nil {
					t.Errorf("%s, %s, cut after %d bytes: %q was forwarded as complete", path, framing, at, got.body)
				}
				if got.body != "" && got.status == 200 && got.body != events[0] && got.body != whole {
					t.Errorf("%s, %s, cut after %d bytes: %q was forwarded, want whole events", path, framing, at, got.body)
				}
				u.l.Close()
			}
		}
	}
}

// Guards against overlooking the crash of an upstream that ends at any byte of its answer's body, and against taking a malformed one for a crash.
func TestHalfBodyIsABrokenConnection(t *testing.T) {
	const fields = "Transfer-Encoding: chunked\r\n\r\n"
	whole := chunkOf(cutBody) + "0\r\nNote: x\r\n\r\n"
	texts := map[string]int{"zz\r\n" + cutBody: 0}
	for at := range len(whole) {
		texts[whole[:at]] = 1
	}
	for text, broken := range texts {
		u := newUpstream(t, func(conn net.Conn, r *http.Request) {
			write(conn, head(r, 200, fields)+text)
			conn.Close()
		})
		h := newHarness(t, u.entry("u1"))
		if got := h.call("POST", "/book/", "x"); got.status != 502 || len(h.broken) != broken {
			t.Errorf("%q: status %d, %d broken connections, want 502 and %d", text, got.status, len(h.broken), broken)
		}
	}
}
