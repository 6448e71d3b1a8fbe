package pomelonode_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// maxPartCrashes is the number of engines that requests with one message may crash: four until they are quarantined, and the retry of the last
// one.
const maxPartCrashes = 5

func chatOf(system, user string) string {
	return fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":20,"messages":[{"role":"system","content":%q},{"role":"user","content":%q}]}`, model, system, user)
}

// Guards against requests that share a message and crash one engine after another because each is unlike the others.
func TestUnlikeRequestsWithACrashingMessageAreQuarantined(t *testing.T) {
	f := newFleet(t, 4)
	f.awaitReady()
	var last answer
	for n := range 20 {
		last = f.routers[n%len(f.routers)].call(http.MethodPost, "/assistant/v1/chat/completions", "", chatOf(crashMarker, fmt.Sprint("question ", n)))
		// Longer than the routers take to tell each other.
		time.Sleep(100 * time.Millisecond)
	}
	if n := f.crashes.Load(); n > maxPartCrashes {
		t.Errorf("requests with the message crashed %d engines", n)
	}
	if last.status != http.StatusServiceUnavailable || last.header.Get("Ran") != "No" || !strings.Contains(last.body, "Quarantined") {
		t.Errorf("the last request was answered %d, Ran %q: %s", last.status, last.header.Get("Ran"), last.body)
	}
	for _, r := range f.routers {
		await(t, "requests with other messages are served", func() bool {
			return isCompleteStream(r.call(http.MethodPost, "/assistant/v1/chat/completions", "", chatOf("be brief", "question 1")))
		})
	}
}
