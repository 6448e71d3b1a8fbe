package pomeloload

import (
	"sync"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelocheck"
	"github.com/pomelorelay/pomelorelay/pomelofake"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// recorder keeps what callers, stand-ins and routers saw, for the checks and the report.
type recorder struct {
	mu       sync.Mutex
	events   []pomelocheck.Event
	requests map[pomelocheck.ContentID]request
	attempts []attemptRecord
	runs     []runRecord
	control  []controlRecord
	faults   []FaultMark
	tally    Tally
	seconds  map[int]*second
	start    time.Time
	// left is when an upstream's leaving showed.
	left map[pomelorelay.UpstreamID]time.Time
	// examples are the first few broken or refused attempts of each sort, for whoever looks into a run.
	examples map[string]int
}

// attemptRecord is an attempt from its sending to its end.
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

// controlRecord is the control bytes counted by one router between two looks.
type controlRecord struct {
	at      time.Time
	node    pomelorelay.NodeID
	all     pomelorelay.Bytes
	cross   pomelorelay.Bytes
	between time.Duration
}

// FaultMark tells what was disturbed when, for plots.
type FaultMark struct {
	At   time.Time
	Text string
}

// Tally counts what became of the load.
type Tally struct {
	// Requests counts what callers wanted, Attempts how often they sent, Resends the attempts after the first.
	Requests int
	Attempts int
	Resends  int
	Answers  int
	Refusals int
	// Unreached counts attempts that found no router at the address, Broken those whose connection or stream broke.
	Unreached int
	Broken    int
	Runs      int
}

// second is what ended within one second of a run.
type second struct {
	tally   Tally
	latency *hdrhistogram.Histogram
	first   *hdrhistogram.Histogram
}

// Histograms hold microseconds.
const (
	latencyLowest  = 1
	latencyHighest = int64(10 * time.Minute / time.Microsecond)
	latencyDigits  = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(latencyLowest, latencyHighest, latencyDigits)
}

func newRecorder() *recorder {
	return &recorder{
		requests: make(map[pomelocheck.ContentID]request),
		seconds:  make(map[int]*second),
		left:     make(map[pomelorelay.UpstreamID]time.Time),
		examples: make(map[string]int),
		start:    time.Now(),
	}
}

func (r *recorder) observe(events ...pomelocheck.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, events...)
}

func (r *recorder) request(q request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[q.content()] = q
	r.tally.Requests++
}

func (r *recorder) resent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tally.Resends++
}

func (r *recorder) sent(_ request, sent pomelocheck.RequestSent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tally.Attempts++
	r.events = append(r.events, sent)
}

func (r *recorder) ended(q request, sent pomelocheck.RequestSent, o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts = append(r.attempts, attemptRecord{q.content(), sent.At, o.at, o.kind == answeredOutcome})
	s := r.second(o.at)
	switch {
	case o.kind == answeredOutcome:
		r.tally.Answers++
		s.tally.Answers++
		_ = s.latency.RecordValue(o.at.Sub(sent.At).Microseconds())
		_ = s.first.RecordValue(o.first.Sub(sent.At).Microseconds())
		r.events = append(r.events, pomelocheck.RequestAnswered{Attempt: sent.Attempt, At: o.at, MatchesRequest: o.own, Complete: o.whole})
	case o.kind == refusedOutcome:
		r.refused(s, sent, o)
	default:
		r.tally.Broken++
		s.tally.Broken++
		r.examples["broken at "+string(sent.Node)+": "+o.detail]++
		r.events = append(r.events, pomelocheck.RequestBroken{Attempt: sent.Attempt, At: o.at})
	}
}

func (r *recorder) refused(s *second, sent pomelocheck.RequestSent, o outcome) {
	if o.code == 0 && o.first.IsZero() {
		r.tally.Unreached++
	} else {
		r.tally.Refusals++
		s.tally.Refusals++
		r.examples["refused: "+o.detail]++
	}
	r.events = append(r.events, pomelocheck.RequestRefused{
		Attempt: sent.Attempt, DecidedAt: gaveUp(sent, o), FirstByteAt: o.first, At: o.at, Ran: o.ran, Code: o.code, RetryAfter: o.hasRetry,
	})
}

// gaveUp returns when the router gave the request up, where its code tells: a full queue is seen on arrival.
func gaveUp(sent pomelocheck.RequestSent, o outcome) time.Time {
	if o.code == pomelorelay.CodeQueueCount || o.code == pomelorelay.CodeQueueBytes {
		return sent.At
	}
	return time.Time{}
}

func (r *recorder) second(at time.Time) *second {
	n := int(at.Sub(r.start) / time.Second)
	s, ok := r.seconds[n]
	if !ok {
		s = &second{latency: newHistogram(), first: newHistogram()}
		r.seconds[n] = s
	}
	return s
}

func (r *recorder) ran(u Upstream, runs []pomelofake.Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range runs {
		r.tally.Runs++
		r.runs = append(r.runs, runRecord{u, run})
		r.events = append(r.events, pomelocheck.RunStarted{Content: pomelocheck.ContentID(run.Proof), Upstream: u.Name, At: run.Start})
	}
}

func (r *recorder) controlled(c controlRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.control = append(r.control, c)
}

func (r *recorder) mark(at time.Time, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, FaultMark{at, text})
}

func (r *recorder) leaves(u pomelorelay.UpstreamID, shows time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.left[u] = shows
	r.events = append(r.events, pomelocheck.UpstreamLeaving{Upstream: u, At: shows})
}

func (r *recorder) counted() Tally {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tally
}
