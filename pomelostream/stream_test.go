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
	v.Remove(now, 0, old)
	if !v.Several(now.Add(9*time.Second), "s", within) || v.Several(now.Add(11*time.Second), "s", within) {
		t.Error("a version that left counts for another time than the given one")
	}
}

// Guards against a version that is forgotten while a router which does not know that it left begins streams of it.
func TestVersionCountsUntilAllRoutersKnowThatItLeft(t *testing.T) {
	const within = 10 * time.Second
	at := func(s int) time.Time { return time.Unix(1000+int64(s), 0) }
	v := pomelostream.NewVersions()
	count := func(s int, want int) {
		t.Helper()
		if n, _ := v.Count(at(s), within, "s"); n != want {
			t.Errorf("%d versions after %d s, want %d", n, s, want)
		}
	}
	old := pomelorelay.FleetUpstream{ID: "u1", Service: "s", Version: "v1"}
	v.Add(old)
	v.Add(pomelorelay.FleetUpstream{ID: "u2", Service: "s", Version: "v2"})
	v.SetApplied(at(0), 4)
	v.Remove(at(0), 5, old)
	// A version that came and went between two reads.
	v.Merge(at(0), 7, []pomelorelay.VersionSeen{{Service: "s", Version: "v0"}})
	count(60, 3)
	for _, seen := range v.Seen(at(60), within) {
		if seen.Ago != 0 {
			t.Errorf("version %s was seen %v ago, want 0 while a router may use it", seen.Version, seen.Ago)
		}
	}
	v.SetApplied(at(60), 6)
	// A router that has started and tells nothing yet changes nothing.
	v.SetApplied(at(61), 1)
	count(70, 3)
	count(71, 2)
	v.SetApplied(at(80), 7)
	count(90, 2)
	count(91, 1)
}

// Guards against streams that are recorded at the former version of an upstream that has started again under its ID, and against doubting those of others.
func TestStreamsOfReplacedUpstreamAreDoubtful(t *testing.T) {
	const window = 10 * time.Second
	at := func(s int) time.Time { return time.Unix(1000+int64(s), 0) }
	entry := func(id pomelorelay.UpstreamID, version pomelorelay.SoftwareVersion) pomelorelay.FleetUpstream {
		return pomelorelay.FleetUpstream{ID: id, Service: "s", Version: version}
	}
	o, l := pomelostream.NewOrigins(at(0)), pomelostream.NewListings()
	record := func(s int, stream pomelorelay.Fingerprint, id pomelorelay.UpstreamID, version pomelorelay.SoftwareVersion) {
		o.Merge(at(s), []pomelorelay.StreamOrigin{{Stream: stream, Version: version, Upstream: id.Hash(), TimeLeft: time.Minute}})
	}
	check := func(when string, want ...bool) {
		t.Helper()
		for i, doubtful := range want {
			if got := o.Doubtful(pomelorelay.Fingerprint(i+1), l); got != doubtful {
				t.Errorf("%s: stream %d is doubtful: %v, want %v", when, i+1, got, doubtful)
			}
		}
	}
	l.Put(at(0), entry("u1", "v1"))
	l.Put(at(0), entry("u2", "v1"))
	record(1, 1, "u1", "v1")
	record(1, 2, "u2", "v1")
	record(1, 3, "unlisted", "v1")
	o.Merge(at(1), []pomelorelay.StreamOrigin{{Stream: 4, Version: "v1", TimeLeft: time.Minute}})
	// The router that reports this stream has read the new registration before this one.
	record(1, 5, "u1", "v2")
	check("before the restart", false, false, false, false, true)
	l.Put(at(2), entry("u1", "v2"))
	// The router that reports this one has not.
	record(3, 6, "u1", "v1")
	check("after the restart", true, false, false, false, false, true)
	l.Remove(at(4), "u1")
	check("after the removal", true, false, false, false, false, true)
	l.Put(at(5), entry("u1", "v1"))
	l.Expire(at(6), window)
	record(7, 7, "u1", "v1")
	check("after another restart", true, false, false, false, true, false, false)
	l.Remove(at(8), "u1")
	l.Remove(at(8), "u2")
	l.Expire(at(30), window)
	check("when none can be resumed", false, false, false, false, false, false, false)
}
