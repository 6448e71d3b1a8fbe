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
	errNoEvents = errors.New("connection closed before the first event of an answer without length")
	errNoIDs    = errors.New("over 4 KiB of a stream without an event id")
)

// forwardStream forwards complete events as they arrive, each once and in order.
func (c *call) forwardStream(x *pomelolink.Exchange, reservation Reservation) *pomelolink.Failure {
	var events pomelolink.EventReader
	events.Reset(x)
	defer events.Release()
	c.held = c.held[:0]
	var begunAt time.Time
	for {
		event, err := events.Next()
		if err != nil {
			return c.endStream(x, &events, !begunAt.IsZero(), err)
		}
		held, f := c.hold(event)
		if f != nil {
			return f
		}
		if held {
			continue
		}
		c.eventsRead++
		if begunAt.IsZero() {
			begunAt = c.h.cfg.Clock.Now()
			c.version, c.versionFixed = c.decision.Upstream.Version, true
			reservation.AnswerBegan(c.takeLoad())
			if c.route.Resumable {
				reservation.StreamBegan(x.ProcessConfirmed)
			}
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
		if !c.lastedLong && c.eventsRead >= harmlessEvents && c.lastEventAt.Sub(begunAt) >= harmlessAfter {
			c.lastedLong = true
			reservation.AnswerLasts()
		}
		c.writeHeld()
		c.write(event.Raw)
		if events.Empty() {
			c.flush()
		}
	}
}

// hold keeps an event that may be no part of the answer until another event follows it, and reports whether it did: one without an id in a stream
// with ids, and one without data. If the stream breaks off, it is not forwarded. It fails on a series of such events, which may have no end.
func (c *call) hold(e pomelolink.Event) (bool, *pomelolink.Failure) {
	if _, numbered := e.ID(); numbered || (len(e.Data()) > 0 && !c.route.Resumable && !c.hasLastEvent) {
		return false, nil
	}
	if len(c.held)+len(e.Raw) > maxHeld {
		return false, malformed(errNoIDs)
	}
	c.held = append(c.held, e.Raw...)
	return true, nil
}

func (c *call) writeHeld() {
	c.write(c.held)
	c.held = c.held[:0]
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
	case pomelolink.EndsWithConnection(x.Response) && !begun && (!c.hasLastEvent || c.answerStarted):
		cause = errNoEvents
	}
	if cause != nil {
		return cutShort(x, cause)
	}
	if f := c.confirmEnd(x); f != nil {
		return f
	}
	if !c.answerStarted {
		c.writeHead(x.Response, -1)
	}
	c.writeHeld()
	return nil
}
