package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// reply is what a client got for a request.
type reply struct {
	status    int
	signature string
	body      []byte
	err       error
}

// client sends requests on a connection that it keeps.
type client struct {
	addr   string
	conn   net.Conn
	reader *bufio.Reader
}

// call sends a request, on a new connection if there is none, and reads the answer.
func (c *client) call(path, id string, deadline time.Duration, body []byte, fields ...string) reply {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.addr, time.Second)
		if err != nil {
			return reply{err: err}
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(deadline))
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n", path, hostname, fieldID, id, fieldDeadline, deadline.Milliseconds(), len(body))
	for _, f := range fields {
		head += f + "\r\n"
	}
	if _, err := io.WriteString(c.conn, head+"\r\n"+string(body)); err != nil {
		c.close()
		return reply{err: err}
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.close()
		return reply{err: err}
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil || resp.Close {
		c.close()
	}
	return reply{status: resp.StatusCode, signature: resp.Header.Get(fieldSignature), body: text, err: err}
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
	}
	c.conn = nil
}
