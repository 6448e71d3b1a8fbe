package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	fieldAttempt     = "X-Pomelorelay-Attempt-Id"
	fieldDeadline    = "X-Pomelorelay-Deadline-Ms"
	fieldSignature   = "X-Pomelorelay-Server-Signature"
	fieldExpect      = "X-Pomelorelay-Expect-Instance"
	fieldNotExecuted = "X-Pomelorelay-Not-Executed"
	fieldLoad        = "X-Pomelorelay-Instance-Load"

	heartbeat = 1200 * time.Millisecond
)

// server is a stand-in of a plain server: it runs slots requests at once, queues a few more and refuses the others unrun.
type server struct {
	id, service, zone string
	addr              string
	slots             chan struct{}
	queue             int64
	waiting           atomic.Int64
	// work returns how long a request takes.
	work func(r *http.Request) time.Duration
	// repeatsAnswer reports whether an answer is followed by a second copy of it, which arrives after late.
	repeatsAnswer func() bool
	late          time.Duration
	rec           *record
	http          *http.Server
	stop          chan struct{}
}

type connKey struct{}

// start serves the listener and keeps the server's entry in the store fresh.
func (s *server) start(l net.Listener, st *store) {
	s.addr, s.stop = l.Addr().String(), make(chan struct{})
	s.http = &http.Server{Handler: s, ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }}
	go func() { _ = s.http.Serve(l) }()
	born := time.Now().UnixMilli()
	go func() {
		for n := 1; ; n++ {
			st.put("servers/"+s.id, map[string]any{
				"service": s.service, "address": s.addr, "zone": s.zone, "version": "v1", "slots": cap(s.slots), "state": "ready",
				"cold_remaining_ms": 0, "sequence": n, "born": born,
			})
			select {
			case <-time.After(heartbeat):
			case <-s.stop:
				return
			}
		}
	}()
}

func (s *server) close() {
	close(s.stop)
	s.http.Close()
}

// ServeHTTP runs a request that expects this server.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(fieldAttempt)
	w.Header().Set(fieldAttempt, id)
	if r.Header.Get(fieldExpect) != s.id {
		s.refuse(w, r, id, http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if !s.acquire(r) {
		s.refuse(w, r, id, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slots }()
	end := s.rec.beginRun(s.id, id)
	timer := time.NewTimer(s.work(r))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		end(false)
		return
	}
	end(true)
	w.Header().Set(fieldSignature, s.id+"."+id)
	s.announce(w)
	fmt.Fprintf(w, "%s done", id)
}

func (s *server) announce(w http.ResponseWriter) {
	w.Header().Set(fieldLoad, fmt.Sprintf("%d,%d,%d", len(s.slots), s.waiting.Load(), cap(s.slots)))
}

// acquire waits for a slot; it fails if the queue is full, or the request's deadline passes in it.
func (s *server) acquire(r *http.Request) bool {
	select {
	case s.slots <- struct{}{}:
		return true
	default:
	}
	if s.waiting.Add(1) > s.queue {
		s.waiting.Add(-1)
		return false
	}
	defer s.waiting.Add(-1)
	ms, _ := strconv.ParseInt(r.Header.Get(fieldDeadline), 10, 64)
	timer := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer timer.Stop()
	select {
	case s.slots <- struct{}{}:
		return true
	case <-timer.C:
	case <-r.Context().Done():
	}
	return false
}

// refuse answers that the request was not run. If the server repeats the answer, its second copy follows on the same connection.
func (s *server) refuse(w http.ResponseWriter, r *http.Request, id string, status int) {
	w.Header().Set(fieldNotExecuted, "1")
	s.announce(w)
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
	s.rec.detail(id, "server %s refuses %s unrun with %d", s.id, id, status)
	conn, ok := r.Context().Value(connKey{}).(net.Conn)
	if !ok || s.repeatsAnswer == nil || !s.repeatsAnswer() {
		return
	}
	copied := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status), fieldAttempt, id, fieldNotExecuted)
	time.AfterFunc(s.late, func() {
		if _, err := io.WriteString(conn, copied); err == nil {
			s.rec.detail(id, "server %s sends its refusal of %s a second time", s.id, id)
		}
	})
}

// The work of the servers of most cases.
const (
	reportWork = time.Second
	shortWork  = 60 * time.Millisecond
)

// workOf returns the time that a request takes by its path.
func workOf(r *http.Request) time.Duration {
	if strings.HasPrefix(r.URL.Path, "/report/") {
		return reportWork
	}
	return shortWork
}
