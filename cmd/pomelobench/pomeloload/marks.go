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

// Mark is a line of the marks file. A script appends it for an action that pomelobench cannot take itself: just before it kills,
// stops or suspends a router, and just after it resumed one or applied a configuration.
type Mark struct {
	// Killed and Stopping name a router that is killed, or stopped gracefully.
	Killed   pomelorelay.NodeID
	Stopping pomelorelay.NodeID
	// Frozen and Continued name a router whose process is suspended (SIGSTOP), or resumed.
	Frozen    pomelorelay.NodeID
	Continued pomelorelay.NodeID
	// Accepted is the generation of a configuration accepted by the store.
	Accepted pomelorelay.Generation
	// Text is a label for the plots.
	Text string
}

const marksInterval = 50 * time.Millisecond

// followMarks reads lines appended to the file until ctx ends.
func (r *recorder) followMarks(ctx context.Context, path string, logf func(string, ...any)) {
	var offset int64
	for {
		n, err := r.readMarks(path, offset, logf)
		if err != nil && !os.IsNotExist(err) {
			logf("marks file: %v", err)
		}
		offset += n
		if !sleep(ctx, marksInterval) {
			return
		}
	}
}

// readMarks records the marks on the complete lines after offset and returns the length of these lines in bytes.
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
	var consumed int64
	for {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			return consumed, nil
		}
		consumed += int64(len(line))
		var m Mark
		if err := json.Unmarshal(bytes.TrimSpace(line), &m); err != nil {
			logf("mark %q: %v", line, err)
			continue
		}
		r.addMark(m, time.Now())
	}
}

// addMark records a mark read at now. It dates a kill, stop or suspension two polling intervals back: the mark is read with a delay,
// and failures within that delay already result from the kill, stop or suspension.
func (r *recorder) addMark(m Mark, now time.Time) {
	at := now.Add(-2 * marksInterval)
	if m.Killed != "" {
		r.observe(pomelocheck.RouterKilled{Node: m.Killed, At: at})
		r.addFault(at, "kill "+string(m.Killed))
	}
	if m.Stopping != "" {
		r.observe(pomelocheck.RouterStopping{Node: m.Stopping, At: at})
		r.addFault(at, "stop "+string(m.Stopping))
	}
	if m.Frozen != "" {
		r.observe(pomelocheck.RouterSuspended{Node: m.Frozen, At: at})
		r.addFault(at, "freeze "+string(m.Frozen))
	}
	if m.Continued != "" {
		r.observe(pomelocheck.RouterResumed{Node: m.Continued, At: now})
		r.addFault(now, "continue "+string(m.Continued))
	}
	if m.Accepted > 0 {
		r.observe(pomelocheck.ConfigAccepted{Generation: m.Accepted, At: now})
		r.addFault(now, "configuration accepted")
	}
	if m.Text != "" {
		r.addFault(now, m.Text)
	}
}
