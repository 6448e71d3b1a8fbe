package pomeloroute

import (
	"sync"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// slotClock reports the slot time of a plain service's request while it runs.
type slotClock struct {
	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

func newSlotClock(clock pomelorelay.Clock, ticket Ticket, started time.Time) *slotClock {
	c := &slotClock{}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timer = time.AfterFunc(progressInterval, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.stopped {
			return
		}
		ticket.Progress(pomelorelay.Cost(clock.Now().Sub(started).Seconds()))
		c.timer.Reset(progressInterval)
	})
	return c
}

// stop ends the reports; none comes after it returned, because the slot may be another request's by then.
func (c *slotClock) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	c.timer.Stop()
}
