package pomeloload

import (
	"sync"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelocheck"
	"github.com/pomelorelay/pomelorelay/pomelofake"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// recorder collects the observations of callers, stand-ins and routers for the checks and the report.
type recorder struct {
	mu           sync.Mutex
	events       []pomelocheck.Event
	requests     map[pomelocheck.ContentID]request
	attempts     []attemptRecord
	runs         []runRecord
	controlBytes []controlRecord
	faults       []FaultMark
	tally        Tally
	seconds      map[int]*secondStats
	start        time.Time
	// leftAt is when the host list began to show each upstream as leaving.
	leftAt map[pomelorelay.UpstreamID]time.Time
	// failureCounts counts broken and refused attempts by message.
	failureCounts map[string]int
}

// attemptRecord is the time span and the outcome of an attempt.
type attemptRecord struct {
	content  pomelocheck.ContentID
	sent     time.Time
	ended    time.Time
	answered bool
}

type runRecord struct {
	upstream Upstream
	run      pomelofake.Run
}

// controlRecord is the traffic between one router and its peers from one reading of the router's counters to the next.
type controlRecord struct {
	at          time.Time
	node        pomelorelay.NodeID
	total       pomelorelay.Bytes
	crossRegion pomelorelay.Bytes
	interval    time.Duration
}

// FaultMark is an injected fault with its time, for the plots.
type FaultMark struct {
	At   time.Time
	Text string
}

// Tally counts requests, attempts and their outcomes.
type Tally struct {
	// Requests counts each request once, Attempts every attempt at a request, and Resends the attempts after the first.
	Requests int
	Attempts int
	Resends  int
	Answers  int
	Refusals int
	// Unreached counts attempts that could not connect to a router, Broken those whose connection or stream broke.
	Unreached int
	Broken    int
	Runs      int
}

// secondStats holds the counts and latencies of the attempts that ended during one particular second of the load run.
type secondStats struct {
	tally     Tally
	latency   *hdrhistogram.Histogram
	firstByte *hdrhistogram.Histogram
}

// Range and precision of the latency histograms.
const (
	minLatencyMicros         = 1
	maxLatencyMicros         = int64(10 * time.Minute / time.Microsecond)
	latencySignificantDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencySignificantDigits)
}

func newRecorder() *recorder {
	return &recorder{
		requests:      make(map[pomelocheck.ContentID]request),
		seconds:       make(map[int]*secondStats),
		leftAt:        make(map[pomelorelay.UpstreamID]time.Time),
		failureCounts: make(map[string]int),
		start:         time.Now(),
	}
}

func (r *recorder) observe(events ...pomelocheck.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, events...)
}

func (r *recorder) addRequest(q request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[q.content()] = q
	r.tally.Requests++
}

func (r *recorder) addResend() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tally.Resends++
}

func (r *recorder) attemptSent(_ request, sent pomelocheck.RequestSent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tally.Attempts++
	r.events = append(r.events, sent)
}

func (r *recorder) attemptEnded(q request, sent pomelocheck.RequestSent, o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts = append(r.attempts, attemptRecord{q.content(), sent.At, o.endedAt, o.kind == outcomeAnswered})
	s := r.statsAt(o.endedAt)
	switch {
	case o.kind == outcomeAnswered:
		r.tally.Answers++
		s.tally.Answers++
		_ = s.latency.RecordValue(o.endedAt.Sub(sent.At).Microseconds())
		_ = s.firstByte.RecordValue(o.firstByteAt.Sub(sent.At).Microseconds())
		r.events = append(r.events, pomelocheck.RequestAnswered{Attempt: sent.Attempt, At: o.endedAt, MatchesRequest: o.matchesRequest, Complete: o.complete})
	case o.kind == outcomeRefused:
		r.attemptRefused(s, sent, o)
	default:
		r.tally.Broken++
		s.tally.Broken++
		r.failureCounts["broken at "+string(sent.Node)+": "+o.detail]++
		r.events = append(r.events, pomelocheck.RequestBroken{Attempt: sent.Attempt, At: o.endedAt})
	}
}

func (r *recorder) attemptRefused(s *secondStats, sent pomelocheck.RequestSent, o outcome) {
	if o.code == 0 && o.firstByteAt.IsZero() {
		r.tally.Unreached++
	} else {
		r.tally.Refusals++
		s.tally.Refusals++
		r.failureCounts["refused: "+o.detail]++
	}
	r.events = append(r.events, pomelocheck.RequestRefused{
		Attempt: sent.Attempt, DecidedAt: refusalDecidedAt(sent, o), FirstByteAt: o.firstByteAt, At: o.endedAt, Ran: o.ran, Code: o.code, RetryAfter: o.hasRetryAfter,
	})
}

// refusalDecidedAt returns when the router decided to refuse the attempt. A full queue is detected on arrival, so for a code that
// reports one this is the time of sending. Other codes do not determine the time, and the result is zero.
func refusalDecidedAt(sent pomelocheck.RequestSent, o outcome) time.Time {
	if o.code == pomelorelay.CodeQueueCountFull || o.code == pomelorelay.CodeQueueBytesFull {
		return sent.At
	}
	return time.Time{}
}

func (r *recorder) statsAt(at time.Time) *secondStats {
	n := int(at.Sub(r.start) / time.Second)
	s, ok := r.seconds[n]
	if !ok {
		s = &secondStats{latency: newHistogram(), firstByte: newHistogram()}
		r.seconds[n] = s
	}
	return s
}

func (r *recorder) addRuns(u Upstream, runs []pomelofake.Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range runs {
		r.tally.Runs++
		r.runs = append(r.runs, runRecord{u, run})
		r.events = append(r.events, pomelocheck.RunStarted{Content: pomelocheck.ContentID(run.Proof), Upstream: u.Name, At: run.Start})
	}
}

func (r *recorder) addControlBytes(c controlRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.controlBytes = append(r.controlBytes, c)
}

func (r *recorder) addFault(at time.Time, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, FaultMark{at, text})
}

func (r *recorder) upstreamLeaving(u pomelorelay.UpstreamID, visibleAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leftAt[u] = visibleAt
	r.events = append(r.events, pomelocheck.UpstreamLeaving{Upstream: u, At: visibleAt})
}

func (r *recorder) currentTally() Tally {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tally
}
