package pomeloentry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelofake"
)

// BenchmarkRequest measures a short request through a whole router among 90 upstreams, on a new connection each or on one kept connection. The
// results include the benchmark's caller and upstream. On a busy machine the router refuses requests or closes connections; refused/op counts them.
func BenchmarkRequest(b *testing.B) {
	f := newFleet(&testing.T{})
	f.store.PublishConfig(f.config(1, "/a"))
	for i := range 90 {
		f.upstream(pomelorelay.UpstreamID(fmt.Sprint("u", i)), 0)
	}
	n := f.start(time.Second)
	defer n.router.Close()
	f.awaitStatus(n, "/a", http.StatusOK)
	for _, kept := range []bool{false, true} {
		b.Run(fmt.Sprintf("Kept=%t", kept), func(b *testing.B) {
			before, refused := processorTime(b), 0
			var conn net.Conn
			for i := 0; b.Loop(); i++ {
				if conn == nil {
					conn = dialRouter(b, n)
				}
				served := serveOn(conn, i)
				if !served {
					refused++
				}
				if !kept || !served {
					conn.Close()
					conn = nil
				}
			}
			b.ReportMetric(float64(refused)/float64(b.N), "refused/op")
			b.ReportMetric(float64(processorTime(b)-before)/float64(b.N), "cpu-ns/op")
		})
	}
}

func dialRouter(b *testing.B, n *node) net.Conn {
	conn, err := net.Dial("tcp", n.settings.CallerAddr.String())
	if err != nil {
		b.Fatal(err)
	}
	return conn
}

// serveOn reports whether a request on the connection was served.
func serveOn(conn net.Conn, i int) bool {
	fmt.Fprintf(conn, "POST /a HTTP/1.1\r\nHost: h.example\r\n%s: r%d\r\n%s: key\r\n%s: 3000\r\nContent-Length: 4\r\n\r\nbody",
		pomelofake.TestHeaderRequestID, i, pomelofake.TestHeaderCallerKey, pomelofake.TestHeaderWait)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK && !resp.Close
}
