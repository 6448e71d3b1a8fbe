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
	streams map[pomelorelay.Fingerprint]knownOrigin
	// expiring holds the streams by the expiryStep in which they expire, or were to expire before they were resumed, counted from began.
	expiring map[int64][]pomelorelay.Fingerprint
	began    time.Time
	expired  int64
	pending  []pomelorelay.StreamOrigin
}

type knownOrigin struct {
	version pomelorelay.SoftwareVersion
	expires int64
}

// NewOrigins returns Origins that know no stream.
func NewOrigins(now time.Time) *Origins {
	return &Origins{streams: make(map[pomelorelay.Fingerprint]knownOrigin), expiring: make(map[int64][]pomelorelay.Fingerprint), began: now}
}

// Record records a stream that began or was resumed at this router, for the next report too.
func (o *Origins) Record(now time.Time, origin pomelorelay.StreamOrigin) {
	if o.add(now, origin) && len(o.pending) < maxPending {
		origin.Version = o.streams[origin.Stream].version
		o.pending = append(o.pending, origin)
	}
}

// Merge records streams that other routers reported.
func (o *Origins) Merge(now time.Time, origins []pomelorelay.StreamOrigin) {
	for _, origin := range origins {
		o.add(now, origin)
	}
}

// add reports whether the stream was not known, or not to be resumed for as long. The first version counts: later events of the stream come from the
// same one.
func (o *Origins) add(now time.Time, origin pomelorelay.StreamOrigin) bool {
	before, known := o.streams[origin.Stream]
	step := o.step(now.Add(origin.TimeLeft)) + 1
	if origin.TimeLeft <= 0 || (known && step <= before.expires) || (!known && len(o.streams) >= maxOrigins) {
		return false
	}
	if known {
		origin.Version = before.version
	}
	o.streams[origin.Stream] = knownOrigin{origin.Version, step}
	o.expiring[step] = append(o.expiring[step], origin.Stream)
	return true
}

func (o *Origins) step(at time.Time) int64 { return int64(at.Sub(o.began) / expiryStep) }

// Version returns the version at which a stream began, and false if it is not known.
func (o *Origins) Version(stream pomelorelay.Fingerprint) (pomelorelay.SoftwareVersion, bool) {
	known, ok := o.streams[stream]
	return known.version, ok
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
	}
}

// All returns all streams that are remembered.
func (o *Origins) All(now time.Time) []pomelorelay.StreamOrigin {
	all := make([]pomelorelay.StreamOrigin, 0, len(o.streams))
	for step, streams := range o.expiring {
		left := o.began.Add(time.Duration(step) * expiryStep).Sub(now)
		for _, stream := range streams {
			if known := o.streams[stream]; known.expires == step {
				all = append(all, pomelorelay.StreamOrigin{Stream: stream, Version: known.version, TimeLeft: left})
			}
		}
	}
	return all
}

// Len returns the number of streams that are remembered.
func (o *Origins) Len() int { return len(o.streams) }
