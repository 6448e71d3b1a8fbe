package pomeloroute

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloconfig"
	"github.com/pomelorelay/pomelorelay/pomelolink"
	"github.com/pomelorelay/pomelorelay/pomeloproblem"
)

// passPlain passes an answer on. What is small, or already here in full, is held until it is whole, so that a cut is
// seen before the caller gets a status; the rest is passed as it comes and a cut closes the caller's connection.
func (c *call) passPlain(x *pomelolink.Exchange, m *meter) *pomelolink.Failure {
	held := c.h.buffers.Body()
	defer c.h.buffers.PutBody(held)
	chunk := c.h.buffers.Chunk()
	defer c.h.buffers.PutChunk(chunk)
	for c.holds(x, held) {
		n, err := x.Response.Body.Read(chunk)
		held.Write(chunk[:n])
		if errors.Is(err, io.EOF) {
			return c.passWhole(x, held, m)
		}
		if err != nil {
			return x.Fail(err)
		}
	}
	return c.passOn(x, held, chunk)
}

// holds reports whether more of the answer is to be held back: a short one of known length always, one in chunks only
// while its next bytes are here already, so that a slow stream is never kept from its caller.
func (c *call) holds(x *pomelolink.Exchange, held *bytes.Buffer) bool {
	limit := int64(c.h.cfg.Options.BufferAnswer)
	if x.Response.ContentLength >= 0 {
		return x.Response.ContentLength <= limit
	}
	return int64(held.Len()) <= limit && (held.Len() == 0 || x.Buffered() > 0)
}

func (c *call) passWhole(x *pomelolink.Exchange, held *bytes.Buffer, m *meter) *pomelolink.Failure {
	x.Complete = true
	if c.service.Kind == pomeloconfig.ServiceModel {
		m.report(held.Bytes())
	}
	c.keep(x.Response, held.Bytes(), true)
	c.writeHead(x.Response)
	c.write(held.Bytes())
	c.writeTrailer(x.Response)
	return nil
}

func (c *call) passOn(x *pomelolink.Exchange, held *bytes.Buffer, chunk []byte) *pomelolink.Failure {
	c.writeHead(x.Response)
	c.write(held.Bytes())
	c.flush()
	for {
		n, err := x.Response.Body.Read(chunk)
		c.write(chunk[:n])
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return x.Fail(err)
		}
		if x.Buffered() == 0 {
			c.flush()
		}
	}
	x.Complete = true
	c.keep(x.Response, nil, false)
	c.writeTrailer(x.Response)
	return nil
}

func (c *call) writeHead(resp *http.Response) {
	head := c.w.Header()
	copyAnswerHeader(head, resp.Header)
	head.Del("Content-Length")
	if resp.ContentLength >= 0 && resp.StatusCode != http.StatusNoContent {
		head.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	for name := range resp.Trailer {
		head.Add("Trailer", name)
	}
	c.answering = true
	c.w.WriteHeader(resp.StatusCode)
}

// write passes bytes to the caller. A caller that is gone ends the call's context, which ends the reading.
func (c *call) write(p []byte) {
	if len(p) > 0 {
		_, _ = c.w.Write(p)
	}
}

func (c *call) flush() {
	if f, ok := c.w.(http.Flusher); ok {
		f.Flush()
	}
}

// writeTrailer passes the fields after the body on, also those that the head did not announce.
func (c *call) writeTrailer(resp *http.Response) {
	for name, values := range resp.Trailer {
		for _, v := range values {
			c.w.Header().Add(http.TrailerPrefix+name, v)
		}
	}
}

// errorEvent ends a stream that cannot be finished, so that its caller can tell it from one that ended.
func errorEvent(e *pomelorelay.Error) []byte {
	event := append([]byte("event: error\ndata: "), pomeloproblem.New(e).Encode()...)
	return append(event, "\n\n"...)
}
