package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// outcome is how one client attempt ended.
type outcome struct {
	id     string
	router *router
	sentAt time.Time
	// writtenAt is when its last byte was sent; zero if the connection ended before.
	writtenAt time.Time
	endedAt   time.Time
	// status is the status of a complete answer; zero without one.
	status int
	signed bool
	// reused is set if the connection had carried a request before.
	reused   bool
	deadline time.Duration
	// retryAfter is what the answer tells the client to wait before it asks again.
	retryAfter time.Duration
	err        error
}

// timedOut reports whether the client's own deadline ended the attempt.
func (o *outcome) timedOut() bool { return o.endedAt.Sub(o.sentAt) >= o.deadline }

// clientConn is a client's connection, which it keeps for further requests.
type clientConn struct {
	conn     net.Conn
	reader   *bufio.Reader
	requests int
	rec      *record
	router   *router
	// closed is set once the connection is of no more use.
	closed bool
	// rate limits what the client sends, in bytes a second; zero for no limit.
	rate int
}

var lastID atomic.Uint64

func dial(r *router, rec *record) (*clientConn, error) {
	c, err := net.DialTimeout("tcp", r.front, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{conn: c, reader: bufio.NewReader(c), rec: rec, router: r}, nil
}

// send sends one request of a kind and waits for its answer.
func (c *clientConn) send(path, key string, body []byte, deadline time.Duration) outcome {
	o := outcome{id: fmt.Sprintf("%016x", lastID.Add(1)), router: c.router, sentAt: time.Now(), reused: c.requests > 0, deadline: deadline}
	c.requests++
	c.rec.detail(o.id, "client sends %s %s (%d bytes) to %s, reused=%v", o.id, path, len(body), c.router.name, o.reused)
	_ = c.conn.SetDeadline(o.sentAt.Add(deadline))
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: files.example\r\n%s: %s\r\n%s: %d\r\nAuthorization: Token %s\r\nContent-Length: %d\r\n\r\n",
		path, fieldAttempt, o.id, fieldDeadline, deadline.Milliseconds(), key, len(body))
	o.err = c.write(append([]byte(head), body...))
	if o.err == nil {
		o.writtenAt = time.Now()
	}
	var res *http.Response
	res, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err == nil {
		_, err = io.Copy(io.Discard, res.Body)
	}
	o.endedAt = time.Now()
	if err != nil {
		if o.err == nil {
			o.err = err
		}
		c.close()
		c.rec.detail(o.id, "client of %s gets no complete answer: %v", o.id, o.err)
		return o
	}
	o.status, o.signed, o.err = res.StatusCode, res.Header.Get(fieldSignature) != "", nil
	if seconds, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); err == nil && seconds > 0 {
		o.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	if res.Close || o.writtenAt.IsZero() {
		c.close()
	}
	c.rec.detail(o.id, "client of %s gets %d signed=%v retry-after=%v", o.id, o.status, o.signed, o.retryAfter)
	return o
}

const writeStep = 64 << 10

func (c *clientConn) write(data []byte) error {
	began, sent := time.Now(), 0
	for len(data) > 0 {
		n := min(len(data), writeStep)
		if _, err := c.conn.Write(data[:n]); err != nil {
			return err
		}
		data, sent = data[n:], sent+n
		if c.rate > 0 {
			time.Sleep(time.Duration(float64(sent)/float64(c.rate)*float64(time.Second)) - time.Since(began))
		}
	}
	return nil
}

func (c *clientConn) close() {
	c.closed = true
	c.conn.Close()
}
