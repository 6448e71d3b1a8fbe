package pomeloforward

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelolink"
	"github.com/pomelorelay/pomelorelay/pomeloproblem"
)

// The endings of a request, as they are counted.
const (
	endingServed  = "served"
	endingRefused = "refused"
	endingFailed  = "failed"
	endingCut     = "cut"
	endingGone    = "gone"
)

// served notes a request whose whole answer was passed on.
func (c *call) served() {
	c.note(endingServed, pomelorelay.EventRequestServed, pomelorelay.Field{Key: "Status", Value: c.status})
}

// fail ends a request that is not sent again. One whose answer began has its connection closed, so that the caller takes what it
// has for no whole answer.
func (c *call) fail(f *pomelolink.Failure) {
	fields := codeFields(f)
	if errors.Is(c.r.Context().Err(), context.Canceled) {
		c.note(endingGone, pomelorelay.EventRequestGone, fields...)
		panic(http.ErrAbortHandler)
	}
	if c.answering {
		c.note(endingCut, pomelorelay.EventRequestCut, fields...)
		panic(http.ErrAbortHandler)
	}
	e := f.Err
	if c.ran && e.Ran == pomelorelay.RanNo {
		changed := *e
		changed.Ran = pomelorelay.RanUnknown
		e = &changed
	}
	c.refuse(e)
}

func codeFields(f *pomelolink.Failure) []pomelorelay.Field {
	return []pomelorelay.Field{
		{Key: "Code", Value: int(f.Err.Code)},
		{Key: "Failure", Value: f.Err.Error()},
		{Key: "Outcome", Value: int(f.Outcome)},
	}
}

// refuse answers with an error. The statuses that promise that a request never ran are used for just those.
func (c *call) refuse(err error) {
	var e *pomelorelay.Error
	if !errors.As(err, &e) {
		e = pomelorelay.NewError(pomelorelay.CodeInternal, err.Error(), nil)
	}
	c.status = Refuse(c.w, e)
	c.noteRefusal(e, c.status)
}

// Refuse answers with an error and returns the status.
func Refuse(w http.ResponseWriter, e *pomelorelay.Error) int {
	p := pomeloproblem.New(e)
	p.Status = status(p.Status, e.Ran)
	head := w.Header()
	head.Set("Content-Type", pomeloproblem.ContentType)
	if p.Status == http.StatusServiceUnavailable {
		head.Set("Retry-After", retryAfter(e))
	}
	w.WriteHeader(p.Status)
	// A caller that is gone cannot be told; the server closes the connection.
	_, _ = w.Write(p.Encode())
	return p.Status
}

func (c *call) noteRefusal(e *pomelorelay.Error, status int) {
	ending, event := endingFailed, pomelorelay.EventRequestFailed
	if e.Ran == pomelorelay.RanNo {
		ending, event = endingRefused, pomelorelay.EventRequestRefused
	}
	c.note(ending, event,
		pomelorelay.Field{Key: "Status", Value: status},
		pomelorelay.Field{Key: "Code", Value: int(e.Code)},
		pomelorelay.Field{Key: "Failure", Value: e.Error()},
		pomelorelay.Field{Key: "RetryAfterMS", Value: e.RetryAfter.Milliseconds()},
		pomelorelay.Field{Key: "Reason", Value: string(c.decision.Reason)},
		pomelorelay.Field{Key: "Cause", Value: string(c.decision.Cause)},
		pomelorelay.Field{Key: "Bound", Value: string(c.decision.Bound)},
		pomelorelay.Field{Key: "Regions", Value: c.decision.Residency.String()},
	)
}

// status makes a refusal before anything ran a 503, and keeps a failure after it from any status that would promise that.
func status(given int, ran pomelorelay.Ran) int {
	switch {
	case ran == pomelorelay.RanNo && given >= http.StatusInternalServerError:
		return http.StatusServiceUnavailable
	case ran != pomelorelay.RanNo && given == http.StatusServiceUnavailable:
		return http.StatusBadGateway
	}
	return given
}

// retryAfter returns seconds with a fraction: whole ones would send every caller back a second late.
func retryAfter(e *pomelorelay.Error) string {
	wait := e.RetryAfter
	if wait <= 0 {
		wait = refusedRetry
	}
	return strconv.FormatFloat(wait.Seconds(), 'f', 3, 64)
}

// note writes the one line that tells how a request ended and by what it was decided.
func (c *call) note(ending string, event pomelorelay.EventID, fields ...pomelorelay.Field) {
	now := c.h.cfg.Clock.Now()
	first := now.Sub(c.arrived)
	if !c.first.IsZero() {
		first = c.first.Sub(c.arrived)
	}
	kind := pomelorelay.RouteKind("None")
	if c.route != nil {
		kind = c.route.Kind
	}
	c.h.cfg.Meter.ObserveAnswer(kind, ending, first, now.Sub(c.arrived))
	d := c.decision
	all := append(fields,
		pomelorelay.Field{Key: "WaitMS", Value: c.fields.Timeout.Milliseconds()},
		pomelorelay.Field{Key: "FirstMS", Value: first.Milliseconds()},
		pomelorelay.Field{Key: "TotalMS", Value: now.Sub(c.arrived).Milliseconds()},
		pomelorelay.Field{Key: "PauseMS", Value: c.longestPause.Milliseconds()},
		pomelorelay.Field{Key: "ExpectedMS", Value: d.ExpectedLatency.Milliseconds()},
		pomelorelay.Field{Key: "BacklogMS", Value: d.QueueDelay.Milliseconds()},
		pomelorelay.Field{Key: "Term", Value: string(d.Term)},
		pomelorelay.Field{Key: "Missing", Value: int64(d.PrefillTokens)},
		pomelorelay.Field{Key: "Shared", Value: int64(d.UncachedShared)},
		pomelorelay.Field{Key: "Copied", Value: int64(d.CopiedTokens)},
		pomelorelay.Field{Key: "Running", Value: d.Running},
		pomelorelay.Field{Key: "ReportAgeMS", Value: d.ReportAge.Milliseconds()},
		pomelorelay.Field{Key: "ListAgeMS", Value: d.ListAge.Milliseconds()},
		pomelorelay.Field{Key: "Runs", Value: c.runs},
		pomelorelay.Field{Key: "Cost", Value: int64(d.Share.Cost)},
		pomelorelay.Field{Key: "Owed", Value: d.Share.WithinShare},
		pomelorelay.Field{Key: "Asked", Value: int64(d.Share.Requested)},
		pomelorelay.Field{Key: "Served", Value: int64(d.Share.Served)},
		pomelorelay.Field{Key: "Level", Value: int64(d.Share.FairShare)},
	)
	c.log(event, all...)
}

// log writes an event with what identifies the request.
func (c *call) log(event pomelorelay.EventID, fields ...pomelorelay.Field) {
	all := []pomelorelay.Field{
		{Key: "Request", Value: c.fields.ID},
		{Key: "Account", Value: string(c.account)},
		{Key: "Upstream", Value: string(c.decision.Upstream.ID)},
	}
	if c.route != nil {
		all = append(all, pomelorelay.Field{Key: "Route", Value: string(c.route.Name)}, pomelorelay.Field{Key: "Generation", Value: uint64(c.table.Version())})
	}
	c.h.cfg.Logger.Log(event, append(all, fields...)...)
}
