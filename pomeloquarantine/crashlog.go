package pomeloquarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// CrashLogConfig configures a CrashLog; zero values select the defaults.
type CrashLogConfig struct {
	Logger pomelorelay.Logger
	// MaxCrashes is the number of upstreams that a fingerprint may crash before it is quarantined, 3 by default.
	MaxCrashes int
	// QuarantineFor is how long a quarantine lasts after the last crash, 10 min by default. It doubles with each crash beyond MaxCrashes.
	QuarantineFor time.Duration
	// Memory is how long a crash counts, 1 h by default.
	Memory time.Duration
	// PendingFor is how long a pending crash counts unless it is confirmed, 8 s by default.
	PendingFor time.Duration
	// MaxFingerprints limits the number of fingerprints, 4,096 by default; those with the fewest crashes, and of these the oldest, are dropped
	// first.
	MaxFingerprints int
}

// CrashLog counts the upstreams that crashed under each fingerprint, of a request or of a prompt part, and quarantines the fingerprints that
// explain the crashes. A crash is pending from the moment that a connection broke until it is confirmed or PendingFor is over; pending crashes
// count, but lead to no quarantine beyond that. The crashes of all routers are merged in any order and any number of times, so that every router
// that knows the same crashes comes to the same result. A fingerprint is no longer a suspect once an upstream has answered a request with it.
type CrashLog struct {
	cfg       CrashLogConfig
	histories map[pomelorelay.Fingerprint]*crashHistory
	answered  recentSet
	// changed is set if crashes changed at or before now and the fields below are not up to date.
	changed      bool
	now          time.Time
	explanations []explanation
	// explained are the upstream processes whose crashes the explanations explain.
	explained map[pomelorelay.UpstreamProcess]bool
	snapshot  *CrashSnapshot
	// recordChanged is set if Record returns another list than before.
	recordChanged bool
}

// minCrashesToSendClears is the number of crashes under a fingerprint from which on this router sends the others what it clears. Most
// fingerprints are under a single crash, that of an upstream which ended for another reason, and are not seen again.
const minCrashesToSendClears = 2

// NewCrashLog returns an empty CrashLog.
func NewCrashLog(cfg CrashLogConfig) *CrashLog {
	if cfg.Logger == nil {
		cfg.Logger = pomelorelay.NopLogger{}
	}
	cfg.MaxCrashes = cmp.Or(cfg.MaxCrashes, defaultMaxCrashes)
	cfg.MaxFingerprints = cmp.Or(cfg.MaxFingerprints, defaultMaxSuspects)
	setDefaultDuration(&cfg.QuarantineFor, defaultQuarantineFor)
	setDefaultDuration(&cfg.Memory, defaultCrashMemory)
	setDefaultDuration(&cfg.PendingFor, defaultPendingFor)
	return &CrashLog{cfg: cfg, histories: make(map[pomelorelay.Fingerprint]*crashHistory), answered: newRecentSet()}
}

// Observe adds a crash that this router observed and returns it if it is new. It ignores the crash if an upstream has recently answered a
// request with the fingerprint.
func (l *CrashLog) Observe(now time.Time, crash pomelorelay.RequestCrash) []pomelorelay.RequestCrash {
	if l.recentlyAnswered(now, &crash) {
		return nil
	}
	return l.merge(now, []pomelorelay.RequestCrash{crash}, crashSource{observed: true})
}

// ObservePending adds a pending crash that this router observed, in the same way.
func (l *CrashLog) ObservePending(now time.Time, crash pomelorelay.RequestCrash) []pomelorelay.RequestCrash {
	if l.recentlyAnswered(now, &crash) {
		return nil
	}
	return l.merge(now, []pomelorelay.RequestCrash{crash}, crashSource{observed: true, pending: true})
}

// Merge adds crashes that other routers observed. It returns those that were new or newly cleared, and those to send to the other routers as
// cleared because upstreams have answered requests with their fingerprint through this router.
func (l *CrashLog) Merge(now time.Time, crashes []pomelorelay.RequestCrash) (changed, cleared []pomelorelay.RequestCrash) {
	return l.mergeOthers(now, crashes, crashSource{})
}

// MergePending adds pending crashes that other routers observed, in the same way.
func (l *CrashLog) MergePending(now time.Time, crashes []pomelorelay.RequestCrash) (changed, cleared []pomelorelay.RequestCrash) {
	return l.mergeOthers(now, crashes, crashSource{pending: true})
}

func (l *CrashLog) mergeOthers(now time.Time, crashes []pomelorelay.RequestCrash, source crashSource) (changed, cleared []pomelorelay.RequestCrash) {
	changed = l.merge(now, crashes, source)
	for _, c := range changed {
		if l.recentlyAnswered(now, &c) {
			l.clear(now, c.Fingerprint)
		}
		cleared = append(cleared, l.takeUnsentClears(c.Fingerprint)...)
	}
	return changed, cleared
}

// Answered records that an upstream answered a request with the fingerprint completely, which rules out that such requests crash upstreams. It
// returns the earlier crashes to send to the other routers as cleared.
func (l *CrashLog) Answered(now time.Time, f pomelorelay.Fingerprint) []pomelorelay.RequestCrash {
	l.answered.add(now, f)
	l.clear(now, f)
	return l.takeUnsentClears(f)
}

// recentlyAnswered reports whether an upstream has answered a request with the crash's fingerprint so recently that it did not cause the crash.
func (l *CrashLog) recentlyAnswered(now time.Time, c *pomelorelay.RequestCrash) bool {
	since := recentFor
	if c.Part {
		since = partRecentFor
	}
	return l.answered.containsSince(now, c.Fingerprint, now.Add(-since))
}

// clear marks all crashes under the fingerprint as not caused by it.
func (l *CrashLog) clear(now time.Time, f pomelorelay.Fingerprint) {
	h := l.histories[f]
	if h == nil {
		return
	}
	var cleared []pomelorelay.RequestCrash
	for key, c := range h.crashes {
		if !c.Cleared {
			c.Cleared, c.clearUnsent = true, true
			h.crashes[key] = c
			cleared = append(cleared, c.RequestCrash)
		}
	}
	l.crashesChanged(now, cleared)
}

// takeUnsentClears returns the crashes under the fingerprint that this router has cleared and not yet sent to the other routers as cleared.
func (l *CrashLog) takeUnsentClears(f pomelorelay.Fingerprint) []pomelorelay.RequestCrash {
	h := l.histories[f]
	if h == nil || len(h.crashes) < minCrashesToSendClears {
		return nil
	}
	var cleared []pomelorelay.RequestCrash
	for key, c := range h.crashes {
		if c.clearUnsent {
			c.clearUnsent = false
			h.crashes[key] = c
			cleared = append(cleared, c.RequestCrash)
		}
	}
	return cleared
}

func (l *CrashLog) merge(now time.Time, crashes []pomelorelay.RequestCrash, source crashSource) []pomelorelay.RequestCrash {
	var changed []pomelorelay.RequestCrash
	for _, c := range crashes {
		// A clock that is ahead must not extend the quarantine.
		c.UnixMilli = min(c.UnixMilli, now.UnixMilli())
		if l.expired(now, &loggedCrash{RequestCrash: c, crashSource: source}) || !l.mergeOne(c, source) {
			continue
		}
		changed = append(changed, c)
	}
	l.crashesChanged(now, changed)
	return changed
}

// crashesChanged updates what is derived from the crashes.
func (l *CrashLog) crashesChanged(now time.Time, changed []pomelorelay.RequestCrash) {
	if len(changed) == 0 {
		return
	}
	l.now, l.changed = now, true
	l.dropExcess()
}

// mergeOne merges one crash and reports whether that changed anything.
func (l *CrashLog) mergeOne(c pomelorelay.RequestCrash, source crashSource) bool {
	h := l.histories[c.Fingerprint]
	if h == nil {
		h = &crashHistory{crashes: make(map[pomelorelay.UpstreamProcess]loggedCrash)}
		l.histories[c.Fingerprint] = h
	}
	key := c.Process()
	known, ok := h.crashes[key]
	merged := loggedCrash{RequestCrash: c, crashSource: source, clearUnsent: known.clearUnsent}
	if ok {
		merged.observed = source.observed || known.observed
		merged.pending = source.pending && known.pending
		merged.UnixMilli = min(c.UnixMilli, known.UnixMilli)
		merged.Repeated = c.Repeated || known.Repeated
		merged.Cleared = c.Cleared || known.Cleared
		merged.Runs |= known.Runs
	}
	h.crashes[key] = merged
	return !ok || merged.Repeated != known.Repeated || merged.Cleared != known.Cleared || merged.pending != known.pending || merged.Runs != known.Runs
}

func (l *CrashLog) expired(now time.Time, c *loggedCrash) bool {
	return now.UnixMilli() >= l.expiry(c)
}

// expiry returns when a crash no longer counts, in Unix milliseconds.
func (l *CrashLog) expiry(c *loggedCrash) int64 {
	if c.pending {
		return c.UnixMilli + l.cfg.PendingFor.Milliseconds()
	}
	return c.UnixMilli + l.cfg.Memory.Milliseconds()
}

// refresh updates the explanations after a change, logs the quarantines that begin or end, and notes which crashes are to be recorded.
func (l *CrashLog) refresh() {
	if !l.changed {
		return
	}
	l.changed, l.snapshot = false, nil
	l.explanations, l.explained = l.explain()
	before := make(map[pomelorelay.Fingerprint]bool)
	for f, h := range l.histories {
		if h.quarantined {
			before[f] = true
		}
		h.isCause, h.quarantined = false, false
	}
	for _, e := range l.explanations {
		l.beginQuarantine(&e, before)
	}
	for f := range before {
		if !l.histories[f].quarantined {
			l.cfg.Logger.Log(pomelorelay.EventQuarantineLifted, pomelorelay.Field{Key: "Fingerprint", Value: f.String()})
		}
	}
}

// beginQuarantine marks the fingerprints of an explanation, and logs those that were not quarantined before.
func (l *CrashLog) beginQuarantine(e *explanation, before map[pomelorelay.Fingerprint]bool) {
	for _, f := range e.fingerprints {
		h := l.histories[f]
		h.isCause, h.quarantined = true, e.end > l.now.UnixMilli()
		h.recorded = h.recorded || h.quarantined && e.confirmed && h.isObserved()
		l.recordChanged = l.recordChanged || h.recorded
		if !h.quarantined || before[f] {
			continue
		}
		t := l.tally(h, nil)
		l.cfg.Logger.Log(pomelorelay.EventQuarantined, pomelorelay.Field{Key: "Fingerprint", Value: f.String()}, pomelorelay.Field{Key: "Part", Value: h.isPart()}, pomelorelay.Field{Key: "Together", Value: len(e.fingerprints)},
			pomelorelay.Field{Key: "Crashes", Value: t.crashes()}, pomelorelay.Field{Key: "Runs", Value: t.runs}, pomelorelay.Field{Key: "Confirmed", Value: e.confirmed}, pomelorelay.Field{Key: "ForMS", Value: e.end - l.now.UnixMilli()})
	}
}

// Expire drops the crashes that no longer count. Call it about once a second.
func (l *CrashLog) Expire(now time.Time) {
	l.now = now
	for f, h := range l.histories {
		before := len(h.crashes)
		maps.DeleteFunc(h.crashes, func(_ pomelorelay.UpstreamProcess, c loggedCrash) bool { return l.expired(now, &c) })
		if len(h.crashes) == before {
			continue
		}
		l.changed = true
		l.recordChanged = l.recordChanged || h.recorded
		if len(h.crashes) == 0 {
			delete(l.histories, f)
		}
	}
}

// dropDivisor divides MaxFingerprints; the quotient is the number of fingerprints dropped beyond the excess, so that sorting them is rare.
const dropDivisor = 8

// dropExcess drops fingerprints beyond MaxFingerprints. A quarantine outlasts the suspects of a failure domain that is lost.
func (l *CrashLog) dropExcess() {
	if len(l.histories) <= l.cfg.MaxFingerprints {
		return
	}
	fingerprints := slices.Collect(maps.Keys(l.histories))
	slices.SortFunc(fingerprints, func(a, b pomelorelay.Fingerprint) int {
		x, y := l.histories[a], l.histories[b]
		return cmp.Or(cmp.Compare(min(len(x.crashes), l.cfg.MaxCrashes), min(len(y.crashes), l.cfg.MaxCrashes)), cmp.Compare(x.lastCrash(), y.lastCrash()), cmp.Compare(a, b))
	})
	for _, f := range fingerprints[:len(fingerprints)-l.cfg.MaxFingerprints+l.cfg.MaxFingerprints/dropDivisor] {
		delete(l.histories, f)
	}
}

// RecordChanged reports whether Record returns another list than at its last call.
func (l *CrashLog) RecordChanged() bool {
	l.refresh()
	return l.recordChanged
}

// Record returns the newest crashes that this router records in the platform's store, at most limit: all those that led to quarantines of which
// it observed a part. Until then, a fleet whose routers all restart begins to count anew.
func (l *CrashLog) Record(limit int) []pomelorelay.RequestCrash {
	l.refresh()
	l.recordChanged = false
	return l.newest(limit, func(h *crashHistory) bool { return h.recorded })
}

// All returns the newest confirmed crashes, at most limit.
func (l *CrashLog) All(limit int) []pomelorelay.RequestCrash {
	return l.newest(limit, func(*crashHistory) bool { return true })
}

func (l *CrashLog) newest(limit int, include func(*crashHistory) bool) []pomelorelay.RequestCrash {
	var list []pomelorelay.RequestCrash
	for _, h := range l.histories {
		if !include(h) {
			continue
		}
		for _, c := range h.crashes {
			if !c.pending {
				list = append(list, c.RequestCrash)
			}
		}
	}
	slices.SortFunc(list, func(a, b pomelorelay.RequestCrash) int {
		return cmp.Or(cmp.Compare(b.UnixMilli, a.UnixMilli), cmp.Compare(a.Fingerprint, b.Fingerprint), cmp.Compare(a.Upstream, b.Upstream))
	})
	return list[:min(len(list), limit)]
}
