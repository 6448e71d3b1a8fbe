package pomelolistener

import "time"

// Phase is what a connection waits for.
type Phase int

// The phases of a connection.
const (
	// PhaseHead is the reading of a request's head, from the acceptance of the connection or the head's first byte.
	PhaseHead Phase = iota
	// PhaseBody is the reading of a request's body; a connection enters it again with each progressBytes.
	PhaseBody
	// PhaseServing is the handling of a request that has been read.
	PhaseServing
	// PhaseWriting is a write to the client, which is blocked while the client does not read.
	PhaseWriting
	// PhaseFinishing is the time from the end of the handling until the answer is written, or the closed connection has lingered.
	PhaseFinishing
	// PhaseIdle is the time until the next request of a kept connection.
	PhaseIdle
	numPhases
)

// String returns the phase's name.
func (p Phase) String() string {
	return [numPhases]string{"head", "body", "serving", "writing", "finishing", "idle"}[p]
}

// connList holds the connections of a port in a phase, in the order in which they entered it.
type connList struct {
	first, last *Conn
	size        int64
}

func (l *connList) append(c *Conn) {
	c.prev, c.next = l.last, nil
	if l.last == nil {
		l.first = c
	} else {
		l.last.next = c
	}
	l.last = c
	l.size++
}

func (l *connList) remove(c *Conn) {
	if c.prev == nil {
		l.first = c.next
	} else {
		c.prev.next = c.next
	}
	if c.next == nil {
		l.last = c.prev
	} else {
		c.next.prev = c.prev
	}
	c.prev, c.next = nil, nil
	l.size--
}

// listed returns the phase whose list holds the connection: a write hides the phase in which it began.
func (c *Conn) listed() Phase {
	if c.writing {
		return PhaseWriting
	}
	return c.phase
}

// enter moves the connection to a phase; the caller holds the pool's mu.
func (c *Conn) enter(phase Phase, writing bool) {
	if c.removed || (c.phase == phase && c.writing == writing) {
		return
	}
	c.port.lists[c.listed()].remove(c)
	c.phase, c.writing, c.progress = phase, writing, 0
	c.since = time.Now()
	c.port.lists[c.listed()].append(c)
}

// recordProgress moves a connection that has received progressBytes of a body behind those that wait for longer; the caller holds the pool's mu.
func (c *Conn) recordProgress(bytes int) {
	if c.progress += bytes; c.removed || c.progress < progressBytes {
		return
	}
	list := &c.port.lists[c.listed()]
	list.remove(c)
	c.progress, c.since = 0, time.Now()
	list.append(c)
}
