package pomelolog

import (
	"io"
	"sync"
	"time"

	"github.com/phuslu/log"
)

const (
	// batchInterval is the minimum time between two writes of lines below the level of warnings, and so the longest time for which such lines wait.
	batchInterval = 20 * time.Millisecond
	// maxBatchBytes is the size of the waiting lines from which they are written at once.
	maxBatchBytes = 64 << 10
)

// batchWriter writes the lines of a burst together, since one system call for each line takes a notable part of the time of a short request. The
// first line after a pause is written at once, as are warnings and errors, so that a crash of the process loses none of them.
type batchWriter struct {
	w io.Writer

	mu        sync.Mutex
	lines     []byte
	writtenAt time.Time
	// timer writes the waiting lines; scheduled is set while it runs.
	timer     *time.Timer
	scheduled bool
}

func newBatchWriter(w io.Writer) *batchWriter {
	b := &batchWriter{w: w}
	b.timer = time.AfterFunc(time.Hour, b.writeDue)
	b.timer.Stop()
	return b
}

// WriteEntry adds a line; errors of delayed writes are lost, as a line that the destination refuses cannot be logged.
func (b *batchWriter) WriteEntry(e *log.Entry) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	line := e.Value()
	b.lines = append(b.lines, line...)
	wait := batchInterval - time.Since(b.writtenAt)
	if e.Level >= log.WarnLevel || len(b.lines) >= maxBatchBytes || wait <= 0 {
		return len(line), b.flush()
	}
	if !b.scheduled {
		b.scheduled = true
		b.timer.Reset(wait)
	}
	return len(line), nil
}

func (b *batchWriter) writeDue() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.scheduled = false
	_ = b.flush()
}

func (b *batchWriter) flush() error {
	if len(b.lines) == 0 {
		return nil
	}
	_, err := b.w.Write(b.lines)
	b.lines = b.lines[:0]
	b.writtenAt = time.Now()
	return err
}

// Close stops the flush timer and writes the buffered lines.
func (b *batchWriter) Close() error {
	b.timer.Stop()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.flush()
}
