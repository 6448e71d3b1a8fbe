package pomeloplace_test

import (
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay/pomeloplace"
)

// Guards against new requests, retries and copies at upstreams of a failure domain under evacuation, and against upstreams that stay unused
// after the evacuation was cancelled.
func TestEvacuatedDomainGetsNoNewRequests(t *testing.T) {
	p := withEngines(2)
	p.PutUpstream(start, engineIn("b0", "b"))
	now := start
	p.SetEvacuated(now, "a", true)
	for range 10 {
		d := place(t, p, now, prompt(1, 5000, 100))
		if d.Upstream.ID != "b0" || d.CopiedTokens != 0 {
			t.Fatalf("sent to %s, %d tokens copied, want b0 without a copy", d.Upstream.ID, d.CopiedTokens)
		}
		p.RecordEnd(now, d.Run, pomeloplace.ResultUnreachable)
		now = now.Add(20 * time.Millisecond)
	}
	p.RemoveUpstream("b0")
	for _, c := range []struct {
		name    string
		request pomeloplace.Request
		reason  pomeloplace.Reason
		cause   pomeloplace.Reason
	}{
		{"anywhere", prompt(1, 500, 100), pomeloplace.ReasonEvacuated, ""},
		{"in the evacuated region", limitedTo(prompt(1, 500, 100), "ra"), pomeloplace.ReasonNoUpstreamInRegion, pomeloplace.ReasonEvacuated},
		{"elsewhere", limitedTo(prompt(1, 500, 100), "rb"), pomeloplace.ReasonNoUpstreamInRegion, pomeloplace.ReasonNoUpstream},
	} {
		d := p.Place(now, c.request)
		if d.Reason != c.reason || d.Cause != c.cause || d.RetryAfter <= 0 {
			t.Errorf("request allowed %s: decision %+v, want a refusal with the expected reason, cause and Retry-After", c.name, d)
		}
	}
	p.SetEvacuated(now, "a", false)
	if d := p.Place(now.Add(time.Minute), prompt(1, 500, 100)); d.Reason != pomeloplace.ReasonNone {
		t.Errorf("refused after the end of the evacuation: %s", d.Reason)
	}
}

// Guards against copying prompts from an engine of a failure domain under evacuation.
func TestNoCopiesFromEvacuatedDomain(t *testing.T) {
	p := newPlacer()
	p.PutUpstream(start, engineIn("b0", "b"))
	now := start
	now = cacheSharedPart(t, p, now)
	p.PutUpstream(start, engineIn("a0", "a"))
	p.SetEvacuated(now, "b", true)
	if d := place(t, p, now, prompt(1, 5000, 500)); d.Upstream.ID != "a0" || d.CopiedTokens != 0 {
		t.Errorf("sent to %s, %d tokens copied, want a0 without a copy", d.Upstream.ID, d.CopiedTokens)
	}
}
