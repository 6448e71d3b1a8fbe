package pomeloroute

import (
	"sync"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// slotClock periodically reports how long a request has held its slot, for services that are not model engines.
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

// stop ends the reports. No report is made after stop has returned, since the slot may then belong to another request.
func (c *slotClock) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	c.timer.Stop()
}
