package pomelofake

import (
	"slices"
	"time"
)

// sequence is the state of one request in an engine, guarded by the engine's mutex.
type sequence struct {
	requestID        string
	digest           BodyDigest
	prompt           string
	promptTokens     int
	cachedTokens     int
	prefillRemaining int
	targetTokens     int
	producedTokens   int
	crashes          bool
	run              *Run
	readers          int
	// detachedAt is when a caller that was receiving the answer last disconnected.
	detachedAt time.Time
	endedAt    time.Time
	done       bool
	cancelled  bool
	// changed is closed and replaced whenever the sequence changes.
	changed chan struct{}
}

func (s *sequence) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *sequence) terminated() bool { return s.done || s.cancelled }

// decode runs decode steps while there are requests, until the engine is closed.
func (e *Engine) decode() {
	for {
		step, busy := e.stepTime()
		if !busy {
			select {
			case <-e.wake:
				continue
			case <-e.closing:
				return
			}
		}
		timer := time.NewTimer(step)
		select {
		case <-timer.C:
		case <-e.closing:
			timer.Stop()
			return
		}
		if e.step() {
			e.Crash()
		}
	}
}

func (e *Engine) stepTime() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	busy := len(e.running)+len(e.waiting) > 0 && !e.faults.Stalled
	return e.cfg.StepTime + time.Duration(len(e.running))*e.cfg.StepTimePerRequest, busy
}

// step admits waiting requests, advances each running request by one prefill or decode step, and reports whether one of them crashes
// the engine.
func (e *Engine) step() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.admit(now)
	crash := false
	for _, s := range e.running {
		crash = crash || s.crashes
		e.advance(s, now)
	}
	e.running = slices.DeleteFunc(e.running, (*sequence).terminated)
	e.evictEnded(now)
	e.recordLoad()
	return crash
}

func (e *Engine) admit(now time.Time) {
	for _, s := range e.waiting {
		if s.abandoned(now, 0) {
			e.cancel(s)
		}
	}
	e.waiting = slices.DeleteFunc(e.waiting, (*sequence).terminated)
	for len(e.waiting) > 0 && len(e.running) < e.cfg.Slots {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.start(s)
		e.running = append(e.running, s)
	}
}

func (e *Engine) start(s *sequence) {
	s.cachedTokens = e.prefixes.lookupAndInsert(s.prompt) / bytesPerToken
	s.prefillRemaining = s.promptTokens - s.cachedTokens
	s.run = e.runs.start("", s.requestID, s.digest)
	s.run.Prompt, s.run.Cached = s.promptTokens, s.cachedTokens
}

func (e *Engine) advance(s *sequence, now time.Time) {
	if s.abandoned(now, e.cfg.ResumeGrace) {
		e.cancel(s)
		return
	}
	if s.prefillRemaining > 0 {
		s.prefillRemaining -= e.cfg.PrefillPerStep
		return
	}
	s.producedTokens++
	if s.producedTokens >= s.targetTokens {
		e.finish(s, now)
	}
	s.notify()
}

func (s *sequence) abandoned(now time.Time, grace time.Duration) bool {
	return s.readers == 0 && !s.detachedAt.IsZero() && now.Sub(s.detachedAt) >= grace
}

func (e *Engine) finish(s *sequence, now time.Time) {
	s.done = true
	s.endedAt = now
	s.run.Completion = s.producedTokens
	e.runs.end(s.run)
	e.ended = append(e.ended, s)
}

func (e *Engine) cancel(s *sequence) {
	if s.terminated() {
		return
	}
	s.cancelled = true
	s.endedAt = time.Now()
	e.ended = append(e.ended, s)
	if s.run != nil {
		s.run.Completion = s.producedTokens
		s.run.Cancelled = true
		e.runs.end(s.run)
	}
	s.notify()
}

// evictEnded removes ended streams whose retention period is over, the earliest ended first.
func (e *Engine) evictEnded(now time.Time) {
	for len(e.ended) > 0 && now.Sub(e.ended[0].endedAt) > e.cfg.StreamRetention {
		s := e.ended[0]
		e.ended = e.ended[1:]
		if e.streams[s.requestID] == s {
			delete(e.streams, s.requestID)
		}
	}
}
