package pomelocheck

import (
	"fmt"
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

func (c *Checker) checkLeaving(out []Violation) []Violation {
	for id, t := range c.contents {
		for _, run := range t.runs {
			left, ok := c.leaving[run.Upstream]
			if !ok || run.At.Sub(left) <= c.cfg.LeaveWithin+c.cfg.MaxClockSkew {
				continue
			}
			out = append(out, Violation{NewWorkAfterLeave, string(run.Upstream), run.At, fmt.Sprintf("%s started %s after it left", id, run.At.Sub(left))})
		}
	}
	return out
}

// A planned stop that closes connections looks to the caller like a crash, which it need not be: what was in progress
// when the stop began must end by itself. Kills excuse what broke after them.
func (c *Checker) checkStops(out []Violation) []Violation {
	for id, a := range c.attempts {
		if a.sent == nil || len(a.broken) == 0 {
			continue
		}
		broke := a.broken[0].At
		stop, planned := c.stops[a.sent.Node]
		if !planned || broke.Before(stop) || c.killedBefore(a.sent.Node, a.broken[0]) {
			continue
		}
		out = append(out, Violation{CutOff, string(id), broke, "cut off by the planned stop of " + string(a.sent.Node)})
	}
	return out
}

func (c *Checker) killedBefore(node pomelorelay.NodeID, b RequestBroken) bool {
	killed, ok := c.kills[node]
	return ok && !killed.After(b.At)
}

func (c *Checker) checkGenerations(out []Violation) []Violation {
	for node, seen := range c.inForce {
		slices.SortStableFunc(seen, func(a, b ConfigInForce) int { return a.At.Compare(b.At) })
		out = c.checkNode(node, seen, out)
	}
	return out
}

func (c *Checker) checkNode(node pomelorelay.NodeID, seen []ConfigInForce, out []Violation) []Violation {
	var highest pomelorelay.Generation
	late := make(map[pomelorelay.Generation]bool)
	for _, s := range seen {
		if s.Generation < highest {
			out = append(out, Violation{GenerationFell, string(node), s.At, fmt.Sprintf("generation %d after %d", s.Generation, highest)})
		}
		highest = max(highest, s.Generation)
		due := c.due(s)
		if s.Generation >= due || late[due] {
			continue
		}
		late[due] = true
		out = append(out, Violation{GenerationLate, string(node), s.At, fmt.Sprintf("generation %d when %d was due", s.Generation, due)})
	}
	return out
}

// due returns the newest generation that must be in force when s was seen.
func (c *Checker) due(s ConfigInForce) pomelorelay.Generation {
	var newest pomelorelay.Generation
	for _, a := range c.accepted {
		if s.At.Sub(a.At) > c.cfg.InForceWithin+c.cfg.MaxClockSkew {
			newest = max(newest, a.Generation)
		}
	}
	return newest
}

// frozenWithin returns how long a router stood still between two times. It can neither answer then nor count the time for which a request
// waited to be read, so that much is no fault of what it does once it goes on.
func (c *Checker) frozenWithin(node pomelorelay.NodeID, from, to time.Time) time.Duration {
	var total time.Duration
	for _, f := range c.frozen[node] {
		end := to
		for _, on := range c.goneOn[node] {
			if on.At.After(f.At) && on.At.Before(end) {
				end = on.At
			}
		}
		if begin := maxTime(f.At, from); end.After(begin) {
			total += end.Sub(begin)
		}
	}
	return total
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
