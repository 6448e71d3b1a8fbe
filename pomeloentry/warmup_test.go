package pomeloentry_test

import (
	"strings"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Guards against a router that sends requests to an upstream registered as cold, and against one that never treats it as warm.
func TestColdUpstreamGetsNoRequestsUntilWarm(t *testing.T) {
	const coldTime = 2 * time.Second
	f := newFleet(t)
	f.store.PublishConfig(f.config(1, "/a/"))
	warm := f.upstream("warm", 0)
	n := f.start(8 * time.Second)
	f.awaitStatus(n, "/a/", 200)
	listed := time.Now()
	u := f.upstreamWith("cold", 0, func(u *pomelorelay.FleetUpstream) { u.ColdRemaining = coldTime })
	f.await("the cold upstream is logged", func() bool { return n.log.has(pomelorelay.EventUpstreamCold) })
	for time.Since(listed) < coldTime*9/10 {
		if status, by := f.call(n, "/a/"); status != 200 || by != "warm" {
			t.Fatalf("status %d from %q after %v, want 200 from warm", status, by, time.Since(listed))
		}
		time.Sleep(5 * time.Millisecond)
	}
	f.await("the upstream is logged as warm", func() bool { return n.log.has(pomelorelay.EventUpstreamWarm) })
	warm.Draining = true
	f.store.PutUpstream(warm)
	f.await("the formerly cold upstream answers", func() bool {
		_, by := f.call(n, "/a/")
		return by == string(u.ID)
	})
	if _, text := f.get(n.settings.MetricsAddr, "/metrics"); !strings.Contains(text, `pomelorelay_state{name="cold_upstreams"} 0`) {
		t.Error("the metrics lack cold_upstreams with value 0")
	}
}
