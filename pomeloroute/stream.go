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
	// maxResumes bounds the resumes in a row that bring no new event.
	maxResumes = 3
	resumePath = "/v1/streams/"
	// endWait is how long the end of the framing may come after [DONE].
	endWait = 100 * time.Millisecond
)

var (
	errNoUsage = errors.New("the stream ended without its usage")
	errNoDone  = errors.New("the stream ended without [DONE]")
)

// stream passes server-sent events on, each once and only whole ones.
type stream struct {
	c       *call
	x       *pomelolink.Exchange
	ctx     context.Context
	m       *meter
	up      *pomeloconfig.Upstream
	events  pomelolink.EventReader
	engine  bool
	started bool
	lastID  uint64
	hasID   bool
	resumes int
}

func newStream(ctx context.Context, c *call, x *pomelolink.Exchange, m *meter, up *pomeloconfig.Upstream) *stream {
	s := &stream{ctx: ctx, c: c, x: x, m: m, up: up, engine: c.service.Kind == pomeloconfig.ServiceModel}
	s.events.Reset(c.h.buffers.Chunk(), x)
	return s
}

func (s *stream) release() { s.c.h.buffers.PutChunk(s.events.Buffer()) }

// pass passes events until the stream is whole or cannot be finished.
func (s *stream) pass() *pomelolink.Failure {
	for {
		err := s.passEvents()
		if err == nil {
			return s.finish()
		}
		f := s.broken(err)
		if s.mayResume(f) && s.resume() {
			continue
		}
		return s.giveUp(f)
	}
}

// passEvents returns nil at the end of a whole stream. A model engine's stream is whole when [DONE] came after its
// usage; another's when its body ended as its framing says.
func (s *stream) passEvents() error {
	for {
		event, err := s.events.Next()
		if errors.Is(err, io.EOF) && s.plainEnd() {
			return nil
		}
		if errors.Is(err, io.EOF) {
			return errNoDone
		}
		if err != nil {
			return err
		}
		if s.repeated(event) {
			continue
		}
		if s.engine && event.IsDone() {
			return s.takeDone(event)
		}
		s.take(event)
	}
}

func (s *stream) plainEnd() bool {
	if s.engine {
		return false
	}
	s.x.Complete = s.x.Response.ContentLength >= 0 || len(s.x.Response.TransferEncoding) > 0
	return s.x.Complete
}

// repeated reports whether the pomelolink.Event was passed before; an engine may send some again after a resume.
func (s *stream) repeated(e pomelolink.Event) bool {
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

func (s *stream) take(e pomelolink.Event) {
	s.begin()
	s.c.write(e.Raw)
	if s.events.Empty() {
		s.c.flush()
	}
	if !s.engine || len(e.Data()) == 0 {
		return
	}
	if e.MayHoldUsage() && s.m.report(e.Data()) {
		return
	}
	s.m.token()
}

func (s *stream) takeDone(e pomelolink.Event) error {
	if s.m.used == nil {
		return errNoUsage
	}
	s.begin()
	s.c.write(e.Raw)
	s.c.flush()
	// The rest is the end of the framing; an upstream that does not send it at once loses the connection.
	if s.x.BoundRead(endWait) != nil {
		return nil
	}
	if _, err := s.events.Next(); errors.Is(err, io.EOF) {
		s.x.Complete = true
	}
	return nil
}

// begin passes the head on with the first event; until then another upstream may still be tried.
func (s *stream) begin() {
	if s.started {
		return
	}
	s.started = true
	resp := s.x.Response
	resp.ContentLength = -1
	s.c.writeHead(resp)
	if s.x.RequestWritten() {
		s.c.release()
	}
}

func (s *stream) finish() *pomelolink.Failure {
	s.begin()
	s.c.writeTrailer(s.x.Response)
	s.c.keep(s.x.Response, nil, false)
	return nil
}

func (s *stream) broken(err error) *pomelolink.Failure {
	if errors.Is(err, errNoUsage) || errors.Is(err, pomelolink.ErrEventTooLarge) {
		s.x.Interrupt()
		return pomelolink.NewFailure(pomelolink.OutcomeTruncated, pomelorelay.CodeAnswerMalformed, err)
	}
	if errors.Is(err, errNoDone) {
		s.x.Interrupt()
		f := pomelolink.NewFailure(pomelolink.OutcomeTruncated, pomelorelay.CodeAnswerCutShort, err)
		f.Cut = true
		return f
	}
	return s.x.Fail(err)
}

func (s *stream) mayResume(f *pomelolink.Failure) bool {
	return f.Cut && s.engine && s.up.Resumes && s.resumes < maxResumes && s.ctx.Err() == nil && (s.hasID || !s.started)
}

// resume takes the stream up again at the same engine, after the last event that was passed. What the engine says is
// checked as any answer is; when it no longer has the stream, the stream ends with an error.
func (s *stream) resume() bool {
	s.resumes++
	head := http.Header{headerRequestID: {s.c.wire}, "User-Agent": {""}}
	host := s.up.Address.String()
	if s.hasID {
		head.Set(headerLastEvent, strconv.FormatUint(s.lastID, 10))
	}
	req := &http.Request{
		Method: http.MethodPost,
		URL:    &url.URL{Scheme: "http", Host: host, Path: resumePath + s.c.wire},
		Host:   host,
		Header: head,
		Body:   http.NoBody,
	}
	x, f := s.c.h.links.Open(s.ctx, pomelolink.UpstreamRequest{Addr: s.up.Address, Request: req, Fresh: true})
	if f != nil {
		return false
	}
	if x.Response.StatusCode != http.StatusOK || !pomelolink.IsEventStream(x.Response) || !x.Echoed {
		x.Close()
		return false
	}
	s.x.Close()
	s.x = x
	s.events.Reset(s.events.Buffer(), x)
	s.c.h.cfg.Logger.Log(pomelorelay.EventStreamResumed, pomelorelay.Field{Key: "Request", Value: s.c.wire}, pomelorelay.Field{Key: "Upstream", Value: s.up.Name})
	return true
}

// giveUp ends a stream whose beginning the caller has with an error event; one that has not begun fails as a whole.
func (s *stream) giveUp(f *pomelolink.Failure) *pomelolink.Failure {
	if !s.started {
		return f
	}
	if s.ctx.Err() == nil || f.Err.Code == pomelorelay.CodeUpstreamTimeout {
		s.c.write(errorEvent(streamError(f.Err)))
		s.c.flush()
		s.c.told = true
	}
	return f
}

func streamError(e *pomelorelay.Error) *pomelorelay.Error {
	if e.Code == pomelorelay.CodeUpstreamTimeout {
		return e
	}
	return pomelorelay.NewError(pomelorelay.CodeStreamBroken, "", e)
}
