package pomelonode_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// rawAnswer is the answer to a request sent as raw bytes.
type rawAnswer struct {
	status int
	header http.Header
	body   string
}

// sendRaw writes the bytes, closes the write side and reads one answer; status 0 means that the connection was closed without an answer.
func sendRaw(t *testing.T, addr, text string) rawAnswer {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(waitLimit)); err != nil {
		t.Fatal(err)
	}
	// A write error is ignored: the router may refuse a request and close the connection before the whole request has been read.
	_, _ = io.WriteString(conn, text)
	_ = conn.(*net.TCPConn).CloseWrite()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return rawAnswer{}
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return rawAnswer{resp.StatusCode, resp.Header, string(body)}
}

// request returns the bytes of a request; extra holds complete header lines.
func request(method, path, extra, body string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: router\r\nConnection: close\r\n%sContent-Length: %d\r\n\r\n%s", method, path, extra, len(body), body)
}

const bearer = "Authorization: Bearer " + token + "\r\n"

func TestBadRequestsGetResultCodes(t *testing.T) {
	f := newFleet(t, 2)
	f.awaitReady()
	caller := f.routers[0].settings.Listen.Caller.String()
	operator := f.routers[0].settings.Listen.Operator.String()
	long := strings.Repeat("x", 40<<10)
	many := strings.Repeat("X-Many: 1\r\n", 150)
	large := fmt.Sprintf("POST /status/jobs HTTP/1.1\r\nHost: router\r\n%sContent-Length: %d\r\n\r\n", bearer, 1<<40)
	chunked := "POST /status/jobs HTTP/1.1\r\nHost: router\r\nConnection: close\r\n" + bearer + "Transfer-Encoding: chunked\r\n\r\n"
	for _, c := range []struct {
		name string
		addr string
		text string
		want pomelorelay.ResultCode
	}{
		{"no token", caller, request("POST", "/status/jobs", "", "{}"), pomelorelay.CodeUnauthorised},
		{"unknown token", caller, request("POST", "/status/jobs", "Authorization: Bearer wrong\r\n", "{}"), pomelorelay.CodeUnauthorised},
		{"another scheme", caller, request("POST", "/status/jobs", "Authorization: Basic d29ya3Nob3A=\r\n", "{}"), pomelorelay.CodeUnauthorised},
		{"two tokens", caller, request("POST", "/status/jobs", bearer+"Authorization: Bearer wrong\r\n", "{}"), pomelorelay.CodeUnauthorised},
		{"a token of 8 KiB", caller, request("POST", "/status/jobs", "Authorization: Bearer "+long[:8<<10]+"\r\n", "{}"), pomelorelay.CodeUnauthorised},
		{"unknown service", caller, request("POST", "/nowhere/jobs", bearer, "{}"), pomelorelay.CodeUnknownPath},
		{"no service", caller, request("GET", "/", bearer, ""), pomelorelay.CodeUnknownPath},
		{"a header of 40 KiB", caller, request("POST", "/status/jobs", bearer+"X-Long: "+long+"\r\n", "{}"), pomelorelay.CodeHeaderBounds},
		{"150 header fields", caller, request("POST", "/status/jobs", bearer+many, "{}"), pomelorelay.CodeHeaderBounds},
		{"a Content-Length of 1 TiB", caller, large, pomelorelay.CodeTooLarge},
		{"a chunked body over the limit", caller, chunked + "2000000\r\n" + strings.Repeat("y", 0x2000000) + "\r\n0\r\n\r\n", pomelorelay.CodeTooLarge},
		{"a body that ends early", caller, "POST /status/jobs HTTP/1.1\r\nHost: router\r\n" + bearer + "Content-Length: 10\r\n\r\n{}", pomelorelay.CodeBadRequest},
		{"a broken chunk", caller, chunked + "zz\r\n{}\r\n0\r\n\r\n", pomelorelay.CodeBadRequest},
		{"a body that is not JSON", caller, request("POST", "/assistant/v1/chat/completions", bearer, "{"), pomelorelay.CodeBadRequest},
		{"JSON that is not an object", caller, request("POST", "/assistant/v1/chat/completions", bearer, `["model"]`), pomelorelay.CodeBadRequest},
		{"JSON nested deeply", caller, request("POST", "/assistant/v1/chat/completions", bearer, strings.Repeat("[", 200_000)), pomelorelay.CodeBadRequest},
		{"an unknown model", caller, request("POST", "/assistant/v1/chat/completions", bearer, `{"model":"none"}`), pomelorelay.CodeNoUpstream},
		{"no key", caller, request("POST", "/booking/jobs", bearer, "{}"), pomelorelay.CodeClaimKeyNeeded},
		{"a key of 300 bytes", caller, request("POST", "/booking/jobs", bearer+"Idempotency-Key: "+long[:300]+"\r\n", "{}"), pomelorelay.CodeClaimKeyBounds},
		{"a timeout that is not a duration", caller, request("POST", "/status/jobs", bearer+"X-Timeout: soon\r\n", "{}"), pomelorelay.CodeBadRequest},
		{"a negative timeout", caller, request("POST", "/status/jobs", bearer+"X-Timeout: -1s\r\n", "{}"), pomelorelay.CodeBadRequest},
		{"a hint that is not a number", caller, request("POST", "/status/jobs", bearer+"X-Cost-Hint: NaN\r\n", "{}"), pomelorelay.CodeBadRequest},
		{"a fingerprint that is not hexadecimal", operator, request("DELETE", "/quarantine/words", "", ""), pomelorelay.CodeBadRequest},
		{"an unknown operator path", operator, request("GET", "/nowhere", "", ""), pomelorelay.CodeUnknownPath},
		{"a drain by GET", operator, request("GET", "/drain", "", ""), pomelorelay.CodeBadRequest},
	} {
		got := sendRaw(t, c.addr, c.text)
		var p struct {
			Code   pomelorelay.ResultCode
			Ran    pomelorelay.Ran
			Detail string `json:"detail"`
		}
		if err := json.Unmarshal([]byte(got.body), &p); err != nil {
			t.Errorf("%s: answered %d %q", c.name, got.status, got.body)
			continue
		}
		if p.Code != c.want || p.Ran != pomelorelay.RanNo || got.status != c.want.Info().HTTPStatus || got.header.Get("Ran") != "No" || p.Detail == "" {
			t.Errorf("%s: answered %d, %+v; want code %d", c.name, got.status, p, c.want)
		}
	}
	f.assertServing(t)
}

func TestNonHTTPInputIsRefused(t *testing.T) {
	// Scanners and broken clients send bytes that are not HTTP. net/http refuses them in plain text, before any handler runs and
	// without a result code; the router must continue to serve.
	f := newFleet(t, 2)
	f.awaitReady()
	for _, addr := range []string{f.routers[0].settings.Listen.Caller.String(), f.routers[0].settings.Listen.Operator.String()} {
		for _, text := range []string{
			"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", "GET\r\n\r\n", "\x00\x00\x00\x00\r\n\r\n",
			"GET / HTTP/9.9\r\n\r\n", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "GET / HTTP/1.1\r\nHost: a\r\nbad header\r\n\r\n",
			"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -5\r\n\r\n", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
			"GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("y", 1<<20) + "\r\n\r\n",
		} {
			if got := sendRaw(t, addr, text); got.status != 0 && (got.status < 400 || got.status >= 506) {
				t.Errorf("%.30q: answered %d", text, got.status)
			}
		}
	}
	f.assertServing(t)
}

func TestInvalidInputOnControlPortIsRefused(t *testing.T) {
	// Clients that are not routers connect to the control port. Each attempt must affect only its own connection and must be logged
	// as an event.
	f, _, _ := newTLSFleet(t, 2)
	for i := range f.routers {
		f.start(i)
	}
	f.awaitReady()
	r := f.routers[0]
	for _, text := range []string{"GET / HTTP/1.1\r\n\r\n", strings.Repeat("\x00", 4096), "\x16\x03\x01\x02\x00\x01\x00\x01\xfc", ""} {
		_ = sendRaw(t, r.settings.Listen.Control.String(), text)
	}
	await(t, "EventMeshRefused is logged", func() bool { return r.log.count(pomelorelay.EventMeshRefused) > 0 })
	await(t, "both routers see each other", func() bool { return r.seesMembers(2) && f.routers[1].seesMembers(2) })
	f.assertServing(t)
}

// assertServing fails the test if a router does not serve a valid request or has logged a panic.
func (f *fleet) assertServing(t *testing.T) {
	t.Helper()
	for _, r := range f.routers {
		if got := r.call(http.MethodPost, "/status/jobs", "", "{}"); got.status != http.StatusOK {
			t.Errorf("a valid request was answered %d %v: %s", got.status, got.err, got.body)
		}
		if n := r.log.count(pomelorelay.EventHandlerPanicked); n != 0 {
			t.Errorf("%d handlers panicked", n)
		}
	}
}
