package pomelofake

import (
	"slices"
	"time"
)

// sequence is one request in an engine; the engine's mutex guards it.
type sequence struct {
	requestID string
	proof     BodyDigest
	prompt    string
	promptLen int
	cached    int
	prefill   int
	target    int
	produced  int
	crashes   bool
	run       *Run
	readers   int
	// detached is when the last reader went.
	detached  time.Time
	ended     time.Time
	done      bool
	cancelled bool
	// changed is closed and replaced at every change.
	changed chan struct{}
}

func (s *sequence) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *sequence) over() bool { return s.done || s.cancelled }

// decode makes a step after another while there is work.
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
	return e.cfg.StepTime + time.Duration(len(e.running))*e.cfg.StepPerRequest, busy
}

// step admits, advances every running request by one token, and reports whether one of them crashes the engine.
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
	e.running = slices.DeleteFunc(e.running, (*sequence).over)
	e.forget(now)
	e.report()
	return crash
}

func (e *Engine) admit(now time.Time) {
	for _, s := range e.waiting {
		if s.abandoned(now, 0) {
			e.cancel(s)
		}
	}
	e.waiting = slices.DeleteFunc(e.waiting, (*sequence).over)
	for len(e.waiting) > 0 && len(e.running) < e.cfg.Slots {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.begin(s)
		e.running = append(e.running, s)
	}
}

func (e *Engine) begin(s *sequence) {
	s.cached = e.prefixes.use(s.prompt) / bytesPerToken
	s.prefill = s.promptLen - s.cached
	s.run = e.runs.start("", s.requestID, s.proof)
	s.run.Prompt, s.run.Cached = s.promptLen, s.cached
}

func (e *Engine) advance(s *sequence, now time.Time) {
	if s.abandoned(now, e.cfg.Grace) {
		e.cancel(s)
		return
	}
	if s.prefill > 0 {
		s.prefill -= e.cfg.PrefillPerStep
		return
	}
	s.produced++
	if s.produced >= s.target {
		e.finish(s, now)
	}
	s.notify()
}

func (s *sequence) abandoned(now time.Time, grace time.Duration) bool {
	return s.readers == 0 && !s.detached.IsZero() && now.Sub(s.detached) >= grace
}

func (e *Engine) finish(s *sequence, now time.Time) {
	s.done = true
	s.ended = now
	s.run.Completion = s.produced
	e.runs.end(s.run)
	e.over = append(e.over, s)
}

func (e *Engine) cancel(s *sequence) {
	if s.over() {
		return
	}
	s.cancelled = true
	s.ended = time.Now()
	e.over = append(e.over, s)
	if s.run != nil {
		s.run.Completion = s.produced
		s.run.Cancelled = true
		e.runs.end(s.run)
	}
	s.notify()
}

// forget drops streams that can no longer be taken up again, the earliest ended first.
func (e *Engine) forget(now time.Time) {
	for len(e.over) > 0 && now.Sub(e.over[0].ended) > e.cfg.Keep {
		s := e.over[0]
		e.over = e.over[1:]
		if e.streams[s.requestID] == s {
			delete(e.streams, s.requestID)
		}
	}
}
