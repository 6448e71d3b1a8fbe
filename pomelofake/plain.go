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

// PlainConfig configures a plain service; a zero field takes its default.
type PlainConfig struct {
	// Slots is the maximum number of concurrent requests, 8 by default; further ones wait.
	Slots int
	// MinRunTime and RunTimeSpread set the range of run times, from MinRunTime to MinRunTime+RunTimeSpread, from which the digest of
	// the request selects one; 5 ms and 20 ms by default.
	MinRunTime    time.Duration
	RunTimeSpread time.Duration
	// Padding is the number of filler bytes in each answer.
	Padding int
	// LoadLag is the age of the reported load.
	LoadLag time.Duration
	// OmitRequestID omits X-Request-Id from answers, as services without support for this header do.
	OmitRequestID bool
}

const (
	defaultMinRunTime    = 5 * time.Millisecond
	defaultRunTimeSpread = 20 * time.Millisecond
)

// PlainFaults are the faults injected into a plain service; the zero value injects none.
type PlainFaults struct {
	// Every is n if the other faults apply to every n-th request only; zero and one apply them to all requests.
	Every int
	// Refuse answers with 503 and the header Ran: No, without running the request.
	Refuse bool
	// Late delays the answer after the run.
	Late time.Duration
	// Crossed swaps the answers of two concurrent requests.
	Crossed bool
	// Short omits this many bytes at the end of the body, which is then shorter than its Content-Length, and closes the connection.
	Short int
	// Repeat sends the answer twice on the same connection.
	Repeat bool
	// Cut closes the connection after CutAt bytes of the answer, including status line and headers.
	Cut   bool
	CutAt int
	// CutEarly closes the connection before the request runs.
	CutEarly bool
	// IdleClose closes the connection this long after a complete answer that has no Connection: close header.
	IdleClose time.Duration
}

// PlainAnswer is the body of a plain service's answer.
type PlainAnswer struct {
	// Proof is the digest of the request.
	Proof     BodyDigest
	Key       string
	RequestID string
	// Run is the number of runs with the same Key so far, including this one.
	Run     int
	Padding string `json:",omitempty"`
}

// PlainService is an HTTP service that runs every request it receives and counts the runs per Idempotency-Key.
type PlainService struct {
	cfg    PlainConfig
	router *mux.Router
	runs   *runLog
	slots  chan struct{}

	mu       sync.Mutex
	faults   PlainFaults
	requests int
	waiting  int
	load     laggedLoad
	// swap is the answer that waits to be swapped with the next one, nil if there is none.
	swap *pendingSwap
}

// NewPlainService returns a plain service; it starts no goroutines.
func NewPlainService(cfg PlainConfig) *PlainService {
	defaultInt(&cfg.Slots, defaultSlots)
	defaultDuration(&cfg.MinRunTime, defaultMinRunTime)
	defaultDuration(&cfg.RunTimeSpread, defaultRunTimeSpread)
	p := &PlainService{
		cfg:   cfg,
		runs:  newRunLog(),
		slots: make(chan struct{}, cfg.Slots),
		load:  laggedLoad{lag: cfg.LoadLag},
	}
	p.load.record(Load{Slots: cfg.Slots})
	p.router = p.routes()
	return p
}

func (p *PlainService) routes() *mux.Router {
	router := mux.NewRouter()
	router.HandleFunc("/load", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, p.Load())
	}).Methods(http.MethodGet)
	router.PathPrefix("/").HandlerFunc(p.handleCall)
	return router
}

// SetFaults replaces the injected faults and restarts the request count that PlainFaults.Every uses.
func (p *PlainService) SetFaults(faults PlainFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
	p.requests = 0
}

// Faults returns the injected faults.
func (p *PlainService) Faults() PlainFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Load returns the reported load, which is PlainConfig.LoadLag old.
func (p *PlainService) Load() Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.load.reported()
}

// RunsByKey returns how often a request with the given Idempotency-Key was run.
func (p *PlainService) RunsByKey(key string) int { return p.runs.count(p.runs.startsByKey, key) }

// RunsByDigest returns how often a request with the given digest was run.
func (p *PlainService) RunsByDigest(digest BodyDigest) int { return p.runs.countDigest(digest) }

// Runs returns the runs that ended after the run with sequence number seq.
func (p *PlainService) Runs(seq uint64) []Run { return p.runs.endedAfter(seq) }

// ServeHTTP serves GET /load and runs every other request, whatever its method and path.
func (p *PlainService) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.router.ServeHTTP(w, r) }

// Close does nothing; it lets a plain service be closed like the other stand-ins.
func (p *PlainService) Close() error { return nil }

func (p *PlainService) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBody))
	if err != nil {
		return
	}
	faults := p.nextFaults()
	if faults.Refuse {
		writeRefusal(w)
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
		answer = p.swapAnswer(answer)
	}
	p.writeAnswer(w, answer, faults)
}

// nextFaults counts a request and returns the faults that apply to it.
func (p *PlainService) nextFaults() PlainFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests++
	if p.faults.Every > 1 && p.requests%p.faults.Every != 0 {
		return PlainFaults{}
	}
	return p.faults
}

// run waits for a slot and runs the request; it reports false if the caller disconnected while waiting. A started
// request runs to its end even if its caller disconnects, as a booking does.
func (p *PlainService) run(r *http.Request, body []byte) (PlainAnswer, bool) {
	if !p.acquireSlot(r) {
		return PlainAnswer{}, false
	}
	digest := requestDigest(r, body)
	key := r.Header.Get(headerIdempotencyKey)
	run := p.runs.start(key, r.Header.Get(headerRequestID), digest)
	time.Sleep(p.runTime(digest, body))
	p.runs.end(run)
	p.releaseSlot()
	answer := PlainAnswer{
		Proof:     digest,
		Key:       key,
		RequestID: run.RequestID,
		Run:       p.RunsByKey(key),
		Padding:   strings.Repeat("p", p.cfg.Padding),
	}
	return answer, true
}

func (p *PlainService) acquireSlot(r *http.Request) bool {
	p.recordLoad(1)
	defer p.recordLoad(-1)
	select {
	case p.slots <- struct{}{}:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (p *PlainService) releaseSlot() {
	<-p.slots
	p.recordLoad(0)
}

func (p *PlainService) recordLoad(waitingDelta int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting += waitingDelta
	p.load.record(Load{Running: len(p.slots), Waiting: p.waiting, Slots: p.cfg.Slots})
}

// requestDigest returns the digest of the body, or of the request URI if the body is empty.
func requestDigest(r *http.Request, body []byte) BodyDigest {
	if len(body) == 0 {
		return DigestBody([]byte(r.URL.RequestURI()))
	}
	return DigestBody(body)
}

// runTime returns the SlotTime given in the body, or else a duration drawn from the digest, which is the same for each run of a request.
func (p *PlainService) runTime(digest BodyDigest, body []byte) time.Duration {
	var options struct{ SlotTime string }
	if json.Unmarshal(body, &options) == nil && options.SlotTime != "" {
		if d, err := time.ParseDuration(options.SlotTime); err == nil {
			return d
		}
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(digest))
	return p.cfg.MinRunTime + time.Duration(hash.Sum64()%uint64(p.cfg.RunTimeSpread))
}
