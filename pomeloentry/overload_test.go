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

// Guards against a screened head that net/http would read otherwise: incomplete, folded and unusual ones are left to it, and an admitted request
// is parsed and served as if it had not been screened.
func TestScreenedRequestsAreServedUnchanged(t *testing.T) {
	_, n := overloaded(t)
	whole := rawRequest(20)
	cut := bytes.Index(whole, []byte("\r\n\r\n")) - 7
	for range 100 {
		n.router.Overload()
		conn, err := net.Dial("tcp", n.settings.CallerAddr.String())
		if err != nil {
			t.Fatal(err)
		}
		for _, part := range [][]byte{whole[:cut], whole[cut:]} {
			if _, err := conn.Write(part); err != nil {
				t.Fatal(err)
			}
			time.Sleep(5 * time.Millisecond)
		}
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatalf("a request in two parts got %v instead of a response", err)
		}
		_ = conn.Close()
		switch resp.StatusCode {
		case http.StatusServiceUnavailable:
		case http.StatusOK:
			return
		default:
			t.Fatalf("status %d, want 200 or 503", resp.StatusCode)
		}
	}
	t.Error("no request in two parts was admitted within 100")
}
