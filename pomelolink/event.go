package pomelolink

import (
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxEvent bounds one event of a stream.
const maxEvent = 1 << 20

// ErrEventTooLarge tells of an event over the bound.
var ErrEventTooLarge = errors.New("an event of the stream is over the bound")

var (
	blankLine     = []byte("\n\n")
	blankLineCRLF = []byte("\r\n\r\n")
	fieldID       = []byte("id:")
	fieldData     = []byte("data:")
	doneMark      = []byte("[DONE]")
	usageMark     = []byte(`"usage"`)
)

// Event is one server-sent event with the blank line that ends it; it is valid until the next is read.
type Event struct {
	Raw []byte
}

// field returns the value of the first line that begins with the name.
func (e Event) field(name []byte) []byte {
	rest := e.Raw
	for len(rest) > 0 {
		line := rest
		if i := bytes.IndexByte(rest, '\n'); i >= 0 {
			line, rest = rest[:i], rest[i+1:]
		} else {
			rest = nil
		}
		if bytes.HasPrefix(line, name) {
			return bytes.TrimSpace(line[len(name):])
		}
	}
	return nil
}

// ID returns the event's number; an event without one, or with another kind of id, has none.
func (e Event) ID() (uint64, bool) {
	id, err := strconv.ParseUint(string(e.field(fieldID)), 10, 64)
	return id, err == nil
}

// Data returns the value of the event's first data line.
func (e Event) Data() []byte { return e.field(fieldData) }

// IsDone reports whether the event is the mark that ends a model engine's stream.
func (e Event) IsDone() bool { return bytes.Equal(e.Data(), doneMark) }

// MayHoldUsage reports whether the event may name what the request used.
func (e Event) MayHoldUsage() bool { return bytes.Contains(e.Raw, usageMark) }

// EventReader splits an answer's body into events. It holds one small buffer, which grows for a large event only.
type EventReader struct {
	buf   []byte
	start int
	end   int
	body  io.Reader
	x     *Exchange
}

// Reset begins with an exchange's body; what a former one left unread is dropped.
func (r *EventReader) Reset(buf []byte, x *Exchange) {
	r.buf, r.start, r.end, r.body, r.x = buf, 0, 0, x.Response.Body, x
}

// Empty reports whether everything that has arrived was returned.
func (r *EventReader) Empty() bool {
	return r.start == r.end && r.x.conn.reader.Buffered() == 0
}

// Next returns the next whole event; the part of one that was cut is never returned.
func (r *EventReader) Next() (Event, error) {
	scanned := r.start
	for {
		if n := eventEnd(r.buf[scanned:r.end]); n > 0 {
			e := Event{Raw: r.buf[r.start : scanned+n]}
			r.start = scanned + n
			return e, nil
		}
		n, err := r.fill()
		if err != nil {
			return Event{}, err
		}
		// The end of an event may lie across two reads.
		scanned = max(r.start, r.end-n-maxMark)
	}
}

// HasPartialEvent reports whether the beginning of an event has arrived and its end has not.
func (r *EventReader) HasPartialEvent() bool { return r.start < r.end }

// Buffer returns the reader's buffer, to be given back when the stream has ended.
func (r *EventReader) Buffer() []byte { return r.buf }

// maxMark is the length of the longest mark that ends an event, less one.
const maxMark = 3

func eventEnd(p []byte) int {
	lf := bytes.Index(p, blankLine)
	crlf := bytes.Index(p, blankLineCRLF)
	switch {
	case lf < 0 && crlf < 0:
		return 0
	case crlf < 0 || (lf >= 0 && lf < crlf):
		return lf + len(blankLine)
	}
	return crlf + len(blankLineCRLF)
}

func (r *EventReader) fill() (int, error) {
	if r.start > 0 {
		r.end = copy(r.buf, r.buf[r.start:r.end])
		r.start = 0
	}
	if r.end == len(r.buf) {
		if len(r.buf) >= maxEvent {
			return 0, ErrEventTooLarge
		}
		r.buf = append(r.buf, make([]byte, len(r.buf))...)
	}
	n, err := r.body.Read(r.buf[r.end:])
	r.end += n
	if n > 0 {
		return n, nil
	}
	return 0, err
}
