package pomeloforward

import (
	"errors"
	"fmt"
	"io"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelolink"
)

var errPartial = errors.New("the stream ended within an event")

// forwardStream passes events on as they come, each once, in order and only whole ones.
func (c *call) forwardStream(x *pomelolink.Exchange, ticket Reservation) *pomelolink.Failure {
	var events pomelolink.EventReader
	events.Reset(c.h.buffers.Chunk(), x)
	defer func() { c.h.buffers.PutChunk(events.Buffer()) }()
	begun := false
	for {
		event, err := events.Next()
		if err != nil {
			return c.endStream(x, &events, err)
		}
		if !begun {
			begun = true
			ticket.AnswerBegan()
		}
		pass, f := c.checkSequence(event)
		if f != nil {
			return f
		}
		if !pass {
			continue
		}
		if !c.answerStarted {
			c.writeHead(x.Response, -1)
		}
		c.recordPause()
		c.write(event.Raw)
		if events.Empty() {
			c.flush()
		}
	}
}

// recordPause keeps the longest time between two events, which decides whether the caller finds the stream late.
func (c *call) recordPause() {
	now := c.h.cfg.Clock.Now()
	if !c.lastEventAt.IsZero() {
		c.longestPause = max(c.longestPause, now.Sub(c.lastEventAt))
	}
	c.lastEventAt = now
}

// checkSequence reports whether an event is the next one; one that the caller has already is left out. A gap means that a piece of the
// answer is lost: passed on, the caller would take the rest for the whole.
func (c *call) checkSequence(e pomelolink.Event) (bool, *pomelolink.Failure) {
	id, ok := e.ID()
	if !ok {
		return true, nil
	}
	if c.hasLastEvent && id <= c.lastEvent {
		return false, nil
	}
	if c.hasLastEvent && id != c.lastEvent+1 {
		return false, malformed(fmt.Errorf("event %d came after %d", id, c.lastEvent))
	}
	c.lastEvent, c.hasLastEvent = id, true
	return true, nil
}

// endStream tells a stream that is whole from one that broke off.
func (c *call) endStream(x *pomelolink.Exchange, events *pomelolink.EventReader, err error) *pomelolink.Failure {
	if !errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return x.Broken(err)
	}
	if events.Partial() {
		return pomelolink.NewFailure(pomelolink.OutcomeCutShort, pomelorelay.CodeAnswerCutShort, errPartial)
	}
	x.Whole = true
	if !c.answerStarted {
		c.writeHead(x.Response, -1)
	}
	return nil
}
