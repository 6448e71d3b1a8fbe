package pomeloforward

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelolink"
)

var (
	errUnsigned = errors.New("a success without its upstream's mark")
	errEncoded  = errors.New("an answer in an encoding that nobody asked for")
	errPromise  = errors.New("a status that promises that the request did not run, of an upstream that does not say so")
	errFailed   = errors.New("the upstream failed the request")
)

// checkHead refuses heads that must not reach the caller.
func (c *call) checkHead(x *pomelolink.Exchange) *pomelolink.Failure {
	resp := x.Response
	answer := c.h.cfg.Wire.ParseAnswerFields(resp)
	if resp.Header.Get("Content-Encoding") != "" {
		return malformed(errEncoded)
	}
	if resp.StatusCode < http.StatusMultipleChoices && !answer.Signed {
		return malformed(errUnsigned)
	}
	switch resp.StatusCode {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		// Passed on, these would promise the caller that its request never ran.
		return malformed(errPromise)
	}
	if resp.StatusCode >= http.StatusInternalServerError && c.repeatable() && c.runs+1 < c.route.MaxAttempts && !c.answering {
		return pomelolink.NewFailure(pomelolink.OutcomeCutShort, pomelorelay.CodeUpstreamFailed, errFailed)
	}
	return nil
}

func malformed(cause error) *pomelolink.Failure {
	return pomelolink.NewFailure(pomelolink.OutcomeCutShort, pomelorelay.CodeAnswerMalformed, cause)
}

// passPlain passes an answer on. A short one is held until it is whole, so that a cut is seen before the caller gets a status;
// of a long one, a cut closes the caller's connection.
func (c *call) passPlain(x *pomelolink.Exchange) *pomelolink.Failure {
	held := c.h.buffers.Body()
	defer c.h.buffers.PutBody(held)
	_, err := held.ReadFrom(io.LimitReader(x.Response.Body, bufferAnswer+1))
	if err != nil {
		return x.Broken(err)
	}
	if held.Len() > bufferAnswer {
		return c.passLong(x, held)
	}
	x.Whole = true
	c.writeHead(x.Response, int64(held.Len()))
	c.write(held.Bytes())
	return nil
}

func (c *call) passLong(x *pomelolink.Exchange, held *bytes.Buffer) *pomelolink.Failure {
	c.writeHead(x.Response, x.Response.ContentLength)
	c.write(held.Bytes())
	chunk := c.h.buffers.Chunk()
	defer c.h.buffers.PutChunk(chunk)
	for {
		n, err := x.Response.Body.Read(chunk)
		c.write(chunk[:n])
		if errors.Is(err, io.EOF) {
			x.Whole = true
			return nil
		}
		if err != nil {
			return x.Broken(err)
		}
	}
}

// writeHead passes a head on; a length below zero is left to chunks.
func (c *call) writeHead(resp *http.Response, length int64) {
	pomelolink.RemoveHopHeaders(resp.Header)
	head := c.w.Header()
	for name, values := range resp.Header {
		head[name] = values
	}
	head.Del("Content-Length")
	if length >= 0 && resp.StatusCode != http.StatusNoContent && c.r.Method != http.MethodHead {
		head.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	c.answering = true
	c.status = resp.StatusCode
	c.first = c.h.cfg.Clock.Now()
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
