package pomeloforward_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay/pomelofake"
	"github.com/pomelorelay/pomelorelay/pomeloplace"
)

// BenchmarkStream measures streams of 50 events, one after the other over one connection. The results include the time and memory of
// the benchmark's caller and upstream.
func BenchmarkStream(b *testing.B) {
	const events = 50
	t := &testing.T{}
	u := newUpstream(t, func(conn net.Conn, r *http.Request) {
		write(conn, streamHead(r))
		for i := range events {
			write(conn, eventChunk(i+1))
			time.Sleep(50 * time.Microsecond)
		}
		write(conn, lastChunk)
	})
	h := newHarness(t, u.entry("u"))
	conn, err := net.Dial("tcp", h.server.Listener.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	body := strings.Repeat("x", 800)
	for i := 0; b.Loop(); i++ {
		h.mu.Lock()
		h.placements = append(h.placements, pomeloplace.Decision{Upstream: u.entry("u")})
		h.requests, h.results = h.requests[:0], h.results[:0]
		h.mu.Unlock()
		fmt.Fprintf(conn, "POST /draft/ HTTP/1.1\r\nHost: h.example\r\n%s: r%d\r\n%s: key\r\n%s: 3000\r\nContent-Length: %d\r\n\r\n%s",
			pomelofake.TestHeaderRequestID, i, pomelofake.TestHeaderCallerKey, pomelofake.TestHeaderWait, len(body), body)
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			b.Fatal(err)
		}
	}
}
