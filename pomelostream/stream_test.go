package pomelostream_test

import (
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelostream"
)

// Guards against origins that are forgotten while callers may resume their streams, and against origins that are kept for ever.
func TestOriginsExpireWithTheirStreams(t *testing.T) {
	now := time.Unix(1000, 0)
	o := pomelostream.NewOrigins(now)
	o.Record(now, pomelorelay.StreamOrigin{Stream: 1, Version: "v1", TimeLeft: 12 * time.Second})
	o.Merge(now, []pomelorelay.StreamOrigin{{Stream: 2, Version: "v2", TimeLeft: 2 * time.Second}, {Stream: 1, Version: "v2", TimeLeft: 10 * time.Second}})
	for _, c := range []struct {
		after  time.Duration
		stream pomelorelay.Fingerprint
		want   pomelorelay.SoftwareVersion
		known  bool
	}{{0, 1, "v1", true}, {0, 2, "v2", true}, {0, 3, "", false}, {2 * time.Second, 2, "v2", true}, {5 * time.Second, 2, "", false}, {12 * time.Second, 1, "v1", true}, {15 * time.Second, 1, "", false}} {
		o.Expire(now.Add(c.after))
		if got, known := o.Version(c.stream); got != c.want || known != c.known {
			t.Errorf("stream %d after %v: version %q, known %v, want %q, %v", c.stream, c.after, got, known, c.want, c.known)
		}
	}
	if o.Len() != 0 {
		t.Errorf("%d streams are remembered after all have expired", o.Len())
	}
}

// Guards against the origin of a stream that was resumed and is forgotten while it may be resumed again.
func TestResumedStreamKeepsItsOrigin(t *testing.T) {
	now := time.Unix(1000, 0)
	o := pomelostream.NewOrigins(now)
	o.Record(now, pomelorelay.StreamOrigin{Stream: 1, Version: "v1", TimeLeft: 12 * time.Second})
	o.TakePending()
	resumed := now.Add(11 * time.Second)
	o.Record(resumed, pomelorelay.StreamOrigin{Stream: 1, Version: "v2", TimeLeft: 12 * time.Second})
	if got := o.TakePending(); len(got) != 1 || got[0].Version != "v1" {
		t.Errorf("pending origins %v after the stream was resumed, want it at v1", got)
	}
	for _, c := range []struct {
		after time.Duration
		known bool
	}{{14 * time.Second, true}, {22 * time.Second, true}, {26 * time.Second, false}} {
		o.Expire(now.Add(c.after))
		if _, known := o.Version(1); known != c.known || len(o.All(now.Add(c.after))) != o.Len() {
			t.Errorf("after %v: known %v, want %v; %d of %d are told", c.after, known, c.known, len(o.All(now.Add(c.after))), o.Len())
		}
	}
}

// Guards against reports that repeat origins, or that pass on those of other routers.
func TestOnlyOwnOriginsArePending(t *testing.T) {
	now := time.Unix(1000, 0)
	o := pomelostream.NewOrigins(now)
	o.Merge(now, []pomelorelay.StreamOrigin{{Stream: 2, Version: "v2", TimeLeft: time.Second}})
	o.Record(now, pomelorelay.StreamOrigin{Stream: 1, Version: "v1", TimeLeft: time.Second})
	o.Record(now, pomelorelay.StreamOrigin{Stream: 1, Version: "v1", TimeLeft: time.Second})
	if got := o.TakePending(); len(got) != 1 || got[0].Stream != 1 {
		t.Errorf("pending origins %v, want stream 1 once", got)
	}
	if got := o.TakePending(); len(got) != 0 {
		t.Errorf("pending origins %v after they were taken", got)
	}
}

// Guards against a service that counts as having one version while streams of another may still be resumed.
func TestVersionsThatLeftLatelyCount(t *testing.T) {
	now, within := time.Unix(1000, 0), 10*time.Second
	v := pomelostream.NewVersions()
	old, recent := pomelorelay.FleetUpstream{ID: "u1", Service: "s", Version: "v1"}, pomelorelay.FleetUpstream{ID: "u2", Service: "s", Version: "v2"}
	v.Add(old)
	v.Add(pomelorelay.FleetUpstream{ID: "u3", Service: "other", Version: "v7"})
	if v.Several(now, "s", within) {
		t.Error("several versions beside one")
	}
	v.Add(recent)
	if !v.Several(now, "s", within) {
		t.Error("one version beside two")
	}
	v.Remove(now, old)
	if !v.Several(now.Add(9*time.Second), "s", within) || v.Several(now.Add(11*time.Second), "s", within) {
		t.Error("a version that left counts for another time than the given one")
	}
}
