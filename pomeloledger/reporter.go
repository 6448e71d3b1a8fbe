package pomeloledger

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// ReporterConfig configures a Reporter.
type ReporterConfig struct {
	// Shards is the number of ledger shards; it must be the same on every router of the fleet.
	Shards uint32
	// Host returns the router that hosts a shard in this failure domain, or false when there is none.
	Host func(shard pomelorelay.ShardID) (pomelorelay.NodeID, bool)
	// Interval is the interval between reports; 1 s when zero.
	Interval time.Duration
	// ResendAfter is the time without an answer after which entries are sent again; 2 s when zero.
	ResendAfter time.Duration
	// MaxEntries limits the number of entries in an incremental report; 512 when zero. Full reports are not limited.
	MaxEntries int
}

// Reporter sends the cumulative service of one router to the hosts of the shards until they acknowledge it.
type Reporter struct {
	cfg        ReporterConfig
	shards     map[pomelorelay.ShardID]*reporterShard
	order      []pomelorelay.ShardID
	entries    map[pomelorelay.LedgerKey]*trackedEntry
	seq        uint64
	nextReport time.Time
}

// reporterShard holds the entries of one shard that a router reports, and the accounts whose fleet totals it requests.
type reporterShard struct {
	host     pomelorelay.NodeID
	entries  []*trackedEntry
	interest []pomelorelay.LedgerKey
}

// trackedEntry is an entry with the sequence number of the report that carried its latest value; zero if none has.
type trackedEntry struct {
	entry        pomelorelay.LedgerEntry
	seq          uint64
	sentAt       time.Time
	acknowledged bool
}

// NewReporter returns a Reporter without entries.
func NewReporter(cfg ReporterConfig) *Reporter {
	setDefaultDuration(&cfg.Interval, time.Second)
	setDefaultDuration(&cfg.ResendAfter, 2*time.Second)
	setDefaultCount(&cfg.MaxEntries, 512)
	return &Reporter{cfg: cfg, shards: make(map[pomelorelay.ShardID]*reporterShard), entries: make(map[pomelorelay.LedgerKey]*trackedEntry)}
}

// SetInterval sets the interval between reports, effective after the next report; zero selects 1 s.
func (r *Reporter) SetInterval(every time.Duration) {
	setDefaultDuration(&every, time.Second)
	r.cfg.Interval = every
}

func (r *Reporter) shard(account pomelorelay.AccountID) *reporterShard {
	id := ShardOf(account, r.cfg.Shards)
	s, ok := r.shards[id]
	if !ok {
		s = &reporterShard{}
		r.shards[id] = s
		r.order = append(r.order, id)
	}
	return s
}

// UpdateEntries records entries whose cumulative service changed and marks them to be sent.
func (r *Reporter) UpdateEntries(entries []pomelorelay.LedgerEntry) {
	for _, entry := range entries {
		key := pomelorelay.LedgerKey{Pool: entry.Pool, Account: entry.Account}
		e, ok := r.entries[key]
		if !ok {
			e = &trackedEntry{}
			r.entries[key] = e
			s := r.shard(entry.Account)
			s.entries = append(s.entries, e)
		}
		e.entry = entry
		e.seq = 0
		e.acknowledged = false
	}
}

// SetInterest replaces the set of accounts whose fleet totals are requested with each report.
func (r *Reporter) SetInterest(keys []pomelorelay.LedgerKey) {
	for _, s := range r.shards {
		s.interest = s.interest[:0]
	}
	for _, key := range keys {
		s := r.shard(key.Account)
		s.interest = append(s.interest, key)
	}
}

// HandleTotals processes a host's answer and reports whether its entries are usable. They are if the sender is the
// shard's current host and has finished its rebuild.
func (r *Reporter) HandleTotals(now time.Time, from pomelorelay.NodeID, m *pomelorelay.LedgerTotals) bool {
	s, ok := r.shards[m.Shard]
	if !ok || from != s.host {
		return false
	}
	for _, e := range s.entries {
		if e.seq != 0 && e.seq == m.Seq {
			e.acknowledged = true
		}
	}
	return m.Ready
}

// HandleQuery answers a host that rebuilds a shard with a full report.
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

// Tick sends due reports.
func (r *Reporter) Tick(now time.Time, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	if now.Before(r.nextReport) {
		return out
	}
	r.nextReport = now.Add(r.cfg.Interval)
	for _, id := range r.order {
		out = r.appendReport(now, id, out)
	}
	return out
}

// appendReport sends the entries that the shard's host has not acknowledged; after a change of host, these are all.
func (r *Reporter) appendReport(now time.Time, id pomelorelay.ShardID, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	s := r.shards[id]
	host, ok := r.cfg.Host(id)
	if !ok {
		return out
	}
	if host != s.host {
		s.host = host
		for _, e := range s.entries {
			e.seq = 0
			e.acknowledged = false
		}
	}
	report := &pomelorelay.LedgerReport{Shard: id, Seq: r.seq + 1, Interest: append([]pomelorelay.LedgerKey(nil), s.interest...)}
	for _, e := range s.entries {
		if e.acknowledged || e.seq != 0 && now.Sub(e.sentAt) < r.cfg.ResendAfter || len(report.Entries) == r.cfg.MaxEntries {
			continue
		}
		e.seq = report.Seq
		e.sentAt = now
		report.Entries = append(report.Entries, e.entry)
	}
	if len(report.Entries) == 0 && len(report.Interest) == 0 {
		return out
	}
	r.seq++
	return append(out, pomelorelay.Outgoing{To: host, Message: report})
}
