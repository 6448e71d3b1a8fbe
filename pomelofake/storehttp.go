package pomelofake

import (
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	"github.com/pomelorelay/pomelorelay"
)

// maxWatchWait is the maximum time that a watch waits for a change before it is answered 204.
const maxWatchWait = time.Minute

type revisionAnswer struct {
	Revision pomelorelay.Revision
}

type leaseAnswer struct {
	Lease pomelorelay.LeaseID
}

func (s *Store) routes() *mux.Router {
	router := mux.NewRouter().UseEncodedPath().SkipClean(true)
	router.HandleFunc("/v1/kv/{key:.+}", s.handleGet).Methods(http.MethodGet)
	router.HandleFunc("/v1/kv/{key:.+}", s.handlePut).Methods(http.MethodPut)
	router.HandleFunc("/v1/watch/{key:.+}", s.handleWatch).Methods(http.MethodGet)
	router.HandleFunc("/v1/lease", s.handleOpenLease).Methods(http.MethodPost)
	router.HandleFunc("/v1/lease/{id:[0-9]+}/renew", s.handleRenewLease).Methods(http.MethodPost)
	router.HandleFunc("/v1/lease/{id:[0-9]+}", s.handleEndLease).Methods(http.MethodDelete)
	return router
}

// callKind selects the counter and the rate limit of a call.
type callKind int

const (
	readCall callKind = iota
	writeCall
	watchCall
	leaseCall
)

// admit counts the call and applies rate limits and faults; it reports false if the call was refused or its caller disconnected.
func (s *Store) admit(w http.ResponseWriter, r *http.Request, kind callKind) bool {
	status, wait := s.decide(kind)
	if status != http.StatusOK {
		http.Error(w, http.StatusText(status), status)
		return false
	}
	return sleep(r, wait)
}

// decide counts the call and returns the HTTP status and, if it is 200, the delay before the call takes effect.
func (s *Store) decide(kind callKind) (int, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rate := &s.writeBucket
	switch kind {
	case readCall:
		s.counts.Reads++
		rate = &s.readBucket
	case watchCall:
		s.counts.Watches++
		rate = &s.readBucket
	case writeCall:
		s.counts.Writes++
	case leaseCall:
		s.counts.Leases++
	}
	if s.faults.Outage {
		s.counts.Refused++
		return http.StatusServiceUnavailable, 0
	}
	if s.faults.Throttle || !rate.take(time.Now()) {
		s.counts.Throttled++
		return http.StatusTooManyRequests, 0
	}
	return http.StatusOK, s.cfg.Latency + s.faults.Slow
}

func requestKey(w http.ResponseWriter, r *http.Request) (pomelorelay.StoreKey, bool) {
	key, err := url.PathUnescape(mux.Vars(r)["key"])
	if err != nil {
		http.Error(w, "cannot unescape the key in the path", http.StatusBadRequest)
		return "", false
	}
	return pomelorelay.StoreKey(key), true
}

// uintQuery parses an unsigned query parameter; a missing one is zero.
func uintQuery(w http.ResponseWriter, r *http.Request, name string) (uint64, bool) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, true
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		http.Error(w, name+" is not an unsigned number", http.StatusBadRequest)
		return 0, false
	}
	return n, true
}

func (s *Store) handleGet(w http.ResponseWriter, r *http.Request) {
	key, ok := requestKey(w, r)
	if !ok || !s.admit(w, r, readCall) {
		return
	}
	record, _ := s.read(key)
	if record.Revision == 0 {
		http.NotFound(w, r)
		return
	}
	writeJSON(w, http.StatusOK, record)
}

func (s *Store) handlePut(w http.ResponseWriter, r *http.Request) {
	key, ok := requestKey(w, r)
	if !ok {
		return
	}
	old, ok := uintQuery(w, r, "old")
	if !ok {
		return
	}
	lease, ok := uintQuery(w, r, "lease")
	if !ok {
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(s.cfg.MaxValue)))
	if err != nil {
		http.Error(w, "the value is too large or was truncated", http.StatusRequestEntityTooLarge)
		return
	}
	if !s.admit(w, r, writeCall) {
		return
	}
	revision, status := s.compareAndSwap(key, value, pomelorelay.Revision(old), pomelorelay.LeaseID(lease))
	s.answerWrite(w, r, status, revisionAnswer{revision})
}

// answerWrite answers a write; faults may delay or lose the answer although the write took effect.
func (s *Store) answerWrite(w http.ResponseWriter, r *http.Request, status int, answer any) {
	s.mu.Lock()
	lost := s.faults.LoseAnswers > 0
	if lost {
		s.faults.LoseAnswers--
		s.counts.Lost++
	}
	wait := s.faults.SlowAnswer
	s.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	if wait > 0 && !sleep(r, wait) {
		return
	}
	writeJSON(w, status, answer)
}

func (s *Store) handleWatch(w http.ResponseWriter, r *http.Request) {
	key, ok := requestKey(w, r)
	if !ok {
		return
	}
	after, ok := uintQuery(w, r, "after")
	if !ok {
		return
	}
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		http.Error(w, "query parameter wait is not a duration", http.StatusBadRequest)
		return
	}
	if !s.admit(w, r, watchCall) {
		return
	}
	timer := time.NewTimer(min(wait, maxWatchWait))
	defer timer.Stop()
	for {
		record, changed := s.read(key)
		if record.Revision != pomelorelay.Revision(after) {
			writeJSON(w, http.StatusOK, record)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			w.WriteHeader(http.StatusNoContent)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) handleOpenLease(w http.ResponseWriter, r *http.Request) {
	ttl, err := time.ParseDuration(r.URL.Query().Get("ttl"))
	if err != nil || ttl <= 0 {
		http.Error(w, "query parameter ttl is not a positive duration", http.StatusBadRequest)
		return
	}
	if !s.admit(w, r, leaseCall) {
		return
	}
	s.answerWrite(w, r, http.StatusOK, leaseAnswer{s.openLease(ttl)})
}

func (s *Store) handleRenewLease(w http.ResponseWriter, r *http.Request) {
	s.handleLease(w, r, s.renewLease)
}

func (s *Store) handleEndLease(w http.ResponseWriter, r *http.Request) {
	s.handleLease(w, r, s.endLease)
}

func (s *Store) handleLease(w http.ResponseWriter, r *http.Request, do func(pomelorelay.LeaseID) bool) {
	id, err := strconv.ParseUint(mux.Vars(r)["id"], 10, 64)
	if err != nil {
		http.Error(w, "the lease ID is not a number", http.StatusBadRequest)
		return
	}
	if !s.admit(w, r, leaseCall) {
		return
	}
	status := http.StatusGone
	if do(pomelorelay.LeaseID(id)) {
		status = http.StatusOK
	}
	s.answerWrite(w, r, status, leaseAnswer{pomelorelay.LeaseID(id)})
}
