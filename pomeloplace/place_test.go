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

// routes say what callers expect.
var routes = []pomelorelay.Route{{TargetLatency: 400 * time.Millisecond, MaxEventGap: pauseAllowed, Shares: []pomelorelay.RouteShare{{Service: engines, Weight: 1}}}}

const pauseAllowed = 400 * time.Millisecond

func newPlacer() *pomeloplace.Placer {
	p := pomeloplace.New(pomeloplace.Config{
		Self:    pomelorelay.Peer{Node: "r1", Domain: "a", Region: "ra"},
		Regions: map[pomelorelay.DomainID]pomelorelay.RegionID{"a": "ra", "b": "rb"},
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

// withEngines returns a placer that knows the engines e0, e1 and so on.
func withEngines(n int) *pomeloplace.Placer {
	p := newPlacer()
	for i := range n {
		p.PutUpstream(start, engine(pomelorelay.UpstreamID(fmt.Sprintf("e%d", i))))
	}
	return p
}

// prompt is a request with a shared part and one of its own.
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

func TestSharedPartsGoWhereTheyAreKept(t *testing.T) {
	p := withEngines(9)
	first := place(t, p, start, prompt(1, 5000, 100))
	now := start
	for i := range 20 {
		now = now.Add(200 * time.Millisecond)
		d := place(t, p, now, prompt(1, 5000, pomelorelay.Tokens(200+i)))
		if d.Upstream.ID != first.Upstream.ID || d.UncachedShared != 0 {
			t.Fatalf("request %d went to %s and reads %d shared tokens again; %s keeps them", i, d.Upstream.ID, d.UncachedShared, first.Upstream.ID)
		}
		p.RecordAnswerStart(now.Add(50*time.Millisecond), d.Run)
		p.RecordEnd(now.Add(100*time.Millisecond), d.Run, pomeloplace.ResultCompleted)
	}
}

func TestOtherRoutersPartsAreKnown(t *testing.T) {
	a, b := withEngines(9), withEngines(9)
	d := place(t, a, start, prompt(1, 5000, 100))
	var m pomelorelay.LoadReport
	a.FillReport(&m)
	b.ApplyReport(start, "a", 1, &m)
	got := place(t, b, start.Add(time.Second), prompt(1, 5000, 300))
	if got.Upstream.ID != d.Upstream.ID {
		t.Errorf("sent to %s, though %s keeps the part", got.Upstream.ID, d.Upstream.ID)
	}
}

// An upstream begins to drain, or a request already failed at it. Sent there, the request would be cut by the upstream's end, or fail
// once more.
func TestNeverToDrainingAndSeldomToAvoided(t *testing.T) {
	p := withEngines(3)
	leaving := engine("e0")
	leaving.Draining = true
	p.PutUpstream(start, leaving)
	r := prompt(1, 100, 100)
	r.Avoid = []pomelorelay.UpstreamID{"e1"}
	for i := range 20 {
		d := place(t, p, start.Add(time.Duration(i)*time.Second), r)
		if d.Upstream.ID != "e2" {
			t.Fatalf("sent to %s", d.Upstream.ID)
		}
		p.RecordEnd(start, d.Run, pomeloplace.ResultCompleted)
	}
	p.RemoveUpstream("e2")
	if d := place(t, p, start, r); d.Upstream.ID != "e1" {
		t.Errorf("sent to %s, though only e1 is left", d.Upstream.ID)
	}
	p.RemoveUpstream("e1")
	if d := p.Place(start, r); d.Reason != pomeloplace.ReasonNoUpstream || d.RetryAfter <= 0 {
		t.Errorf("%s after %v", d.Reason, d.RetryAfter)
	}
}

// Long queues have formed at every engine. A request that is sent nevertheless waits past its target and delays the next; its caller
// would rather hear at once when to come back.
func TestRefusesWhatCannotBeginInTime(t *testing.T) {
	p := withEngines(2)
	refused := pomeloplace.Decision{}
	for i := range 100 {
		refused = p.Place(start, prompt(uint64(i+1), 5000, 5000))
		if refused.Reason != pomeloplace.ReasonNone {
			break
		}
		if refused.ExpectedLatency > 400*time.Millisecond {
			t.Fatalf("sent, though the answer is expected after %v", refused.ExpectedLatency)
		}
	}
	if refused.Reason != pomeloplace.ReasonTooLate || refused.RetryAfter <= 0 || refused.Run != nil {
		t.Fatalf("%+v", refused)
	}
	if d := p.Place(start.Add(refused.RetryAfter), prompt(1, 5000, 100)); d.Reason != pomeloplace.ReasonNone {
		t.Errorf("refused again (%s) after the time that it was told", d.Reason)
	}
}

func TestBeyondAShareOnlyWhereItDelaysNobody(t *testing.T) {
	p := withEngines(1)
	for i := range 50 {
		place(t, p, start.Add(time.Duration(i)*time.Second), prompt(uint64(i+1), 10, 10))
	}
	now := start.Add(time.Minute)
	r := prompt(1, 10, 10)
	r.WithinShare, r.LeadOverLevel = false, 1.5
	if d := p.Place(now, r); d.Reason != pomeloplace.ReasonOverShare {
		t.Errorf("an account that is ahead of others: %q", d.Reason)
	}
	r.WithinShare = true
	place(t, p, now, r)
}

// An account floods while the engine that keeps its prompts is full, and another one is free. Read again there, its long shared parts take
// the free engine from callers within their share, who see late answers and refusals. Copied from the full engine, they take next to nothing.
func TestBeyondAShareNothingIsReadAgain(t *testing.T) {
	p := withEngines(2)
	keeper := place(t, p, start, prompt(1, 5000, 100)).Upstream.ID
	p.ApplyReport(start, "r2", 1, &pomelorelay.LoadReport{Seq: 1, Upstreams: []pomelorelay.UpstreamLoad{{Upstream: keeper, Running: 60, PendingPrefill: 90_000, PromptTokensSent: 90_000}}})
	flood := func(shared uint64, tokens pomelorelay.Tokens) pomeloplace.Request {
		r := prompt(shared, tokens, 100)
		r.WithinShare = false
		return r
	}
	slowCopies := pomelorelay.SpeedSums{Service: engines, CopiedTokens: 1e6, CopyTimeTokens: 100e6}
	p.ApplyReport(start, "r2", 1, &pomelorelay.LoadReport{Seq: 2, Speeds: []pomelorelay.SpeedSums{slowCopies}})
	if d := p.Place(start, flood(1, 5000)); d.Reason != pomeloplace.ReasonOverShare {
		t.Errorf("%q at %s, which reads %d shared tokens again", d.Reason, d.Upstream.ID, d.UncachedShared)
	}
	if d := place(t, p, start, flood(2, 5000)); d.Upstream.ID == keeper {
		t.Error("a part that no engine keeps went to the full one")
	}
	if d := place(t, p, start, prompt(1, 5000, 100)); d.Upstream.ID == keeper || d.UncachedShared != 5000 {
		t.Errorf("a request within its share went to %s and reads %d shared tokens", d.Upstream.ID, d.UncachedShared)
	}
}

// The engine that keeps a session's parts is crowded, and others are free. Waiting there, its callers see late answers; read again
// elsewhere, its parts take another engine's time from everybody.
func TestACrowdedSessionsPartsAreCopied(t *testing.T) {
	p := withEngines(3)
	keeper := place(t, p, start, prompt(1, 5000, 100)).Upstream.ID
	p.ApplyReport(start, "r2", 1, &pomelorelay.LoadReport{Seq: 1, Upstreams: []pomelorelay.UpstreamLoad{{Upstream: keeper, Running: 60, PendingPrefill: 90_000, PromptTokensSent: 90_000}}})
	d := place(t, p, start, prompt(1, 5000, 200))
	if d.Upstream.ID == keeper || d.CopyFrom.ID != keeper || d.CopiedTokens != 5000 || d.UncachedShared != 0 {
		t.Errorf("sent to %s, which copies %d tokens from %q and reads %d shared ones", d.Upstream.ID, d.CopiedTokens, d.CopyFrom.ID, d.UncachedShared)
	}
	// An engine that takes no connection gives nothing away either.
	lost := place(t, p, start, prompt(2, 5000, 300))
	p.RecordEnd(start, lost.Run, pomeloplace.ResultUnreachable)
	if d := place(t, p, start, prompt(2, 5000, 400)); d.CopyFrom.ID == lost.Upstream.ID {
		t.Errorf("copies from %s, which takes no connection", d.CopyFrom.ID)
	}
}

// A single prompt takes longer to read than its caller's target. Refused each time, the largest requests would never be served.
func TestTheLargestAreServedWhereLittleWaits(t *testing.T) {
	p := withEngines(4)
	place(t, p, start, prompt(1, 100, 50_000))
}

// An upstream that fails what it is sent still looks idle, and every router's requests would go there.
func TestFailingUpstreamsLoseTheirRequests(t *testing.T) {
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
		t.Errorf("%d of 60 requests went to the upstream that fails all", sent["e0"])
	}
	d := place(t, p, now, prompt(100, 0, 100))
	p.RecordEnd(now, d.Run, pomeloplace.ResultUnreachable)
	if again := place(t, p, now.Add(100*time.Millisecond), prompt(101, 0, 100)); again.Upstream.ID == d.Upstream.ID {
		t.Error("sent again at once to an upstream that takes no connection")
	}
}

// An entry lapses while the store is away and comes back; the upstream lived all the while. A restart under the same name, on the
// other hand, has lost what it kept.
func TestReturnedUpstreamsKeepAndRestartedOnesForget(t *testing.T) {
	p := withEngines(1)
	d := place(t, p, start, prompt(1, 5000, 100))
	p.RecordEnd(start, d.Run, pomeloplace.ResultCompleted)
	p.RemoveUpstream("e0")
	p.PutUpstream(start, engine("e0"))
	if d := place(t, p, start.Add(time.Second), prompt(1, 5000, 200)); d.UncachedShared != 0 {
		t.Errorf("%d tokens forgotten of an upstream that was only away", d.UncachedShared)
	}
	restarted := engine("e0")
	restarted.StartUnixMilli = 5
	p.PutUpstream(start, restarted)
	if d := place(t, p, start.Add(2*time.Second), prompt(1, 5000, 300)); d.UncachedShared != 5000 || d.Running > 1 {
		t.Errorf("%d shared tokens to read and %d running at an upstream that has just started", d.UncachedShared, d.Running)
	}
}

// The report in which a router's load fell to nothing is lost with a link, or the router is gone. Its load would be counted for ever,
// and the upstream would look full.
func TestLostReportsAndSilentRouters(t *testing.T) {
	a, b := withEngines(1), withEngines(1)
	d := place(t, a, start, prompt(1, 100, 100))
	var began pomelorelay.LoadReport
	a.FillReport(&began)
	b.ApplyReport(start, "a", 1, &began)
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
	whole := pomelorelay.LoadReport{Full: true}
	a.FillReport(&whole)
	b.ApplyReport(start, "a", 1, &whole)
	if n := running(start); n != 0 {
		t.Errorf("%d running after a whole report, want 0", n)
	}
	b.ApplyReport(start, "c", 1, &began)
	b.Tick(start.Add(10 * time.Second))
	if n := running(start.Add(10 * time.Second)); n != 0 {
		t.Errorf("%d running of a router that is silent, want 0", n)
	}
}

// A router hears nothing from another for a while and goes on placing by its last report. On call, one must see from the line of a request
// how old that was.
func TestADecisionTellsHowOldItsInputsAre(t *testing.T) {
	p := withEngines(2)
	if d := p.Place(start, prompt(1, 500, 10)); d.ReportAge != 0 {
		t.Errorf("a report of %v, none was heard", d.ReportAge)
	}
	p.ApplyReport(start, "r1", 1, &pomelorelay.LoadReport{Seq: 1, Full: true})
	p.ApplyReport(start.Add(time.Second), "r2", 1, &pomelorelay.LoadReport{Seq: 1, Full: true})
	at := start.Add(1200 * time.Millisecond)
	p.Tick(at)
	if d := p.Place(at, prompt(1, 500, 10)); d.ReportAge != 1200*time.Millisecond {
		t.Errorf("the oldest report is %v old, want 1.2 s", d.ReportAge)
	}
	at = start.Add(3500 * time.Millisecond)
	p.Tick(at)
	if d := p.Place(at, prompt(1, 500, 10)); d.ReportAge != 2500*time.Millisecond {
		t.Errorf("the oldest report that counts is %v old, want 2.5 s", d.ReportAge)
	}
}

func TestPlainServicesGoToTheLeastLoaded(t *testing.T) {
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
			t.Errorf("%s has %d of 12 requests", id, n)
		}
	}
}

// An engine crashes and stays down for seconds. It runs nothing, so that it looks like the best place each time its rest is over; every
// router tries it again and again, and callers' requests lose time and attempts by it.
func TestUpstreamsThatStayDownRestLonger(t *testing.T) {
	p := withEngines(2)
	down := pomelorelay.UpstreamID("")
	tries := 0
	for at := time.Duration(0); at < 5*time.Second; at += 20 * time.Millisecond {
		d := place(t, p, start.Add(at), prompt(1, 100, 100))
		if down == "" {
			down = d.Upstream.ID
		}
		result := pomeloplace.ResultCompleted
		if d.Upstream.ID == down {
			tries++
			result = pomeloplace.ResultUnreachable
		}
		p.RecordEnd(start.Add(at+time.Millisecond), d.Run, result)
	}
	if tries > 4 {
		t.Errorf("tried %d times in 5 s, want at most 4", tries)
	}
}

// fewSlots returns a placer before one engine of twelve slots.
func fewSlots() *pomeloplace.Placer {
	p := withEngines(1)
	p.SetConfig(&pomelorelay.FleetConfig{Routes: routes, Services: []pomelorelay.ServiceSpec{{Name: engines, Engine: &pomelorelay.EngineSpec{Slots: 12, KVCapacity: 500_000, TokensPerEvent: 18}}}})
	return p
}

// runsUntilRefused returns how many requests the placer admits one second apart, none of which ends.
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

// Guards against engines of few slots that stand idle because nearly all of their slots are kept free of requests beyond shares.
func TestFewSlotsAreNotAllReserved(t *testing.T) {
	got := runsUntilRefused(fewSlots(), func(r *pomeloplace.Request) { r.WithinShare = false })
	if got < 6 || got > 10 {
		t.Errorf("%d of twelve slots run requests beyond shares, want more than half and not all", got)
	}
}

// Guards against an account that takes the last slots of every engine while another is short by far.
func TestAnAccountThatIsAheadLeavesSlots(t *testing.T) {
	fills := func(ahead float64) int {
		return runsUntilRefused(fewSlots(), func(r *pomeloplace.Request) { r.LeadOverLeastServed = ahead })
	}
	short, little, far := fills(0), fills(1.1), fills(5)
	if short != 12 || little < 9 || little >= short || far >= little || far < 6 {
		t.Errorf("of twelve slots a short account fills %d, one a little ahead %d, one far ahead %d", short, little, far)
	}
}
