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

// forwardPlain forwards an answer that is not an event stream. A small or already received answer is buffered until it is complete, so that
// truncation is detected before the caller gets a status. Any other answer is forwarded as it arrives; if it is truncated, the caller's
// connection is closed.
func (c *call) forwardPlain(x *pomelolink.Exchange, m *meter) *pomelolink.Failure {
	buffer := c.h.buffers.Body()
	defer c.h.buffers.PutBody(buffer)
	chunk := c.h.buffers.Chunk()
	defer c.h.buffers.PutChunk(chunk)
	for c.shouldBuffer(x, buffer) {
		n, err := x.Response.Body.Read(chunk)
		buffer.Write(chunk[:n])
		if errors.Is(err, io.EOF) {
			return c.forwardBuffered(x, buffer, m)
		}
		if err != nil {
			return x.Fail(err)
		}
	}
	return c.forwardUnbuffered(x, buffer, chunk)
}

// shouldBuffer reports whether to buffer more of the answer before forwarding it: an answer of known length if it is small, a chunked
// one only while its next bytes have already been received, so that a slow answer is not delayed.
func (c *call) shouldBuffer(x *pomelolink.Exchange, buffer *bytes.Buffer) bool {
	limit := int64(c.h.cfg.Options.MaxBufferedAnswer)
	if x.Response.ContentLength >= 0 {
		return x.Response.ContentLength <= limit
	}
	return int64(buffer.Len()) <= limit && (buffer.Len() == 0 || x.Buffered() > 0)
}

func (c *call) forwardBuffered(x *pomelolink.Exchange, buffer *bytes.Buffer, m *meter) *pomelolink.Failure {
	x.BodyComplete = true
	if c.service.Kind == pomeloconfig.ServiceModel {
		m.readUsage(buffer.Bytes())
	}
	c.recordOutcome(x.Response, buffer.Bytes(), true)
	c.writeHeader(x.Response)
	c.write(buffer.Bytes())
	c.writeTrailer(x.Response)
	return nil
}

func (c *call) forwardUnbuffered(x *pomelolink.Exchange, buffer *bytes.Buffer, chunk []byte) *pomelolink.Failure {
	c.writeHeader(x.Response)
	c.write(buffer.Bytes())
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
	x.BodyComplete = true
	c.recordOutcome(x.Response, nil, false)
	c.writeTrailer(x.Response)
	return nil
}

func (c *call) writeHeader(resp *http.Response) {
	head := c.w.Header()
	copyResponseHeader(head, resp.Header)
	head.Del("Content-Length")
	if resp.ContentLength >= 0 && resp.StatusCode != http.StatusNoContent {
		head.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	for name := range resp.Trailer {
		head.Add("Trailer", name)
	}
	c.keepAnswer()
	c.answerStarted, c.answerStatus = true, resp.StatusCode
	c.w.WriteHeader(resp.StatusCode)
}

// write writes to the caller. Errors are ignored: a disconnect cancels the call's context, which ends reading from the upstream.
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

// writeTrailer forwards the trailer fields, including those that the header did not announce.
func (c *call) writeTrailer(resp *http.Response) {
	for name, values := range resp.Trailer {
		for _, v := range values {
			c.w.Header().Add(http.TrailerPrefix+name, v)
		}
	}
}

// errorEvent returns the event that ends an incomplete stream, so that the caller can distinguish the stream from a complete one.
func errorEvent(e *pomelorelay.Error) []byte {
	event := append([]byte("event: error\ndata: "), pomeloproblem.New(e).Encode()...)
	return append(event, "\n\n"...)
}
