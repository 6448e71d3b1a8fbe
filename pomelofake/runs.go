package pomelofake

import (
	"sync"
	"time"
)

// Run is one run of a request on a stand-in.
type Run struct {
	// Seq numbers the runs of a stand-in from one, in the order in which they ended.
	Seq uint64
	// Key is the Idempotency-Key and RequestID the X-Request-Id, empty when there was none.
	Key       string
	RequestID string
	Proof     BodyDigest
	Start     time.Time
	End       time.Time
	// Prompt, Cached and Completion count tokens; a plain service has none.
	Prompt     int
	Cached     int
	Completion int
	// Cancelled tells that the run ended because its caller went, or the stand-in crashed.
	Cancelled bool
}

// runLog counts runs as they start and keeps them as they end.
type runLog struct {
	mu         sync.Mutex
	keys       map[string]int
	requestIDs map[string]int
	proofs     map[BodyDigest]int
	running    map[*Run]struct{}
	ended      []Run
}

func newRunLog() *runLog {
	return &runLog{
		keys:       make(map[string]int),
		requestIDs: make(map[string]int),
		proofs:     make(map[BodyDigest]int),
		running:    make(map[*Run]struct{}),
	}
}

// start counts a run; it is counted when it starts since its effect cannot be taken back from then on.
func (l *runLog) start(key, requestID string, proof BodyDigest) *Run {
	r := &Run{Key: key, RequestID: requestID, Proof: proof, Start: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	if key != "" {
		l.keys[key]++
	}
	if requestID != "" {
		l.requestIDs[requestID]++
	}
	l.proofs[proof]++
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

// after returns the runs that ended after the one numbered seq.
func (l *runLog) after(seq uint64) []Run {
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

func (l *runLog) countProof(proof BodyDigest) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.proofs[proof]
}
