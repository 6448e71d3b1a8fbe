package pomelolog_test

import (
	"bytes"
	"encoding/json"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelolog"
)

// lineBuffer is a writer that collects log lines in memory.
type lineBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *lineBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *lineBuffer) countByEvent(t *testing.T) map[pomelorelay.EventID]int {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make(map[pomelorelay.EventID]int)
	for d := json.NewDecoder(&l.text); ; {
		var line struct{ Event pomelorelay.EventID }
		if err := d.Decode(&line); err == io.EOF {
			return counts
		} else if err != nil {
			t.Fatal(err)
		}
		counts[line.Event]++
	}
}

// fakeClock is a manually advanced clock.
type fakeClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *fakeClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *fakeClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// Guards against a flood of one event suppressing the few lines of another, such as those that report failures.
func TestRateLimitIsPerEvent(t *testing.T) {
	out, clock := &lineBuffer{}, &fakeClock{now: time.Unix(1000, 0)}
	l := pomelolog.New(pomelolog.Config{Node: "r1", Level: pomelorelay.LevelInfo, Writer: out, MaxPerSecond: 10, Clock: clock})
	for range 1000 {
		l.Log(pomelorelay.EventRequestServed)
	}
	for range 5 {
		l.Log(pomelorelay.EventRequestFailed)
	}
	clock.advance(time.Second)
	l.Log(pomelorelay.EventRequestServed)
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	got := out.countByEvent(t)
	if got[pomelorelay.EventRequestServed] != 11 || got[pomelorelay.EventRequestFailed] != 5 || got[pomelorelay.EventLinesLeftOut] != 1 {
		t.Errorf("lines by event: %v", got)
	}
}

// The process that reads the log output stops reading. A Logger that waited for that process would block every request of the router.
func TestLogDoesNotBlockOnStalledReader(t *testing.T) {
	r, w := io.Pipe()
	defer r.Close()
	l := pomelolog.New(pomelolog.Config{Node: "r1", Level: pomelorelay.LevelInfo, Writer: w, MaxPerSecond: 1 << 30})
	done := make(chan struct{})
	go func() {
		for range 20_000 {
			l.Log(pomelorelay.EventRequestServed)
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("Log blocked on a stalled reader")
	}
	if l.DroppedLines() == 0 {
		t.Error("no dropped line was counted")
	}
	if err := l.Close(); err != nil {
		t.Error(err)
	}
}

// BenchmarkLine measures the writing of a log line as large as those logged at the end of each request.
func BenchmarkLine(b *testing.B) {
	l := pomelolog.New(pomelolog.Config{Node: "r1", Level: pomelorelay.LevelInfo, Writer: io.Discard, MaxPerSecond: 1 << 30})
	fields := []pomelorelay.Field{
		{Key: "Request", Value: "9c41d07be2a35f68"}, {Key: "Account", Value: "goje490"}, {Key: "Upstream", Value: "i-7f3a91c2"},
		{Key: "Route", Value: "r-vat8hsf"}, {Key: "Failure", Value: "1213 ShareSpent"}, {Key: "Reason", Value: "Share"}, {Key: "Owed", Value: true},
	}
	for _, name := range []string{
		"Generation", "Status", "Code", "RetryAfterMS", "FirstMS", "TotalMS", "PauseMS", "ExpectedMS", "BacklogMS", "Missing", "Shared", "Running",
		"Runs", "Cost", "Asked", "Served", "Level",
	} {
		fields = append(fields, pomelorelay.Field{Key: name, Value: int64(1002818)})
	}
	for b.Loop() {
		l.Log(pomelorelay.EventRequestServed, fields...)
	}
}
