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
	// MaxFingerprints limits the number of fingerprints, 4,096 by default; those with the fewest crashes, and of these the oldest, are dropped
	// first.
	MaxFingerprints int
}

// CrashLog counts the upstreams that crashed under each fingerprint and quarantines fingerprints that crash too many. The crashes of all
// routers are merged in any order and any number of times, so that every router that knows the same crashes comes to the same result. A
// fingerprint whose requests are answered is not suspected.
type CrashLog struct {
	cfg       CrashLogConfig
	histories map[pomelorelay.Fingerprint]*crashHistory
	answered  recentSet
	snapshot  *CrashSnapshot
	// recordChanged is set if Record returns another list than before.
	recordChanged bool
}

// crashHistory holds the crashes under one fingerprint.
type crashHistory struct {
	crashes map[upstreamProcess]loggedCrash
	// quarantined is set once the quarantine has been logged.
	quarantined bool
	// recorded is set if this router records the crashes in the store: they have led to a quarantine, and this router observed some.
	recorded bool
}

// upstreamProcess identifies one process of an upstream; a process crashes at most once.
type upstreamProcess struct {
	upstream pomelorelay.UpstreamID
	start    int64
}

type loggedCrash struct {
	pomelorelay.RequestCrash
	// observed is set if this router observed the crash or cleared it, clearTold once the other routers have been told that it is cleared.
	observed  bool
	clearTold bool
}

// minToldCrashes is the number of crashes from which on the other routers are told of a fingerprint's answers. Most fingerprints are under one
// crash, that of an upstream which ended for another reason, and are not seen again.
const minToldCrashes = 2

// NewCrashLog returns an empty CrashLog.
func NewCrashLog(cfg CrashLogConfig) *CrashLog {
	if cfg.Logger == nil {
		cfg.Logger = pomelorelay.NopLogger{}
	}
	cfg.MaxCrashes = cmp.Or(cfg.MaxCrashes, defaultMaxCrashes)
	cfg.MaxFingerprints = cmp.Or(cfg.MaxFingerprints, defaultMaxSuspects)
	setDefaultDuration(&cfg.QuarantineFor, defaultQuarantineFor)
	setDefaultDuration(&cfg.Memory, defaultCrashMemory)
	return &CrashLog{cfg: cfg, histories: make(map[pomelorelay.Fingerprint]*crashHistory), answered: newRecentSet()}
}

// Observe adds a crash that this router observed and returns it if it is new. It ignores a crash under a fingerprint whose requests are
// being answered.
func (l *CrashLog) Observe(now time.Time, crash pomelorelay.RequestCrash) []pomelorelay.RequestCrash {
	if l.answered.contains(now, crash.Fingerprint) {
		return nil
	}
	return l.merge(now, []pomelorelay.RequestCrash{crash}, true)
}

// Merge adds crashes that other routers observed. It returns those that were new or newly cleared, and those to tell the other routers because
// this router has seen requests with their fingerprint answered.
func (l *CrashLog) Merge(now time.Time, crashes []pomelorelay.RequestCrash) (changed, cleared []pomelorelay.RequestCrash) {
	changed = l.merge(now, crashes, false)
	for _, c := range changed {
		if l.answered.contains(now, c.Fingerprint) {
			l.clear(now, c.Fingerprint)
		}
		cleared = append(cleared, l.takeCleared(c.Fingerprint)...)
	}
	return changed, cleared
}

// Answered records that an upstream answered a request with the fingerprint completely, which rules out that such requests crash upstreams. It
// returns the crashes to tell the other routers because they no longer count.
func (l *CrashLog) Answered(now time.Time, f pomelorelay.Fingerprint) []pomelorelay.RequestCrash {
	l.answered.add(now, f)
	l.clear(now, f)
	return l.takeCleared(f)
}

func (l *CrashLog) clear(now time.Time, f pomelorelay.Fingerprint) {
	h := l.histories[f]
	if h == nil {
		return
	}
	var cleared []pomelorelay.RequestCrash
	for _, c := range h.crashes {
		if !c.Cleared {
			c.Cleared = true
			cleared = append(cleared, c.RequestCrash)
		}
	}
	l.merge(now, cleared, true)
}

// takeCleared returns the crashes under the fingerprint that this router has cleared and not told the other routers.
func (l *CrashLog) takeCleared(f pomelorelay.Fingerprint) []pomelorelay.RequestCrash {
	h := l.histories[f]
	if h == nil || len(h.crashes) < minToldCrashes {
		return nil
	}
	var cleared []pomelorelay.RequestCrash
	for key, c := range h.crashes {
		if c.Cleared && c.observed && !c.clearTold {
			cleared = append(cleared, c.RequestCrash)
			c.clearTold = true
			h.crashes[key] = c
		}
	}
	return cleared
}

func (l *CrashLog) merge(now time.Time, crashes []pomelorelay.RequestCrash, observed bool) []pomelorelay.RequestCrash {
	var changed []pomelorelay.RequestCrash
	for _, c := range crashes {
		// A clock that is ahead must not extend the quarantine.
		c.UnixMilli = min(c.UnixMilli, now.UnixMilli())
		if l.expired(now, &c) || !l.mergeOne(c, observed) {
			continue
		}
		changed = append(changed, c)
	}
	if len(changed) == 0 {
		return nil
	}
	l.snapshot = nil
	l.dropExcess()
	l.updateQuarantines(now, changed)
	return changed
}

// mergeOne merges one crash and reports whether that changed anything.
func (l *CrashLog) mergeOne(c pomelorelay.RequestCrash, observed bool) bool {
	h := l.histories[c.Fingerprint]
	if h == nil {
		h = &crashHistory{crashes: make(map[upstreamProcess]loggedCrash)}
		l.histories[c.Fingerprint] = h
	}
	key := upstreamProcess{c.Upstream, c.StartUnixMilli}
	known, ok := h.crashes[key]
	merged := loggedCrash{RequestCrash: c, observed: known.observed || observed, clearTold: known.clearTold}
	if ok {
		merged.UnixMilli = min(c.UnixMilli, known.UnixMilli)
		merged.Repeated = c.Repeated || known.Repeated
		merged.Cleared = c.Cleared || known.Cleared
	}
	h.crashes[key] = merged
	return !ok || merged.Repeated != known.Repeated || merged.Cleared != known.Cleared
}

func (l *CrashLog) expired(now time.Time, c *pomelorelay.RequestCrash) bool {
	return now.UnixMilli()-c.UnixMilli >= l.cfg.Memory.Milliseconds()
}

// quarantineEnd returns when the quarantine of a history ends, in Unix milliseconds; zero when there is none. Crashes of several upstreams at
// once, of which no run began after another crash, do not suffice: they may have another cause, such as a loss of power.
func (l *CrashLog) quarantineEnd(h *crashHistory) int64 {
	count, repeated, last := 0, false, int64(0)
	for _, c := range h.crashes {
		if c.Cleared {
			continue
		}
		count++
		repeated = repeated || c.Repeated
		last = max(last, c.UnixMilli)
	}
	if count < l.cfg.MaxCrashes || !repeated {
		return 0
	}
	duration := l.cfg.QuarantineFor
	for n := l.cfg.MaxCrashes; n < count && duration < l.cfg.Memory; n++ {
		duration *= 2
	}
	return last + min(duration, l.cfg.Memory).Milliseconds()
}

// updateQuarantines logs the quarantines that begin or end with the changed crashes, and notes which crashes are to be recorded.
func (l *CrashLog) updateQuarantines(now time.Time, changed []pomelorelay.RequestCrash) {
	for _, c := range changed {
		h := l.histories[c.Fingerprint]
		if h == nil {
			continue
		}
		end := l.quarantineEnd(h)
		quarantined := end > now.UnixMilli()
		h.recorded = h.recorded || quarantined && h.isObserved()
		l.recordChanged = l.recordChanged || h.recorded
		if quarantined == h.quarantined {
			continue
		}
		h.quarantined = quarantined
		if quarantined {
			l.cfg.Logger.Log(pomelorelay.EventQuarantined, pomelorelay.Field{Key: "Fingerprint", Value: c.Fingerprint.String()}, pomelorelay.Field{Key: "Upstream", Value: c.Upstream},
				pomelorelay.Field{Key: "Crashes", Value: len(h.crashes)}, pomelorelay.Field{Key: "ForMS", Value: end - now.UnixMilli()})
			continue
		}
		l.cfg.Logger.Log(pomelorelay.EventQuarantineLifted, pomelorelay.Field{Key: "Fingerprint", Value: c.Fingerprint.String()})
	}
}

// isObserved reports whether this router observed one of the crashes.
func (h *crashHistory) isObserved() bool {
	for _, c := range h.crashes {
		if c.observed {
			return true
		}
	}
	return false
}

// Expire drops the crashes that no longer count. Call it about once a second.
func (l *CrashLog) Expire(now time.Time) {
	for f, h := range l.histories {
		before := len(h.crashes)
		maps.DeleteFunc(h.crashes, func(_ upstreamProcess, c loggedCrash) bool { return l.expired(now, &c.RequestCrash) })
		if len(h.crashes) == before {
			continue
		}
		l.snapshot = nil
		l.recordChanged = l.recordChanged || h.recorded
		if len(h.crashes) == 0 {
			delete(l.histories, f)
		}
	}
}

// dropDivisor is the part of MaxFingerprints that is dropped at once, so that the search for the oldest is rare.
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

func (h *crashHistory) lastCrash() int64 {
	last := int64(0)
	for _, c := range h.crashes {
		last = max(last, c.UnixMilli)
	}
	return last
}

// RecordChanged reports whether Record returns another list than at its last call.
func (l *CrashLog) RecordChanged() bool { return l.recordChanged }

// Record returns the newest crashes that this router records in the platform's store, at most limit: all those that led to quarantines of which
// it observed a part. Until then, a fleet whose routers all restart begins to count anew.
func (l *CrashLog) Record(limit int) []pomelorelay.RequestCrash {
	l.recordChanged = false
	return l.newest(limit, func(h *crashHistory) bool { return h.recorded })
}

// All returns the newest crashes, at most limit.
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
			list = append(list, c.RequestCrash)
		}
	}
	slices.SortFunc(list, func(a, b pomelorelay.RequestCrash) int {
		return cmp.Or(cmp.Compare(b.UnixMilli, a.UnixMilli), cmp.Compare(a.Fingerprint, b.Fingerprint), cmp.Compare(a.Upstream, b.Upstream))
	})
	return list[:min(len(list), limit)]
}

// CrashSnapshot is an immutable view of a CrashLog, safe for concurrent use. The zero value holds no crashes.
type CrashSnapshot struct {
	suspects    map[pomelorelay.Fingerprint]bool
	quarantined map[pomelorelay.Fingerprint]int64
}

// Snapshot returns an immutable view; the same one is returned until the CrashLog changes.
func (l *CrashLog) Snapshot() *CrashSnapshot {
	if l.snapshot != nil {
		return l.snapshot
	}
	s := &CrashSnapshot{suspects: make(map[pomelorelay.Fingerprint]bool), quarantined: make(map[pomelorelay.Fingerprint]int64)}
	for f, h := range l.histories {
		for _, c := range h.crashes {
			if !c.Cleared {
				s.suspects[f] = true
			}
		}
		if end := l.quarantineEnd(h); end > 0 {
			s.quarantined[f] = end
		}
	}
	l.snapshot = s
	return s
}

// IsSuspect reports whether an upstream crashed under the fingerprint and none has answered a request with it since.
func (s *CrashSnapshot) IsSuspect(f pomelorelay.Fingerprint) bool { return s.suspects[f] }

// QuarantineRemaining returns the remaining duration of a fingerprint's quarantine, zero when there is none.
func (s *CrashSnapshot) QuarantineRemaining(now time.Time, f pomelorelay.Fingerprint) time.Duration {
	end, ok := s.quarantined[f]
	if !ok {
		return 0
	}
	return max(0, time.Duration(end-now.UnixMilli())*time.Millisecond)
}

// Suspects returns the number of suspects.
func (s *CrashSnapshot) Suspects() int { return len(s.suspects) }

// Quarantined returns the number of fingerprints under quarantine at the time.
func (s *CrashSnapshot) Quarantined(now time.Time) int {
	n := 0
	for _, end := range s.quarantined {
		if end > now.UnixMilli() {
			n++
		}
	}
	return n
}
