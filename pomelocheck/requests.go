package pomelocheck

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// checkAnswers finds answers that belong to another request or are truncated without an error, and attempts that ended more than
// once. A caller would act on another request's answer, since only the digest in the answer reveals the mistake.
func (c *Checker) checkAnswers(out []Violation) []Violation {
	for id, a := range c.attempts {
		for _, answer := range a.answered {
			if !answer.MatchesRequest {
				out = append(out, Violation{WrongAnswer, string(id), answer.At, "the answer belongs to another request"})
				continue
			}
			if !answer.Complete {
				out = append(out, Violation{WrongAnswer, string(id), answer.At, "the answer is truncated but ended without an error"})
			}
		}
		if endCount := a.endCount(); endCount > 1 {
			out = append(out, Violation{WrongAnswer, string(id), a.firstEnd(), fmt.Sprintf("the attempt ended %d times, want once", endCount)})
		}
	}
	return out
}

func (a *attempt) endCount() int { return len(a.answered) + len(a.refused) + len(a.broken) }

// firstEnd returns when the attempt first ended, zero if it has not.
func (a *attempt) firstEnd() time.Time {
	var ends []time.Time
	for _, e := range a.answered {
		ends = append(ends, e.At)
	}
	for _, e := range a.refused {
		ends = append(ends, e.At)
	}
	for _, e := range a.broken {
		ends = append(ends, e.At)
	}
	if len(ends) == 0 {
		return time.Time{}
	}
	return slices.MinFunc(ends, time.Time.Compare)
}

func (a *attempt) firstEndOr(now time.Time) time.Time {
	end := a.firstEnd()
	if end.IsZero() {
		return now
	}
	return end
}

// checkWaits finds requests that took longer than MaxWait. The wait spans all attempts, since a caller that is refused
// repeatedly is not served either. It ends with the first answer, or with the first refusal that reports the request as
// quarantined, since such a refusal is final.
func (c *Checker) checkWaits(now time.Time, out []Violation) []Violation {
	for id, t := range c.requests {
		first, end := c.waitSpan(t, now)
		if wait := end.Sub(first); wait > c.cfg.MaxWait {
			detail := fmt.Sprintf("waited %s in %d attempts:%s", wait, len(t.attempts), c.describeAttempts(t, first, now))
			out = append(out, Violation{Starved, string(id), end, detail})
		}
	}
	return out
}

// waitSpan returns when the request was first sent, and when its wait ended: at the first answer or refusal as quarantined, or else
// at the end of its last attempt.
func (c *Checker) waitSpan(t *requestHistory, now time.Time) (first, end time.Time) {
	var settled time.Time
	for _, id := range t.attempts {
		a := c.attempts[id]
		if first.IsZero() || a.sent.At.Before(first) {
			first = a.sent.At
		}
		if last := a.firstEndOr(now); last.After(end) {
			end = last
		}
		if when := a.settledAt(); !when.IsZero() && (settled.IsZero() || when.Before(settled)) {
			settled = when
		}
	}
	if !settled.IsZero() {
		end = settled
	}
	return first, end
}

// describeAttempts lists the router, start, end and refusal codes of each attempt, so that a violation can be traced to a fault.
func (c *Checker) describeAttempts(t *requestHistory, first, now time.Time) string {
	var text strings.Builder
	for _, id := range t.attempts {
		a := c.attempts[id]
		fmt.Fprintf(&text, " %s from %s to %s", a.sent.Node, a.sent.At.Sub(first), a.firstEndOr(now).Sub(first))
		for _, r := range a.refused {
			fmt.Fprintf(&text, " (%d)", r.Code)
		}
	}
	return text.String()
}

// settledAt returns when the attempt was first answered or refused as quarantined, zero if neither.
func (a *attempt) settledAt() time.Time {
	var when time.Time
	if len(a.answered) > 0 {
		when = a.answered[0].At
	}
	for _, r := range a.refused {
		if r.Code == pomelorelay.CodeQuarantined && (when.IsZero() || r.At.Before(when)) {
			when = r.At
		}
	}
	return when
}

// checkRefusals finds refusals that are late, sent slowly, or without Retry-After, and attempts that end too long after their
// deadline. A router that delays a refusal after giving up the request keeps the caller from trying another router.
func (c *Checker) checkRefusals(now time.Time, out []Violation) []Violation {
	for id, a := range c.attempts {
		for _, r := range a.refused {
			if detail := c.delayedRefusal(r); detail != "" {
				out = append(out, Violation{HeldBack, string(id), r.At, detail})
			}
		}
		if detail := c.pastDeadline(now, a); detail != "" {
			out = append(out, Violation{HeldBack, string(id), a.firstEndOr(now), detail})
		}
	}
	return out
}

func (c *Checker) delayedRefusal(r RequestRefused) string {
	if delay := r.At.Sub(r.DecidedAt); !r.DecidedAt.IsZero() && delay > c.cfg.MaxRefusalDelay+c.cfg.MaxClockSkew {
		return fmt.Sprintf("the refusal ended %s after the router gave up the request", delay)
	}
	if duration := r.At.Sub(r.FirstByteAt); !r.FirstByteAt.IsZero() && duration > c.cfg.MaxRefusalDelay {
		return fmt.Sprintf("the refusal took %s from its first byte to its last", duration)
	}
	if temporary(r.Code) && !r.RetryAfter {
		return fmt.Sprintf("the refusal with code %d has no Retry-After", r.Code)
	}
	return ""
}

// temporary reports whether the condition behind the code is temporary, so that the caller should retry later.
func temporary(code pomelorelay.ResultCode) bool {
	status := code.Info().HTTPStatus
	return code != 0 && (status == 503 || status == 429)
}

func (c *Checker) pastDeadline(now time.Time, a *attempt) string {
	if a.sent == nil || a.sent.Deadline.IsZero() {
		return ""
	}
	end := a.firstEndOr(now)
	overrun := end.Sub(a.sent.Deadline) - c.suspendedDuration(a.sent.Node, a.sent.At, end)
	if overrun <= c.cfg.MaxRefusalDelay+c.cfg.MaxClockSkew {
		return ""
	}
	return fmt.Sprintf("no final answer until %s after the deadline", overrun)
}

func (c *Checker) checkRuns(out []Violation) []Violation {
	for id, t := range c.requests {
		out = c.checkDoubleRun(id, t, out)
		for _, run := range t.runs {
			if len(t.attempts) == 0 || c.causedByAttempt(t, run) {
				continue
			}
			out = append(out, Violation{FalseNotRun, string(id), run.At, "ran on upstream " + string(run.Upstream) + " although every attempt was refused as not run"})
		}
	}
	return out
}

func (c *Checker) checkDoubleRun(id ContentID, t *requestHistory, out []Violation) []Violation {
	if len(t.runs) < 2 || !c.runsAtMostOnce(t) {
		return out
	}
	last := slices.MaxFunc(t.runs, func(a, b RunStarted) int { return a.At.Compare(b.At) })
	return append(out, Violation{DoubleRun, string(id), last.At, fmt.Sprintf("ran %d times", len(t.runs))})
}

func (c *Checker) runsAtMostOnce(t *requestHistory) bool {
	return slices.ContainsFunc(t.attempts, func(id AttemptID) bool { return c.attempts[id].sent.AtMostOnce })
}

// causedByAttempt reports whether any attempt can have caused the run: one sent before the run started and not refused as not run.
// A resend may run although an earlier attempt was refused, but it cannot have caused a run that started before it was sent.
func (c *Checker) causedByAttempt(t *requestHistory, run RunStarted) bool {
	return slices.ContainsFunc(t.attempts, func(id AttemptID) bool {
		a := c.attempts[id]
		return !a.sent.At.After(run.At.Add(c.cfg.MaxClockSkew)) && !a.refusedAsNotRun()
	})
}

func (a *attempt) refusedAsNotRun() bool {
	return slices.ContainsFunc(a.refused, func(r RequestRefused) bool { return r.Ran == pomelorelay.RanNo })
}
