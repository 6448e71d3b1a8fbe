package pomeloforward_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/pomelorelay/pomelorelay/pomelofake"
)

// Guards against a request that is placed as a new one, at any version, and continues a stream at an upstream that reads the last event otherwise.
func TestUnreadableLastEventReachesNoUpstream(t *testing.T) {
	for _, values := range [][]string{{"x"}, {"-1"}, {"+3"}, {"3.0"}, {"18446744073709551616"}, {"3", "5"}, {"", "3"}} {
		u := newUpstream(t, stream(4, 5))
		h := newHarness(t, u.entry("u"))
		req, err := http.NewRequest("POST", h.server.URL+"/chat/", strings.NewReader("x"))
		if err != nil {
			t.Fatal(err)
		}
		req.Host, req.Close = "h.example", true
		req.Header.Set(pomelofake.TestHeaderRequestID, "req-1")
		req.Header.Set(pomelofake.TestHeaderCallerKey, "key")
		req.Header[pomelofake.TestHeaderLastEventID] = values
		resp, err := http.DefaultTransport.RoundTrip(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusBadRequest || u.requests() > 0 {
			t.Errorf("a request with the last event %q is answered with %d after %d sends, want 400 and none", values, resp.StatusCode, u.requests())
		}
	}
}
