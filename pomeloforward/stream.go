package pomeloforward

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/pomelorelay/pomelorelay/pomelolink"
)

var (
	errPartial  = errors.New("stream ended within an event")
	errNoEvents = errors.New("connection closed before the first event of a stream")
)

// forwardStream forwards complete events as they arrive, each once and in order.
func (c *call) forwardStream(x *pomelolink.Exchange, reservation Reservation) *pomelolink.Failure {
	var events pomelolink.EventReader
	events.Reset(x)
	defer events.Release()
	var begunAt time.Time
	for n := 1; ; n++ {
		event, err := events.Next()
		if err != nil {
			return c.endStream(x, &events, !begunAt.IsZero(), err)
		}
		c.eventsRead = n
		if begunAt.IsZero() {
			begunAt = c.h.cfg.Clock.Now()
			c.version, c.versionFixed = c.decision.Upstream.Version, true
			reservation.AnswerBegan(c.takeLoad())
		}
		isNew, f := c.checkSequence(event)
		if f != nil {
			return f
		}
		if !isNew {
			continue
		}
		if !c.answerStarted {
			c.writeHead(x.Response, -1)
		}
		c.recordPause()
		if !c.lastedLong && n >= harmlessEvents && c.lastEventAt.Sub(begunAt) >= harmlessAfter {
			c.lastedLong = true
			reservation.AnswerLasts()
		}
		c.write(event.Raw)
		if events.Empty() {
			c.flush()
		}
	}
}

// recordPause updates the longest pause between two events, which is compared with the route's MaxEventGap.
func (c *call) recordPause() {
	now := c.h.cfg.Clock.Now()
	if !c.lastEventAt.IsZero() {
		c.longestPause = max(c.longestPause, now.Sub(c.lastEventAt))
	}
	c.lastEventAt = now
}

// checkSequence reports whether an event is new to the caller. It fails on a gap: a part of the answer is lost, and the caller would
// take the rest for the complete answer.
func (c *call) checkSequence(e pomelolink.Event) (bool, *pomelolink.Failure) {
	id, ok := e.ID()
	if !ok {
		return true, nil
	}
	if c.hasLastEvent && id <= c.lastEvent {
		return false, nil
	}
	if c.hasLastEvent && id != c.lastEvent+1 {
		return false, malformed(fmt.Errorf("stream event %d follows event %d: events are missing", id, c.lastEvent))
	}
	c.lastEvent, c.hasLastEvent = id, true
	return true, nil
}

// endStream ends a complete stream, and returns a failure for one that broke off.
func (c *call) endStream(x *pomelolink.Exchange, events *pomelolink.EventReader, begun bool, err error) *pomelolink.Failure {
	if !errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return x.Fail(err)
	}
	var cause error
	switch {
	case events.HasPartialEvent():
		cause = errPartial
	case endsWithConnection(x.Response) && !begun && !c.hasLastEvent:
		cause = errNoEvents
	}
	if cause != nil {
		return cutShort(x, cause)
	}
	x.BodyComplete = true
	if !c.answerStarted {
		c.writeHead(x.Response, -1)
	}
	return nil
}
