package pomeloentry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelofake"
)

// halfHeadField names one of the half heads.
const halfHeadField = "Half-Head"

// halfHeads are the parts of heads after which an upstream falls silent.
var halfHeads = []string{
	"", "HTTP/1.1 2", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nSigned-By: u\r\nContent-Le", "HTTP/1.1 200 OK\r\nSigned-By: u\r\nContent-Length: 0\r\n",
	"HTTP/1.0 200 OK\r\nSigned-By: u\r\n", "HTTP/1.1 100 Continue\r\n", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nSigned-By: u\r\n",
	"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n",
}

// serveHalfHeads runs an upstream that sends the half head that a request's header names, and leaves the connection open. It sends a first event before if
// the stream is not resumed yet and the path asks for that. It counts the requests that resume.
func serveHalfHeads(t *testing.T, resumed *atomic.Int64) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				r, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				// The router may have closed the connection.
				_, _ = io.Copy(io.Discard, r.Body)
				if strings.HasPrefix(r.URL.Path, "/stream-resumable/") && r.Header.Get(pomelofake.TestHeaderLastEventID) == "" {
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: u\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%s", pomelofake.TestHeaderRequestID,
						r.Header.Get(pomelofake.TestHeaderRequestID), pomelofake.TestHeaderSignedBy, "15\r\nid: 1\ndata: piece 1\n\n\r\n")
					return
				}
				if r.Header.Get(pomelofake.TestHeaderLastEventID) != "" {
					resumed.Add(1)
				}
				i, _ := strconv.Atoi(r.Header.Get(halfHeadField))
				_, _ = io.WriteString(conn, halfHeads[i])
				_, _ = io.Copy(io.Discard, reader)
			}()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// Guards against an answer for a caller whose upstream falls silent within a head, in place of an error by the deadline: an empty one, or the end of a
// stream that the upstream should resume.
func TestSilentHalfHeadIsNoAnswer(t *testing.T) {
	f := newFleet(t)
	f.publishUndelimitedRoutes(2)
	var resumed atomic.Int64
	for _, id := range []pomelorelay.UpstreamID{"u1", "u2"} {
		f.store.PutUpstream(pomelorelay.FleetUpstream{ID: id, Service: "s", Addr: serveHalfHeads(t, &resumed), Domain: "a", Slots: 100})
	}
	n := f.startWith(8*time.Second, func(s *pomelorelay.FleetSettings) { s.RetryRatio = 2 })
	f.await("the router is ready", func() bool { return f.ready(n) })
	for i, half := range halfHeads {
		var calls sync.WaitGroup
		for _, c := range undelimitedCases {
			calls.Go(func() {
				// Requests that differ are not suspected of crashing the upstream together.
				path := fmt.Sprint(c.path, i)
				status, body, whole := f.callUndelimited(n, path, halfHeadField, fmt.Sprint(i), pomelofake.TestHeaderWait, "500")
				for status == 503 && strings.Contains(body, `"Ran":"No"`) {
					// The router is overloaded beside other tests.
					time.Sleep(100 * time.Millisecond)
					status, body, whole = f.callUndelimited(n, path, halfHeadField, fmt.Sprint(i), pomelofake.TestHeaderWait, "500")
				}
				if (status == 200 && whole) || status == 0 || status == 503 || status == 429 {
					t.Errorf("%s, %q: %d %q, whole: %v, want a broken stream or an error", c.path, half, status, body, whole)
				}
			})
		}
		calls.Wait()
	}
	if n := resumed.Load(); n == 0 {
		t.Error("no stream was resumed")
	} else {
		t.Logf("%d of %d streams were resumed", n, len(halfHeads))
	}
}
