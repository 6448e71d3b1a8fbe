package pomeloentry

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// NewLimited returns a router that does nothing but keep its limit of requests at once.
func NewLimited(settings pomelorelay.FleetSettings) *Entry {
	e := &Entry{bounds: boundsOf(settings)}
	e.limit.Store(e.bounds.first)
	return e
}

// TickWith plays a tick of the control goroutine that came late by the lag, with so many requests at once, and returns the new limit.
func (e *Entry) TickWith(lag time.Duration, running int64) int64 {
	e.tickLag.Store(int64(lag))
	e.inFlight.Store(running)
	e.adapt()
	return e.limit.Load()
}
