package pomelopromise

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

const (
	// maxPromises bounds the number of promises that are remembered. Further callers are told to return as well, but their return is not counted.
	maxPromises = 4096
	// returnTolerance is the time before its promise from which a return counts as in time, for clocks and timers that differ. returnTimeout is the
	// time after its promise at which a caller is no longer expected.
	returnTolerance = 10 * time.Millisecond
	returnTimeout   = time.Second
	// maxWait is the longest wait that is remembered. A promise that is due later was made before the clock stepped back.
	maxWait = 10 * time.Second
)

// Outcome is what became of a promise.
type Outcome string

// Outcomes of promises.
const (
	// OutcomeNone means that the request is not known to be a return.
	OutcomeNone Outcome = ""
	// OutcomeMade means that a caller was told to return.
	OutcomeMade Outcome = "made"
	// OutcomeKept means that the request was admitted on its return.
	OutcomeKept Outcome = "kept"
	// OutcomeBroken means that the request was refused again on its return.
	OutcomeBroken Outcome = "broken"
)

// Promises holds the requests whose callers were told to return to this router.
type Promises struct {
	due map[pomelorelay.Fingerprint]time.Time
}

// New returns an empty Promises.
func New() *Promises { return &Promises{due: make(map[pomelorelay.Fingerprint]time.Time)} }

// Len returns the number of remembered promises.
func (p *Promises) Len() int { return len(p.due) }

// RecordRefusal records that the request's caller was told to return after the wait.
func (p *Promises) RecordRefusal(now time.Time, f pomelorelay.Fingerprint, wait time.Duration) {
	if _, known := p.due[f]; wait <= maxWait && (known || len(p.due) < maxPromises) {
		p.due[f] = now.Add(wait)
	}
}

// RecordReturn returns what became of the promise to the request, if there was one, and forgets the promise. A caller that returns early does not
// test the promise, which stays.
func (p *Promises) RecordReturn(now time.Time, f pomelorelay.Fingerprint, admitted bool) Outcome {
	due, ok := p.due[f]
	if !ok || due.Sub(now) > returnTolerance {
		return OutcomeNone
	}
	delete(p.due, f)
	switch {
	case now.Sub(due) > returnTimeout:
		return OutcomeNone
	case admitted:
		return OutcomeKept
	}
	return OutcomeBroken
}

// Expire forgets the promises whose callers are no longer expected.
func (p *Promises) Expire(now time.Time) {
	for f, due := range p.due {
		if now.Sub(due) > returnTimeout || due.Sub(now) > maxWait {
			delete(p.due, f)
		}
	}
}
