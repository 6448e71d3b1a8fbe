package pomelostream

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

const (
	// maxOrigins bounds the number of streams that are remembered, and maxPending of those that wait for the next report.
	maxOrigins = 1 << 17
	maxPending = 1 << 13
	// expiryStep is the accuracy with which streams expire.
	expiryStep = time.Second
)

// Origins remembers at which software version of the upstreams streams began, until their callers can no longer resume them.
type Origins struct {
	streams map[pomelorelay.Fingerprint]origin
	// expiring holds the streams by the expiryStep in which they expire, or were to expire before they were resumed, counted from began.
	expiring map[int64][]pomelorelay.Fingerprint
	// longest holds the longest time within which callers may resume one of the streams that expire in an expiryStep, from when it was learnt.
	longest map[int64]time.Duration
	began   time.Time
	expired int64
	pending []pomelorelay.StreamOrigin
}

// origin is where a stream began, when this router learnt it, and the expiryStep in which it expires.
type origin struct {
	version  pomelorelay.SoftwareVersion
	upstream pomelorelay.UpstreamHash
	at       time.Time
	expires  int64
}

// NewOrigins returns Origins that know no stream.
func NewOrigins(now time.Time) *Origins {
	return &Origins{
		streams: make(map[pomelorelay.Fingerprint]origin), expiring: make(map[int64][]pomelorelay.Fingerprint), longest: make(map[int64]time.Duration), began: now,
	}
}

// Record records a stream that began or was resumed at this router, for the next report too.
func (o *Origins) Record(now time.Time, began pomelorelay.StreamOrigin) {
	if o.add(now, began) && len(o.pending) < maxPending {
		known := o.streams[began.Stream]
		began.Version, began.Upstream = known.version, known.upstream
		o.pending = append(o.pending, began)
	}
}

// Merge records streams that other routers reported.
func (o *Origins) Merge(now time.Time, origins []pomelorelay.StreamOrigin) {
	for _, began := range origins {
		o.add(now, began)
	}
}

// add reports whether the stream was not known, or not to be resumed for as long. The first version counts: later events of the stream come from the
// same one.
func (o *Origins) add(now time.Time, began pomelorelay.StreamOrigin) bool {
	known, isKnown := o.streams[began.Stream]
	step := o.step(now.Add(began.TimeLeft)) + 1
	if began.TimeLeft <= 0 || (isKnown && step <= known.expires) || (!isKnown && len(o.streams) >= maxOrigins) {
		return false
	}
	if !isKnown {
		known = origin{version: began.Version, upstream: began.Upstream, at: now}
	}
	known.expires = step
	o.streams[began.Stream] = known
	o.expiring[step] = append(o.expiring[step], began.Stream)
	o.longest[step] = max(o.longest[step], began.TimeLeft)
	return true
}

func (o *Origins) step(at time.Time) int64 { return int64(at.Sub(o.began) / expiryStep) }

// Version returns the version at which a stream began, and false if it is not known.
func (o *Origins) Version(stream pomelorelay.Fingerprint) (pomelorelay.SoftwareVersion, bool) {
	began, ok := o.streams[stream]
	return began.version, ok
}

// Doubtful reports whether the upstream at which a stream began has been registered with another version since, so that the stream may have begun at
// that one.
func (o *Origins) Doubtful(stream pomelorelay.Fingerprint, l *Listings) bool {
	began, ok := o.streams[stream]
	return ok && l.replaced(began.upstream, began.version, began.at)
}

// TakePending returns the streams that were recorded since the last call.
func (o *Origins) TakePending() []pomelorelay.StreamOrigin {
	taken := o.pending
	o.pending = nil
	return taken
}

// Expire forgets the streams that callers can no longer resume.
func (o *Origins) Expire(now time.Time) {
	for current := o.step(now); o.expired < current; o.expired++ {
		for _, stream := range o.expiring[o.expired] {
			if o.streams[stream].expires == o.expired {
				delete(o.streams, stream)
			}
		}
		delete(o.expiring, o.expired)
		delete(o.longest, o.expired)
	}
}

// All returns all streams that are remembered.
func (o *Origins) All(now time.Time) []pomelorelay.StreamOrigin {
	all := make([]pomelorelay.StreamOrigin, 0, len(o.streams))
	for step, streams := range o.expiring {
		left := o.began.Add(time.Duration(step) * expiryStep).Sub(now)
		for _, stream := range streams {
			if began := o.streams[stream]; began.expires == step {
				all = append(all, pomelorelay.StreamOrigin{Stream: stream, Version: began.version, Upstream: began.upstream, TimeLeft: left})
			}
		}
	}
	return all
}

// LongestWindow returns the longest time within which callers may resume one of the streams that are remembered; zero without streams.
func (o *Origins) LongestWindow() time.Duration {
	window := time.Duration(0)
	for _, left := range o.longest {
		window = max(window, left)
	}
	return window
}

// Len returns the number of streams that are remembered.
func (o *Origins) Len() int { return len(o.streams) }
