package pomelofake

import (
	"encoding/json"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"
)

const (
	bytesPerToken    = 4
	defaultMaxTokens = 16
	maxRequestBody   = 16 << 20
)

// Headers of the protocols between router and upstream.
const (
	headerRequestID   = "X-Request-Id"
	headerLastEvent   = "Last-Event-ID"
	headerRan         = "Ran"
	headerKey         = "Idempotency-Key"
	headerContentType = "Content-Type"
)

// chatRequest is what the engine reads of a request to either completion path.
type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	Prompt    string        `json:"prompt"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
	// IgnoreEOS makes the answer exactly MaxTokens long; without it the length is any up to that and known to nobody before.
	IgnoreEOS bool `json:"ignore_eos"`
}

type chatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

func (q chatRequest) prompt() string {
	text := []string{q.Prompt}
	for _, m := range q.Messages {
		text = append(text, m.Role+": "+m.Content)
	}
	return strings.Join(text, "\n")
}

// tokens returns how many tokens the answer has; the proof makes it the same for each run.
func (q chatRequest) tokens(proof BodyDigest) int {
	limit := q.MaxTokens
	if limit <= 0 {
		limit = defaultMaxTokens
	}
	if q.IgnoreEOS {
		return limit
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(proof))
	return 1 + int(hash.Sum64()%uint64(limit))
}

func (e *Engine) routes() *mux.Router {
	router := mux.NewRouter()
	router.HandleFunc("/v1/chat/completions", e.complete).Methods(http.MethodPost)
	router.HandleFunc("/v1/completions", e.complete).Methods(http.MethodPost)
	router.HandleFunc("/v1/streams/{id}", e.resume).Methods(http.MethodPost)
	router.HandleFunc("/load", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, e.Load())
	}).Methods(http.MethodGet)
	return router
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBody))
	if err != nil {
		return
	}
	if e.Faults().Refuse {
		refuse(w)
		return
	}
	var q chatRequest
	if err := json.Unmarshal(body, &q); err != nil {
		http.Error(w, "the body is not a completion request: "+err.Error(), http.StatusBadRequest)
		return
	}
	if e.cfg.Model != "" && q.Model != e.cfg.Model {
		w.Header().Set(headerRan, "No")
		http.Error(w, "the model "+q.Model+" is not served here", http.StatusNotFound)
		return
	}
	s := e.enqueue(q, body, r.Header.Get(headerRequestID))
	defer e.detach(s)
	e.answer(w, r, s, q)
}

func refuse(w http.ResponseWriter) {
	w.Header().Set(headerRan, "No")
	http.Error(w, "refused", http.StatusServiceUnavailable)
}

func (e *Engine) enqueue(q chatRequest, body []byte, requestID string) *sequence {
	proof := DigestBody(body)
	prompt := q.prompt()
	s := &sequence{
		requestID: requestID,
		proof:     proof,
		prompt:    prompt,
		promptLen: len(prompt)/bytesPerToken + 1,
		target:    q.tokens(proof),
		crashes:   e.cfg.CrashMarker != "" && strings.Contains(string(body), e.cfg.CrashMarker),
		readers:   1,
		changed:   make(chan struct{}),
	}
	e.mu.Lock()
	e.waiting = append(e.waiting, s)
	if requestID != "" {
		e.streams[requestID] = s
	}
	e.report()
	e.mu.Unlock()
	e.signal()
	return s
}

func (e *Engine) detach(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers--
	s.detached = time.Now()
}

func (e *Engine) answer(w http.ResponseWriter, r *http.Request, s *sequence, q chatRequest) {
	if late := e.Faults().Late; late > 0 && !sleep(r, late) {
		return
	}
	if s.requestID != "" {
		w.Header().Set(headerRequestID, s.requestID)
	}
	if q.Stream {
		e.stream(w, r, s, 0)
		return
	}
	e.whole(w, r, s)
}

// sleep waits and reports false when the caller went first.
func sleep(r *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	s, ok := e.streams[mux.Vars(r)["id"]]
	if ok && s.cancelled {
		ok = false
	}
	if ok {
		s.readers++
	}
	e.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	defer e.detach(s)
	last, err := strconv.Atoi(r.Header.Get(headerLastEvent))
	if err != nil {
		last = 0
	}
	w.Header().Set(headerRequestID, s.requestID)
	e.stream(w, r, s, last)
}
