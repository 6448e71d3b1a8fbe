package pomelolog_test

import (
	"bytes"
	"sync"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelolog"
)

// countingWriter counts the writes and the lines in them.
type countingWriter struct {
	mu            sync.Mutex
	writes, lines int
}

func (w *countingWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writes++
	w.lines += bytes.Count(p, []byte("\n"))
	return len(p), nil
}

func (w *countingWriter) counts() (writes, lines int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.writes, w.lines
}

// Guards against lines of a burst that are lost, or kept until the next line, and against a write for each of them.
func TestLinesOfABurstAreWrittenTogether(t *testing.T) {
	const count = 1000
	w := &countingWriter{}
	l := pomelolog.New(pomelolog.Config{Node: "r1", Level: pomelorelay.LevelInfo, Writer: w, MaxPerSecond: 1 << 30})
	defer l.Close()
	for range count {
		l.Log(pomelorelay.EventRequestServed)
	}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if _, lines := w.counts(); lines == count {
			break
		}
	}
	writes, lines := w.counts()
	if lines != count || writes > count/2 {
		t.Errorf("%d lines in %d writes, want %d lines in at most %d", lines, writes, count, count/2)
	}
}

// Guards against a warning that waits for later lines and is lost when the process crashes.
func TestEachWarningIsWrittenAtOnce(t *testing.T) {
	const count = 50
	w := &countingWriter{}
	l := pomelolog.New(pomelolog.Config{Node: "r1", Level: pomelorelay.LevelInfo, Writer: w})
	for range count {
		l.Log(pomelorelay.EventRequestFailed)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	if writes, lines := w.counts(); writes != count || lines != count {
		t.Errorf("%d lines in %d writes, want %d in as many", lines, writes, count)
	}
}

// Guards against the loss of the waiting lines when the process ends.
func TestCloseWritesWaitingLines(t *testing.T) {
	const count = 6
	var out bytes.Buffer
	l := pomelolog.New(pomelolog.Config{Node: "r1", Level: pomelorelay.LevelInfo, Writer: &out})
	for range count {
		l.Log(pomelorelay.EventRequestServed)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	if got := bytes.Count(out.Bytes(), []byte("\n")); got != count {
		t.Errorf("%d lines, want %d", got, count)
	}
}
