package pomelolink

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

const (
	// maxInlineBody is the largest request body, in bytes, that is written completely before the answer is read; larger ones are written
	// concurrently.
	maxInlineBody = 16 << 10
	// maxResponses limits the number of responses read for one request: 1xx responses and the final one.
	maxResponses = 5
	// maxDrainBytes is the largest body of a refusal, in bytes, that is read to the end so that the connection can be reused.
	maxDrainBytes = 4 << 10
	// protocolPrefix is what each answer begins with.
	protocolPrefix           = "HTTP/"
	oldProtocol, newProtocol = "HTTP/1.0", "HTTP/1.1"
)

// aLongTimeAgo is a deadline that ends reads and writes at once.
var aLongTimeAgo = time.Unix(1, 0)

var errVersion = errors.New("answer in a version before HTTP/1.0")

// Exchange is one request on one connection, and its answer.
type Exchange struct {
	client    *Client
	ctx       context.Context
	addr      netip.AddrPort
	conn      *upstreamConn
	requestID string
	// Response is the answer; reading its body fails if the answer is truncated.
	Response *http.Response
	// Connection is the connection that carries the exchange.
	Connection ConnectionUse
	stop       func() bool
	// writeDone receives the result of writing the request concurrently; nil if it was not written concurrently or its result was received.
	writeDone chan error
	// writeErr is the result of writing the request, once it was received. net/http may hide the error of the connection in it.
	writeErr error
	// BodyComplete is set by the code that reads the answer's body, once the body was read to its end.
	BodyComplete bool
	// ProcessConfirmed is set if the process at the other end stated the start time that UpstreamRequest.Process asks for.
	ProcessConfirmed bool
	// IDEchoed is set if the answer carries the request's id.
	IDEchoed bool
}

// Failure is a failed attempt: its outcome and the error for the caller.
type Failure struct {
	Outcome Outcome
	Err     *pomelorelay.Error
	// ConnectionBroken is set if the connection broke or the answer ended early, possibly because the upstream crashed.
	ConnectionBroken bool
	// Connection is the connection that carried the attempt; zero if there was none.
	Connection ConnectionUse
	// Refusal is the answer by which the upstream refused the request without running it; nil for other failures. Its body is closed.
	Refusal *http.Response
}

// NewFailure returns a Failure; with OutcomeNotSent its error states that the request did not run.
func NewFailure(outcome Outcome, code pomelorelay.ResultCode, cause error) *Failure {
	e := pomelorelay.NewError(code, "", cause)
	if outcome == OutcomeNotSent {
		e.Ran = pomelorelay.RanNo
	}
	return &Failure{Outcome: outcome, Err: e}
}

// UpstreamRequest describes a request to an upstream.
type UpstreamRequest struct {
	Addr    netip.AddrPort
	Request *http.Request
	// Size is the length of the request's body in bytes.
	Size int
	// NewConnection prevents the use of an idle connection.
	NewConnection bool
	// Carriers are the connections that have carried the request's id before. Open uses none of them and adds the one that it uses. It may be
	// nil only if no other attempt has the id.
	Carriers *Carriers
	// AnswerBy is when an answer of which a part has been received must be complete; an answer that begins later may take until the context's
	// deadline. Zero means the context's deadline.
	AnswerBy time.Time
	// Process is the check of the process at the other end; nil for none.
	Process *ProcessCheck
	// StillWanted is called after the connection is opened and before the request is written; the request is sent only if it returns true
	// or is nil. Opening a connection can take a second, and the caller's disconnect may be detected late on a busy CPU.
	StillWanted func() bool
}

// Open sends a request at most once and reads the header of its answer. A request that is no longer wanted is not sent; Open
// then fails with CodeCancelled.
func (c *Client) Open(ctx context.Context, r UpstreamRequest) (*Exchange, *Failure) {
	conn, f := c.connect(ctx, &r)
	if f != nil {
		return nil, f
	}
	if r.StillWanted != nil && !r.StillWanted() {
		conn.Close()
		return nil, NewFailure(OutcomeNotSent, pomelorelay.CodeCancelled, nil)
	}
	x := &Exchange{client: c, ctx: ctx, addr: r.Addr, conn: conn, requestID: r.Request.Header.Get(c.cfg.Protocol.IDHeader)}
	x.ProcessConfirmed = r.Process != nil && conn.startUnixMilli != 0 && !conn.assumed
	deadline, _ := ctx.Deadline()
	if err := conn.begin(deadline, r.AnswerBy); err != nil {
		conn.Close()
		return nil, notSentFailure(ctx, err)
	}
	r.Carriers.add(conn)
	x.Connection = conn.use
	x.stop = context.AfterFunc(ctx, func() { conn.Close() })
	x.write(r.Request, r.Size)
	if f := x.readHeader(r.Request); f != nil {
		f.Connection = x.Connection
		x.Close()
		return nil, f
	}
	return x, nil
}

// connect returns a connection to the process that the request is for. An idle connection may outlive the process at its other end, so that only a new one
// shows that another process than the given one has the address.
func (c *Client) connect(ctx context.Context, r *UpstreamRequest) (*upstreamConn, *Failure) {
	onlyNew := r.NewConnection
	for {
		conn, err := c.conns.conn(ctx, r.Addr, onlyNew, r.Carriers)
		if err != nil {
			return nil, notSentFailure(ctx, err)
		}
		if r.Process == nil {
			return conn, nil
		}
		checked, f := c.checkedConn(ctx, conn, r)
		if f == nil {
			return checked, nil
		}
		if !conn.reused || f.Err.Code != pomelorelay.CodeUpstreamReplaced {
			return nil, f
		}
		onlyNew = true
	}
}

func notSentFailure(ctx context.Context, err error) *Failure {
	if f := contextFailure(ctx, OutcomeNotSent, err); f != nil {
		return f
	}
	return NewFailure(OutcomeNotSent, pomelorelay.CodeUpstreamUnreached, err)
}

// contextFailure returns the failure of an attempt whose context ended, or whose deadline passed; nil for any other error. A context that was
// cancelled with an Error as its cause gives that error's code and Retry-After.
func contextFailure(ctx context.Context, outcome Outcome, err error) *Failure {
	var cause *pomelorelay.Error
	cancelled, timeout := pomelorelay.CodeCallerGone, pomelorelay.CodeUpstreamTimeout
	if outcome == OutcomeNotSent {
		cancelled, timeout = pomelorelay.CodeCancelled, pomelorelay.CodeDeadlinePassed
	}
	switch {
	case errors.As(context.Cause(ctx), &cause):
		f := NewFailure(outcome, cause.Code, err)
		f.Err.RetryAfter = cause.RetryAfter
		return f
	case errors.Is(ctx.Err(), context.Canceled):
		return NewFailure(outcome, cancelled, err)
	case ctx.Err() != nil, errors.Is(err, os.ErrDeadlineExceeded):
		return NewFailure(outcome, timeout, err)
	}
	return nil
}

func (x *Exchange) write(req *http.Request, size int) {
	if size <= maxInlineBody {
		x.writeErr = x.send(req)
		return
	}
	x.writeDone = make(chan error, 1)
	go func() { x.writeDone <- x.send(req) }()
}

func (x *Exchange) send(req *http.Request) error {
	w := x.client.buffers.writer(x.conn)
	defer x.client.buffers.putWriter(w)
	if err := writeRequest(w, req); err != nil {
		return err
	}
	return w.Flush()
}

func writeRequest(w *bufio.Writer, req *http.Request) error { return req.Write(w) }

// readHeader reads the answer's header, also after a failed write, because an upstream may refuse a request before it has
// read the entire body.
func (x *Exchange) readHeader(req *http.Request) *Failure {
	if x.writeErr != nil && x.conn.written.Load() == 0 {
		return notSentFailure(x.ctx, x.writeErr)
	}
	x.conn.limitHeader(x.client.cfg.MaxHeaderBytes + connBufferBytes)
	for range maxResponses {
		// An error is met again by ReadResponse.
		begun, _ := x.conn.reader.Peek(len(protocolPrefix))
		isHTTP := strings.HasPrefix(protocolPrefix, string(begun))
		resp, err := readResponse(x.conn.reader, req)
		if err != nil && isHTTP && x.conn.readErr != nil {
			// The parser calls a line malformed that was cut before its colon.
			err = x.conn.readErr
		}
		if err != nil {
			return x.Fail(err)
		}
		if resp.StatusCode >= http.StatusOK {
			x.conn.unlimitHeader()
			x.Response = resp
			return x.checkHeader()
		}
	}
	return NewFailure(OutcomeUnknown, pomelorelay.CodeAnswerMalformed, errors.New("no final answer within 5 responses"))
}

// readResponse reads a response. The parser ignores the transfer encoding of an HTTP/1.0 response, and its body would be read with the framing; it
// is therefore parsed as one of HTTP/1.1, and its connection is kept only if it says so and the length is stated.
func readResponse(r *bufio.Reader, req *http.Request) (*http.Response, error) {
	// An error is met again by ReadResponse.
	version, _ := r.Peek(len(oldProtocol))
	old := string(version) == oldProtocol
	if old {
		copy(version, newProtocol)
	}
	resp, err := http.ReadResponse(r, req)
	if err == nil && !resp.ProtoAtLeast(1, 0) {
		return nil, errVersion
	}
	if err != nil || !old {
		return resp, err
	}
	resp.Proto, resp.ProtoMinor = oldProtocol, 0
	resp.Close = resp.Close || resp.ContentLength < 0 || !strings.EqualFold(resp.Header.Get("Connection"), "keep-alive")
	return resp, nil
}

// Fail closes the connection and returns the Failure for a missing or truncated answer.
func (x *Exchange) Fail(err error) *Failure {
	x.conn.Close()
	x.awaitWrite()
	if x.Response != nil && x.conn.readErr != nil && !isConnectionError(err) {
		// The parser calls a trailer malformed that was cut.
		err = x.conn.readErr
	}
	if x.conn.written.Load() == 0 {
		return notSentFailure(x.ctx, err)
	}
	outcome := OutcomeUnknown
	if x.conn.read.Load() > 0 {
		outcome = OutcomeTruncated
	}
	if f := contextFailure(x.ctx, outcome, err); f != nil {
		return f
	}
	if !isConnectionError(err) {
		return NewFailure(outcome, pomelorelay.CodeAnswerMalformed, err)
	}
	code := pomelorelay.CodeAnswerUnknown
	if outcome == OutcomeTruncated {
		code = pomelorelay.CodeAnswerCutShort
	}
	f := NewFailure(outcome, code, err)
	f.ConnectionBroken = true
	return f
}

func isConnectionError(err error) bool {
	var netErr net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &netErr)
}

// awaitWrite waits for a concurrent write to end, so that the body's buffer can be reused.
func (x *Exchange) awaitWrite() {
	if x.writeDone != nil {
		x.writeErr = <-x.writeDone
		x.writeDone = nil
	}
}

// ClosedInOrder reports whether the upstream has ended the connection, once a read of the answer has returned io.EOF; else the connection has failed. The
// kernel reports a failure only once: if the write of the request has received it, the read meets an end without an error. A write in progress is
// stopped, since the answer is over.
func (x *Exchange) ClosedInOrder() bool {
	if x.writeDone != nil {
		// An error means that the connection is closed, which also ends the write.
		_ = x.conn.SetWriteDeadline(aLongTimeAgo)
		x.awaitWrite()
	}
	err := x.conn.writeErr
	// A reset that follows the upstream's end of the connection fails writes with EPIPE, one in its place with ECONNRESET.
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.EPIPE)
}

// checkHeader verifies that the answer belongs to this request and that a truncated body can be detected. Without the check, a late or
// duplicate answer on a reused connection would reach the wrong caller. The check detects such an answer by its id, since only connections
// to upstreams that echo ids are reused, and Carriers keeps the attempts of one request on different connections.
func (x *Exchange) checkHeader() *Failure {
	ids := x.Response.Header.Values(x.client.cfg.Protocol.IDHeader)
	id := strings.Join(ids, ",")
	x.IDEchoed = id == x.requestID
	// The head of the next answer may have completed one that was cut short; several ids show that.
	if len(ids) > 1 || (id != "" && !x.IDEchoed) || (id == "" && x.conn.reused) {
		x.client.cfg.Logger.Log(pomelorelay.EventAnswerCrossed, pomelorelay.Field{Key: "Request", Value: x.requestID}, pomelorelay.Field{Key: "Answer", Value: id})
		return NewFailure(OutcomeUnknown, pomelorelay.CodeAnswerCrossed, nil)
	}
	if x.client.cfg.Protocol.NotRun(x.Response) {
		return x.refusedFailure()
	}
	if !x.client.cfg.Protocol.AllowCloseDelimited && !x.isDelimited() {
		return NewFailure(OutcomeUnknown, pomelorelay.CodeAnswerMalformed, errors.New("answer has neither Content-Length nor chunked encoding, so truncation cannot be detected"))
	}
	return nil
}

func (x *Exchange) isDelimited() bool {
	r := x.Response
	return !EndsWithConnection(r) || IsEventStream(r) || r.StatusCode == http.StatusNoContent || r.StatusCode == http.StatusNotModified
}

func (x *Exchange) refusedFailure() *Failure {
	f := NewFailure(OutcomeRefusedNotRun, pomelorelay.CodeUpstreamRefused, nil)
	f.Refusal = x.Response
	if seconds, err := strconv.Atoi(x.Response.Header.Get("Retry-After")); err == nil && seconds >= 0 {
		f.Err.RetryAfter = time.Duration(seconds) * time.Second
	}
	if n := x.Response.ContentLength; n >= 0 && n <= maxDrainBytes {
		_, err := io.Copy(io.Discard, x.Response.Body)
		x.BodyComplete = err == nil
	}
	return f
}

// Close returns the connection to the idle pool if the exchange is complete and the upstream echoes ids, and closes it otherwise.
func (x *Exchange) Close() {
	released := x.stop()
	keep := x.BodyComplete && released && x.IDEchoed && !x.Response.Close && x.conn.reader.Buffered() == 0 && x.writeSucceeded()
	if keep {
		x.conn.maxIdle = x.maxIdle()
		x.client.conns.put(x.addr, x.conn)
		return
	}
	x.conn.Close()
	x.awaitWrite()
}

// keepAliveFraction is the fraction of the upstream's Keep-Alive timeout after which the client stops reusing the connection, since the
// upstream's idle timer started earlier than the client's.
const keepAliveFraction = 0.75

// maxIdle returns how long the connection may stay idle. If an upstream closes an idle connection while it is being reused,
// the router cannot know whether the request ran.
func (x *Exchange) maxIdle() time.Duration {
	idle := x.client.cfg.IdleTimeout
	_, after, found := strings.Cut(x.Response.Header.Get("Keep-Alive"), "timeout=")
	if !found {
		return idle
	}
	digits, _, _ := strings.Cut(after, ",")
	seconds, err := strconv.Atoi(strings.TrimSpace(digits))
	if err != nil || seconds < 0 {
		return idle
	}
	return min(idle, time.Duration(float64(seconds)*keepAliveFraction*float64(time.Second)))
}

// Buffered returns the number of received bytes that have not been read.
func (x *Exchange) Buffered() int { return x.conn.reader.Buffered() }

// CloseConnection closes the connection, so that a blocked read fails.
func (x *Exchange) CloseConnection() { x.conn.Close() }

// SetReadTimeout sets a timeout after which reads from the answer fail.
func (x *Exchange) SetReadTimeout(wait time.Duration) error {
	return x.conn.SetReadDeadline(time.Now().Add(wait))
}

// RequestWritten reports whether the write of the request is known to have ended.
func (x *Exchange) RequestWritten() bool { return x.writeDone == nil }

// writeSucceeded reports whether the request was written completely without error.
func (x *Exchange) writeSucceeded() bool {
	if x.writeDone != nil {
		select {
		case x.writeErr = <-x.writeDone:
			x.writeDone = nil
		default:
			return false
		}
	}
	return x.writeErr == nil
}
