package pomeloplace_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloplace"
)

func limitedTo(r pomeloplace.Request, regions ...pomelorelay.RegionID) pomeloplace.Request {
	r.Residency = pomelorelay.Residency{Restricted: true, Regions: regions}
	return r
}

func engineIn(id pomelorelay.UpstreamID, domain pomelorelay.DomainID) pomelorelay.FleetUpstream {
	u := engine(id)
	u.Domain = domain
	return u
}

// Guards against requests that reach an upstream outside the allowed regions, whatever the state of the upstreams inside.
func TestRequestsStayInAllowedRegions(t *testing.T) {
	draining := engineIn("b0", "b")
	draining.Draining = true
	for _, c := range []struct {
		name    string
		regions []pomelorelay.RegionID
		prepare func(p *pomeloplace.Placer)
		want    pomelorelay.UpstreamID
		reason  pomeloplace.Reason
		cause   pomeloplace.Reason
	}{
		{"an idle upstream in an allowed region", []pomelorelay.RegionID{"rb"}, func(*pomeloplace.Placer) {}, "b0", pomeloplace.ReasonNone, ""},
		{"a draining upstream in an allowed region", []pomelorelay.RegionID{"rb"}, func(p *pomeloplace.Placer) { p.PutUpstream(start, draining) }, "", pomeloplace.ReasonNoUpstreamInRegion, pomeloplace.ReasonNoUpstream},
		{"no upstream in an allowed region", []pomelorelay.RegionID{"rb"}, func(p *pomeloplace.Placer) { p.RemoveUpstream("b0") }, "", pomeloplace.ReasonNoUpstreamInRegion, pomeloplace.ReasonNoUpstream},
		{"an unknown region", []pomelorelay.RegionID{"rc"}, func(*pomeloplace.Placer) {}, "", pomeloplace.ReasonNoUpstreamInRegion, pomeloplace.ReasonNoUpstream},
		{"an upstream of an unknown domain", []pomelorelay.RegionID{""}, func(*pomeloplace.Placer) {}, "", pomeloplace.ReasonNoUpstreamInRegion, pomeloplace.ReasonNoUpstream},
		{"no region in common", nil, func(*pomeloplace.Placer) {}, "", pomeloplace.ReasonNoAllowedRegion, ""},
	} {
		p := withEngines(3)
		p.PutUpstream(start, engineIn("b0", "b"))
		p.PutUpstream(start, engineIn("lost", "of no region"))
		c.prepare(p)
		d := p.Place(start, limitedTo(prompt(1, 500, 100), c.regions...))
		if d.Upstream.ID != c.want || d.Reason != c.reason || d.Cause != c.cause {
			t.Errorf("%s: sent to %q, reason %q, cause %q", c.name, d.Upstream.ID, d.Reason, d.Cause)
		}
		if d.Reason != pomeloplace.ReasonNone && d.RetryAfter <= 0 {
			t.Errorf("%s: no Retry-After", c.name)
		}
	}
}

// Guards against retries that leave the allowed regions because the upstreams inside failed the request or are unreachable.
func TestRetriesStayInAllowedRegions(t *testing.T) {
	p := withEngines(3)
	p.PutUpstream(start, engineIn("b0", "b"))
	now := start
	for range 5 {
		r := limitedTo(prompt(1, 500, 100), "rb")
		r.Avoid = []pomelorelay.UpstreamID{"b0"}
		d := p.Place(now, r)
		if d.Reason == pomeloplace.ReasonNone {
			if d.Upstream.ID != "b0" {
				t.Fatalf("sent to %s, outside the allowed region", d.Upstream.ID)
			}
			p.RecordEnd(now, d.Run, pomeloplace.ResultUnreachable)
		}
		now = now.Add(50 * time.Millisecond)
	}
}

// cacheSharedPart sends three requests with a shared part, so that an engine caches it, and returns the time after the last one.
func cacheSharedPart(t *testing.T, p *pomeloplace.Placer, now time.Time) time.Time {
	t.Helper()
	for i := range 3 {
		d := place(t, p, now, prompt(1, 5000, pomelorelay.Tokens(100+i)))
		p.RecordAnswerStart(now.Add(50*time.Millisecond), d.Run)
		p.RecordEnd(now.Add(90*time.Millisecond), d.Run, pomeloplace.ResultCompleted)
		now = now.Add(time.Second)
	}
	return now
}

// Guards against copying prompts from an engine in a region where they may not be stored.
func TestPromptsAreNotCopiedFromDisallowedRegions(t *testing.T) {
	copies := func(regions ...pomelorelay.RegionID) bool {
		p := newPlacer()
		p.PutUpstream(start, engineIn("b0", "b"))
		p.PutUpstream(start, engineIn("b1", "b"))
		now := start
		now = cacheSharedPart(t, p, now)
		// The engines with the cached part stop accepting requests; others must copy or prefill it.
		for i := range 2 {
			u := engineIn(pomelorelay.UpstreamID(fmt.Sprintf("b%d", i)), "b")
			u.Draining = true
			p.PutUpstream(start, u)
		}
		p.PutUpstream(start, engineIn("a0", "a"))
		d := p.Place(now, limitedTo(prompt(1, 5000, 500), regions...))
		if d.Upstream.ID != "a0" {
			t.Fatalf("sent to %q, want a0; refused: %s", d.Upstream.ID, d.Reason)
		}
		return d.CopiedTokens > 0
	}
	if !copies("ra", "rb") {
		t.Error("nothing was copied although both regions are allowed")
	}
	if copies("ra") {
		t.Error("the prompt was copied from a region outside its residency")
	}
}
