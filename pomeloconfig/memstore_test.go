package pomeloconfig_test

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// memStore is a store in memory that can lose calls, answers, and be restored from an old copy.
type memStore struct {
	pomelorelay.Store
	mu      sync.Mutex
	records map[pomelorelay.StoreKey]pomelorelay.Record
	writes  int
	// fault decides what becomes of the n-th write; nil is a store without faults.
	fault func(n int) writeFault
	// random gives each call its time; nil makes them instant.
	random *rand.Rand
}

type writeFault int

const (
	faultNone        writeFault = iota
	faultUnavailable            // the store did not take the call
	faultAnswerLost             // it took effect and the answer was lost
	faultRequestLost            // it never arrived, which the writer cannot know
	faultLateRequest            // it arrives long after the writer was told that the answer is lost
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

// backup returns a copy of the records, and restore puts one back.
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
