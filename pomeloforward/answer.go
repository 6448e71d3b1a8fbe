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
	errUnsigned    = errors.New("success status without the upstream's signature field")
	errEncoded     = errors.New("answer has a content encoding that was not requested")
	errFalseNotRun = errors.New("status states that the request did not run, but the upstream did not confirm it")
	errFailed      = errors.New("upstream answered with a server error")
	errNoBody      = errors.New("connection closed before the body of an answer without length")
	errConnFailed  = errors.New("connection failed during an answer without length")
	errUnconfirmed = errors.New("answer without length ended, and its upstream's process is not known to live on")
	errNoEnd       = errors.New("answer without length exceeds 16 MiB")
)

// checkHead fails when the head of an answer must not reach the caller.
func (c *call) checkHead(x *pomelolink.Exchange) *pomelolink.Failure {
	resp := x.Response
	answer := c.h.cfg.Wire.ParseAnswerFields(resp)
	c.noteLoad(answer)
	if resp.Header.Get("Content-Encoding") != "" {
		return malformed(errEncoded)
	}
	if resp.StatusCode < http.StatusMultipleChoices && !answer.Signed {
		return malformed(errUnsigned)
	}
	switch resp.StatusCode {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		// Callers interpret these statuses as proof that the request never ran.
		return malformed(errFalseNotRun)
	}
	if resp.StatusCode >= http.StatusInternalServerError && c.repeatable() && c.runs+1 < c.route.MaxAttempts && !c.answerStarted {
		return pomelolink.NewFailure(pomelolink.OutcomeTruncated, pomelorelay.CodeUpstreamFailed, errFailed)
	}
	return nil
}

// noteLoad keeps the load that the upstream announced until it is recorded.
func (c *call) noteLoad(answer pomelorelay.AnswerFields) {
	if answer.LoadInvalid || answer.Load.Known() {
		c.load = AnnouncedLoad{Figures: answer.Load, Invalid: answer.LoadInvalid, ReadAt: c.h.cfg.Clock.Now()}
	}
}

// takeLoad returns the load to be recorded; each announcement is recorded once.
func (c *call) takeLoad() AnnouncedLoad {
	load := c.load
	c.load = AnnouncedLoad{}
	return load
}

func malformed(cause error) *pomelolink.Failure {
	return pomelolink.NewFailure(pomelolink.OutcomeTruncated, pomelorelay.CodeAnswerMalformed, cause)
}

// confirmEnd marks the body of an answer as complete. It fails if only the end of the connection shows that, and the connection failed or the upstream
// may have ended.
func (c *call) confirmEnd(x *pomelolink.Exchange) *pomelolink.Failure {
	if pomelolink.EndsWithConnection(x.Response) {
		if !x.ClosedInOrder() {
			return cutShort(x, errConnFailed)
		}
		if !x.UpstreamLives(c.process(c.decision.Upstream)) {
			return cutShort(x, errUnconfirmed)
		}
	}
	x.BodyComplete = true
	return nil
}

// cutShort returns the failure of an answer that ended without an error of the connection, but is not complete.
func cutShort(x *pomelolink.Exchange, cause error) *pomelolink.Failure {
	f := pomelolink.NewFailure(pomelolink.OutcomeTruncated, pomelorelay.CodeAnswerCutShort, cause)
	f.ConnectionBroken = pomelolink.EndsWithConnection(x.Response)
	return f
}

// forwardPlain forwards an answer. It buffers a short one completely, so that a cut is detected before the caller gets a status.
// If a long one is cut, or one for which there is no memory, the caller's connection is closed.
func (c *call) forwardPlain(x *pomelolink.Exchange) *pomelolink.Failure {
	buffer := c.h.buffers.Body()
	defer c.h.buffers.PutBody(buffer)
	limit := maxSmallAnswer
	_, err := buffer.ReadFrom(io.LimitReader(x.Response.Body, int64(limit+1)))
	if buffer.Len() > limit && err == nil && c.h.buffers.ReserveAnswer(bufferedAnswerMemory) {
		defer c.h.buffers.ReleaseAnswer(bufferedAnswerMemory)
		limit = maxBufferedAnswer
		_, err = buffer.ReadFrom(io.LimitReader(x.Response.Body, int64(limit+1-buffer.Len())))
	}
	if err != nil {
		return x.Fail(err)
	}
	if buffer.Len() > limit {
		return c.forwardLong(x, buffer)
	}
	if buffer.Len() == 0 && pomelolink.EndsWithConnection(x.Response) {
		return cutShort(x, errNoBody)
	}
	if f := c.confirmEnd(x); f != nil {
		return f
	}
	c.writeHead(x.Response, int64(buffer.Len()))
	c.write(buffer.Bytes())
	return nil
}

func (c *call) forwardLong(x *pomelolink.Exchange, buffer *bytes.Buffer) *pomelolink.Failure {
	c.writeHead(x.Response, x.Response.ContentLength)
	c.write(buffer.Bytes())
	chunk := c.h.buffers.Chunk()
	defer c.h.buffers.PutChunk(chunk)
	total := buffer.Len()
	for {
		n, err := x.Response.Body.Read(chunk)
		if total += n; total > maxUnsizedAnswer && x.Response.ContentLength < 0 {
			return malformed(errNoEnd)
		}
		c.write(chunk[:n])
		if errors.Is(err, io.EOF) {
			return c.confirmEnd(x)
		}
		if err != nil {
			return x.Fail(err)
		}
	}
}

// writeHead forwards the head of an answer; a negative length selects chunked encoding.
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
	if length < 0 && !c.r.ProtoAtLeast(1, 1) && c.h.cfg.ResetOnClose != nil {
		// Without chunks the end of the connection is that of the answer, also if this process ends.
		c.resetsCaller = true
		c.h.cfg.ResetOnClose(c.r, true)
	}
	c.closeIfStopping()
	if c.keepAnswer != nil {
		c.keepAnswer()
	}
	c.answerStarted = true
	c.status = resp.StatusCode
	c.answerBeganAt = c.h.cfg.Clock.Now()
	c.w.WriteHeader(resp.StatusCode)
}

// endAnswer lets the connection of a caller with a complete answer end in order.
func (c *call) endAnswer() {
	if c.resetsCaller {
		c.flush()
		c.h.cfg.ResetOnClose(c.r, false)
	}
}

// write sends bytes to the caller. A write error is ignored: when the caller has disconnected, the call's context ends, and with it
// the reading of the answer.
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
