package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	fieldID        = "X-Pomelorelay-Attempt-Id"
	fieldSignature = "X-Pomelorelay-Server-Signature"
	fieldInstance  = "X-Pomelorelay-Expect-Instance"
	fieldDeadline  = "X-Pomelorelay-Deadline-Ms"
)

// run is a request that a server ran.
type run struct {
	server string
	at     time.Time
	status int
}

// runs collects the runs of all servers by request.
type runs struct {
	mu   sync.Mutex
	byID map[string][]run
}

func (r *runs) add(id string, x run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[id] = append(r.byID[id], x)
}

func (r *runs) of(id string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.byID[id]...)
}

// serverConn is a connection to a server.
type serverConn struct {
	net.Conn
	mu sync.Mutex
}

// send writes bytes in one piece.
func (c *serverConn) send(text string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, err := io.WriteString(c.Conn, text)
	return err
}

// server is a stand-in of a server.
type server struct {
	id, service, zone string
	born              int64
	slots             chan struct{}
	listener          net.Listener
	runs              *runs
	record            *record
	// work answers a request that runs, and reports whether the connection stays open.
	work func(s *server, c *serverConn, r *http.Request, body []byte) bool
}

func newServer(id, service, zone string, slots int, rs *runs, rec *record, work func(*server, *serverConn, *http.Request, []byte) bool) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{id: id, service: service, zone: zone, born: time.Now().UnixMilli(), slots: make(chan struct{}, slots), listener: l, runs: rs, record: rec, work: work}
	go s.accept()
	return s, nil
}

func (s *server) addr() string { return s.listener.Addr().String() }

// register writes the server's entry, and renews it until the program ends.
func (s *server) register(st *store) {
	entry := entryDoc{Service: s.service, Address: s.addr(), Zone: s.zone, Version: "v1", Slots: cap(s.slots), State: "ready", Born: s.born, Sequence: 1}
	st.put("servers/"+s.id, entry)
	go func() {
		for {
			time.Sleep(1200 * time.Millisecond)
			entry.Sequence++
			st.put("servers/"+s.id, entry)
		}
	}()
}

func (s *server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(&serverConn{Conn: conn})
	}
}

func (s *server) serve(c *serverConn) {
	defer c.Close()
	reader := bufio.NewReader(c.Conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !s.handle(c, r, body) {
			return
		}
	}
}

// handle answers a request and reports whether the connection stays open.
func (s *server) handle(c *serverConn, r *http.Request, body []byte) bool {
	id := r.Header.Get(fieldID)
	switch {
	case r.URL.Path == "/v1/report":
		report, _ := json.Marshal(map[string]any{"phase": "mixed", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}, "busy": false, "sequence": 1, "queued": 0, "active": 0, "kv_used": 0, "kv_total": 753115, "handles": 0, "born": s.born})
		return c.send(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(report), report)) == nil
	case r.URL.Path == "/healthz":
		return c.send("HTTP/1.1 200 OK\r\nX-Pomelorelay-Instance-Id: "+s.id+"\r\nContent-Length: 0\r\n\r\n") == nil
	case id == "":
		return c.send("HTTP/1.1 400 Bad Request\r\nX-Pomelorelay-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n") == nil
	case r.Header.Get(fieldInstance) != "" && r.Header.Get(fieldInstance) != s.id:
		return c.send("HTTP/1.1 421 Misdirected Request\r\n"+fieldID+": "+id+"\r\nX-Pomelorelay-Instance-Id: "+s.id+"\r\nContent-Length: 0\r\n\r\n") == nil
	}
	select {
	case s.slots <- struct{}{}:
	default:
		s.record.add("server %s is full and refuses %s", s.id, id)
		return c.send(refusal(id)) == nil
	}
	defer func() { <-s.slots }()
	return s.work(s, c, r, body)
}

// refusal is the answer of a full server.
func refusal(id string) string {
	return "HTTP/1.1 503 Service Unavailable\r\n" + fieldID + ": " + id + "\r\nX-Pomelorelay-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
}

// signature names the server that made an answer, and its status.
func (s *server) signature(id string, status int) string {
	return fmt.Sprintf("%s.%s.%d", s.id, id, status)
}

// head is the head of a complete answer.
func (s *server) head(id string, status int, fields ...string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%s: %s\r\n%s\r\n\r\n", status, http.StatusText(status), fieldID, id, fieldSignature, s.signature(id, status), strings.Join(fields, "\r\n"))
}
