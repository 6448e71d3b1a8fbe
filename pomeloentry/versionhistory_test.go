package pomeloentry_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelofake"
)

// awaitWindow waits until the routers have known the versions for as long as streams may be resumed.
func (f versionFleet) awaitWindow() {
	f.t.Helper()
	f.await("streams of unknown origin continue", func() bool {
		for _, n := range f.nodes {
			if f.stream(n, versionEvents-1, "").status != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// Guards against a stream of unknown origin that is refused although its service has had one version for as long as streams may be resumed.
func TestStreamOfUnknownOriginContinuesAtTheOnlyVersion(t *testing.T) {
	f := newVersionFleet(t, 2)
	f.engine("u1", "v1")
	f.engine("u2", "v1")
	f.awaitReady(2)
	f.awaitWindow()
	for i := range 20 {
		resumes := []string{"", "unknown"}[i%2]
		if s := f.stream(f.nodes[i/2%2], 3, resumes); s.status != http.StatusOK || !s.whole || s.events != versionEvents-3 {
			t.Errorf("a stream that resumes %q is answered with %d and %d events", resumes, s.status, s.events)
		}
	}
	for _, n := range f.nodes {
		n.view.SetPartitioned(true)
	}
	begun := f.stream(f.nodes[0], 0, "")
	if s := f.stream(f.nodes[0], 3, begun.id); s.status != http.StatusOK || !s.whole {
		t.Errorf("without the store a stream of known origin is answered with %d", s.status)
	}
}

// Guards against a version that left while streams of it may be resumed and is forgotten because a new configuration shortens the timeout.
func TestShorterTimeoutForgetsNoVersion(t *testing.T) {
	f := newVersionFleet(t, 1)
	f.engine("u1", "v1")
	f.awaitReady(1)
	f.awaitWindow()
	f.engine("a1", "v2")
	f.store.DeleteUpstream("u1")
	f.publishTimeout(2, 200*time.Millisecond)
	f.awaitGauge("generation", 2)
	f.awaitGauge("upstreams", 1)
	time.Sleep(500 * time.Millisecond)
	if s := f.stream(f.nodes[0], 3, ""); s.status != http.StatusServiceUnavailable {
		t.Errorf("a stream of unknown origin is answered with %d and versions %v, want 503", s.status, s.versions)
	}
}

// Guards against routers that are cut off from the store together and take the only version that they know for the only one there is.
func TestRoutersCutOffTogetherGuessNoVersion(t *testing.T) {
	f := newVersionFleet(t, 3)
	f.engine("u1", "v1")
	f.awaitReady(1)
	f.awaitWindow()
	for _, n := range f.nodes[:2] {
		n.view.SetPartitioned(true)
	}
	f.nodes[2].router.Close()
	f.engine("a1", "v2")
	f.engine("a2", "v2")
	for i := range 12 {
		if s := f.stream(f.nodes[i%2], 3, []string{"", "unknown"}[i/2%2]); s.status != http.StatusServiceUnavailable || s.took > time.Second {
			t.Errorf("a stream is answered with %d and versions %v after %v, want 503 at once", s.status, s.versions, s.took)
		}
	}
	for _, n := range f.nodes[:2] {
		if s := f.stream(n, 0, ""); !s.whole || s.events != versionEvents {
			t.Errorf("a new stream has %d events, whole %v", s.events, s.whole)
		}
	}
}

// Guards against a version that came and went while a router could not read the store, or whose history the store has dropped meanwhile.
func TestVersionThatCameAndWentMeanwhileCounts(t *testing.T) {
	for _, compacts := range []bool{false, true} {
		t.Run(fmt.Sprint("history dropped ", compacts), func(t *testing.T) {
			f := newVersionFleet(t, 1)
			f.engine("u1", "v1")
			f.awaitReady(1)
			f.awaitWindow()
			f.nodes[0].view.SetPartitioned(true)
			f.engine("a1", "v2")
			f.store.DeleteUpstream("a1")
			if compacts {
				f.store.Compact()
			}
			f.nodes[0].view.SetPartitioned(false)
			for range 4 {
				if s := f.stream(f.nodes[0], 3, ""); s.status != http.StatusServiceUnavailable {
					t.Errorf("a stream of unknown origin is answered with %d and versions %v, want 503", s.status, s.versions)
				}
			}
		})
	}
}

// Guards against streams that a router out of step begins at an upstream which serves on after its entry was removed, and that continue at another version
// at a router in step.
func TestStreamBegunAtDrainingUpstreamKeepsItsVersion(t *testing.T) {
	checkStreamsBegunAfterRemoval(t, versionDrainTimeout-500*time.Millisecond)
}

// Guards against the same streams at an upstream that serves for longer than it must.
func TestStreamBegunAtUpstreamThatHasLeftKeepsItsVersion(t *testing.T) {
	checkStreamsBegunAfterRemoval(t, versionDrainTimeout+2*time.Second)
}

// checkStreamsBegunAfterRemoval begins streams at a router out of step the given time after the entry of their upstream was removed, and resumes them at one
// in step.
func checkStreamsBegunAfterRemoval(t *testing.T, after time.Duration) {
	t.Helper()
	network := pomelofake.NewNetwork()
	f := newVersionFleetOn(network, t, 2)
	old := f.engine("u1", "v1")
	f.awaitReady(1)
	f.awaitWindow()
	inStep, cutOff := f.nodes[0], f.nodes[1]
	cutOff.view.SetPartitioned(true)
	network.SetPartition(func(from, to pomelorelay.Peer) bool {
		return from.Node == cutOff.settings.Self.Node || to.Node == cutOff.settings.Self.Node
	})
	for _, id := range []pomelorelay.UpstreamID{"a1", "a2", "a3"} {
		f.engine(id, "v2")
	}
	f.store.DeleteUpstream("u1")
	f.await("u1 is gone", func() bool {
		return inStep.log.hasWith(pomelorelay.EventUpstreamGone, func(l pomelorelay.Field) bool { return l.Key == "Upstream" && l.Value == pomelorelay.UpstreamID("u1") })
	})
	time.Sleep(after)
	old.breakAfter.Store(3)
	close(old.release)
	var begun []streamed
	for range 8 {
		begun = append(begun, f.stream(cutOff, 0, ""))
	}
	// Within the callers' own timeout of 4 s, and later than the route's of 5 s after the removal.
	time.Sleep(3500 * time.Millisecond)
	f.checkContinued(inStep, begun)
}

// Guards against routers that skipped changes of the store and count the versions as unknown only from the first resumed stream on, however much later.
func TestVersionsAreKnownAgainAfterSkippedChanges(t *testing.T) {
	f := newVersionFleet(t, 2)
	f.engine("u1", "v1")
	f.awaitReady(1)
	f.awaitWindow()
	for _, n := range f.nodes {
		n.view.SetPartitioned(true)
	}
	f.engine("u2", "v1")
	f.store.Compact()
	for _, n := range f.nodes {
		n.view.SetPartitioned(false)
	}
	f.awaitGauge("upstreams", 2)
	// Longer than the route's timeout of 5 s.
	time.Sleep(7 * time.Second)
	for _, n := range f.nodes {
		if s := f.stream(n, 3, ""); s.status != http.StatusOK {
			t.Errorf("a stream of unknown origin is answered with %d, want 200", s.status)
		}
	}
}

// Guards against a stream that continues at another version because its route sends to another service, or to a second one, since it began.
func TestStreamKeepsItsVersionWhenItsRouteMoves(t *testing.T) {
	for _, resumes := range []bool{true, false} {
		t.Run(fmt.Sprint("callers name the first attempt ", resumes), func(t *testing.T) {
			f := newVersionFleet(t, 1)
			old := f.engine("u1", "v1")
			moved := f.engine("a1", "v2")
			moved.entry.Service = "s2"
			f.store.PutUpstream(moved.entry)
			f.awaitReady(2)
			f.awaitWindow()
			old.breakAfter.Store(3)
			close(old.release)
			var begun []streamed
			for range 8 {
				begun = append(begun, f.stream(f.nodes[0], 0, ""))
			}
			f.store.PublishConfig(f.configWith(2, func(c *pomelorelay.FleetConfig) {
				c.Services = append(c.Services, pomelorelay.ServiceSpec{Name: "s2"})
				r := &c.Routes[0]
				r.Kind, r.Resumable, r.MaxAttempts, r.Shares = pomelorelay.RouteStream, true, 4, []pomelorelay.RouteShare{{Service: "s2", Weight: 1}}
			}, "/s/"))
			f.await("the configuration is in force", func() bool { return f.stream(f.nodes[0], 0, "").events == versionEvents })
			for _, s := range begun {
				id := ""
				if resumes {
					id = s.id
				}
				if rest := f.stream(f.nodes[0], s.events, id); s.events != 3 || len(rest.versions) > 0 && rest.versions[0] != s.versions[0] {
					t.Errorf("a stream that began with %d events of %v continues at %v", s.events, s.versions, rest.versions)
				}
			}
		})
	}
}

// Guards against a stream that a split route resumes at another one of its services than the one that began it.
func TestStreamOfSplitRouteContinuesAtItsService(t *testing.T) {
	f := newVersionFleet(t, 1)
	f.store.PublishConfig(f.configWith(2, func(c *pomelorelay.FleetConfig) {
		c.Services = append(c.Services, pomelorelay.ServiceSpec{Name: "s2"})
		r := &c.Routes[0]
		r.Kind, r.Resumable, r.MaxAttempts, r.Shares = pomelorelay.RouteStream, true, 4, []pomelorelay.RouteShare{{Service: "s", Weight: 1}, {Service: "s2", Weight: 1}}
	}, "/s/"))
	engines := []*versionedEngine{f.engine("u1", "v1"), f.engine("a1", "v2")}
	engines[1].entry.Service = "s2"
	f.store.PutUpstream(engines[1].entry)
	f.awaitReady(2)
	f.await("the configuration is in force", func() bool {
		s := f.stream(f.nodes[0], 0, "")
		return len(s.versions) > 0 && s.versions[0] == "v2"
	})
	for _, e := range engines {
		e.breakAfter.Store(3)
		close(e.release)
	}
	var begun []streamed
	for range 16 {
		begun = append(begun, f.stream(f.nodes[0], 0, ""))
	}
	for _, e := range engines {
		e.breakAfter.Store(0)
	}
	for _, s := range begun {
		if rest := f.stream(f.nodes[0], s.events, s.id); rest.status != http.StatusOK || rest.versions[0] != s.versions[0] {
			t.Errorf("a stream that began with %d events of %v is answered with %d and %v", s.events, s.versions, rest.status, rest.versions)
		}
	}
}

// Guards against streams that begin at an upstream started again with another version under its ID, before its registration is read, and go on elsewhere at
// its former version.
func TestStreamThatBeganBeforeRegistrationIsReadKeepsItsVersion(t *testing.T) {
	f := newVersionFleet(t, 2)
	u := f.engine("u1", "v1")
	f.awaitReady(1)
	u.version = "v2"
	u.breakAfter.Store(3)
	close(u.release)
	var begun []streamed
	for i := range 12 {
		s := f.stream(f.nodes[i%2], 0, "")
		if s.events != 3 || s.versions[0] != "v2" {
			t.Fatalf("a stream has %d events of %v before it breaks off, want 3 of v2", s.events, s.versions)
		}
		begun = append(begun, s)
	}
	f.engine("u2", "v1")
	f.awaitGauge("upstreams", 2)
	other := f.stream(f.nodes[0], 0, "")
	for i := 0; other.events != versionEvents && i < 100; i++ {
		other = f.stream(f.nodes[0], 0, "")
	}
	// Longer than the interval of reports.
	time.Sleep(300 * time.Millisecond)
	u.entry.Version = "v2"
	f.store.PutUpstream(u.entry)
	for _, n := range f.nodes {
		f.await("the new registration is read", func() bool {
			return n.log.hasWith(pomelorelay.EventUpstreamListed, func(l pomelorelay.Field) bool { return l.Key == "Version" && l.Value == "v2" })
		})
	}
	for i, s := range begun {
		// One half is resumed where it began.
		if rest := f.stream(f.nodes[i/2%2], s.events, s.id); rest.status != http.StatusServiceUnavailable {
			t.Errorf("a stream that began at v2 is answered with %d and versions %v, want 503", rest.status, rest.versions)
		}
	}
	for _, n := range f.nodes {
		if rest := f.stream(n, 3, other.id); !rest.whole || rest.events != versionEvents-3 || rest.versions[0] != "v1" {
			t.Errorf("a stream that began at another upstream is answered with %d and versions %v, want the rest at v1", rest.status, rest.versions)
		}
	}
}
