package pomeloroute_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloroute"
)

// refusalCode sends a status call with a body of the size and returns the code of its refusal.
func refusalCode(t *testing.T, b *bench, size int) pomelorelay.ResultCode {
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

func TestBodiesInProgressAreBoundedTogether(t *testing.T) {
	// Callers send large bodies, each within its service's bound, and the router's host runs out of memory: every request on it
	// is lost. The bound on all bodies must refuse the one that does not fit, and count only what is still held.
	b := newBench(t, pomeloroute.Options{MaxBufferedBodies: 64 << 10})
	for range 20 {
		if code := refusalCode(t, b, 100<<10); code != pomelorelay.CodeBodiesFull {
			t.Fatalf("a body over the bound: code %d", code)
		}
		if code := refusalCode(t, b, 60<<10); code != pomelorelay.CodeNoUpstream {
			t.Fatalf("a body within the bound: code %d", code)
		}
	}
}

func TestRouterBoundHoldsWhateverTheServiceAllows(t *testing.T) {
	b := newBench(t, pomeloroute.Options{MaxBody: 10 << 10})
	if code := refusalCode(t, b, 11<<10); code != pomelorelay.CodeTooLarge {
		t.Errorf("over the router's bound: code %d", code)
	}
	if code := refusalCode(t, b, 9<<10); code != pomelorelay.CodeNoUpstream {
		t.Errorf("within the router's bound: code %d", code)
	}
}
