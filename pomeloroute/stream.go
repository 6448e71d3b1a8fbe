package pomeloroute

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloconfig"
	"github.com/pomelorelay/pomelorelay/pomelolink"
)

const (
	// maxResumes limits the number of consecutive resumes that deliver no new event.
	maxResumes = 3
	resumePath = "/v1/streams/"
	// framingEndTimeout limits the wait for the end of the HTTP body after the [DONE] event.
	framingEndTimeout = 100 * time.Millisecond
)

var (
	errNoUsage          = errors.New("stream ended without a usage event")
	errStreamIncomplete = errors.New("stream ended without [DONE] or without the end of its framing")
)

// stream forwards the server-sent events of an answer: only complete events, and each only once.
type stream struct {
	c          *call
	x          *pomelolink.Exchange
	ctx        context.Context
	m          *meter
	up         *pomeloconfig.Upstream
	events     pomelolink.EventReader
	engine     bool
	headerSent bool
	lastID     uint64
	hasID      bool
	resumes    int
}

func newStream(ctx context.Context, c *call, x *pomelolink.Exchange, m *meter, up *pomeloconfig.Upstream) *stream {
	s := &stream{ctx: ctx, c: c, x: x, m: m, up: up, engine: c.service.Kind == pomeloconfig.ServiceModel}
	s.events.Reset(x)
	return s
}

func (s *stream) release() { s.events.Release() }

// forward forwards events until the stream is complete or has failed and cannot be resumed.
func (s *stream) forward() *pomelolink.Failure {
	for {
		err := s.forwardEvents()
		if err == nil {
			return s.finish()
		}
		f := s.failure(err)
		if s.mayResume(f) && s.resume() {
			continue
		}
		return s.abort(f)
	}
}

// forwardEvents returns nil at the end of a complete stream. A model engine's stream is complete after a usage event and [DONE]; any other
// stream is complete when its body has ended as its Content-Length or chunked encoding requires.
func (s *stream) forwardEvents() error {
	for {
		event, err := s.events.Next()
		if errors.Is(err, io.EOF) && s.endedByFraming() {
			return nil
		}
		if errors.Is(err, io.EOF) {
			return errStreamIncomplete
		}
		if err != nil {
			return err
		}
		if s.alreadyForwarded(event) {
			continue
		}
		if s.engine && event.IsDone() {
			return s.forwardDone(event)
		}
		s.forwardEvent(event)
	}
}

func (s *stream) endedByFraming() bool {
	if s.engine {
		return false
	}
	s.x.BodyComplete = s.x.Response.ContentLength >= 0 || len(s.x.Response.TransferEncoding) > 0
	return s.x.BodyComplete
}

// alreadyForwarded reports whether the event was forwarded before; an engine may repeat some events after a resume.
func (s *stream) alreadyForwarded(e pomelolink.Event) bool {
	id, ok := e.ID()
	if !ok {
		return false
	}
	if s.hasID && id <= s.lastID {
		return true
	}
	s.lastID, s.hasID = id, true
	s.resumes = 0
	return false
}

func (s *stream) forwardEvent(e pomelolink.Event) {
	s.sendHeader()
	s.c.write(e.Raw)
	if s.events.Empty() {
		s.c.flush()
	}
	if !s.engine || len(e.Data()) == 0 {
		return
	}
	if e.MayContainUsage() && s.m.readUsage(e.Data()) {
		return
	}
	s.m.countToken()
}

func (s *stream) forwardDone(e pomelolink.Event) error {
	if s.m.usage == nil {
		return errNoUsage
	}
	s.sendHeader()
	s.c.write(e.Raw)
	s.c.flush()
	// Only the end of the HTTP body remains; if it does not arrive in time, the connection is not reused.
	if s.x.SetReadTimeout(framingEndTimeout) != nil {
		return nil
	}
	if _, err := s.events.Next(); errors.Is(err, io.EOF) {
		s.x.BodyComplete = true
	}
	return nil
}

// sendHeader sends the answer's header with the first event; until then the request can be retried at another upstream.
func (s *stream) sendHeader() {
	if s.headerSent {
		return
	}
	s.headerSent = true
	resp := s.x.Response
	resp.ContentLength = -1
	s.c.writeHeader(resp)
	if s.x.RequestWritten() {
		s.c.release()
	}
}

func (s *stream) finish() *pomelolink.Failure {
	s.sendHeader()
	s.c.writeTrailer(s.x.Response)
	s.c.recordOutcome(s.x.Response, nil, false)
	return nil
}

func (s *stream) failure(err error) *pomelolink.Failure {
	if errors.Is(err, errNoUsage) || errors.Is(err, pomelolink.ErrEventTooLarge) || errors.Is(err, pomelolink.ErrAnswersTooLarge) {
		s.x.CloseConnection()
		return pomelolink.NewFailure(pomelolink.OutcomeTruncated, pomelorelay.CodeAnswerMalformed, err)
	}
	if errors.Is(err, errStreamIncomplete) {
		s.x.CloseConnection()
		f := pomelolink.NewFailure(pomelolink.OutcomeTruncated, pomelorelay.CodeAnswerCutShort, err)
		f.ConnectionBroken = true
		return f
	}
	return s.x.Fail(err)
}

func (s *stream) mayResume(f *pomelolink.Failure) bool {
	return f.ConnectionBroken && s.engine && s.up.Resumes && s.resumes < maxResumes && s.ctx.Err() == nil && (s.hasID || !s.headerSent)
}

// resume continues the stream at the same engine after the last forwarded event, and reports whether that succeeded. The engine's answer is
// checked like any other; resume fails if the engine has discarded the stream.
func (s *stream) resume() bool {
	s.resumes++
	head := http.Header{headerRequestID: {s.c.wireID}, "User-Agent": {""}}
	host := s.up.Address.String()
	if s.hasID {
		head.Set(headerLastEvent, strconv.FormatUint(s.lastID, 10))
	}
	req := &http.Request{
		Method: http.MethodPost,
		URL:    &url.URL{Scheme: "http", Host: host, Path: resumePath + s.c.wireID},
		Host:   host,
		Header: head,
		Body:   http.NoBody,
	}
	x, f := s.c.h.client.Open(s.ctx, pomelolink.UpstreamRequest{Addr: s.up.Address, Request: req, NewConnection: true, Carriers: &s.c.carriers})
	if f != nil {
		return false
	}
	if x.Response.StatusCode != http.StatusOK || !pomelolink.IsEventStream(x.Response) || !x.IDEchoed {
		x.Close()
		return false
	}
	s.x.Close()
	s.x = x
	s.events.Reset(x)
	s.c.h.cfg.Logger.Log(pomelorelay.EventStreamResumed, pomelorelay.Field{Key: "Request", Value: s.c.wireID}, pomelorelay.Field{Key: "Upstream", Value: s.up.Name})
	return true
}

// abort ends a started stream with an error event, unless the caller has disconnected, and returns the failure.
func (s *stream) abort(f *pomelolink.Failure) *pomelolink.Failure {
	if !s.headerSent {
		return f
	}
	if s.ctx.Err() == nil || f.Err.Code == pomelorelay.CodeUpstreamTimeout {
		s.c.write(errorEvent(streamError(f.Err)))
		s.c.flush()
		s.c.errorEventSent = true
	}
	return f
}

func streamError(e *pomelorelay.Error) *pomelorelay.Error {
	if e.Code == pomelorelay.CodeUpstreamTimeout {
		return e
	}
	return pomelorelay.NewError(pomelorelay.CodeStreamBroken, "", e)
}
