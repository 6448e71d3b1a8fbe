package pomeloquarantine_test

import (
	"testing"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloquarantine"
)

func fullCrashLog() *pomeloquarantine.CrashLog {
	l := pomeloquarantine.NewCrashLog(pomeloquarantine.CrashLogConfig{})
	for n := range 4096 {
		crash := crashAt(n%100, 0, false)
		crash.Fingerprint = pomelorelay.Fingerprint(n)
		l.Observe(start, crash)
		crash.Upstream, crash.Repeated = "second", true
		l.Observe(start, crash)
		crash.Upstream = "third"
		l.Observe(start, crash)
	}
	return l
}

// BenchmarkCrashLogChange measures a new crash and a new snapshot in a full log, BenchmarkCrashLogRecord the record of one.
func BenchmarkCrashLogChange(b *testing.B) {
	l := fullCrashLog()
	n := 0
	for b.Loop() {
		n++
		crash := crashAt(1000+n, 0, false)
		crash.Fingerprint = pomelorelay.Fingerprint(n % 4096)
		l.Observe(start, crash)
		l.Snapshot()
	}
}

func BenchmarkCrashLogRecord(b *testing.B) {
	l := fullCrashLog()
	for b.Loop() {
		l.Record(2048)
	}
}
