package pomelolink

import (
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxEventBytes limits the size of one event.
const maxEventBytes = 1 << 20

// ErrEventTooLarge is returned for an event larger than 1 MiB, ErrAnswersTooLarge for one that exceeds Config.MaxAnswerMemory together with those
// of other streams.
var (
	ErrEventTooLarge   = errors.New("server-sent event exceeds 1 MiB")
	ErrAnswersTooLarge = errors.New("server-sent events of all streams exceed their memory")
)

var (
	blankLine     = []byte("\n\n")
	blankLineCRLF = []byte("\r\n\r\n")
	idPrefix      = []byte("id:")
	dataPrefix    = []byte("data:")
	doneData      = []byte("[DONE]")
	usageKey      = []byte(`"usage"`)
)

// Event is one server-sent event including the blank line that ends it; it is valid until the next one is read.
type Event struct {
	Raw []byte
}

// field returns the trimmed value of the first line that starts with the prefix.
func (e Event) field(prefix []byte) []byte {
	rest := e.Raw
	for len(rest) > 0 {
		line := rest
		if i := bytes.IndexByte(rest, '\n'); i >= 0 {
			line, rest = rest[:i], rest[i+1:]
		} else {
			rest = nil
		}
		if bytes.HasPrefix(line, prefix) {
			return bytes.TrimSpace(line[len(prefix):])
		}
	}
	return nil
}

// ID returns the event's numeric id; it returns false if the event has no id or one that is not a decimal number.
func (e Event) ID() (uint64, bool) {
	id, err := strconv.ParseUint(string(e.field(idPrefix)), 10, 64)
	return id, err == nil
}

// Data returns the value of the event's first data line.
func (e Event) Data() []byte { return e.field(dataPrefix) }

// IsDone reports whether the event is the [DONE] event that ends a model engine's stream.
func (e Event) IsDone() bool { return bytes.Equal(e.Data(), doneData) }

// MayContainUsage reports whether the event may contain token usage; it only searches for the key, without parsing.
func (e Event) MayContainUsage() bool { return bytes.Contains(e.Raw, usageKey) }

// EventReader splits an answer's body into server-sent events. It uses one small buffer, which grows only for large events.
type EventReader struct {
	buf   []byte
	start int
	end   int
	body  io.Reader
	x     *Exchange
	// reserved is the number of bytes reserved for the growth of buf.
	reserved int
}

// Reset starts reading an exchange's body and discards unread data of the previous one. Release must be called after the last exchange.
func (r *EventReader) Reset(x *Exchange) {
	if r.buf == nil {
		r.buf = x.client.buffers.Chunk()
	}
	r.start, r.end, r.body, r.x = 0, 0, x.Response.Body, x
}

// Release returns the buffer to its pool.
func (r *EventReader) Release() {
	buffers := r.x.client.buffers
	buffers.PutChunk(r.buf)
	buffers.ReleaseAnswer(r.reserved)
	r.buf, r.reserved = nil, 0
}

// Empty reports whether all received data was returned as events.
func (r *EventReader) Empty() bool {
	return r.start == r.end && r.x.conn.reader.Buffered() == 0
}

// Next returns the next complete event; an event truncated by the end of the body is never returned. It fails with
// ErrEventTooLarge, ErrAnswersTooLarge or with the error of the body, io.EOF at its end.
func (r *EventReader) Next() (Event, error) {
	scanned := r.start
	for {
		if n := eventLength(r.buf[scanned:r.end]); n > 0 {
			e := Event{Raw: r.buf[r.start : scanned+n]}
			r.start = scanned + n
			return e, nil
		}
		n, err := r.fill()
		if err != nil {
			return Event{}, err
		}
		// The delimiter may be split across two reads.
		scanned = max(r.start, r.end-n-delimiterOverlap)
	}
}

// HasPartialEvent reports whether an incomplete event is buffered.
func (r *EventReader) HasPartialEvent() bool { return r.start < r.end }

// delimiterOverlap is how many bytes before newly read data can belong to an event delimiter that ends in that data: the longest delimiter
// has four bytes.
const delimiterOverlap = 3

func eventLength(p []byte) int {
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
		if len(r.buf) >= maxEventBytes {
			return 0, ErrEventTooLarge
		}
		if !r.x.client.buffers.ReserveAnswer(len(r.buf)) {
			return 0, ErrAnswersTooLarge
		}
		r.reserved += len(r.buf)
		r.buf = append(r.buf, make([]byte, len(r.buf))...)
	}
	n, err := r.body.Read(r.buf[r.end:])
	r.end += n
	if n > 0 {
		return n, nil
	}
	return 0, err
}
