package pomelocheck

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// A caller who takes another's answer, or half of its own, for whole acts on it; only the caller's own proof shows it.
func (c *Checker) checkAnswers(out []Violation) []Violation {
	for id, a := range c.attempts {
		for _, answer := range a.answered {
			if !answer.MatchesRequest {
				out = append(out, Violation{WrongAnswer, string(id), answer.At, "the answer belongs to another request"})
				continue
			}
			if !answer.Complete {
				out = append(out, Violation{WrongAnswer, string(id), answer.At, "the answer ended as if whole and is not"})
			}
		}
		if ends := a.ends(); ends > 1 {
			out = append(out, Violation{WrongAnswer, string(id), a.ended(), fmt.Sprintf("the attempt ended %d times", ends)})
		}
	}
	return out
}

func (a *attempt) ends() int { return len(a.answered) + len(a.refused) + len(a.broken) }

// ended returns when the attempt ended first, zero while it is open.
func (a *attempt) ended() time.Time {
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

func (a *attempt) endedBy(now time.Time) time.Time {
	end := a.ended()
	if end.IsZero() {
		return now
	}
	return end
}

// A caller who is turned away again and again waits as one does who hears nothing; so a request's wait is taken over all its
// attempts, until the first answer or the first word that the request is quarantined, which is final.
func (c *Checker) checkWaits(now time.Time, out []Violation) []Violation {
	for id, t := range c.contents {
		first, end := c.waited(t, now)
		if wait := end.Sub(first); wait > c.cfg.MaxWait {
			detail := fmt.Sprintf("waited %s in %d attempts:%s", wait, len(t.attempts), c.describe(t, first, now))
			out = append(out, Violation{Starved, string(id), end, detail})
		}
	}
	return out
}

// waited returns when the content was first sent, and when it was first answered or quarantined or else its last attempt ended.
func (c *Checker) waited(t *content, now time.Time) (first, end time.Time) {
	var settled time.Time
	for _, id := range t.attempts {
		a := c.attempts[id]
		if first.IsZero() || a.sent.At.Before(first) {
			first = a.sent.At
		}
		if last := a.endedBy(now); last.After(end) {
			end = last
		}
		if when := a.settled(); !when.IsZero() && (settled.IsZero() || when.Before(settled)) {
			settled = when
		}
	}
	if !settled.IsZero() {
		end = settled
	}
	return first, end
}

// describe tells where each attempt went and when it began and ended, so that a violation can be traced to a fault.
func (c *Checker) describe(t *content, first, now time.Time) string {
	var text strings.Builder
	for _, id := range t.attempts {
		a := c.attempts[id]
		fmt.Fprintf(&text, " %s from %s to %s", a.sent.Node, a.sent.At.Sub(first), a.endedBy(now).Sub(first))
		for _, r := range a.refused {
			fmt.Fprintf(&text, " (%d)", r.Code)
		}
	}
	return text.String()
}

// settled returns when the attempt was first answered or refused as quarantined, zero when it was neither.
func (a *attempt) settled() time.Time {
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

// A router that has given up a request and keeps its caller waiting hides the failure: the caller could have gone
// elsewhere. It shows as a refusal that comes late, drips, or lacks the time to come back.
func (c *Checker) checkRefusals(now time.Time, out []Violation) []Violation {
	for id, a := range c.attempts {
		for _, r := range a.refused {
			if detail := c.heldBack(r); detail != "" {
				out = append(out, Violation{HeldBack, string(id), r.At, detail})
			}
		}
		if detail := c.pastDeadline(now, a); detail != "" {
			out = append(out, Violation{HeldBack, string(id), a.endedBy(now), detail})
		}
	}
	return out
}

func (c *Checker) heldBack(r RequestRefused) string {
	if late := r.At.Sub(r.DecidedAt); !r.DecidedAt.IsZero() && late > c.cfg.RefuseWithin+c.cfg.MaxClockSkew {
		return fmt.Sprintf("the refusal came %s after the router gave up", late)
	}
	if drip := r.At.Sub(r.FirstByteAt); !r.FirstByteAt.IsZero() && drip > c.cfg.RefuseWithin {
		return fmt.Sprintf("the refusal took %s from its first byte to its last", drip)
	}
	if temporary(r.Code) && !r.RetryAfter {
		return fmt.Sprintf("the refusal %d does not say when to come back", r.Code)
	}
	return ""
}

// temporary tells whether a refusal with the code passes by itself, so that its caller should come back.
func temporary(code pomelorelay.ResultCode) bool {
	status := code.Info().HTTPStatus
	return code != 0 && (status == 503 || status == 429)
}

func (c *Checker) pastDeadline(now time.Time, a *attempt) string {
	if a.sent == nil || a.sent.Deadline.IsZero() {
		return ""
	}
	end := a.endedBy(now)
	late := end.Sub(a.sent.Deadline) - c.frozenWithin(a.sent.Node, a.sent.At, end)
	if late <= c.cfg.RefuseWithin+c.cfg.MaxClockSkew {
		return ""
	}
	return fmt.Sprintf("no final answer until %s after the deadline", late)
}

func (c *Checker) checkRuns(out []Violation) []Violation {
	for id, t := range c.contents {
		out = c.checkOnce(id, t, out)
		for _, run := range t.runs {
			if len(t.attempts) == 0 || c.explained(t, run) {
				continue
			}
			out = append(out, Violation{FalseNotRun, string(id), run.At, "it ran on " + string(run.Upstream) + " though every attempt was refused as not run"})
		}
	}
	return out
}

func (c *Checker) checkOnce(id ContentID, t *content, out []Violation) []Violation {
	if len(t.runs) < 2 || !c.once(t) {
		return out
	}
	last := slices.MaxFunc(t.runs, func(a, b RunStarted) int { return a.At.Compare(b.At) })
	return append(out, Violation{DoubleRun, string(id), last.At, fmt.Sprintf("ran %d times", len(t.runs))})
}

func (c *Checker) once(t *content) bool {
	return slices.ContainsFunc(t.attempts, func(id AttemptID) bool { return c.attempts[id].sent.AtMostOnce })
}

// explained tells whether an attempt sent before the run was not refused as not run. A resend of the same content
// may rightly run after an earlier attempt was refused, so each run is held against the attempts sent before it.
func (c *Checker) explained(t *content, run RunStarted) bool {
	return slices.ContainsFunc(t.attempts, func(id AttemptID) bool {
		a := c.attempts[id]
		return !a.sent.At.After(run.At.Add(c.cfg.MaxClockSkew)) && !a.notRun()
	})
}

func (a *attempt) notRun() bool {
	return slices.ContainsFunc(a.refused, func(r RequestRefused) bool { return r.Ran == pomelorelay.RanNo })
}
