package pomeloforward_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay/pomelofake"
)

// upload sends the header of a request with a body and returns the connection; the test sends the body.
func (h *harness) upload(wait time.Duration, framing string) net.Conn {
	h.t.Helper()
	conn, err := net.Dial("tcp", h.server.Listener.Addr().String())
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { conn.Close() })
	fmt.Fprintf(conn, "POST /book/ HTTP/1.1\r\nHost: h.example\r\nRequest-Id: req-1\r\n%s: key\r\n%s: %d\r\n%s\r\n\r\n", pomelofake.TestHeaderCallerKey, pomelofake.TestHeaderWait, wait.Milliseconds(), framing)
	return conn
}

// Guards against bodies that are each within the operators' limit and exhaust the memory of the process together.
func TestLargeBodiesShareMemory(t *testing.T) {
	const size, memory = 200 << 10, 300 << 10
	arrived, hold := make(chan struct{}, 1), make(chan struct{})
	u := newUpstream(t, func(conn net.Conn, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "held") {
			arrived <- struct{}{}
			<-hold
		}
		write(conn, plainAnswer(r, 200, "booked"))
	})
	h := newHarnessWithBodies(t, 1<<20, memory, u.entry("u"), u.entry("u"), u.entry("u"), u.entry("u"))
	large := strings.Repeat("x", size)
	first := make(chan answer, 1)
	go func() { first <- h.call("POST", "/book/held", large) }()
	<-arrived
	for _, framing := range []string{fmt.Sprintf("Content-Length: %d", size), "Transfer-Encoding: chunked"} {
		conn := h.upload(time.Second, framing)
		if strings.HasPrefix(framing, "Transfer") {
			write(conn, chunkOf(large))
		}
		got := readAnswer(t, conn)
		if got.status != 503 || got.head.Get("Retry-After") != "0.010" || !strings.Contains(got.body, "BodiesFull") {
			t.Errorf("%s: answer %+v beside another body, want 503 BodiesFull before the body is complete", framing, got)
		}
	}
	if got := h.call("POST", "/book/", "small"); got.status != 200 {
		t.Errorf("a small body beside a large one: answer %+v, want 200", got)
	}
	close(hold)
	if got := <-first; got.status != 200 {
		t.Errorf("the first body: answer %+v, want 200", got)
	}
	if got := h.call("POST", "/book/", large); got.status != 200 {
		t.Errorf("a large body after the first one: answer %+v, want 200", got)
	}
}

// Guards against a caller that falls silent within its body and keeps the memory of it for good.
func TestSilentBodyEndsAtDeadline(t *testing.T) {
	const size, memory = 200 << 10, 300 << 10
	u := newUpstream(t, func(conn net.Conn, r *http.Request) { write(conn, plainAnswer(r, 200, "booked")) })
	h := newHarnessWithBodies(t, 1<<20, memory, u.entry("u"))
	conn := h.upload(300*time.Millisecond, fmt.Sprintf("Content-Length: %d", size))
	if _, err := io.WriteString(conn, "the beginning"); err != nil {
		t.Fatal(err)
	}
	if got := readAnswer(t, conn); got.status != 503 || !strings.Contains(got.body, "DeadlinePassed") {
		t.Errorf("answer %+v, want 503 DeadlinePassed", got)
	}
	if got := h.call("POST", "/book/", strings.Repeat("x", size)); got.status != 200 {
		t.Errorf("a body after the silent one: answer %+v, want 200", got)
	}
}

// Guards against a read deadline of a body that ends the connection, or the request, once the body has been read.
func TestReadDeadlineOfBodyEndsWithIt(t *testing.T) {
	const wait = 300 * time.Millisecond
	u := newUpstream(t, func(conn net.Conn, r *http.Request) { write(conn, plainAnswer(r, 200, "booked")) })
	h := newHarness(t, u.entry("u"), u.entry("u"))
	conn := h.upload(wait, "Content-Length: 1")
	write(conn, "x")
	if got := readAnswer(t, conn); got.status != 200 {
		t.Fatalf("answer %+v, want 200", got)
	}
	time.Sleep(2 * wait)
	fmt.Fprintf(conn, "GET /read/ HTTP/1.1\r\nHost: h.example\r\nRequest-Id: req-2\r\n%s: key\r\n\r\n", pomelofake.TestHeaderCallerKey)
	if got := readAnswer(t, conn); got.status != 200 {
		t.Errorf("a later request on the connection: answer %+v, want 200", got)
	}
}
