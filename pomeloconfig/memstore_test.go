package pomeloconfig_test

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// memStore is an in-memory store that can lose or delay requests, lose answers and be restored from an old copy.
type memStore struct {
	pomelorelay.Store
	mu      sync.Mutex
	records map[pomelorelay.StoreKey]pomelorelay.Record
	writes  int
	// fault selects the fault of the n-th write; nil means no faults.
	fault func(n int) writeFault
	// random draws the duration of each call; nil makes calls instant.
	random *rand.Rand
}

type writeFault int

const (
	faultNone        writeFault = iota
	faultUnavailable            // the store rejected the call
	faultAnswerLost             // the write took effect and the answer was lost
	faultRequestLost            // the request was lost, which the writer cannot know
	faultLateRequest            // the request arrives long after the writer got an unknown outcome
	faultCount
)

func newMemStore() *memStore {
	return &memStore{records: make(map[pomelorelay.StoreKey]pomelorelay.Record)}
}

func (s *memStore) delay() {
	s.mu.Lock()
	d := time.Duration(0)
	if s.random != nil {
		d = time.Duration(s.random.IntN(20)) * time.Millisecond
	}
	s.mu.Unlock()
	if d > 0 {
		time.Sleep(d)
	}
}

func (s *memStore) Get(_ context.Context, key pomelorelay.StoreKey) (pomelorelay.Record, error) {
	s.delay()
	s.mu.Lock()
	defer s.mu.Unlock()
	record := s.records[key]
	record.Key = key
	return record, nil
}

func (s *memStore) CompareAndSwap(_ context.Context, key pomelorelay.StoreKey, value []byte, old pomelorelay.Revision, _ pomelorelay.LeaseID) (pomelorelay.Revision, error) {
	s.delay()
	s.mu.Lock()
	s.writes++
	fault := faultNone
	if s.fault != nil {
		fault = s.fault(s.writes)
	}
	s.mu.Unlock()
	unknown := pomelorelay.NewError(pomelorelay.CodeStoreUnknown, "lost", nil)
	switch fault {
	case faultUnavailable:
		return 0, pomelorelay.NewError(pomelorelay.CodeStoreUnavailable, "refused", nil)
	case faultRequestLost:
		return 0, unknown
	case faultAnswerLost:
		s.swap(key, value, old)
		return 0, unknown
	case faultLateRequest:
		time.AfterFunc(3*time.Second, func() { s.swap(key, value, old) })
		return 0, unknown
	}
	return s.swap(key, value, old)
}

func (s *memStore) swap(key pomelorelay.StoreKey, value []byte, old pomelorelay.Revision) (pomelorelay.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.records[key].Revision != old {
		return 0, pomelorelay.NewError(pomelorelay.CodeStoreConflict, string(key), nil)
	}
	s.records[key] = pomelorelay.Record{Key: key, Value: value, Revision: old + 1}
	return old + 1, nil
}

// backup returns a copy of the records for restore.
func (s *memStore) backup() map[pomelorelay.StoreKey]pomelorelay.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.records)
}

func (s *memStore) restore(records map[pomelorelay.StoreKey]pomelorelay.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = maps.Clone(records)
}
