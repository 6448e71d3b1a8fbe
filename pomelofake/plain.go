package pomelofake

import (
	"encoding/json"
	"hash/fnv"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// PlainConfig describes a Plain; a zero value takes its default.
type PlainConfig struct {
	// Slots is how many requests run at once, 8 by default; more wait.
	Slots int
	// MinRunTime and Spread give a run's time, from MinTime to MinTime+Spread by the request's proof; 5 ms and 20 ms by default.
	MinRunTime time.Duration
	RunTimeSpread  time.Duration
	// Padding is how many bytes an answer is made longer by.
	Padding int
	// LoadLag is the age of the reported load.
	LoadLag time.Duration
	// NoEcho leaves X-Request-Id out of the answers, as services do that do not know of it.
	NoEcho bool
}

const (
	defaultMinTime = 5 * time.Millisecond
	defaultSpread  = 20 * time.Millisecond
)

// PlainFaults are what goes wrong at a Plain; the zero value is none.
type PlainFaults struct {
	// Every makes the faults below hit each so manieth request only; zero hits all.
	Every int
	// Refuse answers 503 with Ran: No.
	Refuse bool
	// Late delays the answer after the run.
	Late time.Duration
	// Crossed swaps the answers of two requests that run at the same time.
	Crossed bool
	// Short leaves out so many bytes at the body's end, whose length was announced, and closes.
	Short int
	// Repeat sends the answer twice on the same connection.
	Repeat bool
	// Cut closes the connection after CutAt bytes of the answer, status line and headers included.
	Cut   bool
	CutAt int
	// CutEarly closes the connection before the request runs.
	CutEarly bool
	// IdleClose closes the connection so long after a whole answer that did not announce it.
	IdleClose time.Duration
}

// PlainAnswer is the body of a Plain's answer.
type PlainAnswer struct {
	Proof     BodyDigest
	Key       string
	RequestID string
	// Run counts the runs under the same Key, this one included.
	Run     int
	Padding string `json:",omitempty"`
}

// PlainService is a plain service that runs each request it gets and counts the runs by Idempotency-Key.
type PlainService struct {
	cfg    PlainConfig
	router *mux.Router
	runs   *runLog
	slots  chan struct{}

	mu       sync.Mutex
	faults   PlainFaults
	requests int
	waiting  int
	load     lagging
	// partner is the answer that waits to be crossed with the next.
	partner *crossing
}

// NewPlainService returns a plain service; it has no goroutines of its own.
func NewPlainService(cfg PlainConfig) *PlainService {
	defaultInt(&cfg.Slots, defaultSlots)
	defaultDuration(&cfg.MinRunTime, defaultMinTime)
	defaultDuration(&cfg.RunTimeSpread, defaultSpread)
	p := &PlainService{
		cfg:   cfg,
		runs:  newRunLog(),
		slots: make(chan struct{}, cfg.Slots),
		load:  lagging{lag: cfg.LoadLag},
	}
	p.load.set(Load{Slots: cfg.Slots})
	p.router = p.routes()
	return p
}

func (p *PlainService) routes() *mux.Router {
	router := mux.NewRouter()
	router.HandleFunc("/load", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, p.Load())
	}).Methods(http.MethodGet)
	router.PathPrefix("/").HandlerFunc(p.call)
	return router
}

// SetFaults replaces what goes wrong.
func (p *PlainService) SetFaults(faults PlainFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
	p.requests = 0
}

// Faults returns what goes wrong.
func (p *PlainService) Faults() PlainFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Load returns the load as reported, which lags.
func (p *PlainService) Load() Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.load.get()
}

// RunsByKey returns how often a request with the Idempotency-Key ran.
func (p *PlainService) RunsByKey(key string) int { return p.runs.count(p.runs.keys, key) }

// RunsOfContent returns how often a request with the proof ran.
func (p *PlainService) RunsOfContent(proof BodyDigest) int { return p.runs.countProof(proof) }

// Runs returns the runs that ended after the one numbered seq.
func (p *PlainService) Runs(seq uint64) []Run { return p.runs.after(seq) }

// ServeHTTP runs the request, whatever its method and path, and answers GET /load.
func (p *PlainService) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.router.ServeHTTP(w, r) }

// Close does nothing; a Plain has nothing to end.
func (p *PlainService) Close() error { return nil }

func (p *PlainService) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBody))
	if err != nil {
		return
	}
	faults := p.drawFaults()
	if faults.Refuse {
		refuse(w)
		return
	}
	if faults.CutEarly {
		panic(http.ErrAbortHandler)
	}
	answer, ok := p.run(r, body)
	if !ok {
		return
	}
	if faults.Late > 0 && !sleep(r, faults.Late) {
		return
	}
	if faults.Crossed {
		answer = p.cross(answer)
	}
	p.send(w, answer, faults)
}

// drawFaults returns the faults that hit the next request.
func (p *PlainService) drawFaults() PlainFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests++
	if p.faults.Every > 1 && p.requests%p.faults.Every != 0 {
		return PlainFaults{}
	}
	return p.faults
}

// run takes a slot and runs the request; it reports false when the caller went while the request waited. A request
// that has started runs to its end, as a booking does whose caller has gone.
func (p *PlainService) run(r *http.Request, body []byte) (PlainAnswer, bool) {
	if !p.takeSlot(r) {
		return PlainAnswer{}, false
	}
	proof := requestProof(r, body)
	key := r.Header.Get(headerKey)
	run := p.runs.start(key, r.Header.Get(headerRequestID), proof)
	time.Sleep(p.slotTime(proof, body))
	p.runs.end(run)
	p.freeSlot()
	answer := PlainAnswer{
		Proof:     proof,
		Key:       key,
		RequestID: run.RequestID,
		Run:       p.RunsByKey(key),
		Padding:   strings.Repeat("p", p.cfg.Padding),
	}
	return answer, true
}

func (p *PlainService) takeSlot(r *http.Request) bool {
	p.report(1)
	defer p.report(-1)
	select {
	case p.slots <- struct{}{}:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (p *PlainService) freeSlot() {
	<-p.slots
	p.report(0)
}

func (p *PlainService) report(waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting += waiting
	p.load.set(Load{Running: len(p.slots), Waiting: p.waiting, Slots: p.cfg.Slots})
}

// requestProof is the proof of the body, or of the path where there is none.
func requestProof(r *http.Request, body []byte) BodyDigest {
	if len(body) == 0 {
		return DigestBody([]byte(r.URL.RequestURI()))
	}
	return DigestBody(body)
}

// slotTime is what the body's SlotTime says, else drawn from the proof so that each run takes the same time.
func (p *PlainService) slotTime(proof BodyDigest, body []byte) time.Duration {
	var wish struct{ SlotTime string }
	if json.Unmarshal(body, &wish) == nil && wish.SlotTime != "" {
		if d, err := time.ParseDuration(wish.SlotTime); err == nil {
			return d
		}
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(proof))
	return p.cfg.MinRunTime + time.Duration(hash.Sum64()%uint64(p.cfg.RunTimeSpread))
}
