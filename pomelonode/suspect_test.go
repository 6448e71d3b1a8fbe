package pomelonode_test

import (
	"net/http"
	"strings"
	"sync"
	"testing"
)

func TestRequestThatCrashesEnginesIsQuarantined(t *testing.T) {
	// A request crashes every engine that runs it, and its caller resends it through every router. Without quarantine the request would
	// crash one engine after the other, and other callers would lose their streams.
	f := newFleet(t, 4)
	f.awaitReady()
	crashRequest := strings.Replace(chat, "a clasp estimate", crashMarker, 1)
	var wg sync.WaitGroup
	for _, r := range f.routers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if got := r.call(http.MethodPost, "/assistant/v1/chat/completions", "", chat); !isCompleteStream(got) {
				t.Errorf("an unrelated request was answered %d %v: %s", got.status, got.err, got.body)
			}
		}()
	}
	var last answer
	for range 3 {
		for _, r := range f.routers {
			last = r.call(http.MethodPost, "/assistant/v1/chat/completions", "", crashRequest)
		}
	}
	wg.Wait()
	if n := f.crashes.Load(); n > 2 {
		t.Errorf("the request crashed %d engines", n)
	}
	if last.status == http.StatusOK || last.header.Get("Ran") != "No" {
		t.Errorf("the last resend was answered %d, Ran %q: %s", last.status, last.header.Get("Ran"), last.body)
	}
	await(t, "other requests are served", func() bool {
		return isCompleteStream(f.routers[0].call(http.MethodPost, "/assistant/v1/chat/completions", "", chat))
	})
}
