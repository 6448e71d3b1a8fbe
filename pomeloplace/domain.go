package pomeloplace

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// A failure domain that is lost or cut off answers nothing: each connection to it hangs until it is given up. Left to find that out upstream by
// upstream, a router would hang at each of them, and callers would be late for as long as it has upstreams there. So after a few that hang, with no
// answer of any other meanwhile, all of the domain are left alone, and one request at a time finds out whether it is back.

// minHungUpstreams is the number of upstreams of a failure domain that must hang.
const minHungUpstreams = 3

// domainState is whether a failure domain is reachable and takes requests.
type domainState struct {
	// evacuated domains get nothing new.
	evacuated bool
	// hung are the upstreams at which connections hung since one of the domain last answered.
	hung         map[pomelorelay.UpstreamID]bool
	lastAnswerAt time.Time
	// backoffUntil is until when the domain is left alone, downFor how long it was last.
	backoffUntil time.Time
	backoff      time.Duration
	// probing tells that a request is under way to find out whether the domain is back.
	probing bool
}

func newDomainState() *domainState {
	return &domainState{hung: make(map[pomelorelay.UpstreamID]bool)}
}

// unreachable reports whether the domain is taken for unreachable, also when it is to be tried again.
func (d *domainState) unreachable() bool { return len(d.hung) >= minHungUpstreams }

// inBackoff reports whether the domain is left alone.
func (d *domainState) inBackoff(now time.Time) bool { return now.Before(d.backoffUntil) }

// recordSend notes a request to the domain; while it is taken for unreachable, no other one follows until this one has had its time.
func (d *domainState) recordSend(now time.Time) {
	if d.unreachable() && !d.inBackoff(now) {
		d.backoffUntil, d.probing = now.Add(unreachableBackoff), true
	}
}

// recordAnswer notes that an upstream of the domain answers.
func (d *domainState) recordAnswer(now time.Time) {
	d.lastAnswerAt = now
	if len(d.hung) > 0 {
		clear(d.hung)
	}
	d.backoffUntil, d.backoff, d.probing = time.Time{}, 0, false
}

// recordHang notes that a connection to an upstream hung until it was given up, for a request that was sent at a time.
func (d *domainState) recordHang(now, sent time.Time, id pomelorelay.UpstreamID) {
	if d.lastAnswerAt.After(sent) {
		return
	}
	d.hung[id] = true
	if d.unreachable() && (d.probing || !d.inBackoff(now)) {
		d.probing = false
		d.backoff = min(max(2*d.backoff, unreachableBackoff), maxUnreachableBackoff)
		d.backoffUntil = now.Add(d.backoff)
	}
}
