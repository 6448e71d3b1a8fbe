package pomeloentry_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloentry"
	"github.com/pomelorelay/pomelorelay/pomelofake"
)

// rawRequest returns a request with a body of the given size.
func rawRequest(body int) []byte {
	head := fmt.Sprintf("POST /a/x HTTP/1.1\r\nHost: h.example\r\n%s: req\r\n%s: key\r\n%s: 4000\r\n%s: 5000,20\r\nUser-Agent: test\r\nAccept: */*\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n",
		pomelofake.TestHeaderRequestID, pomelofake.TestHeaderCallerKey, pomelofake.TestHeaderWait, pomelofake.TestHeaderPromptTokens, body)
	return append([]byte(head), bytes.Repeat([]byte("x"), body)...)
}

// exchange sends raw bytes on a new connection and returns the complete response; it fails if the connection is reset.
func exchange(addr netip.AddrPort, request []byte) (*http.Response, string, error) {
	conn, err := net.Dial("tcp", addr.String())
	if err != nil {
		return nil, "", err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		return nil, "", err
	}
	if _, err := conn.Write(request); err != nil {
		return nil, "", err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp, string(text), err
}

// overloaded returns a router that serves /a/ and limits its requests.
func overloaded(t testing.TB) (*fleet, *node) {
	f := newFleet(t)
	f.store.PublishConfig(f.config(1, "/a/"))
	f.upstream("u1", 0)
	n := f.start(8 * time.Second)
	f.awaitStatus(n, "/a/", 200)
	n.router.Overload()
	f.await("the limit is logged", func() bool { return n.log.has(pomelorelay.EventOverloadBegan) })
	return f, n
}

// Guards against refusals that do not reach their callers: a socket closed with unread bytes of a body is reset, and the reset may destroy the
// response, so that the caller does not learn that its request has not run and when to retry.
func TestOverloadedRouterRefusesByACompleteResponse(t *testing.T) {
	for _, body := range []int{0, 1000, 48 << 10, 400 << 10} {
		t.Run(fmt.Sprint(body), func(t *testing.T) {
			_, n := overloaded(t)
			refused := 0
			for range 40 {
				n.router.Overload()
				resp, text, err := exchange(n.settings.CallerAddr, rawRequest(body))
				if err != nil {
					t.Fatalf("a caller got %v instead of a response", err)
				}
				if resp.StatusCode != http.StatusServiceUnavailable {
					continue
				}
				refused++
				if resp.Header.Get("Retry-After") != "0.010" || !resp.Close || !strings.Contains(text, `"Code":1016`) || !strings.Contains(text, `"Ran":"No"`) {
					t.Errorf("Retry-After %q, close %v, body %q; want 0.010, true and code 1016 of a request that did not run", resp.Header.Get("Retry-After"), resp.Close, text)
				}
			}
			if refused == 0 {
				t.Error("no request was refused by an overloaded router")
			}
		})
	}
}

// Guards against a limit that lasts after its cause has ended, and against one without its figures on the line of its end.
func TestLimitEndsAfterTheOverload(t *testing.T) {
	f, n := overloaded(t)
	f.await("the limit ends", func() bool { return !n.router.Limited() })
	f.await("the end is logged with its figures", func() bool {
		return n.log.hasWith(pomelorelay.EventOverloadEnded, func(f pomelorelay.Field) bool { return f.Key == "Refused" })
	})
	if status, _ := f.call(n, "/a/"); status != 200 {
		t.Errorf("status %d after the limit, want 200", status)
	}
}

// Guards against a screened head that net/http would read otherwise, since incomplete ones are left to it, and against a decision that is taken a
// second time when an admitted request reaches its handler.
func TestScreenedRequestsAreServedUnchanged(t *testing.T) {
	_, n := overloaded(t)
	whole := rawRequest(20)
	cut := bytes.Index(whole, []byte("\r\n\r\n")) - 7
	for name, parts := range map[string][][]byte{"whole": {whole}, "in two parts": {whole[:cut], whole[cut:]}} {
		t.Run(name, func(t *testing.T) {
			// The limit of an idle router is at least 5 requests a second, so one of the requests of two seconds is admitted.
			for range 200 {
				n.router.Overload()
				if status := exchangeParts(t, n.settings.CallerAddr, parts); status == http.StatusOK {
					return
				} else if status != http.StatusServiceUnavailable {
					t.Fatalf("status %d, want 200 or 503", status)
				}
				time.Sleep(10 * time.Millisecond)
			}
			t.Error("no request was admitted, want one")
		})
	}
}

// exchangeParts sends parts of a request with a pause after each and returns the status of the response.
func exchangeParts(t *testing.T, addr netip.AddrPort, parts [][]byte) int {
	t.Helper()
	conn, err := net.Dial("tcp", addr.String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	for _, part := range parts {
		if _, err := conn.Write(part); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Millisecond)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("got %v instead of a response", err)
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// Guards against a limit of half a second after a pause of the whole process, when handlers run before the control goroutine does, and against a
// router without limit whose control goroutine does not run although its handlers do.
func TestStalledControlGoroutineBeginsTheLimit(t *testing.T) {
	if pomeloentry.LimitedWithoutTicks(time.Second, 50, 20*time.Microsecond) {
		t.Error("limited by requests of the first millisecond after a pause, want not")
	}
	if !pomeloentry.LimitedWithoutTicks(time.Second, 50, 5*time.Millisecond) {
		t.Error("not limited although the control goroutine did not run for 1.25 s, want limited")
	}
}

// Guards against a router out of rotation that no longer serves its open connections, and against one in rotation that closes them: callers would open
// a new connection for each request.
func TestRouterOutOfRotationServesOpenConnections(t *testing.T) {
	f, n := overloaded(t)
	conn, err := net.Dial("tcp", n.settings.CallerAddr.String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	f.await("the limit ends", func() bool { return !n.router.Limited() })
	reader := bufio.NewReader(conn)
	request := func() *http.Response {
		t.Helper()
		if _, err := conn.Write(rawRequest(20)); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			t.Fatal(err)
		}
		return resp
	}
	if resp := request(); resp.StatusCode != http.StatusOK || resp.Close {
		t.Errorf("status %d, close %v in rotation; want 200 and an open connection", resp.StatusCode, resp.Close)
	}
	n.router.JoinDomain("x", "y", "z")
	f.await("the limited router leaves the rotation", func() bool {
		n.router.Overload()
		return !n.router.Ready()
	})
	f.await("the limit ends", func() bool { return !n.router.Limited() })
	if resp := request(); n.router.Ready() || resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("ready %v, status %d, close %v out of rotation; want 200 and then a closed connection", n.router.Ready(), resp.StatusCode, resp.Close)
	}
}
