package pomeloledger

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// ReporterConfig holds what a Reporter needs.
type ReporterConfig struct {
	Shards uint32
	// Host returns the router of this failure domain that hosts a shard.
	Host func(shard pomelorelay.ShardID) (pomelorelay.NodeID, bool)
	// Interval is the interval of reports; 1 s when zero.
	Interval time.Duration
	// ResendAfter is the wait for an answer before entries are sent again; 2 s when zero.
	ResendAfter time.Duration
	// MaxEntries bounds the entries of one report that is not full; 512 when zero.
	MaxEntries int
}

// Reporter sends a router's own cumulative service to the shards' hosts until they answer.
type Reporter struct {
	cfg     ReporterConfig
	shards  map[pomelorelay.ShardID]*reported
	order   []pomelorelay.ShardID
	entries map[pomelorelay.LedgerKey]*sentEntry
	seq     uint64
	next    time.Time
}

// reported is what a router has of one shard.
type reported struct {
	host     pomelorelay.NodeID
	entries  []*sentEntry
	interest []pomelorelay.LedgerKey
}

// sentEntry is an entry with the report that carried its latest value; zero when none has.
type sentEntry struct {
	entry  pomelorelay.LedgerEntry
	seq    uint64
	sent   time.Time
	merged bool
}

// NewReporter returns a Reporter that knows nothing yet.
func NewReporter(cfg ReporterConfig) *Reporter {
	setDuration(&cfg.Interval, time.Second)
	setDuration(&cfg.ResendAfter, 2*time.Second)
	setCount(&cfg.MaxEntries, 512)
	return &Reporter{cfg: cfg, shards: make(map[pomelorelay.ShardID]*reported), entries: make(map[pomelorelay.LedgerKey]*sentEntry)}
}

// SetInterval sets the interval of reports from the next one on.
func (r *Reporter) SetInterval(every time.Duration) {
	setDuration(&every, time.Second)
	r.cfg.Interval = every
}

func (r *Reporter) shard(account pomelorelay.AccountID) *reported {
	id := ShardOf(account, r.cfg.Shards)
	s, ok := r.shards[id]
	if !ok {
		s = &reported{}
		r.shards[id] = s
		r.order = append(r.order, id)
	}
	return s
}

// UpdateEntries takes entries whose cumulative totals changed.
func (r *Reporter) UpdateEntries(entries []pomelorelay.LedgerEntry) {
	for _, entry := range entries {
		key := pomelorelay.LedgerKey{Pool: entry.Pool, Account: entry.Account}
		e, ok := r.entries[key]
		if !ok {
			e = &sentEntry{}
			r.entries[key] = e
			s := r.shard(entry.Account)
			s.entries = append(s.entries, e)
		}
		e.entry = entry
		e.seq = 0
		e.merged = false
	}
}

// SetInterest replaces the accounts whose fleet totals are wanted.
func (r *Reporter) SetInterest(keys []pomelorelay.LedgerKey) {
	for _, s := range r.shards {
		s.interest = s.interest[:0]
	}
	for _, key := range keys {
		s := r.shard(key.Account)
		s.interest = append(s.interest, key)
	}
}

// HandleTotals takes a host's answer and reports whether its entries may be used: the host is ready and still the shard's.
func (r *Reporter) HandleTotals(now time.Time, from pomelorelay.NodeID, m *pomelorelay.LedgerTotals) bool {
	s, ok := r.shards[m.Shard]
	if !ok || from != s.host {
		return false
	}
	for _, e := range s.entries {
		if e.seq != 0 && e.seq == m.Seq {
			e.merged = true
		}
	}
	return m.Ready
}

// HandleQuery answers a new host with a full report.
func (r *Reporter) HandleQuery(now time.Time, from pomelorelay.NodeID, m *pomelorelay.LedgerQuery, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	report := &pomelorelay.LedgerReport{Shard: m.Shard, Full: true, Round: m.Round}
	r.seq++
	report.Seq = r.seq
	if s, ok := r.shards[m.Shard]; ok {
		report.Interest = append(report.Interest, s.interest...)
		for _, e := range s.entries {
			report.Entries = append(report.Entries, e.entry)
		}
	}
	return append(out, pomelorelay.Outgoing{To: from, Message: report})
}

// Tick sends the reports that are due.
func (r *Reporter) Tick(now time.Time, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	if now.Before(r.next) {
		return out
	}
	r.next = now.Add(r.cfg.Interval)
	for _, id := range r.order {
		out = r.report(now, id, out)
	}
	return out
}

// report sends what the shard's host has not answered for. A new host has answered for nothing.
func (r *Reporter) report(now time.Time, id pomelorelay.ShardID, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	s := r.shards[id]
	host, ok := r.cfg.Host(id)
	if !ok {
		return out
	}
	if host != s.host {
		s.host = host
		for _, e := range s.entries {
			e.seq = 0
			e.merged = false
		}
	}
	report := &pomelorelay.LedgerReport{Shard: id, Seq: r.seq + 1, Interest: append([]pomelorelay.LedgerKey(nil), s.interest...)}
	for _, e := range s.entries {
		if e.merged || e.seq != 0 && now.Sub(e.sent) < r.cfg.ResendAfter || len(report.Entries) == r.cfg.MaxEntries {
			continue
		}
		e.seq = report.Seq
		e.sent = now
		report.Entries = append(report.Entries, e.entry)
	}
	if len(report.Entries) == 0 && len(report.Interest) == 0 {
		return out
	}
	r.seq++
	return append(out, pomelorelay.Outgoing{To: host, Message: report})
}
