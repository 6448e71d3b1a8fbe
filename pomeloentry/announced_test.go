package pomeloentry_test

import (
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloentry"
)

func announcing(percent int, age time.Duration, process int64) *pomelorelay.LoadReport {
	return &pomelorelay.LoadReport{Upstreams: []pomelorelay.UpstreamLoad{{
		Upstream: "u", Announced: pomelorelay.UpstreamFigures{Running: 1, Slots: 12, SlownessPercent: percent}, AnnouncedAge: age, AnnouncedStart: process,
	}}}
}

// Guards against a relay that forwards an announcement as new although it held it, one that is older than another, one of a process that has ended,
// or one that its receiver sent: receivers would place requests by it.
func TestRelayForwardsNewestAnnouncementWithItsAge(t *testing.T) {
	now := time.Unix(1000, 0)
	later := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	s := pomeloentry.NewAggregate()
	s.Add(now, "r1", 1, announcing(250, 30*time.Millisecond, 7))
	s.Add(later(5), "r2", 1, announcing(100, 80*time.Millisecond, 7))
	s.Add(later(6), "r3", 1, announcing(300, 0, 6))
	reports := s.ReportsAt(later(40), false, "r1", "r2")
	got := reports["r2"].Upstreams[0]
	if got.Announced.SlownessPercent != 250 || got.AnnouncedAge != 70*time.Millisecond || got.AnnouncedStart != 7 {
		t.Errorf("forwarded %+v of age %v and process %d, want that of r1 with an age of 70ms", got.Announced, got.AnnouncedAge, got.AnnouncedStart)
	}
	if back := reports["r1"].Upstreams[0]; back.Announced.Known() {
		t.Errorf("%+v sent back to its source", back.Announced)
	}
	s.Add(later(50), "r3", 1, &pomelorelay.LoadReport{Upstreams: []pomelorelay.UpstreamLoad{{Upstream: "u", Running: 2}}})
	if again := s.ReportsAt(later(80), false, "r2")["r2"].Upstreams[0]; again.Announced.Known() {
		t.Errorf("%+v forwarded a second time", again.Announced)
	}
	s.Add(later(90), "r3", 1, announcing(120, 0, 8))
	if restarted := s.ReportsAt(later(90), false, "r2")["r2"].Upstreams[0]; restarted.AnnouncedStart != 8 {
		t.Errorf("forwarded that of process %d after a restart, want 8", restarted.AnnouncedStart)
	}
}

// Guards against a log line for each response of an upstream with a malformed header: its lines would displace others.
func TestInvalidLoadIsLoggedOncePerMinute(t *testing.T) {
	now := time.Unix(1000, 0)
	var lines loggedEvents
	c := pomeloentry.NewAnnouncementControl(&lines)
	for second := range 90 {
		c.RecordInvalid(now.Add(time.Duration(second)*time.Second), "u")
		c.RecordInvalid(now.Add(time.Duration(second)*time.Second), "v")
	}
	if lines.count != 4 {
		t.Errorf("%d lines in 90 s for two upstreams, want 4", lines.count)
	}
}

// loggedEvents counts the lines on malformed announcements.
type loggedEvents struct{ count int }

// Log counts the event.
func (l *loggedEvents) Log(id pomelorelay.EventID, _ ...pomelorelay.Field) {
	if id == pomelorelay.EventLoadInvalid {
		l.count++
	}
}
