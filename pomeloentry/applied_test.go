package pomeloentry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloentry"
	"github.com/pomelorelay/pomelorelay/pomelostream"
)

const (
	// modelVersionMemory is how long a version counts in the model after all routers know that it has left; its configuration has no streams.
	modelVersionMemory = modelBound
	// modelReportInterval is the interval of full reports, and of full summaries of relays.
	modelReportInterval = time.Second
	// modelPeerSilence is how long a router without a registration may send nothing before it is forgotten.
	modelPeerSilence = 5 * time.Second
)

// newVersionModel returns a fleet in which the last upstream of version v1 is removed now, beside others of v2, after the routers of the names were cut
// off from the store and from all others.
func newVersionModel(domains, each int, cutOff ...pomelorelay.NodeID) *model {
	m := newModel(domains, each)
	m.putUpstream("u1", "v1")
	for i := range 5 {
		m.putUpstream(pomelorelay.UpstreamID(fmt.Sprint("a", i)), "v2")
	}
	m.run(8 * time.Second)
	for _, node := range cutOff {
		r := m.byNode[node]
		r.cutUntil = m.now.Add(time.Hour)
		r.storelessUntil = r.cutUntil
	}
	m.deleteUpstream("u1")
	return m
}

// versionsOutside returns for each router that is not cut off how many versions it counts.
func (m *model) versionsOutside() map[pomelorelay.NodeID]int {
	counts := make(map[pomelorelay.NodeID]int)
	for _, r := range m.routers {
		if r.running() && !m.now.Before(r.cutUntil) {
			counts[r.peer.Node] = r.run.Versions(m.now, "s")
		}
	}
	return counts
}

func checkVersions(t *testing.T, m *model, when string, want int) {
	t.Helper()
	for node, got := range m.versionsOutside() {
		if got != want {
			t.Errorf("%s: %s counts %d versions, want %d", when, node, got, want)
		}
	}
}

// Guards against a version that is forgotten while a router which is cut off begins streams at it, at routers that hear of it through relays or not at all,
// and against one that counts for ever because of a router that is gone.
func TestVersionCountsWhileARouterMayNotKnowThatItLeft(t *testing.T) {
	for _, c := range []struct {
		name          string
		domains, each int
		cutOff        []pomelorelay.NodeID
	}{
		{"small fleet", 3, 3, []pomelorelay.NodeID{"b-02"}}, {"neighbour", 3, 6, []pomelorelay.NodeID{"b-05"}}, {"relay", 3, 6, []pomelorelay.NodeID{"b-00"}},
		{"reader", 3, 6, []pomelorelay.NodeID{"a-00"}}, {"domain", 3, 6, []pomelorelay.NodeID{"b-00", "b-01", "b-02", "b-03", "b-04", "b-05"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newVersionModel(c.domains, c.each, c.cutOff...)
			for range 12 {
				m.run(2 * time.Second)
				checkVersions(t, m, fmt.Sprint(m.now.Sub(m.began), " after the start"), 2)
			}
			for _, node := range c.cutOff {
				m.deregister(m.byNode[node])
			}
			m.run(modelVersionMemory)
			checkVersions(t, m, "while streams of the router may be resumed", 2)
			m.run(modelReadInterval + modelPeerSilence + 4*modelReportInterval)
			checkVersions(t, m, "after its registration has ended", 1)
		})
	}
}

// Guards against a version that counts after the router that did not know that it left has come back in touch.
func TestVersionLeavesOnceAllRoutersKnow(t *testing.T) {
	for _, each := range []int{3, 6} {
		m := newVersionModel(3, each, "b-02")
		m.run(12 * time.Second)
		b := m.byNode["b-02"]
		b.cutUntil, b.storelessUntil = m.now, m.now
		m.run(modelVersionMemory - modelStep)
		checkVersions(t, m, "just after the router is in touch", 2)
		m.run(2*modelReadInterval + 4*modelReportInterval)
		checkVersions(t, m, "later", 1)
	}
}

// Guards against streams of unknown origin that are refused for longer than they may be resumed although all routers are in touch, or cut off from the
// store only.
func TestVersionLeavesInTimeWhileAllRoutersAreInTouch(t *testing.T) {
	for _, each := range []int{3, 6, 15} {
		for _, storeless := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d routers, one without the store %v", 3*each, storeless), func(t *testing.T) {
				m := newVersionModel(3, each)
				if storeless {
					m.byNode["b-02"].storelessUntil = m.now.Add(time.Hour)
				}
				removed := m.now
				m.run(modelVersionMemory)
				checkVersions(t, m, "while streams may be resumed", 2)
				for m.now.Before(removed.Add(time.Minute)) {
					m.run(modelStep)
					left := true
					for _, n := range m.versionsOutside() {
						left = left && n == 1
					}
					if left {
						break
					}
				}
				// A router hears of others through its relay and theirs.
				took, limit := m.now.Sub(removed), modelReadInterval+modelVersionMemory+3*modelReportInterval
				t.Logf("v1 has left %v after its removal, %v after which streams of it may be resumed", took, took-modelVersionMemory)
				if took > limit {
					t.Errorf("v1 counts for %v after its removal, want %v at most", took, limit)
				}
			})
		}
	}
}

// Guards against a process of a router that counts as knowing what its predecessor knew, and against one of an earlier version, whose reports do not tell
// what it knows, that holds versions for ever.
func TestRoutersHoldVersionsByTheirOwnReports(t *testing.T) {
	const memory = time.Minute + 4*time.Second
	for _, c := range []struct {
		name string
		// first is what the first report of the first process tells.
		first       pomelorelay.Revision
		incarnation pomelorelay.Incarnation
		report      *pomelorelay.LoadReport
		want        int
	}{
		{"silent", 10, 1, nil, 2},
		{"behind", 10, 1, &pomelorelay.LoadReport{Seq: 3, Full: true, Applied: 11}, 2},
		{"in step", 10, 1, &pomelorelay.LoadReport{Seq: 3, Full: true, Applied: 12}, 1},
		{"changes only", 10, 1, &pomelorelay.LoadReport{Seq: 3}, 2},
		{"earlier version", 10, 1, &pomelorelay.LoadReport{Seq: 3, Full: true}, 1},
		{"in step from the start", 12, 1, nil, 1},
		{"new process, changes only", 12, 2, &pomelorelay.LoadReport{Seq: 1}, 2},
		{"new process behind", 12, 2, &pomelorelay.LoadReport{Seq: 1, Full: true, Applied: 9}, 2},
		{"new process in step", 12, 2, &pomelorelay.LoadReport{Seq: 1, Full: true, Applied: 12}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Now()
			f := pomeloentry.NewUpdateControl("a-1", 4*time.Second, peersOf(1, 3))
			f.Receive(now, "a-0", &pomelorelay.FleetUpdate{Revision: 10, Full: true, Peers: peersOf(1, 3), Upstreams: []pomelorelay.FleetUpstream{
				{ID: "u1", Service: "s", Version: "v1", Draining: true}, {ID: "u2", Service: "s", Version: "v2"},
			}})
			f.ReceiveReport(now, "a-0", &pomelorelay.LoadReport{Seq: 1, Full: true, Applied: 20})
			f.ReceiveReport(now, "a-2", &pomelorelay.LoadReport{Seq: 1, Full: true, Applied: c.first})
			if c.report != nil {
				f.ReceiveReportOf(now, "a-2", c.incarnation, c.report)
			}
			f.Adjust(now)
			f.Receive(now, "a-0", &pomelorelay.FleetUpdate{After: 10, Revision: 12, RemovedUpstreams: []pomelorelay.UpstreamID{"u1"}})
			f.Adjust(now)
			if got := f.Versions(now.Add(memory), "s"); got != 2 {
				t.Errorf("%d versions count while streams may be resumed, want 2", got)
			}
			if got := f.Versions(now.Add(memory+time.Second), "s"); got != c.want {
				t.Errorf("%d versions count later, want %d", got, c.want)
			}
		})
	}
}

// Guards against a router of a larger fleet that forgets a version before its relay tells that all routers know that it left, and against one whose relay
// is of an earlier version that holds it for ever.
func TestRoutersHoldVersionsBySummariesOfTheirRelay(t *testing.T) {
	for _, c := range []struct {
		name    string
		summary *pomelorelay.LoadReport
		want    int
	}{
		{"none", nil, 2},
		{"a router is behind", &pomelorelay.LoadReport{Seq: 2, Full: true, Applied: 11}, 2},
		{"all are in step", &pomelorelay.LoadReport{Seq: 2, Full: true, Applied: 12}, 1},
		{"changes only", &pomelorelay.LoadReport{Seq: 2}, 2},
		{"earlier version", &pomelorelay.LoadReport{Seq: 2, Full: true}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Now()
			f := pomeloentry.NewUpdateControl("a-1", 4*time.Second, peersOf(1, 15))
			f.Receive(now, "a-0", &pomelorelay.FleetUpdate{Revision: 10, Full: true, Peers: peersOf(1, 15), Upstreams: []pomelorelay.FleetUpstream{
				{ID: "u1", Service: "s", Version: "v1", Draining: true}, {ID: "u2", Service: "s", Version: "v2"},
			}})
			f.ReceiveSummary(now, "a-0", &pomelorelay.LoadSummary{Report: &pomelorelay.LoadReport{Seq: 1, Full: true, Applied: 10}})
			f.Receive(now, "a-0", &pomelorelay.FleetUpdate{After: 10, Revision: 12, RemovedUpstreams: []pomelorelay.UpstreamID{"u1"}})
			if c.summary != nil {
				f.ReceiveSummary(now, "a-0", &pomelorelay.LoadSummary{Report: c.summary})
			}
			f.Adjust(now)
			if got := f.Versions(now.Add(2*time.Minute), "s"); got != c.want {
				t.Errorf("%d versions count 2 min later, want %d", got, c.want)
			}
		})
	}
}

// Guards against a router that starts and continues streams at the only version that it knows, while one that it has not heard may begin them at a version
// that left before.
func TestRouterThatStartsWaitsForTheReportsOfOthers(t *testing.T) {
	now := time.Now()
	f := pomeloentry.NewUpdateControl("a-1", 4*time.Second, peersOf(1, 3))
	f.ApplyRead(now, 0, pomelorelay.FleetChange{Revision: 10, Full: true, Peers: peersOf(1, 3), Upstreams: []pomelorelay.FleetUpstream{{ID: "u2", Service: "s", Version: "v2"}}})
	check := func(when string, want pomelostream.Basis) {
		t.Helper()
		f.Adjust(now)
		f.CheckVersions(now, func(pomelorelay.Revision) pomelorelay.FleetChange { return pomelorelay.FleetChange{Revision: 10} })
		if got := f.Resume(now, "s"); got != want {
			t.Errorf("%s a stream of unknown origin is decided on by %q, want %q", when, got, want)
		}
	}
	f.ReceiveReport(now, "a-0", &pomelorelay.LoadReport{Seq: 1, Full: true, Applied: 10})
	now = now.Add(2 * time.Minute)
	check("while a router is not heard", pomelostream.BasisRecent)
	f.ReceiveReport(now, "a-2", &pomelorelay.LoadReport{Seq: 1, Full: true, Applied: 9})
	check("while a router is behind", pomelostream.BasisRecent)
	f.ReceiveReport(now, "a-2", &pomelorelay.LoadReport{Seq: 2, Full: true, Applied: 10})
	check("just after it is in step", pomelostream.BasisRecent)
	now = now.Add(time.Minute)
	check("once its streams cannot be resumed", pomelostream.BasisOnlyVersion)
}

// Guards against a router that reports a change as applied while it keeps the upstreams whose entries have lapsed, and begins streams there.
func TestLapsedUpstreamsAreNotReportedAsRemoved(t *testing.T) {
	now := time.Now()
	f := pomeloentry.NewUpdateControl("a-1", 4*time.Second, peersOf(1, 3))
	check := func(when string, want pomelorelay.Revision) {
		t.Helper()
		f.Adjust(now)
		if got := f.FullReport(now, "a-0").Applied; got != want {
			t.Errorf("%s: changes up to revision %d are reported as applied, want %d", when, got, want)
		}
	}
	check("before the first read", 1)
	f.Receive(now, "a-0", &pomelorelay.FleetUpdate{Revision: 10, Full: true, Peers: peersOf(1, 3), Upstreams: []pomelorelay.FleetUpstream{{ID: "u1", Service: "s", Version: "v1"}, {ID: "u2", Service: "s", Version: "v2"}}})
	now = now.Add(5 * time.Second)
	f.Receive(now, "a-0", &pomelorelay.FleetUpdate{After: 10, Revision: 11})
	check("in step", 11)
	f.Receive(now, "a-0", &pomelorelay.FleetUpdate{After: 11, Revision: 12, RemovedUpstreams: []pomelorelay.UpstreamID{"u1"}})
	check("u1 has lapsed", 11)
	now = now.Add(5 * time.Second)
	check("u1 is removed", 12)
}
