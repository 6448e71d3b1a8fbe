package pomeloforward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelolink"
	"github.com/pomelorelay/pomelorelay/pomeloproblem"
	"github.com/pomelorelay/pomelorelay/pomelostream"
)

// The endings of a request, as metric labels.
const (
	endingServed  = "served"
	endingRefused = "refused"
	endingFailed  = "failed"
	endingCut     = "cut"
	endingGone    = "gone"
)

// logServed logs a request whose complete answer was forwarded.
func (c *call) logServed() {
	c.logEnding(endingServed, pomelorelay.EventRequestServed, pomelorelay.Field{Key: "Status", Value: c.status})
}

// fail ends a request that is not retried. If its answer has begun, the caller's connection is closed, so that the caller does not
// treat the answer as complete.
func (c *call) fail(f *pomelolink.Failure) {
	fields := codeFields(f)
	// At the end of a stop the router itself closes the connections.
	if errors.Is(c.r.Context().Err(), context.Canceled) && !c.mustEnd() {
		c.logEnding(endingGone, pomelorelay.EventRequestGone, fields...)
		panic(http.ErrAbortHandler)
	}
	if c.answerStarted {
		c.logEnding(endingCut, pomelorelay.EventRequestCut, fields...)
		panic(http.ErrAbortHandler)
	}
	e := f.Err
	if c.mayHaveRun && e.Ran == pomelorelay.RanNo {
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

// refuse answers with an error. Statuses that mean that a request never ran are used only for such requests.
func (c *call) refuse(err error) {
	var e *pomelorelay.Error
	if !errors.As(err, &e) {
		e = pomelorelay.NewError(pomelorelay.CodeInternal, err.Error(), nil)
	}
	c.closeIfStopping()
	c.status = WriteError(c.w, e)
	c.logRefusal(e, c.status)
}

// WriteError answers with an error as a problem document and returns the HTTP status.
func WriteError(w http.ResponseWriter, e *pomelorelay.Error) int {
	p := pomeloproblem.New(e)
	p.Status = refusalStatus(p.Status, e.Ran)
	head := w.Header()
	head.Set("Content-Type", pomeloproblem.ContentType)
	if p.Status == http.StatusServiceUnavailable {
		head.Set("Retry-After", retryAfter(e))
	}
	w.WriteHeader(p.Status)
	// A write error is ignored: the caller has disconnected, and the server closes the connection.
	_, _ = w.Write(p.Encode())
	return p.Status
}

// ErrorResponse returns the complete HTTP/1.1 response to a request that is refused before net/http has parsed it; it ends the connection.
func ErrorResponse(e *pomelorelay.Error) []byte {
	p := pomeloproblem.New(e)
	p.Status = refusalStatus(p.Status, e.Ran)
	head := http.Header{"Content-Type": {pomeloproblem.ContentType}, "Connection": {"close"}}
	if p.Status == http.StatusServiceUnavailable {
		head.Set("Retry-After", retryAfter(e))
	}
	body := p.Encode()
	head.Set("Content-Length", strconv.Itoa(len(body)))
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", p.Status, http.StatusText(p.Status))
	// Writing to a buffer does not fail.
	_ = head.Write(&b)
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}

func (c *call) logRefusal(e *pomelorelay.Error, status int) {
	ending, event := endingFailed, pomelorelay.EventRequestFailed
	if e.Ran == pomelorelay.RanNo {
		ending, event = endingRefused, pomelorelay.EventRequestRefused
	}
	fields := []pomelorelay.Field{
		{Key: "Status", Value: status},
		{Key: "Code", Value: int(e.Code)},
		{Key: "Failure", Value: e.Error()},
		{Key: "RetryAfterMS", Value: e.RetryAfter.Milliseconds()},
		{Key: "Reason", Value: string(c.decision.Reason)},
		{Key: "Cause", Value: string(c.decision.Cause)},
		{Key: "Bound", Value: string(c.decision.Bound)},
		{Key: "Regions", Value: c.decision.Residency.String()},
	}
	if e.Code == pomelorelay.CodeQuarantined {
		fields = append(fields, pomelorelay.Field{Key: "Parts", Value: fmt.Sprint(c.fingerprints[1:])})
	}
	c.logEnding(ending, event, fields...)
}

// refusalStatus replaces any server error by 503 if the request did not run, and 503 by 502 if it may have run.
func refusalStatus(given int, ran pomelorelay.Ran) int {
	switch {
	case ran == pomelorelay.RanNo && given >= http.StatusInternalServerError:
		return http.StatusServiceUnavailable
	case ran != pomelorelay.RanNo && given == http.StatusServiceUnavailable:
		return http.StatusBadGateway
	}
	return given
}

// retryAfter returns the Retry-After value in fractional seconds; if it were rounded up to whole seconds, every caller would retry up to a
// second late.
func retryAfter(e *pomelorelay.Error) string {
	wait := e.RetryAfter
	if wait <= 0 {
		wait = defaultRetryAfter
	}
	return strconv.FormatFloat(wait.Seconds(), 'f', 3, 64)
}

// logEnding writes the request's final log line, with how it ended and what determined its placement.
func (c *call) logEnding(ending string, event pomelorelay.EventID, fields ...pomelorelay.Field) {
	now := c.h.cfg.Clock.Now()
	if ending != endingRefused && ending != endingGone && !c.readAt.IsZero() {
		c.h.runTimes.add(c.table.Config().Routes, c.route.Name, now.Sub(c.readAt))
	}
	first := now.Sub(c.arrivedAt)
	if !c.answerBeganAt.IsZero() {
		first = c.answerBeganAt.Sub(c.arrivedAt)
	}
	kind := pomelorelay.RouteKind("None")
	if c.route != nil {
		kind = c.route.Kind
	}
	c.h.cfg.Meter.ObserveAnswer(kind, ending, first, now.Sub(c.arrivedAt))
	d := c.decision
	all := append(c.identity(len(fields)+maxEndingFields), fields...)
	all = append(all,
		pomelorelay.Field{Key: "WaitMS", Value: c.fields.Timeout.Milliseconds()},
		pomelorelay.Field{Key: "FirstMS", Value: first.Milliseconds()},
		pomelorelay.Field{Key: "TotalMS", Value: now.Sub(c.arrivedAt).Milliseconds()},
		pomelorelay.Field{Key: "PauseMS", Value: c.longestPause.Milliseconds()},
		pomelorelay.Field{Key: "ExpectedMS", Value: d.ExpectedLatency.Milliseconds()},
		pomelorelay.Field{Key: "BacklogMS", Value: d.QueueDelay.Milliseconds()},
		pomelorelay.Field{Key: "Term", Value: string(d.LargestCostTerm)},
		pomelorelay.Field{Key: "Missing", Value: int64(d.PrefillTokens)},
		pomelorelay.Field{Key: "Shared", Value: int64(d.UncachedShared)},
		pomelorelay.Field{Key: "Copied", Value: int64(d.CopiedTokens)},
		pomelorelay.Field{Key: "Running", Value: d.Running},
		pomelorelay.Field{Key: "Announced", Value: announced(d.Announced)},
		pomelorelay.Field{Key: "AnnouncedAgeMS", Value: d.AnnouncedAge.Milliseconds()},
		pomelorelay.Field{Key: "Slowness", Value: d.Slowness},
		pomelorelay.Field{Key: "ReportAgeMS", Value: d.ReportAge.Milliseconds()},
		pomelorelay.Field{Key: "ListAgeMS", Value: d.ListAge.Milliseconds()},
		pomelorelay.Field{Key: "Runs", Value: c.runs},
		pomelorelay.Field{Key: "Cost", Value: int64(d.Share.Cost)},
		pomelorelay.Field{Key: "Owed", Value: d.Share.WithinShare},
		pomelorelay.Field{Key: "Asked", Value: int64(d.Share.Requested)},
		pomelorelay.Field{Key: "Served", Value: int64(d.Share.Served)},
		pomelorelay.Field{Key: "Level", Value: int64(d.Share.FairShare)},
		pomelorelay.Field{Key: "ServedAll", Value: int64(d.Share.TotalServed)},
		pomelorelay.Field{Key: "Withheld", Value: d.Standing.Withheld},
		pomelorelay.Field{Key: "Behind", Value: string(d.Standing.Behind)},
		pomelorelay.Field{Key: "MaxRunning", Value: d.MaxRunning},
		pomelorelay.Field{Key: "MaxQueueMS", Value: d.MaxQueueDelay.Milliseconds()},
	)
	all = c.appendConnection(all)
	if resume := d.Resume; resume.Basis != pomelostream.BasisNone {
		all = append(all,
			pomelorelay.Field{Key: "ResumedBy", Value: string(resume.Basis)},
			pomelorelay.Field{Key: "Resumes", Value: c.fields.Resumes},
			pomelorelay.Field{Key: "LastEvent", Value: c.fields.LastEvent},
			pomelorelay.Field{Key: "Version", Value: string(resume.Version)},
			pomelorelay.Field{Key: "UpstreamVersion", Value: string(d.Upstream.Version)},
			pomelorelay.Field{Key: "Versions", Value: resume.Versions},
			pomelorelay.Field{Key: "VersionsKnownMS", Value: resume.KnownFor.Milliseconds()},
			pomelorelay.Field{Key: "StoreReadAgeMS", Value: resume.ReadAge.Milliseconds()},
			pomelorelay.Field{Key: "LastMessageAgeMS", Value: resume.LastMessageAge.Milliseconds()},
		)
	}
	if d.Reserve.Slots > 0 {
		all = append(all,
			pomelorelay.Field{Key: "Reserve", Value: d.Reserve.Slots},
			pomelorelay.Field{Key: "ReserveSends", Value: d.Reserve.SendsPerSecond},
			pomelorelay.Field{Key: "ReserveUnseen", Value: d.Reserve.Unseen},
			pomelorelay.Field{Key: "ReserveUpcoming", Value: d.Reserve.Upcoming},
			pomelorelay.Field{Key: "ReserveGrowth", Value: d.Reserve.Growth},
			pomelorelay.Field{Key: "ReserveAgeMS", Value: d.Reserve.ReportAge.Milliseconds()},
		)
	}
	if left, stopping := c.h.cfg.Shutdown.TimeLeft(); stopping {
		all = append(all, pomelorelay.Field{Key: "StopLeftMS", Value: left.Milliseconds()})
	}
	if c.retryDenied {
		all = append(all, pomelorelay.Field{Key: "RetryDenied", Value: true})
	}
	c.h.cfg.Logger.Log(event, all...)
}

// maxEndingFields is the number of fields that logEnding adds, for the capacity of their list.
const maxEndingFields = 40

// appendConnection appends the fields that identify the upstream connection of the last attempt, unless no connection carried it.
func (c *call) appendConnection(fields []pomelorelay.Field) []pomelorelay.Field {
	if c.connection.Number == 0 {
		return fields
	}
	return append(fields,
		pomelorelay.Field{Key: "Connection", Value: c.connection.Number},
		pomelorelay.Field{Key: "Exchange", Value: c.connection.Exchange},
	)
}

// announced returns the figures that an upstream announced, in the order of the header; empty if it announced none.
func announced(f pomelorelay.UpstreamFigures) string {
	if !f.Known() {
		return ""
	}
	return fmt.Sprintf("%d,%d,%d,%d", f.Running, f.Waiting, f.Slots, f.SlownessPercent)
}

// log writes an event with the fields that identify the request.
func (c *call) log(event pomelorelay.EventID, fields ...pomelorelay.Field) {
	c.h.cfg.Logger.Log(event, append(c.identity(len(fields)), fields...)...)
}

// identity returns the fields that identify the request, with capacity for further ones.
func (c *call) identity(further int) []pomelorelay.Field {
	fields := append(make([]pomelorelay.Field, 0, further+5),
		pomelorelay.Field{Key: "Request", Value: c.fields.RequestID},
		pomelorelay.Field{Key: "Account", Value: string(c.account)},
		pomelorelay.Field{Key: "Upstream", Value: string(c.decision.Upstream.ID)},
	)
	if c.route != nil {
		fields = append(fields, pomelorelay.Field{Key: "Route", Value: string(c.route.Name)}, pomelorelay.Field{Key: "Generation", Value: uint64(c.table.Version())})
	}
	return fields
}
