package pomeloplace

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// A failure domain that is lost or cut off answers nothing: each connection to it hangs until it is given up. Left to find that out upstream by
// upstream, a router would hang at each of them, and callers would be late for as long as it has upstreams there. So after a few that hang, with no
// answer of any other meanwhile, all of the domain are left alone, and one request at a time finds out whether it is back.

// domainHangs is the number of upstreams of a failure domain that must hang.
const domainHangs = 3

// domainState is whether a failure domain is reachable and takes requests.
type domainState struct {
	// evacuated domains get nothing new.
	evacuated bool
	// hung are the upstreams at which connections hung since one of the domain last answered.
	hung     map[pomelorelay.UpstreamID]bool
	answered time.Time
	// downUntil is until when the domain is left alone, downFor how long it was last.
	downUntil time.Time
	downFor   time.Duration
	// probing tells that a request is under way to find out whether the domain is back.
	probing bool
}

func newDomainState() *domainState {
	return &domainState{hung: make(map[pomelorelay.UpstreamID]bool)}
}

// down reports whether the domain is taken for unreachable, also when it is to be tried again.
func (d *domainState) down() bool { return len(d.hung) >= domainHangs }

// rests reports whether the domain is left alone.
func (d *domainState) rests(now time.Time) bool { return now.Before(d.downUntil) }

// sent notes a request to the domain; while it is taken for unreachable, no other one follows until this one has had its time.
func (d *domainState) sent(now time.Time) {
	if d.down() && !d.rests(now) {
		d.downUntil, d.probing = now.Add(unreachedFor), true
	}
}

// answer notes that an upstream of the domain answers.
func (d *domainState) answer(now time.Time) {
	d.answered = now
	if len(d.hung) > 0 {
		clear(d.hung)
	}
	d.downUntil, d.downFor, d.probing = time.Time{}, 0, false
}

// hang notes that a connection to an upstream hung until it was given up, for a request that was sent at a time.
func (d *domainState) hang(now, sent time.Time, id pomelorelay.UpstreamID) {
	if d.answered.After(sent) {
		return
	}
	d.hung[id] = true
	if d.down() && (d.probing || !d.rests(now)) {
		d.probing = false
		d.downFor = min(max(2*d.downFor, unreachedFor), unreachedMost)
		d.downUntil = now.Add(d.downFor)
	}
}
