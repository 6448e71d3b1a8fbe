package pomelofake

import (
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// EngineConfig describes an Engine; a zero value takes its default.
type EngineConfig struct {
	// Model is the name of the model that it serves; a request for another is answered 404. Empty serves any.
	Model string
	// Slots is how many requests run in one batch, 8 by default.
	Slots int
	// StepTime is the time of one decode step, in which each running request gets a token, 2 ms by default.
	StepTime time.Duration
	// StepPerRequest is what each running request adds to a step.
	StepPerRequest time.Duration
	// PrefillPerStep is how many prompt tokens are computed for a request in one step, 256 by default.
	PrefillPerStep int
	// PrefixBlocks bounds the prefix cache in blocks of 64 bytes, 4096 by default.
	PrefixBlocks int
	// LoadLag is the age of the reported load.
	LoadLag time.Duration
	// Grace is how long a stream whose reader went runs on, so that it can be taken up again, 2 s by default.
	Grace time.Duration
	// Keep is how long an ended stream can be taken up again, 30 s by default.
	Keep time.Duration
	// CrashMarker in a request's body makes the engine crash when the request starts to run; empty for none.
	CrashMarker string
	// CrashFor is how long the engine is down after a crash, 500 ms by default.
	CrashFor time.Duration
	// Crash is called for a crash, usually a Host's Crash.
	Crash func(downFor time.Duration)
}

const (
	defaultSlots          = 8
	defaultStepTime       = 2 * time.Millisecond
	defaultPrefillPerStep = 256
	defaultPrefixBlocks   = 4096
	defaultGrace          = 2 * time.Second
	defaultKeep           = 30 * time.Second
	defaultCrashFor       = 500 * time.Millisecond
)

func (cfg EngineConfig) withDefaults() EngineConfig {
	defaultInt(&cfg.Slots, defaultSlots)
	defaultInt(&cfg.PrefillPerStep, defaultPrefillPerStep)
	defaultInt(&cfg.PrefixBlocks, defaultPrefixBlocks)
	defaultDuration(&cfg.StepTime, defaultStepTime)
	defaultDuration(&cfg.Grace, defaultGrace)
	defaultDuration(&cfg.Keep, defaultKeep)
	defaultDuration(&cfg.CrashFor, defaultCrashFor)
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

// EngineFaults are what goes wrong at an Engine; the zero value is none.
type EngineFaults struct {
	// Refuse answers 503 with Ran: No.
	Refuse bool
	// Late delays the start of every answer.
	Late time.Duration
	// CutAfter breaks the connection of a stream after so many events, Cuts times.
	CutAfter int
	Cuts     int
	// NoEnd ends streams in good order for the transport but without usage and [DONE].
	NoEnd bool
	// Stalled stops all decoding.
	Stalled bool
}

// Engine is a model engine with continuous batching, an OpenAI-style interface, and no notion of priorities.
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
	// over holds the sequences that have ended, in that order, until they are forgotten.
	over     []*sequence
	prefixes *prefixCache
	load     lagging
}

// NewEngine starts an engine; it decodes until Close.
func NewEngine(cfg EngineConfig) *Engine {
	cfg = cfg.withDefaults()
	e := &Engine{
		cfg:      cfg,
		runs:     newRunLog(),
		wake:     make(chan struct{}, 1),
		closing:  make(chan struct{}),
		streams:  make(map[string]*sequence),
		prefixes: newPrefixCache(cfg.PrefixBlocks),
		load:     lagging{lag: cfg.LoadLag},
	}
	e.load.set(Load{Slots: cfg.Slots})
	e.router = e.routes()
	e.wg.Go(e.decode)
	return e
}

// SetFaults replaces what goes wrong.
func (e *Engine) SetFaults(faults EngineFaults) {
	e.mu.Lock()
	e.faults = faults
	e.mu.Unlock()
	e.signal()
}

// Faults returns what goes wrong.
func (e *Engine) Faults() EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// Load returns the load as reported, which lags.
func (e *Engine) Load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.load.get()
}

// RunsOf returns how often a request with the X-Request-Id ran.
func (e *Engine) RunsOf(requestID string) int { return e.runs.count(e.runs.requestIDs, requestID) }

// RunsOfContent returns how often a body with the proof ran.
func (e *Engine) RunsOfContent(proof BodyDigest) int { return e.runs.countProof(proof) }

// Runs returns the runs that ended after the one numbered seq.
func (e *Engine) Runs(seq uint64) []Run { return e.runs.after(seq) }

// ServeHTTP answers the OpenAI-style interface, the resumption of streams and GET /load.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.router.ServeHTTP(w, r) }

// Close cancels what runs and waits until decoding has ended.
func (e *Engine) Close() error {
	close(e.closing)
	e.wg.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropAll()
	return nil
}

// Crash loses every request and the prefix cache, as a process that dies does, and calls the configured Crash.
func (e *Engine) Crash() {
	e.mu.Lock()
	e.dropAll()
	e.mu.Unlock()
	if e.cfg.Crash != nil {
		e.cfg.Crash(e.cfg.CrashFor)
	}
}

func (e *Engine) dropAll() {
	for _, s := range append(e.waiting, e.running...) {
		e.cancel(s)
	}
	e.waiting, e.running = nil, nil
	e.streams = make(map[string]*sequence)
	e.over = nil
	e.prefixes = newPrefixCache(e.cfg.PrefixBlocks)
	e.report()
}

func (e *Engine) report() {
	e.load.set(Load{Running: len(e.running), Waiting: len(e.waiting), Slots: e.cfg.Slots})
}

func (e *Engine) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}
