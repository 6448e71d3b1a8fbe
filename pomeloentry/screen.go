package pomeloentry

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloforward"
	"github.com/pomelorelay/pomelorelay/pomelolistener"
	"github.com/pomelorelay/pomelorelay/pomelometric"
)

// callerConn is what a request's context tells about its connection.
type callerConn struct {
	conn net.Conn
	// acceptedAt is when the connection was accepted, in nanoseconds of Config.Steady.
	acceptedAt int64
	// screened is set while a request that was admitted before net/http parsed it has not reached its handler.
	screened atomic.Bool
	// decidedAt is when the last request was admitted.
	decidedAt atomic.Int64
}

type connKey struct{}

// withConn stores a caller's connection in the context of its requests.
func (e *Router) withConn(ctx context.Context, c net.Conn) context.Context {
	info := &callerConn{conn: c, acceptedAt: e.steady()}
	if screened, ok := c.(*screenedConn); ok {
		info, info.acceptedAt = screened.info, screened.info.acceptedAt
	}
	return context.WithValue(ctx, connKey{}, info)
}

// tracked returns the connection as the account of clients' connections knows it; nil without one.
func (c *callerConn) tracked() *pomelolistener.Conn {
	if c == nil {
		return nil
	}
	return pomelolistener.Of(c.conn)
}

// connOf returns the connection of a request; nil without one.
func connOf(ctx context.Context) *callerConn {
	info, _ := ctx.Value(connKey{}).(*callerConn)
	return info
}

// resetOnClose makes the kernel reset a request's connection when it is closed, or end it in order.
func resetOnClose(r *http.Request, reset bool) {
	info := connOf(r.Context())
	if info == nil {
		return
	}
	conn, ok := info.conn.(interface{ SetLinger(seconds int) error })
	if !ok {
		return
	}
	// A negative value is the system's default. An error is ignored: the caller has closed the connection.
	seconds := -1
	if reset {
		seconds = 0
	}
	_ = conn.SetLinger(seconds)
}

// screenedConn decides on the first request of a connection before net/http parses it. Through net/http, a refusal takes the parsing of the header,
// a request, a response and a wait for the body.
type screenedConn struct {
	*pomelolistener.Conn
	e    *Router
	info *callerConn
	// read is set after the first read, or when the connection is closed before it.
	read atomic.Bool
}

// markRead records that the connection no longer waits for the decision on its first request.
func (c *screenedConn) markRead() {
	if !c.read.Swap(true) {
		c.e.overload.undecided.Add(-1)
	}
}

// Close closes the connection.
func (c *screenedConn) Close() error {
	c.markRead()
	return c.Conn.Close()
}

func newScreenedConn(conn *pomelolistener.Conn, e *Router) *screenedConn {
	e.overload.undecided.Add(1)
	return &screenedConn{Conn: conn, e: e, info: &callerConn{conn: conn, acceptedAt: e.steady()}}
}

// Read reads from the connection. If the first read holds the header of a request that is refused, Read answers it and returns io.EOF.
func (c *screenedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.read.Load() {
		return n, err
	}
	if err != nil {
		return n, err
	}
	c.markRead()
	r, unread := c.screen(p[:n])
	if r.code == 0 {
		return n, nil
	}
	c.e.logRefusal(r)
	c.Refuse(refusalResponse(r), unread)
	return 0, io.EOF
}

// screen decides on the request that begins with the data, and reports whether a part of its body is unread. An incomplete, malformed or unusual
// head is admitted here: net/http reads on, and the handler decides.
func (c *screenedConn) screen(data []byte) (r refusal, unread bool) {
	buffer := headBuffers.Get().(*headBuffer)
	defer headBuffers.Put(buffer)
	head, ok := buffer.parse(data)
	if !ok {
		return refusal{}, false
	}
	now := c.e.steady()
	waited := time.Duration(now - c.info.acceptedAt)
	c.e.metrics.ObserveStage(pomelometric.StageAccept, waited)
	r = c.e.decide(arrival{host: head.host, path: head.path, head: buffer.fields, waited: waited, first: true})
	if r.code == 0 {
		c.info.screened.Store(true)
		c.info.decidedAt.Store(now)
	}
	return r, head.length < 0 || head.length > int64(len(data)-head.size)
}

// overloadedResponse is the response of an overloaded router.
var overloadedResponse = encodeRefusal(refusal{code: pomelorelay.CodeRouterOverloaded, retryAfter: overloadRetryAfter})

func refusalResponse(r refusal) []byte {
	if r.code == pomelorelay.CodeRouterOverloaded {
		return overloadedResponse
	}
	return encodeRefusal(r)
}

// encodeRefusal returns the complete HTTP response to a refused request.
func encodeRefusal(r refusal) []byte {
	err := pomelorelay.NewError(r.code, "", nil)
	err.RetryAfter = r.retryAfter
	return pomeloforward.ErrorResponse(err)
}

// headBuffer holds the header fields of a request while the router decides on it.
type headBuffer struct {
	fields http.Header
	values []string
}

var headBuffers = sync.Pool{New: func() any { return &headBuffer{fields: make(http.Header)} }}

// requestHead is the parsed head of a request, without its header fields.
type requestHead struct {
	host, path string
	// size is the length of the head in bytes, length that of the body; -1 if it is unknown.
	size   int
	length int64
}

// parse parses the head of a request for the decision on it. It returns false for an incomplete head and for whatever it leaves to net/http, which
// parses the heads of admitted requests itself.
func (b *headBuffer) parse(data []byte) (requestHead, bool) {
	end := bytes.Index(data, []byte("\r\n\r\n"))
	if end < 0 {
		return requestHead{}, false
	}
	line, rest, _ := strings.Cut(string(data[:end]), "\r\n")
	method, target, _ := strings.Cut(line, " ")
	target, version, _ := strings.Cut(target, " ")
	if method == http.MethodHead || version != "HTTP/1.1" || !strings.HasPrefix(target, "/") || !b.parseFields(rest) {
		return requestHead{}, false
	}
	path, _, _ := strings.Cut(target, "?")
	length, ok := b.bodyLength()
	return requestHead{host: b.fields.Get("Host"), path: path, size: end + len("\r\n\r\n"), length: length}, ok
}

// bodyLength returns the length of the body in bytes, -1 if it is unknown; it returns false for an invalid length.
func (b *headBuffer) bodyLength() (int64, bool) {
	if b.fields.Get("Transfer-Encoding") != "" {
		return -1, true
	}
	text := b.fields.Get("Content-Length")
	if text == "" {
		return 0, true
	}
	n, err := strconv.ParseInt(text, 10, 64)
	return n, err == nil && n >= 0
}

// parseFields parses the header lines; it returns false if one is malformed or continues the line before it.
func (b *headBuffer) parseFields(lines string) bool {
	count := strings.Count(lines, "\r\n") + 1
	clear(b.fields)
	b.values = slices.Grow(b.values[:0], count)[:count]
	for i := 0; lines != ""; i++ {
		var line string
		line, lines, _ = strings.Cut(lines, "\r\n")
		key, value, ok := strings.Cut(line, ":")
		if !ok || key == "" || strings.ContainsAny(key, " \t") {
			return false
		}
		b.values[i] = strings.TrimSpace(value)
		key = textproto.CanonicalMIMEHeaderKey(key)
		if _, repeated := b.fields[key]; !repeated {
			b.fields[key] = b.values[i : i+1 : i+1]
		}
	}
	return true
}
