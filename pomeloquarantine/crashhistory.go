package pomeloquarantine

import (
	"slices"

	"github.com/pomelorelay/pomelorelay"
)

// crashHistory holds the crashes under one fingerprint.
type crashHistory struct {
	crashes map[pomelorelay.UpstreamProcess]loggedCrash
	// isCause is set if the history explains crashes, quarantined if its quarantine has not ended.
	isCause, quarantined bool
	// recorded is set if this router records the crashes in the store: they have led to a quarantine, and this router observed some.
	recorded bool
}

type loggedCrash struct {
	pomelorelay.RequestCrash
	crashSource
	// clearUnsent is set while the other routers have not been sent that this router cleared the crash.
	clearUnsent bool
}

// crashSource is what this router knows of a crash besides the crash itself.
type crashSource struct {
	// observed is set if this router observed the crash.
	observed bool
	// pending is set while only the connection is known to have broken.
	pending bool
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

// isPart reports whether the fingerprint is that of a prompt part.
func (h *crashHistory) isPart() bool {
	for _, c := range h.crashes {
		return c.Part
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

// crashTally summarizes the crashes of a history that are neither cleared nor explained otherwise.
type crashTally struct {
	// confirmed is the number of confirmed crashes, last the time of the last one, pending the expiries of the pending ones in ascending order,
	// all in Unix milliseconds.
	confirmed int
	last      int64
	pending   []int64
	// firstAt and lastAt are the times of the first and of the last crash, confirmed or pending, in Unix milliseconds.
	firstAt, lastAt int64
	// runs is the number of runs of all crashes.
	runs int
	// repeated is set if a confirmed crash was one of a run that began after another crash, pendingRepeated if a pending one was.
	repeated, pendingRepeated bool
}

func (t *crashTally) crashes() int { return t.confirmed + len(t.pending) }

// tally summarizes the crashes of a history, without those of the given upstream processes.
func (l *CrashLog) tally(h *crashHistory, explained map[pomelorelay.UpstreamProcess]bool) crashTally {
	var t crashTally
	for key, c := range h.crashes {
		if c.Cleared || explained[key] {
			continue
		}
		t.runs += runsOf(&c)
		if t.firstAt == 0 || c.UnixMilli < t.firstAt {
			t.firstAt = c.UnixMilli
		}
		t.lastAt = max(t.lastAt, c.UnixMilli)
		if c.pending {
			t.pending = append(t.pending, l.expiry(&c))
			t.pendingRepeated = t.pendingRepeated || c.Repeated
			continue
		}
		t.confirmed++
		t.last = max(t.last, c.UnixMilli)
		t.repeated = t.repeated || c.Repeated
	}
	slices.Sort(t.pending)
	return t
}

// quarantineEnd returns when the quarantine for the crashes ends, in Unix milliseconds, and whether confirmed crashes suffice for it; zero when
// there is none because fewer than needed are known. Crashes of several upstreams at once, of which no run began after another crash, do not suffice: they may have another
// cause, such as a loss of power.
func (l *CrashLog) quarantineEnd(t *crashTally, needed int) (int64, bool) {
	if t.confirmed < needed || !t.repeated {
		return pendingQuarantineEnd(t, needed), false
	}
	duration := l.cfg.QuarantineFor
	for n := l.cfg.MaxCrashes; n < t.confirmed && duration < l.cfg.Memory; n++ {
		duration *= 2
	}
	return t.last + min(duration, l.cfg.Memory).Milliseconds(), true
}

// pendingQuarantineEnd returns until when enough crashes are pending to make up for the confirmed ones that are missing; zero if they do not.
func pendingQuarantineEnd(t *crashTally, needed int) int64 {
	missing := max(needed-t.confirmed, 1)
	if len(t.pending) < missing || !(t.repeated || t.pendingRepeated) {
		return 0
	}
	return t.pending[len(t.pending)-missing]
}
