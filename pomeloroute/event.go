package pomeloroute

import (
	"bytes"
	"io"
	"strconv"
)

var (
	blankLine     = []byte("\n\n")
	blankLineCRLF = []byte("\r\n\r\n")
	fieldID       = []byte("id:")
	fieldData     = []byte("data:")
	doneMark      = []byte("[DONE]")
	usageMark     = []byte(`"usage"`)
)

// event is one server-sent event with the blank line that ends it; it is valid until the next is read.
type event struct {
	raw []byte
}

// field returns the value of the first line that begins with the name.
func (e event) field(name []byte) []byte {
	rest := e.raw
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

// id returns the event's number; an event without one, or with another kind of id, has none.
func (e event) id() (uint64, bool) {
	id, err := strconv.ParseUint(string(e.field(fieldID)), 10, 64)
	return id, err == nil
}

func (e event) data() []byte { return e.field(fieldData) }

func (e event) isDone() bool { return bytes.Equal(e.data(), doneMark) }

func (e event) mayHoldUsage() bool { return bytes.Contains(e.raw, usageMark) }

// eventReader splits an answer's body into events. It holds one small buffer, which grows for a large event only.
type eventReader struct {
	buf   []byte
	start int
	end   int
	body  io.Reader
	x     *exchange
}

func (r *eventReader) reset(buf []byte, x *exchange) {
	r.buf, r.start, r.end, r.body, r.x = buf, 0, 0, x.resp.Body, x
}

// empty reports whether everything that has arrived was returned.
func (r *eventReader) empty() bool {
	return r.start == r.end && r.x.conn.reader.Buffered() == 0
}

// next returns the next whole event; the part of one that was cut is never returned.
func (r *eventReader) next() (event, error) {
	scanned := r.start
	for {
		if n := eventEnd(r.buf[scanned:r.end]); n > 0 {
			e := event{raw: r.buf[r.start : scanned+n]}
			r.start = scanned + n
			return e, nil
		}
		n, err := r.fill()
		if err != nil {
			return event{}, err
		}
		// The end of an event may lie across two reads.
		scanned = max(r.start, r.end-n-maxMark)
	}
}

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

func (r *eventReader) fill() (int, error) {
	if r.start > 0 {
		r.end = copy(r.buf, r.buf[r.start:r.end])
		r.start = 0
	}
	if r.end == len(r.buf) {
		if len(r.buf) >= maxEvent {
			return 0, errEventTooLarge
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
