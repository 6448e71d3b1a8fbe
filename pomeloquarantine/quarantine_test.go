package pomeloquarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloquarantine"

	"pgregory.net/rapid"
)

const crashingFingerprint = pomelorelay.Fingerprint(666)

// runCrashingRequest sends one crashing request repeatedly through all routers, with up to concurrent sends at a time, and
// optionally other requests. It returns the fleet and the number of other requests that were not answered.
func runCrashingRequest(seed uint64, protected bool, concurrent, sends int, messageLoss float64, otherRequests bool) (f *fleet, lost int) {
	f = newFleet(seed, protected)
	f.messageLoss = messageLoss
	f.maxAttempts = concurrent + 2
	var resend func(n int)
	resend = func(n int) {
		if n >= sends {
			return
		}
		f.send(n%fleetRouters, crashingFingerprint, true, func(bool) {
			f.after(callerPause, func() { resend(n + concurrent) })
		})
	}
	for n := range concurrent {
		f.after(50*time.Millisecond, func() { resend(n) })
	}
	if otherRequests {
		for n := range 400 {
			f.after(time.Duration(n)*5*time.Millisecond, func() {
				f.send(n%fleetRouters, pomelorelay.Fingerprint(1000+n), false, func(ok bool) {
					if !ok {
						lost++
					}
				})
			})
		}
	}
	f.run(90 * time.Second)
	return f, lost
}

// A request crashes every upstream that runs it, and its caller repeats it through all routers. Without protection it takes
// down every upstream. Other requests are repeatable, so none of them may be lost.
func TestCrashingRequestCrashesAtMostTwoUpstreams(t *testing.T) {
	unprotected, _ := runCrashingRequest(1, false, 1, 40, 0, false)
	if unprotected.crashes < fleetUpstreams {
		t.Errorf("%d crashes without protection, want at least one per upstream to show the fault", unprotected.crashes)
	}
	t.Logf("%d crashes without protection", unprotected.crashes)
	rapid.Check(t, func(rt *rapid.T) {
		f, lost := runCrashingRequest(rapid.Uint64().Draw(rt, "seed"), true, 1, 40, 0, rapid.Bool().Draw(rt, "others"))
		if f.crashes > 2 || lost != 0 {
			rt.Errorf("%d crashes, want at most 2; %d other requests lost, want none", f.crashes, lost)
		}
		for p := range f.refused {
			if p != crashingFingerprint {
				rt.Errorf("fingerprint %d was quarantined but crashes no upstream", p)
			}
		}
		if f.refused[crashingFingerprint] == 0 {
			rt.Error("the crashing request was never refused")
		}
	})
}

// Overlapping sends of a request reach upstreams before any router knows that it is a suspect. Each may crash one
// upstream, and one more crash identifies the request.
func TestOverlappingSendsCostOneMoreThanTheirNumber(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		concurrent := rapid.IntRange(2, 4).Draw(rt, "at once")
		f, lost := runCrashingRequest(rapid.Uint64().Draw(rt, "seed"), true, concurrent, 40, 0, true)
		if f.crashes > concurrent+1 || lost != 0 {
			rt.Errorf("%d concurrent sends caused %d crashes, want at most one more; %d other requests lost, want none", concurrent, f.crashes, lost)
		}
		if len(f.refused) != 1 || f.refused[crashingFingerprint] == 0 {
			rt.Errorf("refused %v, want only the crashing request", f.refused)
		}
	})
}

// Messages between routers are lost. A router that missed the notice of a suspect may send the suspect without locks
// and crash one upstream. If it also missed the quarantine, it may crash a second upstream before it attributes the
// crash itself, so the limit is two crashes per router.
func TestLostNoticesOnlySlowTheQuarantine(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f, _ := runCrashingRequest(rapid.Uint64().Draw(rt, "seed"), true, 1, 40, 0.2, true)
		if f.crashes > 2*fleetRouters || f.refused[crashingFingerprint] == 0 {
			rt.Errorf("%d crashes, want at most 2 per router; crashing request refused %d times, want at least once", f.crashes, f.refused[crashingFingerprint])
		}
	})
}

type harness struct {
	table   *pomeloquarantine.Table
	arbiter *pomeloquarantine.Arbiter
	now     time.Time
	out     pomeloquarantine.Output
}

func newHarness(cfg pomeloquarantine.Config) *harness {
	cfg.Self = "a"
	cfg.FingerprintArbiter = func(pomelorelay.Fingerprint) (pomelorelay.NodeID, bool) { return "a", true }
	cfg.UpstreamArbiter = func(pomelorelay.UpstreamID) (pomelorelay.NodeID, bool) { return "a", true }
	cfg.Members = func() []pomelorelay.NodeID { return []pomelorelay.NodeID{"a", "b"} }
	return &harness{table: pomeloquarantine.NewTable(cfg), arbiter: pomeloquarantine.NewArbiter(cfg), now: time.Unix(1_700_000_000, 0)}
}

// deliverMessages delivers the messages that the router sends to itself and returns the verdicts.
func (h *harness) deliverMessages() []pomeloquarantine.Verdict {
	for len(h.out.Messages) > 0 {
		m := h.out.Messages[0]
		h.out.Messages = h.out.Messages[1:]
		switch x := m.Message.(type) {
		case *pomelorelay.SuspectAsk:
			h.arbiter.HandleAsk(h.now, "a", x, &h.out)
		case *pomelorelay.SuspectAnswer:
			h.table.HandleAnswer(h.now, "a", x, &h.out)
		case *pomelorelay.SuspectCleared:
			h.arbiter.HandleCleared("a", x)
		}
	}
	verdicts := h.out.Verdicts
	h.out.Verdicts = nil
	return verdicts
}

// waitForAdmission advances past NoticeDelay and delivers the router's messages to itself.
func (h *harness) waitForAdmission() []pomeloquarantine.Verdict {
	h.now = h.now.Add(50 * time.Millisecond)
	h.table.Tick(h.now, &h.out)
	return h.deliverMessages()
}

func (h *harness) crash(id pomelorelay.RequestID, p pomelorelay.Fingerprint, u pomelorelay.UpstreamID) {
	run := pomeloquarantine.Run{Request: id, Fingerprint: p, Upstream: u}
	if h.table.Check(h.now, run, &h.out).Decision == pomeloquarantine.DecisionWait {
		h.waitForAdmission()
	}
	h.table.Began(run)
	h.table.Crashed(h.now, run, &h.out)
	h.deliverMessages()
}

// A quarantine ends when it expires or when an operator lifts it. A late notice must not restore a lifted quarantine.
func TestQuarantineExpiresAndCanBeLifted(t *testing.T) {
	h := newHarness(pomeloquarantine.Config{QuarantineFor: time.Minute})
	refused := func() bool { return h.table.Snapshot().QuarantineRemaining(h.now, 1) > 0 }
	h.crash(1, 1, "u1")
	if !h.table.Snapshot().IsSuspect(1) || refused() {
		t.Fatal("after one crash the request is not a suspect or is quarantined already")
	}
	h.crash(2, 1, "u2")
	if !refused() || len(h.table.Snapshot().List()) != 1 {
		t.Fatal("the request is not quarantined after its second crash")
	}
	h.now = h.now.Add(time.Minute)
	h.table.Tick(h.now, &h.out)
	if refused() {
		t.Error("the quarantine did not expire")
	}
	h.crash(3, 1, "u3")
	h.crash(4, 1, "u4")
	late := &pomelorelay.QuarantineNotice{Fingerprint: 1, Seq: uint64(h.now.UnixNano()), Duration: time.Minute}
	h.now = h.now.Add(time.Second)
	h.table.Lift(h.now, 1, &h.out)
	h.table.HandleQuarantineNotice(h.now, late, &h.out)
	if refused() {
		t.Error("a late notice restored the lifted quarantine")
	}
}

// If two suspects shared an upstream, its next crash could not be attributed; if one ran twice at once, it could crash two
// upstreams. The locks of a router that died expire.
func TestSuspectsRunAlone(t *testing.T) {
	h := newHarness(pomeloquarantine.Config{})
	ask := func(from pomelorelay.NodeID, p pomelorelay.Fingerprint, u pomelorelay.UpstreamID) bool {
		var out pomeloquarantine.Output
		h.arbiter.HandleAsk(h.now, from, &pomelorelay.SuspectAsk{Fingerprint: p, Upstream: u}, &out)
		return out.Messages[0].Message.(*pomelorelay.SuspectAnswer).Allowed
	}
	steps := []struct {
		from pomelorelay.NodeID
		p    pomelorelay.Fingerprint
		u    pomelorelay.UpstreamID
		want bool
	}{
		{"a", 1, "u1", true}, {"a", 1, "u1", true}, {"b", 1, "u2", false}, {"b", 2, "u1", false}, {"a", 2, "u1", false}, {"b", 2, "u2", true},
	}
	for n, s := range steps {
		if got := ask(s.from, s.p, s.u); got != s.want {
			t.Errorf("step %d: locks for router %s, fingerprint %d and upstream %s granted: got %v", n, s.from, s.p, s.u, got)
		}
	}
	h.now = h.now.Add(7 * time.Second)
	if !ask("b", 1, "u1") {
		t.Error("the lock did not expire")
	}
	h.arbiter.MemberGone("b")
	if !ask("a", 1, "u1") {
		t.Error("the dead router's lock was not released")
	}
}

// No arbiter answers, as during a partition. The suspect is refused as not run when its wait ends.
func TestSuspectWithoutArbiterIsRefused(t *testing.T) {
	h := newHarness(pomeloquarantine.Config{})
	h.crash(1, 1, "u1")
	run := pomeloquarantine.Run{Request: 2, Fingerprint: 1, Upstream: "u2"}
	if v := h.table.Check(h.now, run, &h.out); v.Decision != pomeloquarantine.DecisionWait {
		t.Fatalf("got %+v, want DecisionWait", v)
	}
	h.out = pomeloquarantine.Output{}
	h.now = h.now.Add(11 * time.Second)
	h.table.Tick(h.now, &h.out)
	if v := h.deliverMessages(); len(v) != 1 || v[0].Decision != pomeloquarantine.DecisionTimedOut {
		t.Errorf("got %+v, want one DecisionTimedOut", v)
	}
}

// A suspect that runs without a crash is cleared on all routers.
func TestCleanRunClearsSuspect(t *testing.T) {
	h := newHarness(pomeloquarantine.Config{})
	h.crash(1, 1, "u1")
	run := pomeloquarantine.Run{Request: 2, Fingerprint: 1, Upstream: "u2"}
	h.table.Check(h.now, run, &h.out)
	if v := h.waitForAdmission(); len(v) != 1 || v[0].Decision != pomeloquarantine.DecisionRun {
		t.Fatalf("got %+v, want one DecisionRun", v)
	}
	h.table.Began(run)
	h.table.Ended(run, true, &h.out)
	notified := false
	for _, m := range h.out.Messages {
		c, ok := m.Message.(*pomelorelay.SuspectCleared)
		notified = notified || (ok && m.To == "b" && c.Clean)
	}
	if !notified || h.table.Snapshot().IsSuspect(1) {
		t.Errorf("notified %v, want true; suspect %v, want false", notified, h.table.Snapshot().IsSuspect(1))
	}
}

// A router that returns from a partition has missed the quarantines and suspects announced meanwhile. They must be sent
// to it when it joins.
func TestJoinedRouterReceivesQuarantines(t *testing.T) {
	h := newHarness(pomeloquarantine.Config{})
	h.crash(1, 1, "u1")
	h.crash(2, 1, "u2")
	h.crash(3, 2, "u9")
	other := newHarness(pomeloquarantine.Config{})
	h.table.MemberJoined(h.now, "b", &h.out)
	for _, m := range h.out.Messages {
		switch x := m.Message.(type) {
		case *pomelorelay.QuarantineNotice:
			other.table.HandleQuarantineNotice(h.now, x, &other.out)
		case *pomelorelay.SuspectNotice:
			other.table.HandleSuspectNotice(h.now, x, &other.out)
		}
	}
	if s := other.table.Snapshot(); s.QuarantineRemaining(h.now, 1) == 0 || !s.IsSuspect(2) {
		t.Errorf("the joined router has quarantines %+v, want fingerprint 1, and suspect 2", s.List())
	}
}

// Suspects and quarantines must not grow without bound.
func TestStateIsBounded(t *testing.T) {
	h := newHarness(pomeloquarantine.Config{MaxSuspects: 50, MaxQuarantined: 20})
	for n := range 500 {
		p := pomelorelay.Fingerprint(n)
		h.table.HandleSuspectNotice(h.now, &pomelorelay.SuspectNotice{Upstream: pomelorelay.UpstreamID(fmt.Sprint(n)), Fingerprints: []pomelorelay.Fingerprint{p}}, &h.out)
		h.table.HandleQuarantineNotice(h.now, &pomelorelay.QuarantineNotice{Fingerprint: p + 1000, Seq: uint64(n + 1), Duration: time.Minute}, &h.out)
	}
	suspects := 0
	for n := range 500 {
		if h.table.Snapshot().IsSuspect(pomelorelay.Fingerprint(n)) {
			suspects++
		}
	}
	if n := len(h.table.Snapshot().List()); n != 20 || suspects != 50 {
		t.Errorf("%d quarantined, want 20; %d suspects, want 50", n, suspects)
	}
}
