package pomeloforward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

const (
	// smallBody is the largest body, in bytes, that counts as part of the memory of a request; larger ones share Config.BodyMemory.
	smallBody = 64 << 10
	// bodyGrowth is the memory of a body without a length, as a multiple of what has been read: the buffer doubles, and is copied as it grows.
	bodyGrowth = 3
	// bodiesFullRetryAfter is the Retry-After of a router without memory for a body; another router can accept the request immediately.
	bodiesFullRetryAfter = 10 * time.Millisecond
)

// bodyMemory is the memory for large bodies. Without a limit on their sum, bodies that are each within the operators' limit would exhaust the memory
// of the process, and all its requests would be lost.
type bodyMemory struct {
	limit int64
	used  atomic.Int64
}

// reserve reserves bytes for the call's body, up to size in total. It fails with CodeBodiesFull.
func (m *bodyMemory) reserve(c *call, size int64) error {
	more := size - c.bodyReserved
	if more <= 0 {
		return nil
	}
	if used := m.used.Add(more); (m.limit > 0 && used > m.limit) || !c.chargeBody(more) {
		m.used.Add(-more)
		e := pomelorelay.NewError(pomelorelay.CodeBodiesFull, "", nil)
		e.RetryAfter = bodiesFullRetryAfter
		return e
	}
	c.bodyReserved += more
	return nil
}

// release releases what is reserved for the call's body.
func (m *bodyMemory) release(c *call) {
	if c.bodyReserved == 0 {
		return
	}
	m.used.Add(-c.bodyReserved)
	c.chargeBody(-c.bodyReserved)
	c.bodyReserved = 0
}

// chargeBody charges bytes to the account of the caller's connection and reports whether there is enough memory.
func (c *call) chargeBody(bytes int64) bool {
	return c.h.cfg.ChargeBody == nil || c.h.cfg.ChargeBody(c.r, bytes)
}

// readBody reads the request's body into memory, until the request's deadline at most. It refuses a body for which there is no memory, before it
// reads the body if its length is known.
func (c *call) readBody() error {
	limit, size := int64(c.table.Limits().BodyBytes), c.r.ContentLength
	if limit > 0 && size > limit {
		return pomelorelay.NewError(pomelorelay.CodeTooLarge, "", nil)
	}
	if f := c.stopFailure(); f != nil {
		return f.Err
	}
	if size == 0 {
		return nil
	}
	if err := c.allocateBody(size); err != nil {
		return c.refuseBody(err)
	}
	var body io.Reader = c.r.Body
	if limit > 0 {
		body = http.MaxBytesReader(c.w, c.r.Body, limit)
	}
	release := c.limitReadTime()
	_, err := c.body.ReadFrom(&bodyReader{c: c, r: body})
	release()
	if err != nil {
		return c.refuseBody(c.bodyError(err))
	}
	return nil
}

// allocateBody provides the body's buffer; a large body of known size gets one of that size.
func (c *call) allocateBody(size int64) error {
	if size <= smallBody {
		c.body = c.h.buffers.Body()
		return nil
	}
	if err := c.h.bodies.reserve(c, size); err != nil {
		return err
	}
	// ReadFrom grows a buffer that has less than MinRead bytes left.
	c.body = bytes.NewBuffer(make([]byte, 0, size+bytes.MinRead))
	return nil
}

// limitReadTime ends the read of the body at the request's deadline, or when requests must get their final answers. The function that it returns
// undoes this.
func (c *call) limitReadTime() func() {
	rc := http.NewResponseController(c.w)
	// Not every ResponseWriter has a deadline, as that of a test; the read is unlimited then.
	_ = rc.SetReadDeadline(time.Now().Add(c.timeLeft()))
	stop := context.AfterFunc(c.h.cfg.Shutdown.FinalAnswers(), func() { _ = rc.SetReadDeadline(time.Now()) })
	return func() {
		if stop() {
			_ = rc.SetReadDeadline(time.Time{})
		}
	}
}

// bodyError returns the error for the caller after a failed read of the body.
func (c *call) bodyError(err error) error {
	var coded *pomelorelay.Error
	var tooLarge *http.MaxBytesError
	f := c.stopFailure()
	switch {
	case f != nil:
		return f.Err
	case errors.As(err, &coded):
		return coded
	case errors.As(err, &tooLarge):
		return pomelorelay.NewError(pomelorelay.CodeTooLarge, "", nil)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return pomelorelay.NewError(pomelorelay.CodeDeadlinePassed, "the body was not received in time", err)
	}
	return pomelorelay.NewError(pomelorelay.CodeBadRequest, "the body ended early", err)
}

// refuseBody prepares the refusal of a request whose body was not read to its end: to keep the connection, net/http would read the rest first.
func (c *call) refuseBody(err error) error {
	c.w.Header().Set("Connection", "close")
	return err
}

func (c *call) bodyBytes() []byte {
	if c.body == nil {
		return nil
	}
	return c.body.Bytes()
}

// releaseBody returns the body's buffer to the pool.
func (c *call) releaseBody() {
	if c.body != nil {
		c.h.buffers.PutBody(c.body)
		c.body = nil
	}
	c.h.bodies.release(c)
}

// bodyReader reads a request's body. It fails with CodeBodiesFull once there is no memory for the body, and with CodeStopping once the request could
// no longer be answered before the router stops.
type bodyReader struct {
	c     *call
	r     io.Reader
	total int64
}

// Read reads from the body.
func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	b.total += int64(n)
	if err != nil {
		return n, err
	}
	if f := b.c.stopFailure(); f != nil {
		return n, f.Err
	}
	if b.c.r.ContentLength < 0 && b.total > smallBody {
		return n, b.c.h.bodies.reserve(b.c, bodyGrowth*b.total)
	}
	return n, nil
}
