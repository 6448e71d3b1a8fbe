package pomelolink

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"syscall"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// maxReportBytes is the largest report of an upstream that is read.
const maxReportBytes = 64 << 10

var (
	errReportUnusable = errors.New("the upstream answers another request, or sends more than its report")
	errReportTooLarge = errors.New("the upstream's report exceeds 64 KiB")
	errReportRefused  = errors.New("the upstream refuses to report on its process")
)

// ProcessCheck makes Open send a request only to the process that was started at a given time. Another process may have taken over an upstream's ID and
// address. A connection ends at one process, so each connection is checked once.
type ProcessCheck struct {
	// StartUnixMilli is the start time of the process in Unix milliseconds.
	StartUnixMilli int64
	// Path is the path of the upstream's report, and Parse returns the start time that it states; zero if it states none.
	Path  string
	Parse func(body []byte) int64
}

// checkedConn returns the connection, or another one in its place, once the process at its other end was checked. An upstream that closes each connection
// after one answer states its start time on one connection and is sent the request on the next.
func (c *Client) checkedConn(ctx context.Context, conn *upstreamConn, r *UpstreamRequest) (*upstreamConn, *Failure) {
	if f := c.checkProcess(ctx, conn, r.Addr, r.Process); f != nil {
		f.Connection = conn.use
		conn.Close()
		return nil, f
	}
	if !conn.closing {
		return conn, nil
	}
	conn.Close()
	next, err := c.conns.conn(ctx, r.Addr, true, nil)
	if err != nil {
		return nil, notSentFailure(ctx, err)
	}
	next.reported, next.startUnixMilli, next.assumed = true, conn.startUnixMilli, true
	return next, nil
}

// checkProcess fails if the process at the other end of the connection states another start time. An upstream that states none passes: refusing it would
// end the resumption of streams at all upstreams of its kind.
func (c *Client) checkProcess(ctx context.Context, conn *upstreamConn, addr netip.AddrPort, p *ProcessCheck) *Failure {
	if !conn.reported {
		if err := conn.readReport(ctx, p, c.cfg.Protocol.IDHeader); err != nil {
			return notSentFailure(ctx, err)
		}
		c.conns.noteStart(addr, conn.startUnixMilli)
	}
	if conn.startUnixMilli == 0 || conn.startUnixMilli == p.StartUnixMilli {
		return nil
	}
	if !conn.reused {
		c.cfg.Logger.Log(pomelorelay.EventUpstreamReplaced, pomelorelay.Field{Key: "Address", Value: conn.RemoteAddr().String()}, pomelorelay.Field{Key: "Connection", Value: conn.use.Number},
			pomelorelay.Field{Key: "Born", Value: conn.startUnixMilli}, pomelorelay.Field{Key: "ListedBorn", Value: p.StartUnixMilli})
	}
	return NewFailure(OutcomeNotSent, pomelorelay.CodeUpstreamReplaced, nil)
}

// readReport asks the process at the other end for its report and keeps the start time. It fails if the report is refused or not the answer.
func (c *upstreamConn) readReport(ctx context.Context, p *ProcessCheck, idHeader string) error {
	deadline, _ := ctx.Deadline()
	if err := c.begin(deadline, time.Time{}); err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	req := &http.Request{Method: http.MethodGet, URL: &url.URL{Path: p.Path}, Host: c.RemoteAddr().String(), Header: http.Header{"User-Agent": {""}}}
	if err := req.Write(c); err != nil {
		return err
	}
	c.limitHeader(maxReportBytes)
	resp, err := readResponse(c.reader, req)
	for n := 1; err == nil && resp.StatusCode < http.StatusOK && n < maxResponses; n++ {
		resp, err = readResponse(c.reader, req)
	}
	if err != nil {
		return err
	}
	c.unlimitHeader()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes+1))
	if err != nil {
		return err
	}
	if resp.StatusCode < http.StatusOK || c.reader.Buffered() > 0 || resp.Header.Get(idHeader) != "" {
		return errReportUnusable
	}
	c.closing = resp.Close
	switch {
	case len(body) > maxReportBytes:
		return errReportTooLarge
	case resp.StatusCode == http.StatusOK:
		c.startUnixMilli = p.Parse(body)
	case resp.StatusCode == http.StatusTooManyRequests, resp.StatusCode >= http.StatusInternalServerError:
		return errReportRefused
	}
	c.reported = true
	return nil
}

// UpstreamLives reports whether the upstream's process that sends the answer is alive. The end of an answer without length may otherwise be the end of
// the process, whose connections the kernel closes in order. It asks for the report of the process that was registered, and of one that is not known to
// state its start time, whether it accepts a connection and keeps it open for 50 ms: another process may then have taken its place.
func (x *Exchange) UpstreamLives(p *ProcessCheck) bool {
	if p == nil {
		return x.client.acceptsConnections(x.ctx, x.addr)
	}
	pool := x.client.conns
	// An open connection shows the process also where it accepts no further ones.
	if conn := pool.idleConn(x.addr, nil); conn != nil {
		if lives, known := x.isProcess(conn, p); known {
			return lives
		}
	}
	for n := range crashProbes {
		if n > 0 {
			time.Sleep(crashProbeInterval)
		}
		conn, err := pool.conn(x.ctx, x.addr, true, nil)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return false
		}
		if err != nil {
			continue
		}
		if lives, known := x.isProcess(conn, p); known {
			return lives
		}
	}
	return false
}

// isProcess reports whether the process at the other end of the connection is the one that sends the answer, and whether it stated that. It keeps the
// connection for further requests if it can be reused.
func (x *Exchange) isProcess(conn *upstreamConn, p *ProcessCheck) (lives, known bool) {
	ctx, cancel := context.WithTimeout(x.ctx, x.client.cfg.DialTimeout)
	defer cancel()
	err := conn.readReport(ctx, p, x.client.cfg.Protocol.IDHeader)
	if errors.Is(err, errReportRefused) && x.conn.startUnixMilli == 0 {
		// An upstream without reports may refuse any request while it is full.
		conn.Close()
		return true, true
	}
	if err != nil {
		conn.Close()
		return false, false
	}
	start := conn.startUnixMilli
	since := x.client.conns.noteStart(x.addr, start)
	if conn.closing || !x.IDEchoed {
		conn.Close()
	} else {
		x.client.conns.put(x.addr, conn)
	}
	if stated := x.conn.startUnixMilli; stated != 0 {
		return start == stated, true
	}
	// A process that was there before the answer's connection was opened is the one at its other end.
	return start == 0 || start == p.StartUnixMilli || x.conn.openedAt.After(since), true
}
