package pomelofake

import (
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/pomelorelay/pomelorelay"
)

// StoreConfig configures a Store; a zero field takes its default.
type StoreConfig struct {
	// WriteRate and ReadRate limit the calls per second, 400 and 2,000 by default; a watch counts as one read, lease calls as writes.
	WriteRate float64
	ReadRate  float64
	// MaxValue is the maximum size of a value, 1 MiB by default.
	MaxValue pomelorelay.Bytes
	// Latency is the duration of a call without faults, 1 ms by default.
	Latency time.Duration
}

const (
	defaultWriteRate    = 400
	defaultReadRate     = 2000
	defaultMaxValue     = 1 << 20
	defaultStoreLatency = time.Millisecond
)

// StoreFaults are the faults injected into a Store; the zero value injects none.
type StoreFaults struct {
	// Outage answers every call with 503, without effect.
	Outage bool
	// Slow delays every call before it takes effect. SlowAnswer delays the answer to a write after the write took effect.
	Slow       time.Duration
	SlowAnswer time.Duration
	// LoseAnswers is how many of the next writes take effect but get no answer: the store closes the connection instead.
	LoseAnswers int
	// Throttle answers every call with 429, without effect.
	Throttle bool
}

// StoreCounts counts the calls to a Store since its start, including refused ones.
type StoreCounts struct {
	Reads     int
	Writes    int
	Watches   int
	Leases    int
	Throttled int
	Refused   int
	Conflicts int
	Lost      int
}

// Store is an in-memory stand-in for the platform's key-value store with compare-and-swap, leases and watches.
type Store struct {
	cfg    StoreConfig
	router *mux.Router

	mu          sync.Mutex
	faults      StoreFaults
	counts      StoreCounts
	readBucket  tokenBucket
	writeBucket tokenBucket
	revision    pomelorelay.Revision
	records     map[pomelorelay.StoreKey]*storeRecord
	leases      map[pomelorelay.LeaseID]*storeLease
	lastLease   pomelorelay.LeaseID
	// changed is closed and replaced whenever a record changes.
	changed chan struct{}
}

type storeRecord struct {
	value    []byte
	revision pomelorelay.Revision
	lease    pomelorelay.LeaseID
}

type storeLease struct {
	ttl   time.Duration
	timer *time.Timer
}

// StoreSnapshot is a copy of a Store's records for Restore.
type StoreSnapshot struct {
	records map[pomelorelay.StoreKey]storeRecord
}

// NewStore returns an empty store.
func NewStore(cfg StoreConfig) *Store {
	if cfg.WriteRate == 0 {
		cfg.WriteRate = defaultWriteRate
	}
	if cfg.ReadRate == 0 {
		cfg.ReadRate = defaultReadRate
	}
	if cfg.MaxValue == 0 {
		cfg.MaxValue = defaultMaxValue
	}
	defaultDuration(&cfg.Latency, defaultStoreLatency)
	s := &Store{
		cfg:         cfg,
		readBucket:  tokenBucket{rate: cfg.ReadRate, tokens: cfg.ReadRate},
		writeBucket: tokenBucket{rate: cfg.WriteRate, tokens: cfg.WriteRate},
		records:     make(map[pomelorelay.StoreKey]*storeRecord),
		leases:      make(map[pomelorelay.LeaseID]*storeLease),
		changed:     make(chan struct{}),
	}
	s.router = s.routes()
	return s
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(faults StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Faults returns the injected faults.
func (s *Store) Faults() StoreFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Counts returns the current counters.
func (s *Store) Counts() StoreCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// ServeHTTP serves the store's HTTP API.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// Close stops the timers of the leases.
func (s *Store) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.timer.Stop()
	}
	return nil
}

// Snapshot returns a copy of all current records.
func (s *Store) Snapshot() StoreSnapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := make(map[pomelorelay.StoreKey]storeRecord)
	for key, r := range s.records {
		records[key] = *r
	}
	return StoreSnapshot{records: records}
}

// Restore replaces all records with those of a snapshot, as an operator does with a backup. The store's revision counter is not
// reset, so that later writes get new revisions.
func (s *Store) Restore(old StoreSnapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = make(map[pomelorelay.StoreKey]*storeRecord)
	for key, r := range old.records {
		record := r
		s.records[key] = &record
	}
	s.notifyWatches()
}

func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// compareAndSwap writes the value if the record is at revision old; it returns the record's revision and the HTTP status.
func (s *Store) compareAndSwap(key pomelorelay.StoreKey, value []byte, old pomelorelay.Revision, lease pomelorelay.LeaseID) (pomelorelay.Revision, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, open := s.leases[lease]; lease != 0 && !open {
		return 0, http.StatusGone
	}
	var current pomelorelay.Revision
	if r, ok := s.records[key]; ok {
		current = r.revision
	}
	if current != old {
		s.counts.Conflicts++
		return current, http.StatusConflict
	}
	s.revision++
	s.records[key] = &storeRecord{value: value, revision: s.revision, lease: lease}
	s.notifyWatches()
	return s.revision, http.StatusOK
}

// read returns the record, with revision zero if there is none, and a channel closed at the next change of the store.
func (s *Store) read(key pomelorelay.StoreKey) (pomelorelay.Record, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := pomelorelay.Record{Key: key}
	if r, ok := s.records[key]; ok {
		record.Value = r.value
		record.Revision = r.revision
	}
	return record, s.changed
}

func (s *Store) openLease(ttl time.Duration) pomelorelay.LeaseID {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	id := s.lastLease
	s.leases[id] = &storeLease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.endLease(id) })}
	return id
}

// renewLease renews a lease and reports false if it has expired.
func (s *Store) renewLease(id pomelorelay.LeaseID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		return false
	}
	l.timer.Reset(l.ttl)
	return true
}

// endLease removes a lease and the records written with it; it reports false if there is no such lease.
func (s *Store) endLease(id pomelorelay.LeaseID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		return false
	}
	l.timer.Stop()
	delete(s.leases, id)
	for key, r := range s.records {
		if r.lease == id {
			delete(s.records, key)
		}
	}
	s.notifyWatches()
	return true
}

// tokenBucket is a rate limiter that allows bursts of one second's calls.
type tokenBucket struct {
	rate   float64
	tokens float64
	last   time.Time
}

func (b *tokenBucket) take(now time.Time) bool {
	if !b.last.IsZero() {
		b.tokens = min(b.rate, b.tokens+b.rate*now.Sub(b.last).Seconds())
	}
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
