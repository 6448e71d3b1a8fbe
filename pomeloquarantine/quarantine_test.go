package pomeloquarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloquarantine"

	"pgregory.net/rapid"
)

const deadly = pomelorelay.Fingerprint(666)

// storm lets a caller send one deadly request again and again through every router, in the given number of sends at
// once, while others work, and returns the fleet afterwards and how many of the others' requests got no answer.
func storm(seed uint64, guarded bool, atOnce, sends int, loss float64, others bool) (f *fleet, lost int) {
	f = newFleet(seed, guarded)
	f.loss = loss
	f.maxAttempts = atOnce + 2
	var resend func(n int)
	resend = func(n int) {
		if n >= sends {
			return
		}
		f.send(n%fleetRouters, deadly, true, func(bool) {
			f.after(callerPause, func() { resend(n + atOnce) })
		})
	}
	for n := range atOnce {
		f.after(50*time.Millisecond, func() { resend(n) })
	}
	if others {
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

// One request crashes each upstream that runs it, and its caller sends it again through every router. Without a guard
// it takes down the whole service. Those who worked beside it may lose nothing, as their requests may be repeated.
func TestDeadlyRequestTakesDownTwoUpstreams(t *testing.T) {
	without, _ := storm(1, false, 1, 40, 0, false)
	if without.crashes < fleetUpstreams {
		t.Errorf("without the guard %d upstreams crashed; the test does not show the fault", without.crashes)
	}
	t.Logf("without the guard %d crashes", without.crashes)
	rapid.Check(t, func(rt *rapid.T) {
		f, lost := storm(rapid.Uint64().Draw(rt, "seed"), true, 1, 40, 0, rapid.Bool().Draw(rt, "others"))
		if f.crashes > 2 || lost != 0 {
			rt.Errorf("%d upstreams crashed, %d innocent requests were lost", f.crashes, lost)
		}
		for p := range f.refused {
			if p != deadly {
				rt.Errorf("the innocent %d was quarantined", p)
			}
		}
		if f.refused[deadly] == 0 {
			rt.Error("the deadly request was never refused")
		}
	})
}

// Sends that overlap reach upstreams before anybody knows; each of them may take one down, and one more names it.
func TestOverlappingSendsCostOneMoreThanTheirNumber(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		atOnce := rapid.IntRange(2, 4).Draw(rt, "at once")
		f, lost := storm(rapid.Uint64().Draw(rt, "seed"), true, atOnce, 40, 0, true)
		if f.crashes > atOnce+1 || lost != 0 {
			rt.Errorf("%d sends at once took down %d upstreams, %d innocent requests were lost", atOnce, f.crashes, lost)
		}
		if len(f.refused) != 1 || f.refused[deadly] == 0 {
			rt.Errorf("refused: %v; only the deadly request may be", f.refused)
		}
	})
}

// Messages between routers are lost. A router that missed the notices costs an upstream before it knows the suspect
// and, when it missed the quarantine too, another for its own naming: two for each router, and the quarantine comes.
func TestLostNoticesOnlySlowTheQuarantine(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f, _ := storm(rapid.Uint64().Draw(rt, "seed"), true, 1, 40, 0.2, true)
		if f.crashes > 2*fleetRouters || f.refused[deadly] == 0 {
			rt.Errorf("%d upstreams crashed, %d refused", f.crashes, f.refused[deadly])
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

// self carries the messages that the router sends itself and returns the verdicts.
func (h *harness) self() []pomeloquarantine.Verdict {
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

// turn lets a suspect's wait for the notices pass and carries its questions.
func (h *harness) turn() []pomeloquarantine.Verdict {
	h.now = h.now.Add(50 * time.Millisecond)
	h.table.Tick(h.now, &h.out)
	return h.self()
}

func (h *harness) crash(id pomelorelay.RequestID, p pomelorelay.Fingerprint, u pomelorelay.UpstreamID) {
	run := pomeloquarantine.Run{Request: id, Fingerprint: p, Upstream: u}
	if h.table.Check(h.now, run, &h.out).Decision == pomeloquarantine.DecisionWait {
		h.turn()
	}
	h.table.Began(run)
	h.table.Crashed(h.now, run, &h.out)
	h.self()
}

// A quarantine ends by itself, or when an operator lifts it; a late notice of it does not bring it back.
func TestQuarantineEndsByItselfAndByOrder(t *testing.T) {
	h := newHarness(pomeloquarantine.Config{QuarantineFor: time.Minute})
	refused := func() bool { return h.table.Snapshot().QuarantineRemaining(h.now, 1) > 0 }
	h.crash(1, 1, "u1")
	if !h.table.Snapshot().IsSuspect(1) || refused() {
		t.Fatal("one crash makes a suspect and no quarantine")
	}
	h.crash(2, 1, "u2")
	if !refused() || len(h.table.Snapshot().List()) != 1 {
		t.Fatal("the second crash did not name it")
	}
	h.now = h.now.Add(time.Minute)
	h.table.Tick(h.now, &h.out)
	if refused() {
		t.Error("the quarantine did not end")
	}
	h.crash(3, 1, "u3")
	h.crash(4, 1, "u4")
	late := &pomelorelay.QuarantineNotice{Fingerprint: 1, Seq: uint64(h.now.UnixNano()), Duration: time.Minute}
	h.now = h.now.Add(time.Second)
	h.table.Lift(h.now, 1, &h.out)
	h.table.HandleQuarantineNotice(h.now, late, &h.out)
	if refused() {
		t.Error("the lifted quarantine came back")
	}
}

// Two suspects must not share an upstream, or the next crash names nobody; one must not run twice at once, or it takes
// down two. A router that dies with a suspect leaves its place locked until the lock lapses.
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
			t.Errorf("step %d: %s may run %d on %s: %v", n, s.from, s.p, s.u, got)
		}
	}
	h.now = h.now.Add(7 * time.Second)
	if !ask("b", 1, "u1") {
		t.Error("the lock did not lapse")
	}
	h.arbiter.MemberGone("b")
	if !ask("a", 1, "u1") {
		t.Error("the dead router's place was not freed")
	}
}

// No arbiter answers, as when the fleet is cut apart. The suspect is refused as not run when its wait is over.
func TestSuspectWithoutArbiterIsHeld(t *testing.T) {
	h := newHarness(pomeloquarantine.Config{})
	h.crash(1, 1, "u1")
	run := pomeloquarantine.Run{Request: 2, Fingerprint: 1, Upstream: "u2"}
	if v := h.table.Check(h.now, run, &h.out); v.Decision != pomeloquarantine.DecisionWait {
		t.Fatalf("got %+v", v)
	}
	h.out = pomeloquarantine.Output{}
	h.now = h.now.Add(11 * time.Second)
	h.table.Tick(h.now, &h.out)
	if v := h.self(); len(v) != 1 || v[0].Decision != pomeloquarantine.DecisionHeld {
		t.Errorf("got %+v", v)
	}
}

// A suspect that was innocent runs through once and is none any more, here and elsewhere.
func TestCleanRunClears(t *testing.T) {
	h := newHarness(pomeloquarantine.Config{})
	h.crash(1, 1, "u1")
	run := pomeloquarantine.Run{Request: 2, Fingerprint: 1, Upstream: "u2"}
	h.table.Check(h.now, run, &h.out)
	if v := h.turn(); len(v) != 1 || v[0].Decision != pomeloquarantine.DecisionRun {
		t.Fatalf("got %+v", v)
	}
	h.table.Began(run)
	h.table.Ended(run, true, &h.out)
	told := false
	for _, m := range h.out.Messages {
		c, ok := m.Message.(*pomelorelay.SuspectCleared)
		told = told || (ok && m.To == "b" && c.Clean)
	}
	if !told || h.table.Snapshot().IsSuspect(1) {
		t.Errorf("told %v, suspect %v", told, h.table.Snapshot().IsSuspect(1))
	}
}

// A router that comes back from a partition has missed what was named meanwhile.
func TestJoinedRouterLearnsQuarantines(t *testing.T) {
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
		t.Errorf("the router learnt %+v", s.List())
	}
}

// A flood of crashes and names must not fill memory.
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
		t.Errorf("%d quarantined, %d suspects", n, suspects)
	}
}
