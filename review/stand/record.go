package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the log of a case: what clients sent, what servers ran and how clients were answered.
type record struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
	out   *bufio.Writer
	runs  map[string][]serverRun
	// brief holds back the lines on single requests, which write then writes for the requests that matter.
	brief   bool
	details map[string][]string
}

// serverRun is one run of a request at a server.
type serverRun struct {
	server string
	began  time.Time
	ended  time.Time
	// finished is set if the server did all of its work on the request; otherwise the connection closed before.
	finished bool
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: f, out: bufio.NewWriter(f), runs: make(map[string][]serverRun), details: make(map[string][]string)}, nil
}

// log writes a line with the seconds since the start.
func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// row writes a line without its time.
func (r *record) row(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, format+"\n", args...)
}

// detail writes a line on a request, or holds it back.
func (r *record) detail(id, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	if r.brief {
		r.details[id] = append(r.details[id], line)
		return
	}
	r.out.WriteString(line)
}

// write writes the lines on a request that were held back.
func (r *record) write(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, line := range r.details[id] {
		r.out.WriteString("    " + line)
	}
}

// since returns the seconds from the start to a time.
func (r *record) since(at time.Time) float64 { return at.Sub(r.began).Seconds() }

// beginRun records that a server has begun to work on a request; the result is called when it has stopped.
func (r *record) beginRun(server, id string) func(finished bool) {
	r.detail(id, "server %s runs %s", server, id)
	r.mu.Lock()
	n := len(r.runs[id])
	r.runs[id] = append(r.runs[id], serverRun{server: server, began: time.Now()})
	r.mu.Unlock()
	return func(finished bool) {
		r.detail(id, "server %s ends %s finished=%v", server, id, finished)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.runs[id][n].ended, r.runs[id][n].finished = time.Now(), finished
	}
}

// runsOf returns the runs of a request.
func (r *record) runsOf(id string) []serverRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]serverRun(nil), r.runs[id]...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}
