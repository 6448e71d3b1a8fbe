package pomelolink

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// maxReportBytes is the largest report of an upstream that is read.
const maxReportBytes = 64 << 10

var (
	errReportUnusable = errors.New("the upstream closes the connection with its report, or answers another request")
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

// checkProcess fails if the process at the other end of the connection states another start time. An upstream that states none passes: refusing it would
// end the resumption of streams at all upstreams of its kind.
func (c *Client) checkProcess(ctx context.Context, conn *upstreamConn, p *ProcessCheck) *Failure {
	if !conn.reported {
		if err := conn.readReport(ctx, p, c.cfg.Protocol.IDHeader); err != nil {
			return notSentFailure(ctx, err)
		}
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

// readReport asks the process at the other end for its report and keeps the start time. It fails if the connection cannot carry a request afterwards.
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
	resp, err := http.ReadResponse(c.reader, req)
	for n := 1; err == nil && resp.StatusCode < http.StatusOK && n < maxResponses; n++ {
		resp, err = http.ReadResponse(c.reader, req)
	}
	if err != nil {
		return err
	}
	c.unlimitHeader()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	if err != nil {
		return err
	}
	if resp.StatusCode < http.StatusOK || resp.Close || c.reader.Buffered() > 0 || resp.Header.Get(idHeader) != "" {
		return errReportUnusable
	}
	switch {
	case resp.StatusCode == http.StatusOK:
		c.startUnixMilli = p.Parse(body)
	case resp.StatusCode == http.StatusTooManyRequests, resp.StatusCode >= http.StatusInternalServerError:
		return errReportRefused
	}
	c.reported = true
	return nil
}
