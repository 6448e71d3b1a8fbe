package pomelooverload

import "time"

// Class is why a request is refused, least important requests first.
type Class string

// Values of Class.
const (
	// ClassNone marks an admitted request.
	ClassNone Class = ""
	// ClassHopeless marks a request that could not be answered in its remaining time.
	ClassHopeless Class = "hopeless"
	// ClassOverShare marks a request beyond its account's share.
	ClassOverShare Class = "over_share"
	// ClassPriority marks a request within its account's share whose priority is not the highest.
	ClassPriority Class = "priority"
	// ClassWithinShare marks a request within its account's share and of the highest priority.
	ClassWithinShare Class = "within_share"
)

// Request is what the decision depends on, known before the body is read.
type Request struct {
	// TimeLeft is how long the caller still waits; zero if unknown.
	TimeLeft time.Duration
	// Expected is the expected time from the decision to the answer.
	Expected  time.Duration
	OverShare bool
	// Priority is the rank of the request; 0 is the highest.
	Priority int
}

// Control decides on requests; times are durations since any fixed moment, and may be out of order by a few milliseconds.
type Control struct {
	cfg        Config
	stages     [StageCount]delay
	intervalAt time.Duration
	// admitted counts the admitted requests of the current interval; rate is that of the last one in requests per second.
	admitted int
	rate     float64
	limited  bool
	since    time.Duration
	// limit is the admitted rate in requests per second. step is what the next interval adds to it; it starts at minStep and grows with each
	// addition in a row.
	limit, step, minStep float64
	tokens               float64
	filledAt             time.Duration
	refusedAt            time.Duration
	refused              int
}

// New returns a Control that limits nothing yet.
func New(cfg Config) *Control {
	cfg.setDefaults()
	return &Control{cfg: cfg}
}

// Observe records how long a request waited on a stage until now.
func (c *Control) Observe(now time.Duration, stage Stage, waited time.Duration) {
	c.advance(now)
	d := &c.stages[stage]
	d.observe(now, waited, c.cfg.Threshold)
	least := minLate
	if stage == StageTick {
		least = minLateTicks
	}
	if !c.limited && d.hasStandingQueue(now, scale(onsetFraction, c.cfg.Interval), least) {
		c.begin(now)
	}
}

func scale(factor float64, d time.Duration) time.Duration { return time.Duration(factor * float64(d)) }

// Tick adjusts the limit; it must be called at least once an interval.
func (c *Control) Tick(now time.Duration) { c.advance(now) }

// Admit decides on a request that has waited so long; ClassNone admits it, any other class is the reason for its refusal.
func (c *Control) Admit(now, waited time.Duration, r Request) Class {
	c.advance(now)
	if !c.limited {
		c.admitted++
		return ClassNone
	}
	if r.TimeLeft > 0 && r.TimeLeft < waited+r.Expected {
		// Such a request would be refused without the limit, too, so it must not prolong it.
		c.refused++
		return ClassHopeless
	}
	c.fill(now)
	if c.tokens < 1+r.reserve()*c.burst() {
		return c.refuse(now, r.class())
	}
	c.tokens--
	c.admitted++
	return ClassNone
}

func (c *Control) refuse(now time.Duration, class Class) Class {
	c.refusedAt = now
	c.refused++
	return class
}

const (
	// overShareReserve is the fraction of the bucket that over-share requests leave to the others. While they use all tokens above it, requests
	// within the share find a reserve of this size, so they are refused only when they alone exceed the limit.
	overShareReserve = 0.45
	// priorityReserve is the additional fraction that a request of lower priority leaves, for each rank up to maxRanks.
	priorityReserve = 0.1
	maxRanks        = 3
)

func (r *Request) reserve() float64 {
	reserve := priorityReserve * float64(min(max(r.Priority, 0), maxRanks))
	if r.OverShare {
		// The ranks of over-share requests share what is left of the bucket, so that at minBurst each can still be admitted.
		return overShareReserve + reserve
	}
	return reserve
}

func (r *Request) class() Class {
	switch {
	case r.OverShare:
		return ClassOverShare
	case r.Priority > 0:
		return ClassPriority
	}
	return ClassWithinShare
}

func (c *Control) burst() float64 { return max(minBurst, c.limit*burstTime.Seconds()) }

func (c *Control) fill(now time.Duration) {
	if now < c.filledAt {
		return
	}
	c.tokens = min(c.burst(), c.tokens+c.limit*(now-c.filledAt).Seconds())
	c.filledAt = now
}

// begin starts the limit from the rate at which requests were admitted while none was refused.
func (c *Control) begin(now time.Duration) {
	passed := max(now-c.intervalAt, c.cfg.Interval)
	c.limited, c.since = true, now
	c.limit = max(minRate, initialFraction*max(c.rate, float64(c.admitted)/passed.Seconds()))
	c.minStep = max(1, limitIncrease*c.limit)
	c.step = c.minStep
	c.tokens, c.filledAt, c.refusedAt, c.refused = 0, now, now, 0
	c.intervalAt, c.admitted = now, 0
	for i := range c.stages {
		c.stages[i].endInterval()
	}
}

// advance closes the interval if it is over.
func (c *Control) advance(now time.Duration) {
	if now-c.intervalAt < c.cfg.Interval {
		return
	}
	worst := time.Duration(0)
	for i := range c.stages {
		worst = max(worst, c.stages[i].endInterval())
	}
	if c.limited {
		c.adjust(now, worst)
	}
	c.updateRate(now - c.intervalAt)
	c.intervalAt, c.admitted = now, 0
}

// updateRate records the rate of the interval that lasted for so long. Less than before is admitted during a stall of the process, and at its end, so
// the rate falls slowly, and not at all by an interval that a stall has prolonged.
func (c *Control) updateRate(lasted time.Duration) {
	if lasted > maxIntervals*c.cfg.Interval {
		return
	}
	c.rate = max(float64(c.admitted)/lasted.Seconds(), rateDecay*c.rate)
}

func (c *Control) adjust(now, worst time.Duration) {
	c.fill(now)
	switch {
	case worst > c.cfg.Threshold:
		c.limit, c.step = max(minRate, limitDecrease*c.limit), c.minStep
	case worst < c.cfg.Threshold/2 && now-c.refusedAt < c.cfg.Interval:
		c.limit += c.step
		c.step = min(stepGrowth*c.step, max(c.minStep, maxStepFraction*c.limit))
	}
	if worst <= c.cfg.Threshold && now-c.refusedAt >= c.cfg.Hold {
		c.limited = false
	}
}

// Delay returns the largest minimum delay of the stages.
func (c *Control) Delay() time.Duration {
	worst := time.Duration(0)
	for i := range c.stages {
		worst = max(worst, c.stages[i].current())
	}
	return worst
}

// State is the state of a Control, for reports, metrics and the log.
type State struct {
	Limited bool
	// Since is when the limit began; Limit is the admitted rate in requests per second. Both are zero while nothing is limited.
	Since time.Duration
	Limit float64
	// Refused is the number of requests refused since the limit began.
	Refused int
	Delay   time.Duration
	// AboveHalf states that the delay is above half of the threshold.
	AboveHalf bool
	// CloseUnread states that refusing all requests takes more than the host's processor time, so that connections must be closed unread.
	CloseUnread bool
}

// closesUnread reports whether several requests in a row waited longer than callers do. A single one may come from a caller that connected long
// before it sent its request.
func (c *Control) closesUnread() bool {
	for i := range c.stages {
		if d := &c.stages[i]; d.late >= minLate && d.current() > closeUnreadDelay {
			return true
		}
	}
	return false
}

// State returns the state now.
func (c *Control) State(now time.Duration) State {
	c.advance(now)
	delay := c.Delay()
	s := State{Delay: delay, AboveHalf: delay > c.cfg.Threshold/2, Refused: c.refused}
	if c.limited {
		s.Limited, s.Since, s.Limit = true, c.since, c.limit
		s.CloseUnread = c.closesUnread()
	}
	return s
}
