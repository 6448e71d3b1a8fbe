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

// Headers exchanged between router and upstream.
const (
	headerRequestID      = "X-Request-Id"
	headerLastEventID    = "Last-Event-ID"
	headerRan            = "Ran"
	headerIdempotencyKey = "Idempotency-Key"
	headerContentType    = "Content-Type"
)

// chatRequest is the part of a request to either completion path that the engine decodes.
type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	Prompt    string        `json:"prompt"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
	// IgnoreEOS makes the answer exactly MaxTokens long; otherwise its length is between 1 and MaxTokens and cannot be predicted by a router.
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

// completionTokens returns the length of the answer in tokens. The length is derived from the request's digest, so that each run of
// a request gives an answer of the same length.
func (q chatRequest) completionTokens(digest BodyDigest) int {
	limit := q.MaxTokens
	if limit <= 0 {
		limit = defaultMaxTokens
	}
	if q.IgnoreEOS {
		return limit
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(digest))
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
		writeRefusal(w)
		return
	}
	var q chatRequest
	if err := json.Unmarshal(body, &q); err != nil {
		http.Error(w, "cannot decode the completion request: "+err.Error(), http.StatusBadRequest)
		return
	}
	if e.cfg.Model != "" && q.Model != e.cfg.Model {
		w.Header().Set(headerRan, "No")
		http.Error(w, "model "+q.Model+" is not served by this engine", http.StatusNotFound)
		return
	}
	s := e.enqueue(q, body, r.Header.Get(headerRequestID))
	defer e.detachReader(s)
	e.answer(w, r, s, q)
}

func writeRefusal(w http.ResponseWriter) {
	w.Header().Set(headerRan, "No")
	http.Error(w, "refused by an injected fault", http.StatusServiceUnavailable)
}

func (e *Engine) enqueue(q chatRequest, body []byte, requestID string) *sequence {
	digest := DigestBody(body)
	prompt := q.prompt()
	s := &sequence{
		requestID:    requestID,
		digest:       digest,
		prompt:       prompt,
		promptTokens: len(prompt)/bytesPerToken + 1,
		targetTokens: q.completionTokens(digest),
		crashes:      e.cfg.CrashMarker != "" && strings.Contains(string(body), e.cfg.CrashMarker),
		readers:      1,
		changed:      make(chan struct{}),
	}
	e.mu.Lock()
	e.waiting = append(e.waiting, s)
	if requestID != "" {
		e.streams[requestID] = s
	}
	e.recordLoad()
	e.mu.Unlock()
	e.wakeDecoder()
	return s
}

func (e *Engine) detachReader(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers--
	s.detachedAt = time.Now()
}

func (e *Engine) answer(w http.ResponseWriter, r *http.Request, s *sequence, q chatRequest) {
	if delay := e.Faults().Late; delay > 0 && !sleep(r, delay) {
		return
	}
	if s.requestID != "" {
		w.Header().Set(headerRequestID, s.requestID)
	}
	if q.Stream {
		e.stream(w, r, s, 0)
		return
	}
	e.answerBuffered(w, r, s)
}

// sleep waits for d and reports whether it elapsed before the caller disconnected.
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
	defer e.detachReader(s)
	lastEvent, err := strconv.Atoi(r.Header.Get(headerLastEventID))
	if err != nil {
		lastEvent = 0
	}
	w.Header().Set(headerRequestID, s.requestID)
	e.stream(w, r, s, lastEvent)
}
