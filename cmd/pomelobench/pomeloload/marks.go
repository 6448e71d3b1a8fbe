package pomeloload

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"os"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelocheck"
)

// Mark is a line that a script appends to the marks file just before it does what the bench cannot: ending a process,
// applying a configuration.
type Mark struct {
	// Killed and Stopping name a router that is ended without warning or by a planned stop.
	Killed   pomelorelay.NodeID
	Stopping pomelorelay.NodeID
	// Frozen and Continued name a router that is halted and goes on.
	Frozen    pomelorelay.NodeID
	Continued pomelorelay.NodeID
	// Accepted is the generation of a configuration that the store took.
	Accepted pomelorelay.Generation
	// Text is for the plots.
	Text string
}

const marksInterval = 50 * time.Millisecond

// follow reads lines that are appended to the file until ctx ends.
func (r *recorder) follow(ctx context.Context, path string, logf func(string, ...any)) {
	var offset int64
	for {
		n, err := r.readMarks(path, offset, logf)
		if err != nil && !os.IsNotExist(err) {
			logf("marks file: %v", err)
		}
		offset += n
		if !wait(ctx, marksInterval) {
			return
		}
	}
}

// readMarks takes in the whole lines after offset and returns their length.
func (r *recorder) readMarks(path string, offset int64, logf func(string, ...any)) (int64, error) {
	file, err := os.Open(path)
	if err != nil {
		return 0, err
	}
	defer func() { _ = file.Close() }()
	if _, err := file.Seek(offset, io.SeekStart); err != nil {
		return 0, err
	}
	reader := bufio.NewReader(file)
	var taken int64
	for {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			return taken, nil
		}
		taken += int64(len(line))
		var m Mark
		if err := json.Unmarshal(bytes.TrimSpace(line), &m); err != nil {
			logf("mark %q: %v", line, err)
			continue
		}
		r.takeMark(m, time.Now())
	}
}

// A mark is read a little after it was written; what broke within that time counts as after it.
func (r *recorder) takeMark(m Mark, now time.Time) {
	at := now.Add(-2 * marksInterval)
	if m.Killed != "" {
		r.observe(pomelocheck.RouterKilled{Node: m.Killed, At: at})
		r.mark(at, "kill "+string(m.Killed))
	}
	if m.Stopping != "" {
		r.observe(pomelocheck.RouterStopping{Node: m.Stopping, At: at})
		r.mark(at, "stop "+string(m.Stopping))
	}
	if m.Frozen != "" {
		r.observe(pomelocheck.RouterSuspended{Node: m.Frozen, At: at})
		r.mark(at, "freeze "+string(m.Frozen))
	}
	if m.Continued != "" {
		r.observe(pomelocheck.RouterResumed{Node: m.Continued, At: now})
		r.mark(now, "continue "+string(m.Continued))
	}
	if m.Accepted > 0 {
		r.observe(pomelocheck.ConfigAccepted{Generation: m.Accepted, At: now})
		r.mark(now, "configuration accepted")
	}
	if m.Text != "" {
		r.mark(now, m.Text)
	}
}
