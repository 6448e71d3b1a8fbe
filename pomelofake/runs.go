package pomelofake

import (
	"sync"
	"time"
)

// Run is one execution of a request on a stand-in.
type Run struct {
	// Seq numbers the runs of a stand-in, starting at one, in the order of their ends.
	Seq uint64
	// Key is the Idempotency-Key and RequestID the X-Request-Id of the request; empty if missing.
	Key       string
	RequestID string
	Proof     BodyDigest
	Start     time.Time
	End       time.Time
	// Prompt, Cached and Completion are the numbers of prompt tokens, of prompt tokens found in the prefix cache, and of answer tokens;
	// zero for a plain service.
	Prompt     int
	Cached     int
	Completion int
	// Cancelled reports whether the run was ended by a disconnected caller, a crash or Close.
	Cancelled bool
}

// runLog counts started runs and records ended ones.
type runLog struct {
	mu                sync.Mutex
	startsByKey       map[string]int
	startsByRequestID map[string]int
	startsByDigest    map[BodyDigest]int
	running           map[*Run]struct{}
	ended             []Run
}

func newRunLog() *runLog {
	return &runLog{
		startsByKey:       make(map[string]int),
		startsByRequestID: make(map[string]int),
		startsByDigest:    make(map[BodyDigest]int),
		running:           make(map[*Run]struct{}),
	}
}

// start counts a run. A run is counted when it starts, not when it ends, since its effects cannot be undone once it has started.
func (l *runLog) start(key, requestID string, digest BodyDigest) *Run {
	r := &Run{Key: key, RequestID: requestID, Proof: digest, Start: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	if key != "" {
		l.startsByKey[key]++
	}
	if requestID != "" {
		l.startsByRequestID[requestID]++
	}
	l.startsByDigest[digest]++
	l.running[r] = struct{}{}
	return r
}

func (l *runLog) end(r *Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.running[r]; !ok {
		return
	}
	delete(l.running, r)
	r.End = time.Now()
	r.Seq = uint64(len(l.ended) + 1)
	l.ended = append(l.ended, *r)
}

// endedAfter returns the runs that ended after the run with sequence number seq.
func (l *runLog) endedAfter(seq uint64) []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	if seq >= uint64(len(l.ended)) {
		return nil
	}
	return append([]Run(nil), l.ended[seq:]...)
}

func (l *runLog) count(counts map[string]int, id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return counts[id]
}

func (l *runLog) countDigest(digest BodyDigest) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.startsByDigest[digest]
}
