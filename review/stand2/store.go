package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeLatency is how long the store takes for an answer.
const storeLatency = 4 * time.Millisecond

// item is a key of the store.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	leases   map[uint64]time.Time
	ttls     map[uint64]time.Duration
	changed  chan struct{}
	listener net.Listener
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{revision: 100, items: make(map[string]item), leases: make(map[uint64]time.Time), ttls: make(map[uint64]time.Duration), changed: make(chan struct{}), listener: l}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

func (s *store) addr() string { return s.listener.Addr().String() }

// put writes a key, as operators and servers do, and returns once the write is acknowledged.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(item{Key: key, Value: data})
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(item{Key: key, Deleted: true})
}

// write applies a change; the caller holds mu.
func (s *store) write(i item) {
	s.revision++
	i.Revision, i.Created = s.revision, s.revision
	if before, ok := s.items[i.Key]; ok {
		i.Created = before.Created
	}
	if i.Deleted {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends the leases that have run out; the caller holds mu.
func (s *store) expire() {
	for id, until := range s.leases {
		if time.Now().After(until) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) bool {
	_, known := s.leases[id]
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id && id != 0 {
			s.write(item{Key: key, Deleted: true})
		}
	}
	return known
}

// ServeHTTP answers a call of a router.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	switch {
	case r.URL.Path == "/v1/kv-key":
		s.serveKey(w, r)
	case r.URL.Path == "/v1/kv-range":
		s.serveRange(w, r)
	case r.URL.Path == "/v1/kv-watch":
		s.serveWatch(w, r)
	case r.URL.Path == "/v1/kv-txn":
		s.serveTxn(w, r)
	case r.URL.Path == "/v1/kv-lease":
		s.serveLease(w, r)
	case strings.HasPrefix(r.URL.Path, "/v1/kv-keep/"):
		s.serveKeep(w, strings.TrimPrefix(r.URL.Path, "/v1/kv-keep/"))
	case strings.HasPrefix(r.URL.Path, "/v1/kv-lease-end/"):
		s.serveEnd(w, strings.TrimPrefix(r.URL.Path, "/v1/kv-lease-end/"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		answer(w, http.StatusNotFound, map[string]uint64{"at": s.revision})
		return
	}
	answer(w, http.StatusOK, struct {
		item
		At uint64 `json:"at"`
	}{i, s.revision})
}

// maxPageItems is the number of keys on a page of a list.
const maxPageItems = 500

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	list := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, i)
		}
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Key < list[b].Key })
	truncated := len(list) > maxPageItems
	if truncated {
		list = list[:maxPageItems]
	}
	answer(w, http.StatusOK, map[string]any{"entries": list, "truncated": truncated, "at": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		s.mu.Lock()
		s.expire()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		Expect []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expect"`
		Write []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"write"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, e := range txn.Expect {
		if s.items[e.Key].Revision != e.Revision {
			answer(w, http.StatusPreconditionFailed, map[string]any{"entries": []item{}})
			return
		}
	}
	for _, e := range txn.Write {
		if _, ok := s.leases[e.Lease]; e.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, e := range txn.Write {
		s.write(item{Key: e.Key, Value: e.Value, Lease: e.Lease})
	}
	for _, key := range txn.Remove {
		s.write(item{Key: key, Deleted: true})
	}
	answer(w, http.StatusOK, map[string]uint64{"revision": s.revision})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var ask struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&ask); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	id := uint64(7000 + len(s.ttls))
	s.ttls[id] = time.Duration(ask.TTL) * time.Millisecond
	s.leases[id] = time.Now().Add(s.ttls[id])
	answer(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": ask.TTL})
}

func (s *store) serveKeep(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseUint(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if _, ok := s.leases[id]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.leases[id] = time.Now().Add(s.ttls[id])
	answer(w, http.StatusOK, map[string]int64{"ttl_ms": s.ttls[id].Milliseconds()})
}

func (s *store) serveEnd(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseUint(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.endLease(id) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, map[string]any{})
}
