package pomeloquarantine_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloquarantine"
)

// Fingerprints of prompt parts.
const (
	causePart pomelorelay.Fingerprint = 100 + iota
	otherCausePart
	firstPart
	riderPart
)

// brokenRun is a run of a request with prompt parts that an upstream's crash ended.
type brokenRun struct {
	request pomelorelay.Fingerprint
	parts   []pomelorelay.Fingerprint
}

func runOf(request pomelorelay.Fingerprint, parts ...pomelorelay.Fingerprint) brokenRun {
	return brokenRun{request, parts}
}

// crash logs the crash of upstream n under runs, at n seconds after start.
func crash(l *pomeloquarantine.CrashLog, n int, runs ...brokenRun) {
	at := start.Add(time.Duration(n) * time.Second)
	for _, run := range runs {
		for i, f := range append([]pomelorelay.Fingerprint{run.request}, run.parts...) {
			l.Observe(at, pomelorelay.RequestCrash{
				Fingerprint: f, Part: i > 0, Upstream: pomelorelay.UpstreamID(fmt.Sprint("u", n)), StartUnixMilli: 1, UnixMilli: at.UnixMilli(), Runs: 1 << (run.request % 64), Repeated: n > 0,
			})
		}
	}
}

// Guards against requests that share a crashing part and are never refused, and against refusing requests that only ran beside them.
func TestCrashLogQuarantinesWhatExplainsTheCrashes(t *testing.T) {
	for _, c := range []struct {
		name string
		play func(l *pomeloquarantine.CrashLog)
		// refused and served are requests by their fingerprints.
		refused, served [][]pomelorelay.Fingerprint
	}{
		{
			"a part of unlike requests",
			func(l *pomeloquarantine.CrashLog) {
				for n := range 4 {
					crash(l, n, runOf(pomelorelay.Fingerprint(n), firstPart, causePart), runOf(pomelorelay.Fingerprint(20+n), firstPart, riderPart))
				}
			},
			[][]pomelorelay.Fingerprint{{9, firstPart, causePart}, {9, causePart, riderPart}},
			[][]pomelorelay.Fingerprint{{9, firstPart, riderPart}, {9, firstPart}, {20}},
		},
		{
			"two parts that always came together",
			func(l *pomeloquarantine.CrashLog) {
				for n := range 4 {
					crash(l, n, runOf(pomelorelay.Fingerprint(n), firstPart, causePart))
				}
			},
			[][]pomelorelay.Fingerprint{{9, firstPart, causePart}},
			[][]pomelorelay.Fingerprint{{9, firstPart, riderPart}, {9, riderPart, causePart}},
		},
		{
			"the same request again",
			func(l *pomeloquarantine.CrashLog) {
				for n := range 3 {
					crash(l, n, runOf(7, firstPart, causePart))
				}
			},
			[][]pomelorelay.Fingerprint{{7, firstPart, causePart}},
			[][]pomelorelay.Fingerprint{{9, firstPart, causePart}},
		},
		{
			"the same request again, then others with its part",
			func(l *pomeloquarantine.CrashLog) {
				for n := range 3 {
					crash(l, n, runOf(7, firstPart, causePart))
				}
				crash(l, 3, runOf(8, riderPart, causePart))
				crash(l, 4, runOf(8, causePart))
			},
			[][]pomelorelay.Fingerprint{{7, firstPart, causePart}, {9, firstPart, causePart}},
			[][]pomelorelay.Fingerprint{{9, firstPart, riderPart}},
		},
		{
			"two causes that share their first part",
			func(l *pomeloquarantine.CrashLog) {
				for n := range 10 {
					crash(l, n, runOf(pomelorelay.Fingerprint(n), firstPart, []pomelorelay.Fingerprint{causePart, otherCausePart}[n%2]),
						runOf(pomelorelay.Fingerprint(20+n), firstPart), runOf(pomelorelay.Fingerprint(40+n), firstPart))
				}
				l.Answered(start.Add(9*time.Second), firstPart)
			},
			[][]pomelorelay.Fingerprint{{50, firstPart, causePart}, {50, firstPart, otherCausePart}},
			[][]pomelorelay.Fingerprint{{50, firstPart, riderPart}},
		},
		{
			"a part beside crashes without it",
			func(l *pomeloquarantine.CrashLog) {
				for n := range 8 {
					crash(l, n, runOf(pomelorelay.Fingerprint(n), []pomelorelay.Fingerprint{riderPart, firstPart}[n%2]))
				}
			},
			nil,
			[][]pomelorelay.Fingerprint{{9, riderPart}, {9, firstPart}},
		},
		{
			"a part that a harmless request is taken for at first",
			func(l *pomeloquarantine.CrashLog) {
				for n := range 4 {
					crash(l, n, runOf(pomelorelay.Fingerprint(n), causePart), runOf(pomelorelay.Fingerprint(10+n), causePart), runOf(30+pomelorelay.Fingerprint(n), riderPart))
				}
				crash(l, 4, runOf(4, causePart))
			},
			[][]pomelorelay.Fingerprint{{9, causePart}},
			[][]pomelorelay.Fingerprint{{30, riderPart}, {9, riderPart}},
		},
		{
			"a part that is answered",
			func(l *pomeloquarantine.CrashLog) {
				for n := range 4 {
					crash(l, n, runOf(pomelorelay.Fingerprint(n), riderPart))
				}
				l.Answered(start.Add(4*time.Second), riderPart)
			},
			nil,
			[][]pomelorelay.Fingerprint{{9, riderPart}},
		},
		{
			"a part that had been answered until it began to crash upstreams",
			func(l *pomeloquarantine.CrashLog) {
				l.Answered(start, causePart)
				for n := range 10 {
					crash(l, n, runOf(pomelorelay.Fingerprint(n), causePart))
				}
			},
			[][]pomelorelay.Fingerprint{{50, causePart}},
			nil,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := pomeloquarantine.NewCrashLog(pomeloquarantine.CrashLogConfig{})
			c.play(l)
			now := start.Add(10 * time.Second)
			for _, request := range c.refused {
				if l.Snapshot().QuarantineRemaining(now, request...) == 0 {
					t.Errorf("request %v is not refused", request)
				}
			}
			for _, request := range c.served {
				if l.Snapshot().QuarantineRemaining(now, request...) > 0 {
					t.Errorf("request %v is refused", request)
				}
			}
		})
	}
}

// Guards against a fleet that restarts and refuses other requests than before.
func TestRecordHoldsWhatExplainsTheCrashes(t *testing.T) {
	l := pomeloquarantine.NewCrashLog(pomeloquarantine.CrashLogConfig{})
	for n := range 4 {
		crash(l, n, runOf(pomelorelay.Fingerprint(n), firstPart, causePart), runOf(pomelorelay.Fingerprint(20+n), firstPart, riderPart))
	}
	record := l.Record(100)
	if slices.ContainsFunc(record, func(c pomelorelay.RequestCrash) bool { return c.Fingerprint != causePart }) {
		t.Errorf("recorded %v, want crashes under the cause only", record)
	}
	restarted := pomeloquarantine.NewCrashLog(pomeloquarantine.CrashLogConfig{})
	restarted.Merge(start.Add(4*time.Second), record)
	if s := restarted.Snapshot(); s.QuarantineRemaining(start, 9, firstPart, causePart) == 0 || s.QuarantineRemaining(start, 9, firstPart, riderPart) > 0 {
		t.Error("a router that reads the record refuses other requests")
	}
}
