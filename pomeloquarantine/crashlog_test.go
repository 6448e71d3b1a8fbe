package pomeloquarantine_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloquarantine"

	"pgregory.net/rapid"
)

const suspect pomelorelay.Fingerprint = 7

var start = time.Unix(1_000_000, 0)

// crashAt returns a crash of upstream n under the suspect, at a time after start.
func crashAt(n int, after time.Duration, repeated bool) pomelorelay.RequestCrash {
	return pomelorelay.RequestCrash{Fingerprint: suspect, Upstream: pomelorelay.UpstreamID(fmt.Sprint("u", n)), StartUnixMilli: 1, UnixMilli: start.Add(after).UnixMilli(), Repeated: repeated}
}

// Guards against a request that goes on crashing upstreams, and against refusing one whose upstreams ended for another reason.
func TestCrashLogQuarantinesOnlyTheCause(t *testing.T) {
	for _, c := range []struct {
		name string
		play func(l *pomeloquarantine.CrashLog)
		want time.Duration
	}{
		{"two crashes", func(l *pomeloquarantine.CrashLog) {
			l.Observe(start, crashAt(1, 0, false))
			l.Observe(start, crashAt(2, 0, true))
		}, 0},
		{"three crashes in turn", func(l *pomeloquarantine.CrashLog) {
			l.Observe(start, crashAt(1, 0, false))
			l.Merge(start, []pomelorelay.RequestCrash{crashAt(2, 0, true)})
			l.Observe(start, crashAt(3, 0, true))
		}, 10 * time.Minute},
		{"a fourth crash", func(l *pomeloquarantine.CrashLog) {
			for n := range 4 {
				l.Observe(start, crashAt(n, 0, n > 0))
			}
		}, 20 * time.Minute},
		{"three upstreams of one host at once", func(l *pomeloquarantine.CrashLog) {
			for n := range 3 {
				l.Observe(start, crashAt(n, 0, false))
			}
		}, 0},
		{"one crash seen by three routers", func(l *pomeloquarantine.CrashLog) {
			l.Observe(start, crashAt(1, 0, false))
			l.Merge(start, []pomelorelay.RequestCrash{crashAt(1, 0, true), crashAt(1, 0, true)})
		}, 0},
		{"an upstream that starts again under its ID", func(l *pomeloquarantine.CrashLog) {
			for n := range 3 {
				crash := crashAt(1, 0, n > 0)
				crash.StartUnixMilli = int64(n)
				l.Observe(start, crash)
			}
		}, 10 * time.Minute},
		{"answered between the crashes", func(l *pomeloquarantine.CrashLog) {
			l.Observe(start, crashAt(1, 0, false))
			l.Observe(start, crashAt(2, 0, true))
			l.Answered(start, suspect)
			l.Merge(start, []pomelorelay.RequestCrash{crashAt(3, 0, true)})
		}, 0},
		{"answered shortly before the crashes", func(l *pomeloquarantine.CrashLog) {
			l.Answered(start.Add(-10*time.Second), suspect)
			for n := range 3 {
				l.Observe(start, crashAt(n, 0, n > 0))
			}
		}, 0},
		{"answered at another router", func(l *pomeloquarantine.CrashLog) {
			for n := range 3 {
				l.Observe(start, crashAt(n, 0, n > 0))
			}
			cleared := crashAt(2, 0, true)
			cleared.Cleared = true
			l.Merge(start, []pomelorelay.RequestCrash{cleared})
		}, 0},
		{"crashes of an hour ago", func(l *pomeloquarantine.CrashLog) {
			for n := range 3 {
				l.Merge(start, []pomelorelay.RequestCrash{crashAt(n, -time.Hour, true)})
			}
		}, 0},
		{"three pending in turn", func(l *pomeloquarantine.CrashLog) {
			l.ObservePending(start, crashAt(1, -time.Second, false))
			l.MergePending(start, []pomelorelay.RequestCrash{crashAt(2, 0, true)})
			l.ObservePending(start, crashAt(3, 0, true))
		}, 7 * time.Second},
		{"three pending at once", func(l *pomeloquarantine.CrashLog) {
			for n := range 3 {
				l.ObservePending(start, crashAt(n, 0, false))
			}
		}, 0},
		{"two confirmed and one pending", func(l *pomeloquarantine.CrashLog) {
			l.Observe(start, crashAt(1, -time.Minute, false))
			l.Observe(start, crashAt(2, -time.Minute, true))
			l.ObservePending(start, crashAt(3, 0, true))
		}, 8 * time.Second},
		{"three at once confirmed, one pending later", func(l *pomeloquarantine.CrashLog) {
			for n := range 3 {
				l.Observe(start, crashAt(n, 0, false))
			}
			l.ObservePending(start, crashAt(3, 0, true))
		}, 8 * time.Second},
		{"pending and confirmed later", func(l *pomeloquarantine.CrashLog) {
			for n := range 3 {
				l.ObservePending(start, crashAt(n, 0, n > 0))
				l.Merge(start, []pomelorelay.RequestCrash{crashAt(n, 0, n > 0)})
			}
		}, 10 * time.Minute},
		{"one of three pending is confirmed", func(l *pomeloquarantine.CrashLog) {
			l.Observe(start, crashAt(0, 0, false))
			for n := range 3 {
				l.ObservePending(start, crashAt(n, 0, n > 0))
			}
		}, 8 * time.Second},
		{"pending of eight seconds ago", func(l *pomeloquarantine.CrashLog) {
			for n := range 3 {
				l.ObservePending(start, crashAt(n, -8*time.Second, n > 0))
			}
		}, 0},
		{"answered while pending", func(l *pomeloquarantine.CrashLog) {
			for n := range 3 {
				l.ObservePending(start, crashAt(n, 0, n > 0))
			}
			l.Answered(start, suspect)
			l.Merge(start, []pomelorelay.RequestCrash{crashAt(1, 0, true)})
		}, 0},
		{"a clock that is ahead", func(l *pomeloquarantine.CrashLog) {
			for n := range 3 {
				l.Merge(start, []pomelorelay.RequestCrash{crashAt(n, time.Hour, true)})
			}
		}, 10 * time.Minute},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := pomeloquarantine.NewCrashLog(pomeloquarantine.CrashLogConfig{})
			c.play(l)
			if got := l.Snapshot().QuarantineRemaining(start, suspect); got != c.want {
				t.Errorf("quarantined for %v, want %v", got, c.want)
			}
		})
	}
}

func TestCrashLogForgetsExpiredAndOldestCrashes(t *testing.T) {
	l := pomeloquarantine.NewCrashLog(pomeloquarantine.CrashLogConfig{MaxFingerprints: 16, Memory: time.Minute})
	for n := range 100 {
		crash := crashAt(n, time.Duration(n)*time.Second, false)
		crash.Fingerprint = pomelorelay.Fingerprint(n)
		l.Observe(start.Add(time.Duration(n)*time.Second), crash)
	}
	if n := l.Snapshot().Suspects(); n > 16 || !l.Snapshot().IsSuspect(99) || l.Snapshot().IsSuspect(0) {
		t.Errorf("%d suspects of at most 16 are kept, the newest: %t, the oldest: %t", n, l.Snapshot().IsSuspect(99), l.Snapshot().IsSuspect(0))
	}
	if l.Expire(start.Add(3 * time.Minute)); l.Snapshot().Suspects() != 0 {
		t.Errorf("%d suspects are kept beyond Memory", l.Snapshot().Suspects())
	}
}

// Guards against a quarantine that ends because many other upstreams crash.
func TestQuarantineOutlastsManySuspects(t *testing.T) {
	l := pomeloquarantine.NewCrashLog(pomeloquarantine.CrashLogConfig{MaxFingerprints: 16})
	for n := range 3 {
		l.Observe(start, crashAt(n, 0, n > 0))
	}
	for n := range 100 {
		crash := crashAt(9, time.Second, false)
		crash.Fingerprint = pomelorelay.Fingerprint(1000 + n)
		l.Observe(start.Add(time.Second), crash)
	}
	if l.Snapshot().QuarantineRemaining(start, suspect) == 0 {
		t.Error("the quarantine has ended")
	}
}

// Guards against routers that know the same crashes and disagree, because notices and store records arrive in any order and repeatedly.
func TestCrashLogsAgreeWhateverTheOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		crash := rapid.Custom(func(t *rapid.T) pomelorelay.RequestCrash {
			c := crashAt(rapid.IntRange(0, 4).Draw(t, "upstream"), time.Duration(rapid.IntRange(0, 3).Draw(t, "second"))*time.Second, rapid.Bool().Draw(t, "repeated"))
			c.Cleared = rapid.IntRange(0, 5).Draw(t, "cleared") == 0
			c.Fingerprint += pomelorelay.Fingerprint(rapid.IntRange(0, 2).Draw(t, "fingerprint"))
			c.Part = c.Fingerprint != suspect
			c.Runs = uint64(rapid.IntRange(0, 7).Draw(t, "runs"))
			return c
		})
		crashes := rapid.SliceOfN(crash, 1, 12).Draw(t, "crashes")
		order := rapid.Permutation(append(slices.Clone(crashes), crashes...)).Draw(t, "order")
		now := start.Add(5 * time.Second)
		a, b := pomeloquarantine.NewCrashLog(pomeloquarantine.CrashLogConfig{}), pomeloquarantine.NewCrashLog(pomeloquarantine.CrashLogConfig{})
		a.Merge(now, crashes)
		for _, c := range order {
			b.Merge(now, []pomelorelay.RequestCrash{c})
		}
		for _, request := range [][]pomelorelay.Fingerprint{{suspect}, {suspect + 1}, {suspect + 2}, {suspect, suspect + 1, suspect + 2}} {
			if x, y := a.Snapshot().QuarantineRemaining(now, request...), b.Snapshot().QuarantineRemaining(now, request...); x != y {
				t.Errorf("request %v is quarantined for %v and %v", request, x, y)
			}
		}
		if x, y := a.All(100), b.All(100); !slices.Equal(x, y) {
			t.Errorf("crashes %v and %v", x, y)
		}
	})
}

// Guards against an answer that no other router hears of, and against a message about each request that ran on a crashed upstream.
func TestClearsAreSentFromTheSecondCrash(t *testing.T) {
	l := pomeloquarantine.NewCrashLog(pomeloquarantine.CrashLogConfig{})
	l.Observe(start, crashAt(1, 0, false))
	if sent := l.Answered(start, suspect); len(sent) > 0 {
		t.Errorf("after one crash, %v are sent", sent)
	}
	later := start.Add(2 * time.Minute)
	_, sent := l.Merge(later, []pomelorelay.RequestCrash{crashAt(2, 2*time.Minute, true)})
	if len(sent) != 1 || sent[0].Upstream != "u1" || !sent[0].Cleared {
		t.Errorf("after another router's crash, %v are sent, want that of u1 as cleared", sent)
	}
	if sent := l.Answered(later, suspect); len(sent) != 1 || sent[0].Upstream != "u2" {
		t.Errorf("after another answer, %v are sent, want that of u2", sent)
	}
	if sent := l.Answered(later, suspect); len(sent) > 0 {
		t.Errorf("%v are sent again", sent)
	}
}

// Guards against a quarantine that is lost with the routers that know it, and against store calls for each upstream that crashes.
func TestOnlyQuarantinesAreRecorded(t *testing.T) {
	l := pomeloquarantine.NewCrashLog(pomeloquarantine.CrashLogConfig{})
	l.Observe(start, crashAt(1, 0, false))
	l.Merge(start, []pomelorelay.RequestCrash{crashAt(2, 0, true)})
	if l.RecordChanged() {
		t.Errorf("a record is due after two crashes: %v", l.Record(10))
	}
	l.Merge(start, []pomelorelay.RequestCrash{crashAt(3, 0, true)})
	if !l.RecordChanged() || len(l.Record(10)) != 3 || l.RecordChanged() {
		t.Errorf("recorded %v, want the three crashes once", l.Record(10))
	}
	restarted := pomeloquarantine.NewCrashLog(pomeloquarantine.CrashLogConfig{})
	restarted.Merge(start, l.Record(10))
	if restarted.Snapshot().QuarantineRemaining(start, suspect) == 0 || restarted.RecordChanged() {
		t.Error("a router that reads the record does not quarantine the request, or records what it did not observe")
	}
}
