package pomeloslot_test

import (
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloslot"
)

var start = time.Unix(1_000_000, 0)

func newOwner(node pomelorelay.NodeID) *pomeloslot.Owner {
	return pomeloslot.NewOwner(pomeloslot.OwnerConfig{Node: node, Domain: "a", Incarnation: 7})
}

func upstream(slots pomelorelay.Slots) pomeloslot.Upstream {
	return pomeloslot.Upstream{ID: "u", Pool: testPool, Min: 1, Max: slots}
}

func demand(seq uint64, head pomelorelay.Tag, waiting uint32) *pomelorelay.Demand {
	return &pomelorelay.Demand{Upstream: "u", Pool: testPool, Seq: seq, Head: head, Waiting: waiting}
}

func reply(id pomelorelay.GrantID, state pomelorelay.GrantState, seq uint64, waiting uint32) *pomelorelay.GrantReply {
	return &pomelorelay.GrantReply{ID: id, Upstream: "u", State: state, Seq: seq, Waiting: waiting}
}

// granted returns the ids and receivers of the grants among the messages.
func granted(out []pomelorelay.Outgoing) (ids []pomelorelay.GrantID, to []pomelorelay.NodeID) {
	for _, o := range out {
		if g, ok := o.Message.(*pomelorelay.Grant); ok {
			ids, to = append(ids, g.ID), append(to, o.To)
		}
	}
	return ids, to
}

// owning returns an owner of one upstream that runs nothing.
func owning(slots pomelorelay.Slots) *pomeloslot.Owner {
	o := newOwner("r1")
	o.AddUpstream(start, upstream(slots), nil, nil)
	return o
}

func TestLowestTagIsGrantedFirst(t *testing.T) {
	o := owning(1)
	ids, _ := granted(o.HandleDemand(start, "a", demand(1, 30, 5), nil))
	o.HandleDemand(start, "b", demand(1, 10, 5), nil)
	o.HandleDemand(start, "c", demand(1, 20, 5), nil)
	o.HandleDemand(start, "c", demand(0, 1, 5), nil) // late, older than the one before
	_, to := granted(o.HandleReply(start, "a", reply(ids[0], pomelorelay.GrantFinished, 2, 5), nil))
	if len(to) != 1 || to[0] != "a" {
		t.Errorf("granted to %v, want a, whose fresh tag is zero", to)
	}
}

func TestBurstOfFreeSlotsGoesRound(t *testing.T) {
	// Several slots are free at once. The lowest router's tag is out of date after its first grant; by it alone, that
	// router's account would be seen to get them all.
	o := newOwner("r1")
	o.AddUpstream(start, upstream(3), []pomelorelay.NodeID{"x"}, nil)
	o.HandleDemand(start, "a", demand(1, 10, 5), nil)
	o.HandleDemand(start, "b", demand(1, 11, 5), nil)
	_, to := granted(o.HandleRunningReport(start, "x", &pomelorelay.RunningReport{Upstream: "u"}, nil))
	if len(to) != 3 || to[0] != "a" || to[1] != "b" || to[2] != "a" {
		t.Errorf("granted to %v, want a b a", to)
	}
}

func TestNewOwnerAsksFirst(t *testing.T) {
	// The owner of a busy upstream is replaced. If the new one granted the whole limit at once, the upstream would run
	// twice its limit.
	o := newOwner("r2")
	out := o.AddUpstream(start, upstream(8), []pomelorelay.NodeID{"a", "b"}, nil)
	if len(out) != 2 {
		t.Fatalf("%d queries, want 2", len(out))
	}
	if ids, _ := granted(o.HandleDemand(start, "a", demand(1, 1, 9), nil)); len(ids) != 0 {
		t.Errorf("granted %d before anything is known", len(ids))
	}
	o.HandleRunningReport(start, "a", &pomelorelay.RunningReport{Upstream: "u", Grants: []pomelorelay.GrantID{901, 902}, Running: 3}, nil)
	ids, _ := granted(o.HandleRunningReport(start, "b", &pomelorelay.RunningReport{Upstream: "u"}, nil))
	if len(ids) != 5 {
		t.Errorf("granted %d beside 3 that run, want 5", len(ids))
	}
	ids, _ = granted(o.HandleReply(start, "a", reply(901, pomelorelay.GrantFinished, 2, 9), nil))
	if len(ids) != 1 {
		t.Errorf("granted %d after an earlier owner's grant ended, want 1", len(ids))
	}
}

func TestReportsExplainWhatAnUpstreamRuns(t *testing.T) {
	// The upstream's load report reaches a new owner before the routers' reports do. What they then explain must not
	// count twice, or the slots would idle until the next load report.
	o := newOwner("r2")
	o.AddUpstream(start, upstream(8), []pomelorelay.NodeID{"a"}, nil)
	o.HandleDemand(start, "b", demand(1, 1, 9), nil)
	if ids, _ := granted(o.HandleLoadReport(start, "u", pomeloslot.LoadReport{Running: 5}, nil)); len(ids) != 3 {
		t.Errorf("granted %d beside 5 that run, want 3", len(ids))
	}
	m := &pomelorelay.RunningReport{Upstream: "u", Grants: []pomelorelay.GrantID{901, 902, 903, 904, 905}, Running: 5}
	o.HandleRunningReport(start, "a", m, nil)
	ids, _ := granted(o.HandleReply(start, "a", reply(901, pomelorelay.GrantFinished, 2, 0), nil))
	if len(ids) != 1 {
		t.Errorf("granted %d when one of them ended, want 1", len(ids))
	}
}

func TestRouterThatNeverReportsDelaysANewOwnerOnlyForAWhile(t *testing.T) {
	// One router is frozen when an upstream changes hands. Its slots would idle for as long as the freeze lasts.
	o := newOwner("r2")
	o.AddUpstream(start, upstream(8), []pomelorelay.NodeID{"a", "frozen"}, nil)
	o.HandleRunningReport(start, "a", &pomelorelay.RunningReport{Upstream: "u"}, nil)
	o.HandleDemand(start, "a", demand(1, 1, 9), nil)
	if ids, _ := granted(o.Tick(start.Add(499*time.Millisecond), nil)); len(ids) != 0 {
		t.Errorf("granted %d while careful", len(ids))
	}
	if ids, _ := granted(o.Tick(start.Add(500*time.Millisecond), nil)); len(ids) != 8 {
		t.Errorf("granted %d afterwards, want 8", len(ids))
	}
}

func TestLostRepliesAreReclaimed(t *testing.T) {
	// The reply to a grant, or the one at a request's end, is lost. The slot would count as taken for ever.
	o := owning(2)
	ids, _ := granted(o.HandleDemand(start, "a", demand(1, 1, 9), nil))
	o.HandleReply(start, "a", reply(ids[0], pomelorelay.GrantUsed, 2, 9), nil)
	now := start.Add(time.Second)
	if out := o.Tick(now, nil); len(out) != 1 {
		t.Fatalf("%d queries after the unanswered grant, want 1", len(out))
	}
	again, _ := granted(o.HandleRunningReport(now, "a", &pomelorelay.RunningReport{Upstream: "u", Grants: ids[:1], Running: 1}, nil))
	if len(again) != 1 {
		t.Fatalf("granted %d after the reclaim, want 1", len(again))
	}
	o.HandleReply(now, "a", reply(again[0], pomelorelay.GrantUsed, 3, 0), nil)
	now = now.Add(2 * time.Second)
	if out := o.Tick(now, nil); len(out) != 1 {
		t.Fatalf("%d queries after requests that run long, want 1", len(out))
	}
	o.HandleRunningReport(now, "a", &pomelorelay.RunningReport{Upstream: "u"}, nil)
	if d := o.Digests(now, nil); d[0].Idle != 2 {
		t.Errorf("%d slots idle, want 2", d[0].Idle)
	}
}

func TestDeadRouterGetsNothingAndGivesItsSlotsBack(t *testing.T) {
	// A router dies with requests running and waiting. An owner that believes in its demand grants slots to nobody.
	o := owning(2)
	o.HandleDemand(start, "dead", demand(1, 1, 9), nil)
	o.HandleDemand(start, "b", demand(1, 50, 9), nil)
	_, to := granted(o.RemoveRouter(start, "dead", nil))
	if len(to) != 2 || to[0] != "b" || to[1] != "b" {
		t.Errorf("granted to %v, want b twice", to)
	}
}

func TestDemandThatIsNotRefreshedEnds(t *testing.T) {
	// A router is cut off in one direction: its demand arrived, nothing later does.
	o := owning(1)
	ids, _ := granted(o.HandleDemand(start, "a", demand(1, 1, 1), nil))
	o.HandleDemand(start, "cut", demand(1, 0, 9), nil)
	now := start.Add(4 * time.Second)
	o.HandleDemand(now, "b", demand(1, 50, 1), nil)
	_, to := granted(o.HandleReply(now, "a", reply(ids[0], pomelorelay.GrantFinished, 2, 0), nil))
	if len(to) != 1 || to[0] != "b" {
		t.Errorf("granted to %v, want b", to)
	}
}

func TestLeavingUpstreamIsGrantedNoMore(t *testing.T) {
	// The host list says that an upstream leaves while requests wait and run there.
	o := owning(2)
	ids, _ := granted(o.HandleDemand(start, "a", demand(1, 1, 9), nil))
	o.MarkLeaving(start, "u")
	out := o.HandleReply(start, "a", reply(ids[0], pomelorelay.GrantFinished, 2, 9), nil)
	out = o.HandleDemand(start, "b", demand(1, 1, 9), out)
	out = o.HandleLoadReport(start, "u", pomeloslot.LoadReport{}, out)
	if got, _ := granted(o.Tick(start, out)); len(got) != 0 {
		t.Errorf("granted %d on a leaving upstream", len(got))
	}
	if d := o.Digests(start, nil); !d[0].Leaving || d[0].Idle != 0 {
		t.Errorf("digest %+v", d[0])
	}
}

func TestCrashedUpstreamIsGrantedAgainWhenItReports(t *testing.T) {
	// An upstream crashes with all that runs on it. Grants before it is back would be refused connections; slots that
	// stay counted after it is back would idle.
	o := owning(2)
	o.HandleDemand(start, "a", demand(1, 1, 9), nil)
	o.MarkCrashed(start, "u")
	if got, _ := granted(o.Tick(start, nil)); len(got) != 0 {
		t.Errorf("granted %d on a crashed upstream", len(got))
	}
	if got, _ := granted(o.HandleLoadReport(start, "u", pomeloslot.LoadReport{}, nil)); len(got) != 2 {
		t.Errorf("granted %d after it is back, want 2", len(got))
	}
}

func TestReturnedGrantRests(t *testing.T) {
	// A router whose waiting request may not run at an upstream returns each grant of it. Without a rest the two
	// exchange grants without end while another router waits.
	o := owning(1)
	ids, _ := granted(o.HandleDemand(start, "a", demand(1, 1, 9), nil))
	o.HandleDemand(start, "b", demand(1, 50, 9), nil)
	_, to := granted(o.HandleReply(start, "a", reply(ids[0], pomelorelay.GrantReturned, 2, 9), nil))
	if len(to) != 1 || to[0] != "b" {
		t.Errorf("granted to %v, want b", to)
	}
}

func TestLimitFollowsLatencies(t *testing.T) {
	// An upstream's answers get slow at its full limit, and its load report lags. The limit falls until 95 in 100
	// first tokens come in time, and rises again when they do.
	o := owning(100)
	now, seq := start, uint64(1)
	ids, _ := granted(o.HandleDemand(now, "a", demand(seq, 1, 1_000_000), nil))
	limit := func() pomelorelay.Slots { return o.Digests(now, nil)[0].Limit }
	lowest, highest := limit(), pomelorelay.Slots(0)
	for round := range 600 {
		now = now.Add(200 * time.Millisecond)
		first := time.Duration(len(ids)) * 20 * time.Millisecond // in time for up to 60 at once
		var out []pomelorelay.Outgoing
		for _, id := range ids {
			seq++
			m := reply(id, pomelorelay.GrantFinished, seq, 1_000_000)
			m.FirstToken, m.TokenGap = first, 20*time.Millisecond
			out = o.HandleReply(now, "a", m, out)
		}
		ids, _ = granted(o.Tick(now, out))
		lowest = min(lowest, limit())
		if round > 300 {
			highest = max(highest, limit())
		}
	}
	t.Logf("limit between %d and %d of 100; 60 keep the target", lowest, highest)
	if lowest < 50 || highest > 65 {
		t.Errorf("limit between %d and %d of 100; 60 keep the target", lowest, highest)
	}
}

func TestPrefixBreaksOnlyNearTies(t *testing.T) {
	// An upstream holds a prompt prefix in its cache, as far as late and missing cache events tell.
	for _, c := range []struct {
		name string
		head pomelorelay.Tag
		held []uint64
		drop []uint64
		age  time.Duration
		want pomelorelay.NodeID
	}{
		{"within the margin", 10.5, []uint64{7}, nil, 0, "b"},
		{"beyond the margin", 11.5, []uint64{7}, nil, 0, "a"},
		{"dropped", 10.5, []uint64{7}, []uint64{7}, 0, "a"},
		{"no event for long", 10.5, []uint64{7}, nil, time.Hour, "a"},
		{"events missing", 10.5, nil, nil, 0, "a"},
	} {
		o := owning(1)
		ids, _ := granted(o.HandleDemand(start, "x", demand(1, 0, 1), nil))
		o.Cached(start, "u", c.held, nil)
		o.Cached(start, "u", nil, c.drop)
		now := start.Add(c.age)
		o.HandleDemand(now, "a", demand(1, 10, 1), nil)
		b := demand(1, c.head, 1)
		b.Prefixes = []uint64{7}
		o.HandleDemand(now, "b", b, nil)
		_, to := granted(o.HandleReply(now, "x", reply(ids[0], pomelorelay.GrantFinished, 2, 0), nil))
		if len(to) != 1 || to[0] != c.want {
			t.Errorf("%s: granted to %v, want %v", c.name, to, c.want)
		}
	}
}

func TestUnreachedUpstreamGetsNothingUntilItReportsLoad(t *testing.T) {
	// An upstream has crashed and refuses connections for a moment. Granted on, a request would spend all its attempts there
	// within milliseconds and its caller would get an error although other upstreams, and soon this one, could serve it.
	now := start
	o := owning(1)
	out := o.HandleDemand(now, "a", demand(1, 5, 2), nil)
	if len(out) != 1 {
		t.Fatalf("the demand was answered by %d messages", len(out))
	}
	grant := out[0].Message.(*pomelorelay.Grant)
	if out := o.HandleReply(now, "a", reply(grant.ID, pomelorelay.GrantUpstreamUnreachable, 2, 2), nil); len(out) != 0 {
		t.Errorf("the unreached upstream was granted again at once")
	}
	if out := o.HandleLoadReport(now.Add(time.Second), "u", pomeloslot.LoadReport{Slots: 1}, nil); len(out) != 1 {
		t.Errorf("after its load report the upstream was granted %d times", len(out))
	}
}
