package pomelofake

import (
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// EngineConfig configures an Engine; a zero field takes its default.
type EngineConfig struct {
	// Model is the name of the served model; requests for another one are answered 404. Empty serves any.
	Model string
	// Slots is the maximum batch size in requests, 8 by default.
	Slots int
	// StepTime is the duration of one decode step, which yields one token per running request, 2 ms by default.
	StepTime time.Duration
	// StepTimePerRequest is the time that each running request adds to a step.
	StepTimePerRequest time.Duration
	// PrefillPerStep is the number of prompt tokens processed per request and step, 256 by default.
	PrefillPerStep int
	// PrefixBlocks is the capacity of the prefix cache in blocks of 64 bytes, 4096 by default.
	PrefixBlocks int
	// LoadLag is the age of the reported load.
	LoadLag time.Duration
	// ResumeGrace is how long a stream keeps running without a connected caller, so that it can be resumed, 2 s by default.
	ResumeGrace time.Duration
	// StreamRetention is how long an ended stream can be resumed, 30 s by default.
	StreamRetention time.Duration
	// CrashMarker is a text in a request's body that makes the engine crash when the request starts to run; empty disables it.
	CrashMarker string
	// CrashDowntime is how long the engine is unavailable after a crash, 500 ms by default.
	CrashDowntime time.Duration
	// Crash is called on every crash, typically Host.Crash; if nil, a crash only drops the requests and the prefix cache.
	Crash func(downFor time.Duration)
}

const (
	defaultSlots           = 8
	defaultStepTime        = 2 * time.Millisecond
	defaultPrefillPerStep  = 256
	defaultPrefixBlocks    = 4096
	defaultResumeGrace     = 2 * time.Second
	defaultStreamRetention = 30 * time.Second
	defaultCrashDowntime   = 500 * time.Millisecond
)

func (cfg EngineConfig) withDefaults() EngineConfig {
	defaultInt(&cfg.Slots, defaultSlots)
	defaultInt(&cfg.PrefillPerStep, defaultPrefillPerStep)
	defaultInt(&cfg.PrefixBlocks, defaultPrefixBlocks)
	defaultDuration(&cfg.StepTime, defaultStepTime)
	defaultDuration(&cfg.ResumeGrace, defaultResumeGrace)
	defaultDuration(&cfg.StreamRetention, defaultStreamRetention)
	defaultDuration(&cfg.CrashDowntime, defaultCrashDowntime)
	return cfg
}

func defaultInt(n *int, value int) {
	if *n == 0 {
		*n = value
	}
}

func defaultDuration(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// EngineFaults are the faults injected into an Engine; the zero value injects none.
type EngineFaults struct {
	// Refuse answers completion requests with 503 and the header Ran: No, without running them.
	Refuse bool
	// Late delays the start of every answer.
	Late time.Duration
	// CutAfter is the number of events after which a stream's connection is closed. Cuts is the number of connections to close.
	CutAfter int
	Cuts     int
	// NoEnd ends streams correctly at the transport level but without usage and [DONE].
	NoEnd bool
	// Stalled stops all decoding.
	Stalled bool
}

// Engine simulates a model engine with continuous batching and an OpenAI-style API; it does not support priorities.
type Engine struct {
	cfg     EngineConfig
	router  *mux.Router
	runs    *runLog
	wake    chan struct{}
	closing chan struct{}
	wg      sync.WaitGroup

	mu      sync.Mutex
	faults  EngineFaults
	waiting []*sequence
	running []*sequence
	streams map[string]*sequence
	// ended holds the ended sequences in the order of their end, until they are evicted.
	ended    []*sequence
	prefixes *prefixCache
	load     laggedLoad
}

// NewEngine returns an engine that runs until Close.
func NewEngine(cfg EngineConfig) *Engine {
	cfg = cfg.withDefaults()
	e := &Engine{
		cfg:      cfg,
		runs:     newRunLog(),
		wake:     make(chan struct{}, 1),
		closing:  make(chan struct{}),
		streams:  make(map[string]*sequence),
		prefixes: newPrefixCache(cfg.PrefixBlocks),
		load:     laggedLoad{lag: cfg.LoadLag},
	}
	e.load.record(Load{Slots: cfg.Slots})
	e.router = e.routes()
	e.wg.Go(e.decode)
	return e
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(faults EngineFaults) {
	e.mu.Lock()
	e.faults = faults
	e.mu.Unlock()
	e.wakeDecoder()
}

// Faults returns the injected faults.
func (e *Engine) Faults() EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// Load returns the reported load, which is EngineConfig.LoadLag old.
func (e *Engine) Load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.load.reported()
}

// RunsByRequestID returns how often a request with the given X-Request-Id was run.
func (e *Engine) RunsByRequestID(requestID string) int {
	return e.runs.count(e.runs.startsByRequestID, requestID)
}

// RunsByDigest returns how often a request whose body has the given digest was run.
func (e *Engine) RunsByDigest(digest BodyDigest) int { return e.runs.countDigest(digest) }

// Runs returns the runs that ended after the run with sequence number seq.
func (e *Engine) Runs(seq uint64) []Run { return e.runs.endedAfter(seq) }

// ServeHTTP serves the completion paths, POST /v1/streams/{id} to resume a stream, and GET /load.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.router.ServeHTTP(w, r) }

// Close stops decoding and cancels all requests.
func (e *Engine) Close() error {
	close(e.closing)
	e.wg.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelAll()
	return nil
}

// Crash drops every request and the prefix cache, as the death of a process does, and calls EngineConfig.Crash.
func (e *Engine) Crash() {
	e.mu.Lock()
	e.cancelAll()
	e.mu.Unlock()
	if e.cfg.Crash != nil {
		e.cfg.Crash(e.cfg.CrashDowntime)
	}
}

func (e *Engine) cancelAll() {
	for _, s := range append(e.waiting, e.running...) {
		e.cancel(s)
	}
	e.waiting, e.running = nil, nil
	e.streams = make(map[string]*sequence)
	e.ended = nil
	e.prefixes = newPrefixCache(e.cfg.PrefixBlocks)
	e.recordLoad()
}

func (e *Engine) recordLoad() {
	e.load.record(Load{Running: len(e.running), Waiting: len(e.waiting), Slots: e.cfg.Slots})
}

func (e *Engine) wakeDecoder() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}
