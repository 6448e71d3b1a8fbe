package pomeloplace_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloplace"
)

var start = time.Unix(1000, 0)

const (
	engines = "engines"
	plain   = "plain"
)

// routes defines the callers' latency targets.
var routes = []pomelorelay.Route{{TargetLatency: 400 * time.Millisecond, MaxEventGap: maxPause, Shares: []pomelorelay.RouteShare{{Service: engines, Weight: 1}}}}

const maxPause = 400 * time.Millisecond

func newPlacer() *pomeloplace.Placer { return newPlacerWithout(pomeloplace.Mechanisms{}) }

// newPlacerWithout returns a placer with the mechanisms disabled.
func newPlacerWithout(disabled pomeloplace.Mechanisms) *pomeloplace.Placer {
	p := pomeloplace.New(pomeloplace.Config{
		DisabledMechanisms: disabled,
		Self:               pomelorelay.Peer{Node: "r1", Domain: "a", Region: "ra"},
		Regions:            map[pomelorelay.DomainID]pomelorelay.RegionID{"a": "ra", "b": "rb"},
	})
	p.SetConfig(&pomelorelay.FleetConfig{Routes: routes, Services: []pomelorelay.ServiceSpec{
		{Name: engines, Engine: &pomelorelay.EngineSpec{Slots: 64, KVCapacity: 500_000, TokensPerEvent: 7}},
		{Name: plain},
	}})
	return p
}

func engine(id pomelorelay.UpstreamID) pomelorelay.FleetUpstream {
	return pomelorelay.FleetUpstream{ID: id, Service: engines, Domain: "a", Slots: 64}
}

// withEngines returns a placer with n engines named e0, e1 and so on.
func withEngines(n int) *pomeloplace.Placer {
	p := newPlacer()
	for i := range n {
		p.PutUpstream(start, engine(pomelorelay.UpstreamID(fmt.Sprintf("e%d", i))))
	}
	return p
}

// prompt returns a request with a shared part of the given size and a part of its own.
func prompt(shared uint64, tokens, own pomelorelay.Tokens) pomeloplace.Request {
	return pomeloplace.Request{
		Service: engines, PromptTokens: tokens + own, OutputTokens: 100, WithinShare: true,
		Parts:  []pomelorelay.PromptPart{{Hash: shared, Tokens: tokens}, {Hash: shared<<32 | uint64(own), Tokens: own}},
		Target: 400 * time.Millisecond, MaxWait: 10 * time.Second,
	}
}

func place(t *testing.T, p *pomeloplace.Placer, now time.Time, r pomeloplace.Request) pomeloplace.Decision {
	t.Helper()
	d := p.Place(now, r)
	if d.Reason != pomeloplace.ReasonNone {
		t.Fatalf("refused: %s", d.Reason)
	}
	return d
}

func TestRequestsGoToTheEngineWithTheirCachedPrefix(t *testing.T) {
	p := withEngines(9)
	first := place(t, p, start, prompt(1, 5000, 100))
	now := start
	for i := range 20 {
		now = now.Add(200 * time.Millisecond)
		d := place(t, p, now, prompt(1, 5000, pomelorelay.Tokens(200+i)))
		if d.Upstream.ID != first.Upstream.ID || d.UncachedShared != 0 {
			t.Fatalf("request %d sent to %s with %d uncached shared tokens, want %s with all cached", i, d.Upstream.ID, d.UncachedShared, first.Upstream.ID)
		}
		p.RecordAnswerStart(now.Add(50*time.Millisecond), d.Run)
		p.RecordEnd(now.Add(100*time.Millisecond), d.Run, pomeloplace.ResultCompleted)
	}
}

func TestPartsReportedByOtherRoutersAreUsed(t *testing.T) {
	a, b := withEngines(9), withEngines(9)
	d := place(t, a, start, prompt(1, 5000, 100))
	var m pomelorelay.LoadReport
	a.FillReport(&m)
	b.ApplyReport(start, "a", 1, &m)
	got := place(t, b, start.Add(time.Second), prompt(1, 5000, 300))
	if got.Upstream.ID != d.Upstream.ID {
		t.Errorf("sent to %s, want %s, which has the part cached", got.Upstream.ID, d.Upstream.ID)
	}
}

// Guards against sending a request to a draining upstream, which would cut it off, or to one that has already failed it.
func TestDrainingUpstreamsExcludedAndAvoidedOnesLast(t *testing.T) {
	p := withEngines(3)
	draining := engine("e0")
	draining.Draining = true
	p.PutUpstream(start, draining)
	r := prompt(1, 100, 100)
	r.Avoid = []pomelorelay.UpstreamID{"e1"}
	for i := range 20 {
		d := place(t, p, start.Add(time.Duration(i)*time.Second), r)
		if d.Upstream.ID != "e2" {
			t.Fatalf("sent to %s, want e2", d.Upstream.ID)
		}
		p.RecordEnd(start, d.Run, pomeloplace.ResultCompleted)
	}
	p.RemoveUpstream("e2")
	if d := place(t, p, start, r); d.Upstream.ID != "e1" {
		t.Errorf("sent to %s, want e1, the only upstream left", d.Upstream.ID)
	}
	p.RemoveUpstream("e1")
	if d := p.Place(start, r); d.Reason != pomeloplace.ReasonNoUpstream || d.RetryAfter <= 0 {
		t.Errorf("refused with reason %q and Retry-After %v, want NoUpstream and a positive time", d.Reason, d.RetryAfter)
	}
}

// Guards against admitting a request when every queue is long. The request would miss its target and delay later ones, whereas a refusal states
// when the caller should retry.
func TestRefusesRequestsThatWouldMissTheirTarget(t *testing.T) {
	p := withEngines(2)
	refused := pomeloplace.Decision{}
	for i := range 100 {
		refused = p.Place(start, prompt(uint64(i+1), 5000, 5000))
		if refused.Reason != pomeloplace.ReasonNone {
			break
		}
		if refused.ExpectedLatency > 400*time.Millisecond {
			t.Fatalf("admitted with an expected latency of %v, want at most 400 ms", refused.ExpectedLatency)
		}
	}
	if refused.Reason != pomeloplace.ReasonTooLate || refused.RetryAfter <= 0 || refused.Run != nil {
		t.Fatalf("last decision %+v, want a refusal as too late with a Retry-After", refused)
	}
	if d := p.Place(start.Add(refused.RetryAfter), prompt(1, 5000, 100)); d.Reason != pomeloplace.ReasonNone {
		t.Errorf("refused again (%s) after the returned Retry-After", d.Reason)
	}
}

func TestOverShareRequestsRefusedOnBusyEngine(t *testing.T) {
	p := withEngines(1)
	for i := range 50 {
		place(t, p, start.Add(time.Duration(i)*time.Second), prompt(uint64(i+1), 10, 10))
	}
	now := start.Add(time.Minute)
	r := prompt(1, 10, 10)
	r.WithinShare, r.Standing.Withheld = false, 0.25
	if d := p.Place(now, r); d.Reason != pomeloplace.ReasonOverShare {
		t.Errorf("request of an account ahead of others: reason %q, want Share", d.Reason)
	}
	r.WithinShare, r.Standing.Withheld = true, 0
	place(t, p, now, r)
}

// Guards against over-share requests that prefill cached shared parts again on an idle engine because the engine with the cached parts is full.
// The idle engine would be unavailable to in-share requests; copying the parts costs very little.
func TestOverShareRequestsDoNotRecomputeCachedParts(t *testing.T) {
	p := withEngines(2)
	holder := place(t, p, start, prompt(1, 5000, 100)).Upstream.ID
	p.ApplyReport(start, "r2", 1, &pomelorelay.LoadReport{Seq: 1, Upstreams: []pomelorelay.UpstreamLoad{{Upstream: holder, Running: 60, PendingPrefill: 90_000, PromptTokensSent: 90_000}}})
	overShare := func(shared uint64, tokens pomelorelay.Tokens) pomeloplace.Request {
		r := prompt(shared, tokens, 100)
		r.WithinShare = false
		return r
	}
	slowCopies := pomelorelay.SpeedSums{Service: engines, CopiedTokens: 1e6, CopyTimeTokens: 100e6}
	p.ApplyReport(start, "r2", 1, &pomelorelay.LoadReport{Seq: 2, Speeds: []pomelorelay.SpeedSums{slowCopies}})
	if d := p.Place(start, overShare(1, 5000)); d.Reason != pomeloplace.ReasonOverShare {
		t.Errorf("reason %q at %s with %d uncached shared tokens, want Share", d.Reason, d.Upstream.ID, d.UncachedShared)
	}
	if d := place(t, p, start, overShare(2, 5000)); d.Upstream.ID == holder {
		t.Error("a request with an uncached part was sent to the full engine")
	}
	if d := place(t, p, start, prompt(1, 5000, 100)); d.Upstream.ID == holder || d.UncachedShared != 5000 {
		t.Errorf("in-share request sent to %s with %d uncached shared tokens", d.Upstream.ID, d.UncachedShared)
	}
}

// The engine with a session's cached parts is overloaded and others are idle. Waiting for that engine makes answers late, and prefilling the
// parts again on another one takes engine time from other requests.
func TestPrefixIsCopiedFromOverloadedEngine(t *testing.T) {
	p := withEngines(3)
	holder := place(t, p, start, prompt(1, 5000, 100)).Upstream.ID
	p.ApplyReport(start, "r2", 1, &pomelorelay.LoadReport{Seq: 1, Upstreams: []pomelorelay.UpstreamLoad{{Upstream: holder, Running: 60, PendingPrefill: 90_000, PromptTokensSent: 90_000}}})
	d := place(t, p, start, prompt(1, 5000, 200))
	if d.Upstream.ID == holder || d.CopyFrom.ID != holder || d.CopiedTokens != 5000 || d.UncachedShared != 0 {
		t.Errorf("sent to %s with %d tokens copied from %q and %d uncached shared tokens", d.Upstream.ID, d.CopiedTokens, d.CopyFrom.ID, d.UncachedShared)
	}
	// An unreachable engine is not a copy source either.
	unreachable := place(t, p, start, prompt(2, 5000, 300))
	p.RecordEnd(start, unreachable.Run, pomeloplace.ResultUnreachable)
	if d := place(t, p, start, prompt(2, 5000, 400)); d.CopyFrom.ID == unreachable.Upstream.ID {
		t.Errorf("copied from %s, which is unreachable", d.CopyFrom.ID)
	}
}

// Guards against refusing a prompt whose prefill alone takes longer than the target. The longest prompts would never be served.
func TestLongPromptsAdmittedWhenQueuesAreShort(t *testing.T) {
	p := withEngines(4)
	place(t, p, start, prompt(1, 100, 50_000))
}

// Guards against an upstream that looks idle because it fails requests, and so attracts the requests of every router.
func TestFailingUpstreamsGetFewRequests(t *testing.T) {
	p := withEngines(2)
	now := start
	sent := make(map[pomelorelay.UpstreamID]int)
	for i := range 60 {
		now = now.Add(50 * time.Millisecond)
		d := place(t, p, now, prompt(uint64(i+1), 0, 100))
		sent[d.Upstream.ID]++
		result := pomeloplace.ResultCompleted
		if d.Upstream.ID == "e0" {
			result = pomeloplace.ResultFailed
		}
		p.RecordEnd(now.Add(20*time.Millisecond), d.Run, result)
	}
	if sent["e0"] > 10 {
		t.Errorf("%d of 60 requests sent to the failing upstream, want at most 10", sent["e0"])
	}
	d := place(t, p, now, prompt(100, 0, 100))
	p.RecordEnd(now, d.Run, pomeloplace.ResultUnreachable)
	if again := place(t, p, now.Add(100*time.Millisecond), prompt(101, 0, 100)); again.Upstream.ID == d.Upstream.ID {
		t.Error("sent to an unreachable upstream during its backoff")
	}
}

// Guards against forgetting the cache of an upstream that was only unlisted while the store was unavailable, and against assuming that an
// upstream restarted under the same name still has its cache.
func TestCacheKeptOnRelistingAndClearedOnRestart(t *testing.T) {
	p := withEngines(1)
	d := place(t, p, start, prompt(1, 5000, 100))
	p.RecordEnd(start, d.Run, pomeloplace.ResultCompleted)
	p.RemoveUpstream("e0")
	p.PutUpstream(start, engine("e0"))
	if d := place(t, p, start.Add(time.Second), prompt(1, 5000, 200)); d.UncachedShared != 0 {
		t.Errorf("%d uncached shared tokens at an upstream that was only unlisted, want 0", d.UncachedShared)
	}
	restarted := engine("e0")
	restarted.StartUnixMilli = 5
	p.PutUpstream(start, restarted)
	if d := place(t, p, start.Add(2*time.Second), prompt(1, 5000, 300)); d.UncachedShared != 5000 || d.Running > 1 {
		t.Errorf("%d uncached shared tokens and %d running requests at a restarted upstream, want 5000 and at most 1", d.UncachedShared, d.Running)
	}
}

// Guards against an upstream that looks full forever because the report of a request's end was lost, or because the router that sent the request
// has gone.
func TestLoadClearedAfterLostReportOrRouterTimeout(t *testing.T) {
	a, b := withEngines(1), withEngines(1)
	d := place(t, a, start, prompt(1, 100, 100))
	var started pomelorelay.LoadReport
	a.FillReport(&started)
	b.ApplyReport(start, "a", 1, &started)
	running := func(now time.Time) int {
		d := place(t, b, now, prompt(2, 0, 10))
		b.RecordEnd(now, d.Run, pomeloplace.ResultCompleted)
		return d.Running
	}
	if n := running(start); n != 1 {
		t.Fatalf("%d running, want 1", n)
	}
	a.RecordEnd(start, d.Run, pomeloplace.ResultCompleted)
	var lost pomelorelay.LoadReport
	a.FillReport(&lost)
	full := pomelorelay.LoadReport{Full: true}
	a.FillReport(&full)
	b.ApplyReport(start, "a", 1, &full)
	if n := running(start); n != 0 {
		t.Errorf("%d running after a full report, want 0", n)
	}
	b.ApplyReport(start, "c", 1, &started)
	b.Tick(start.Add(10 * time.Second))
	if n := running(start.Add(10 * time.Second)); n != 0 {
		t.Errorf("%d running of a router without recent reports, want 0", n)
	}
}

// A router that receives no load reports keeps placing requests by the last ones. The request log must show how old those reports were.
func TestDecisionIncludesReportAge(t *testing.T) {
	p := withEngines(2)
	if d := p.Place(start, prompt(1, 500, 10)); d.ReportAge != 0 {
		t.Errorf("report age %v, want 0 without any report", d.ReportAge)
	}
	p.ApplyReport(start, "r1", 1, &pomelorelay.LoadReport{Seq: 1, Full: true})
	p.ApplyReport(start.Add(time.Second), "r2", 1, &pomelorelay.LoadReport{Seq: 1, Full: true})
	at := start.Add(1200 * time.Millisecond)
	p.Tick(at)
	if d := p.Place(at, prompt(1, 500, 10)); d.ReportAge != 1200*time.Millisecond {
		t.Errorf("report age %v, want 1.2 s", d.ReportAge)
	}
	at = start.Add(3500 * time.Millisecond)
	p.Tick(at)
	if d := p.Place(at, prompt(1, 500, 10)); d.ReportAge != 2500*time.Millisecond {
		t.Errorf("report age %v without the expired report, want 2.5 s", d.ReportAge)
	}
}

func TestPlainServicesUseLeastLoadedUpstream(t *testing.T) {
	p := newPlacer()
	for i := range 3 {
		p.PutUpstream(start, pomelorelay.FleetUpstream{ID: pomelorelay.UpstreamID(fmt.Sprintf("p%d", i)), Service: plain, Domain: "a", Slots: 6})
	}
	sent := make(map[pomelorelay.UpstreamID]int)
	for range 12 {
		d := place(t, p, start, pomeloplace.Request{Service: plain, Target: 300 * time.Millisecond, MaxWait: time.Second, WithinShare: true})
		sent[d.Upstream.ID]++
	}
	for id, n := range sent {
		if n != 4 {
			t.Errorf("%s has %d of 12 requests, want 4", id, n)
		}
	}
}

// An engine that stays down for seconds runs nothing and so looks like the best candidate after each backoff. Guards against repeated
// attempts by every router, which cost requests time and attempts.
func TestBackoffGrowsForUnreachableUpstreams(t *testing.T) {
	p := withEngines(2)
	down := pomelorelay.UpstreamID("")
	attempts := 0
	for at := time.Duration(0); at < 5*time.Second; at += 20 * time.Millisecond {
		d := place(t, p, start.Add(at), prompt(1, 100, 100))
		if down == "" {
			down = d.Upstream.ID
		}
		result := pomeloplace.ResultCompleted
		if d.Upstream.ID == down {
			attempts++
			result = pomeloplace.ResultUnreachable
		}
		p.RecordEnd(start.Add(at+time.Millisecond), d.Run, result)
	}
	if attempts > 4 {
		t.Errorf("%d attempts in 5 s, want at most 4", attempts)
	}
}

// fewSlots returns a placer with one engine of twelve slots.
func fewSlots() *pomeloplace.Placer {
	p := withEngines(1)
	p.SetConfig(&pomelorelay.FleetConfig{Routes: routes, Services: []pomelorelay.ServiceSpec{{Name: engines, Engine: &pomelorelay.EngineSpec{Slots: 12, KVCapacity: 500_000, TokensPerEvent: 18}}}})
	return p
}

// runsUntilRefused returns how many requests are admitted at intervals of one second if none of them ends.
func runsUntilRefused(p *pomeloplace.Placer, change func(*pomeloplace.Request)) int {
	now := start
	for n := 0; ; n++ {
		now = now.Add(time.Second)
		r := prompt(uint64(n+1), 100, 100)
		change(&r)
		d := p.Place(now, r)
		if d.Reason != pomeloplace.ReasonNone {
			return n
		}
		p.RecordAnswerStart(now.Add(20*time.Millisecond), d.Run)
	}
}

// Guards against engines with few slots that stay idle because nearly all slots are reserved for in-share requests.
func TestSlotReserveLeavesSlotsOnSmallEngines(t *testing.T) {
	got := runsUntilRefused(fewSlots(), func(r *pomeloplace.Request) { r.WithinShare = false })
	if got < 6 || got > 10 {
		t.Errorf("%d of 12 slots run over-share requests, want 6 to 10", got)
	}
}

// Guards against an account that occupies the last slots of every engine while another is far below its share.
func TestAheadAccountsLeaveSlotsFree(t *testing.T) {
	filledSlots := func(withheld float64) int {
		return runsUntilRefused(fewSlots(), func(r *pomeloplace.Request) { r.Standing.Withheld = withheld })
	}
	short, slightlyAhead, farAhead, shutOut := filledSlots(0), filledSlots(0.12), filledSlots(0.64), filledSlots(1)
	if short != 12 || slightlyAhead < 9 || slightlyAhead >= short || farAhead > 6 || farAhead < 2 || shutOut != 1 {
		t.Errorf("of 12 slots, an account fills %d when short, %d when slightly ahead, %d when far ahead, %d when ahead by more than its share; want 12, 9 to 11, 2 to 6, and 1: an idle engine serves anyone",
			short, slightlyAhead, farAhead, shutOut)
	}
}

// Guards against the standing in another region deciding at an upstream: an account would be refused beside idle slots, or fill those that another is owed.
func TestStandingInTheUpstreamsRegionApplies(t *testing.T) {
	withheld, behind := pomelorelay.Standing{Withheld: 1}, pomelorelay.Standing{Behind: "other", Wait: time.Second}
	for _, c := range []struct {
		standings map[pomelorelay.RegionID]pomelorelay.Standing
		want      int
	}{
		{nil, 1}, {map[pomelorelay.RegionID]pomelorelay.Standing{"ra": {}, "rb": withheld}, 12}, {map[pomelorelay.RegionID]pomelorelay.Standing{"ra": withheld, "rb": {}}, 1},
		{map[pomelorelay.RegionID]pomelorelay.Standing{"ra": {}, "rb": behind}, 12}, {map[pomelorelay.RegionID]pomelorelay.Standing{"ra": behind, "rb": {}}, 0},
	} {
		got := runsUntilRefused(fewSlots(), func(r *pomeloplace.Request) { r.Standing, r.RegionStandings = withheld, c.standings })
		if got != c.want {
			t.Errorf("standings %v: %d of 12 slots filled in ra, want %d", c.standings, got, c.want)
		}
	}
}

// Guards against an account that goes on getting more than another one because engines are idle, and against a Retry-After that brings its callers back
// before it may get more, or too late to be answered in time.
func TestAccountAtTheBoundGetsNoIdleEngine(t *testing.T) {
	for _, c := range []struct{ wait, target, want time.Duration }{
		{700 * time.Millisecond, 2 * time.Second, 700 * time.Millisecond}, {3 * time.Second, 2 * time.Second, time.Second}, {time.Millisecond, 2 * time.Second, 100 * time.Millisecond},
	} {
		r := prompt(1, 10, 10)
		r.Target, r.Standing = c.target, pomelorelay.Standing{Behind: "other", Wait: c.wait}
		if d := withEngines(1).Place(start, r); d.Reason != pomeloplace.ReasonOverShare || d.Bound != pomeloplace.BoundGap || d.RetryAfter != c.want {
			t.Errorf("with a wait of %v: reason %q, bound %q and Retry-After %v, want Share, Gap and %v", c.wait, d.Reason, d.Bound, d.RetryAfter, c.want)
		}
	}
}
