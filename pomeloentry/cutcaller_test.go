package pomeloentry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelofake"
)

// longBody is longer than what a router buffers of an answer.
var longBody = strings.Repeat("all of it ", 20<<10)

// serveCut answers with a stream or a long body in chunks; it breaks off within them if the path asks for that.
func serveCut(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(pomelofake.TestHeaderRequestID, r.Header.Get(pomelofake.TestHeaderRequestID))
	w.Header().Set(pomelofake.TestHeaderSignedBy, "u1")
	cut := strings.HasSuffix(r.URL.Path, "/cut")
	if strings.HasPrefix(r.URL.Path, "/stream") {
		w.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprint(w, processStream(cut))
	} else if cut {
		fmt.Fprint(w, longBody[:len(longBody)/2])
	} else {
		fmt.Fprint(w, longBody)
	}
	w.(http.Flusher).Flush()
	if cut {
		// The router has read what was sent.
		time.Sleep(100 * time.Millisecond)
		panic(http.ErrAbortHandler)
	}
}

// Guards against answers that are cut short and look complete to callers whose only sign of the end is that of their connection.
func TestCutAnswerIsNotCompleteForCallerWithoutChunks(t *testing.T) {
	f := newFleet(t)
	f.publishUndelimitedRoutes(1)
	server := httptest.NewServer(http.HandlerFunc(serveCut))
	t.Cleanup(server.Close)
	f.store.PutUpstream(pomelorelay.FleetUpstream{ID: "u1", Service: "s", Addr: netip.MustParseAddrPort(server.Listener.Addr().String()), Domain: "a", Slots: 8})
	n := f.start(8 * time.Second)
	for _, c := range undelimitedCases {
		f.awaitStatus(n, c.path+"whole", 200)
		whole := longBody
		if strings.HasPrefix(c.path, "/stream") {
			whole = processStream(false)
		}
		for _, version := range []string{"HTTP/1.0\r\n", "HTTP/1.0\r\nConnection: keep-alive\r\n", "HTTP/1.1\r\nConnection: close\r\n"} {
			for _, end := range []string{"whole", "cut"} {
				body, err := f.callRaw(n, "GET "+c.path+end+" "+version)
				if complete := err == nil; complete != (end == "whole") {
					t.Errorf("%s%s, %q: %d bytes with the error %v", c.path, end, version, len(body), err)
				}
				if end == "whole" && body != whole {
					t.Errorf("%s%s, %q: %d bytes of %d", c.path, end, version, len(body), len(whole))
				}
			}
		}
	}
}

// callRaw sends a request that begins with the given lines, and returns the body of the answer and the error that ended it.
func (f *fleet) callRaw(n *node, lines string) (string, error) {
	f.t.Helper()
	conn, err := net.Dial("tcp", n.settings.CallerAddr.String())
	if err != nil {
		f.t.Fatal(err)
	}
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "%sHost: h.example\r\n%s: req-%d\r\n%s: key\r\n%s: 4000\r\n\r\n", lines, pomelofake.TestHeaderRequestID, f.requests.Add(1),
		pomelofake.TestHeaderCallerKey, pomelofake.TestHeaderWait)
	if err != nil {
		f.t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != 200 {
		err = fmt.Errorf("status %d", resp.StatusCode)
	}
	return string(body), err
}
