package pomeloroute

import (
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloconfig"
)

const (
	// maxEvent bounds one event of a stream.
	maxEvent = 1 << 20
	// maxResumes bounds the resumes in a row that bring no new event.
	maxResumes = 3
	resumePath = "/v1/streams/"
	// endWait is how long the end of the framing may come after [DONE].
	endWait = 100 * time.Millisecond
)

var (
	errEventTooLarge = errors.New("an event of the stream is over the bound")
	errNoUsage       = errors.New("the stream ended without its usage")
	errNoDone        = errors.New("the stream ended without [DONE]")
)

// stream passes server-sent events on, each once and only whole ones.
type stream struct {
	c       *call
	x       *exchange
	m       *meter
	up      *pomeloconfig.Upstream
	events  eventReader
	engine  bool
	started bool
	lastID  uint64
	hasID   bool
	resumes int
}

func newStream(c *call, x *exchange, m *meter, up *pomeloconfig.Upstream) *stream {
	s := &stream{c: c, x: x, m: m, up: up, engine: c.service.Kind == pomeloconfig.ServiceModel}
	s.events.reset(c.h.buffers.chunk(), x)
	return s
}

func (s *stream) release() { s.c.h.buffers.putChunk(s.events.buf) }

// pass passes events until the stream is whole or cannot be finished.
func (s *stream) pass() *failure {
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
		event, err := s.events.next()
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
		if s.engine && event.isDone() {
			return s.takeDone(event)
		}
		s.take(event)
	}
}

func (s *stream) plainEnd() bool {
	if s.engine {
		return false
	}
	s.x.whole = s.x.resp.ContentLength >= 0 || len(s.x.resp.TransferEncoding) > 0
	return s.x.whole
}

// repeated reports whether the event was passed before; an engine may send some again after a resume.
func (s *stream) repeated(e event) bool {
	id, ok := e.id()
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

func (s *stream) take(e event) {
	s.begin()
	s.c.write(e.raw)
	if s.events.empty() {
		s.c.flush()
	}
	if !s.engine || len(e.data()) == 0 {
		return
	}
	if e.mayHoldUsage() && s.m.report(e.data()) {
		return
	}
	s.m.token()
}

func (s *stream) takeDone(e event) error {
	if s.m.used == nil {
		return errNoUsage
	}
	s.begin()
	s.c.write(e.raw)
	s.c.flush()
	// The rest is the end of the framing; an upstream that does not send it at once loses the connection.
	if s.x.conn.SetReadDeadline(time.Now().Add(endWait)) != nil {
		return nil
	}
	if _, err := s.events.next(); errors.Is(err, io.EOF) {
		s.x.whole = true
	}
	return nil
}

// begin passes the head on with the first event; until then another upstream may still be tried.
func (s *stream) begin() {
	if s.started {
		return
	}
	s.started = true
	resp := s.x.resp
	resp.ContentLength = -1
	s.c.writeHead(resp)
	if s.x.wrote == nil {
		s.c.release()
	}
}

func (s *stream) finish() *failure {
	s.begin()
	s.c.writeTrailer(s.x.resp)
	s.c.keep(s.x.resp, nil, false)
	return nil
}

func (s *stream) broken(err error) *failure {
	if errors.Is(err, errNoUsage) || errors.Is(err, errEventTooLarge) {
		s.x.conn.Close()
		return newFailure(OutcomeCutShort, pomelorelay.CodeAnswerMalformed, err)
	}
	if errors.Is(err, errNoDone) {
		s.x.conn.Close()
		f := newFailure(OutcomeCutShort, pomelorelay.CodeAnswerCutShort, err)
		f.cut = true
		return f
	}
	return s.x.broken(err)
}

func (s *stream) mayResume(f *failure) bool {
	return f.cut && s.engine && s.up.Resumes && s.resumes < maxResumes && s.x.ctx.Err() == nil && (s.hasID || !s.started)
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
	x, f := s.c.h.open(s.x.ctx, s.up.Address, req, 0, true)
	if f != nil {
		return false
	}
	if x.resp.StatusCode != http.StatusOK || !isEventStream(x.resp) || !x.echoed {
		x.close()
		return false
	}
	s.x.close()
	s.x = x
	s.events.reset(s.events.buf, x)
	s.c.h.cfg.Logger.Log(pomelorelay.EventStreamResumed, pomelorelay.Field{Key: "Request", Value: s.c.wire}, pomelorelay.Field{Key: "Upstream", Value: s.up.Name})
	return true
}

// giveUp ends a stream whose beginning the caller has with an error event; one that has not begun fails as a whole.
func (s *stream) giveUp(f *failure) *failure {
	if !s.started {
		return f
	}
	if s.x.ctx.Err() == nil || f.err.Code == pomelorelay.CodeUpstreamTimeout {
		s.c.write(errorEvent(streamError(f.err)))
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
