package pomeloplace

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Connections to a failure domain that is down or partitioned hang until they time out. If each unreachable upstream were detected separately,
// callers would get late answers for as many attempts as the domain has upstreams. When a few upstreams hang and no other one has answered
// meanwhile, the whole domain goes into backoff, and one request at a time probes it.

// minHungUpstreams is the number of hanging upstreams from which a failure domain counts as unreachable.
const minHungUpstreams = 3

// domainState is the reachability and evacuation state of a failure domain.
type domainState struct {
	// evacuated domains receive no new requests.
	evacuated bool
	// hung holds the upstreams whose connections hung since the domain last answered.
	hung         map[pomelorelay.UpstreamID]bool
	lastAnswerAt time.Time
	// backoffUntil is the end of the current backoff; backoff is its duration.
	backoffUntil time.Time
	backoff      time.Duration
	// probing reports whether a request that probes the domain is in flight.
	probing bool
}

func newDomainState() *domainState {
	return &domainState{hung: make(map[pomelorelay.UpstreamID]bool)}
}

// unreachable reports whether the domain counts as unreachable. It still does after a backoff, until one of its upstreams answers.
func (d *domainState) unreachable() bool { return len(d.hung) >= minHungUpstreams }

// inBackoff reports whether the domain is in backoff.
func (d *domainState) inBackoff(now time.Time) bool { return now.Before(d.backoffUntil) }

// recordSend records a request to the domain. The first request to an unreachable domain after its backoff is a probe; a new backoff keeps other
// requests away from the domain until the outcome of the probe is known.
func (d *domainState) recordSend(now time.Time) {
	if d.unreachable() && !d.inBackoff(now) {
		d.backoffUntil, d.probing = now.Add(unreachableBackoff), true
	}
}

// recordAnswer records an answer from the domain and ends its backoff.
func (d *domainState) recordAnswer(now time.Time) {
	d.lastAnswerAt = now
	if len(d.hung) > 0 {
		clear(d.hung)
	}
	d.backoffUntil, d.backoff, d.probing = time.Time{}, 0, false
}

// recordHang records a connection to an upstream that hung until it timed out. It is ignored if the domain has answered since the request was
// sent.
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
