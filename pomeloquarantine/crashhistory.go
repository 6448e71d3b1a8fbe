package pomeloquarantine

import (
	"github.com/pomelorelay/pomelorelay"
)

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
	// observed is set if this router observed the crash.
	observed bool
	// clearUnsent is set while the other routers have not been sent that this router cleared the crash.
	clearUnsent bool
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

func (h *crashHistory) lastCrash() int64 {
	last := int64(0)
	for _, c := range h.crashes {
		last = max(last, c.UnixMilli)
	}
	return last
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
