package pomelocheck

import (
	"fmt"
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

func (c *Checker) checkLeaving(out []Violation) []Violation {
	for id, t := range c.requests {
		for _, run := range t.runs {
			leavingSince, ok := c.leaving[run.Upstream]
			if !ok || run.At.Sub(leavingSince) <= c.cfg.LeaveGrace+c.cfg.MaxClockSkew {
				continue
			}
			out = append(out, Violation{NewWorkAfterLeave, string(run.Upstream), run.At, fmt.Sprintf("request %s started %s after the upstream began to leave", id, run.At.Sub(leavingSince))})
		}
	}
	return out
}

// checkStops finds connections that broke during a planned stop: requests in progress at its beginning must be allowed to
// finish, since a closed connection looks like a crash to the caller. Connections that broke after a kill are ignored.
func (c *Checker) checkStops(out []Violation) []Violation {
	for id, a := range c.attempts {
		if a.sent == nil || len(a.broken) == 0 {
			continue
		}
		brokenAt := a.broken[0].At
		stoppedAt, planned := c.stops[a.sent.Node]
		if !planned || brokenAt.Before(stoppedAt) || c.killedBefore(a.sent.Node, a.broken[0]) {
			continue
		}
		out = append(out, Violation{CutOff, string(id), brokenAt, "connection broken during the planned stop of " + string(a.sent.Node)})
	}
	return out
}

func (c *Checker) killedBefore(node pomelorelay.NodeID, b RequestBroken) bool {
	killedAt, ok := c.kills[node]
	return ok && !killedAt.After(b.At)
}

func (c *Checker) checkGenerations(out []Violation) []Violation {
	for node, seen := range c.inForce {
		slices.SortStableFunc(seen, func(a, b ConfigInForce) int { return a.At.Compare(b.At) })
		out = c.checkNodeGenerations(node, seen, out)
	}
	return out
}

func (c *Checker) checkNodeGenerations(node pomelorelay.NodeID, seen []ConfigInForce, out []Violation) []Violation {
	var highest pomelorelay.Generation
	late := make(map[pomelorelay.Generation]bool)
	for _, s := range seen {
		if s.Generation < highest {
			out = append(out, Violation{GenerationFell, string(node), s.At, fmt.Sprintf("generation %d in force after generation %d", s.Generation, highest)})
		}
		highest = max(highest, s.Generation)
		due := c.dueGeneration(s)
		if s.Generation >= due || late[due] {
			continue
		}
		late[due] = true
		out = append(out, Violation{GenerationLate, string(node), s.At, fmt.Sprintf("generation %d in force when generation %d was due", s.Generation, due)})
	}
	return out
}

// dueGeneration returns the newest configuration generation that must be in force at s.At, since it was accepted more than
// MaxConfigDelay earlier.
func (c *Checker) dueGeneration(s ConfigInForce) pomelorelay.Generation {
	var newest pomelorelay.Generation
	for _, a := range c.accepted {
		if s.At.Sub(a.At) > c.cfg.MaxConfigDelay+c.cfg.MaxClockSkew {
			newest = max(newest, a.Generation)
		}
	}
	return newest
}

// suspendedDuration returns how long a router was suspended between two times. A suspended router can neither answer nor measure how
// long a request waited to be read, so this time does not count against the deadlines of requests.
func (c *Checker) suspendedDuration(node pomelorelay.NodeID, from, to time.Time) time.Duration {
	var total time.Duration
	for _, suspended := range c.suspensions[node] {
		end := to
		for _, resumed := range c.resumptions[node] {
			if resumed.At.After(suspended.At) && resumed.At.Before(end) {
				end = resumed.At
			}
		}
		if begin := maxTime(suspended.At, from); end.After(begin) {
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
