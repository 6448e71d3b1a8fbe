package pomeloroute_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloroute"
)

// refusalCode sends a request with a body of the given size in bytes and returns the code of the refusal.
func refusalCode(t *testing.T, b *harness, size int) pomelorelay.ResultCode {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, b.url+"/status/jobs", strings.NewReader(strings.Repeat("x", size)))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+workshopToken)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var p struct{ Code pomelorelay.ResultCode }
	if err := json.NewDecoder(resp.Body).Decode(&p); err != nil {
		t.Fatal(err)
	}
	return p.Code
}

func TestTotalSizeOfBodiesIsLimited(t *testing.T) {
	// Callers send large bodies, each within its service's limit, and the router runs out of memory, which ends all its requests.
	// The limit on all bodies must refuse a body that does not fit, and must count only bodies that are still buffered.
	b := newHarness(t, pomeloroute.Options{MaxBufferedBodies: 64 << 10})
	for range 20 {
		if code := refusalCode(t, b, 100<<10); code != pomelorelay.CodeBodiesFull {
			t.Fatalf("a body over the limit: code %d", code)
		}
		if code := refusalCode(t, b, 60<<10); code != pomelorelay.CodeNoUpstream {
			t.Fatalf("a body within the limit: code %d", code)
		}
	}
}

func TestRouterBodyLimitOverridesServiceLimit(t *testing.T) {
	b := newHarness(t, pomeloroute.Options{MaxBody: 10 << 10})
	if code := refusalCode(t, b, 11<<10); code != pomelorelay.CodeTooLarge {
		t.Errorf("over the router's limit: code %d", code)
	}
	if code := refusalCode(t, b, 9<<10); code != pomelorelay.CodeNoUpstream {
		t.Errorf("within the router's limit: code %d", code)
	}
}
