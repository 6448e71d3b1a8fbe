package pomelonode_test

import (
	"net/http"
	"strings"
	"testing"
)

const chat = `{"model":"` + model + `","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"a clasp estimate"}]}`

func TestRequestsAreServedEndToEnd(t *testing.T) {
	f := newFleet(t, 2)
	f.awaitReady()
	for _, r := range f.routers {
		got := r.call(http.MethodPost, "/assistant/v1/chat/completions", "", chat)
		if got.err != nil || got.status != http.StatusOK || !strings.Contains(got.body, "[DONE]") {
			t.Fatalf("a stream was answered %d %v: %s", got.status, got.err, got.body)
		}
		booked := r.call(http.MethodPost, "/booking/jobs", "job-"+string(r.settings.Host.Name), `{"piece":"ring"}`)
		if booked.err != nil || booked.status != http.StatusOK {
			t.Fatalf("a booking was answered %d %v: %s", booked.status, booked.err, booked.body)
		}
	}
}
