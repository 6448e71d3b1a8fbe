package pomelolistener_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelolistener"

	"golang.org/x/sys/unix"
)

const (
	testTimeout = 10 * time.Second
	headerBytes = 16 << 10
	// largeAnswer is the size of the answers to requests for /large.
	largeAnswer = 28 << 10
)

type connKey struct{}

// server is an HTTP server behind a port. A request for /wait is answered once release is closed, one for /refuse before its body is read.
type server struct {
	t       *testing.T
	pool    *pomelolistener.Pool
	port    *pomelolistener.Port
	addr    string
	running chan struct{}
	release chan struct{}
}

func newServer(t *testing.T, cfg pomelolistener.Config, maxConns int64) *server {
	t.Helper()
	lc := net.ListenConfig{Control: pomelolistener.SetBuffers}
	l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{t: t, pool: pomelolistener.New(cfg), addr: l.Addr().String(), running: make(chan struct{}, 1), release: make(chan struct{})}
	s.port = s.pool.NewPort(pomelolistener.PortConfig{
		MaxConns:      maxConns,
		HeaderBytes:   func() pomelorelay.Bytes { return headerBytes },
		LagMemory:     256 << 10,
		HeaderTimeout: func() time.Duration { return testTimeout },
		IdleTimeout:   func() time.Duration { return testTimeout },
		HeadTooLarge:  []byte("HTTP/1.1 431 Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"),
		NoMemory:      []byte("HTTP/1.1 503 Full\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"),
	})
	h := &http.Server{Handler: s, ReadHeaderTimeout: pomelolistener.HeaderMark, IdleTimeout: pomelolistener.IdleMark, ConnState: s.port.ConnState}
	h.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, pomelolistener.Of(c))
	}
	go func() {
		// Serve returns when the server is closed.
		_ = h.Serve(s.port.Listener(l))
	}()
	t.Cleanup(func() {
		s.pool.Close()
		h.Close()
	})
	return s
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn := r.Context().Value(connKey{}).(*pomelolistener.Conn)
	defer conn.Finish()
	switch {
	case r.URL.Path == "/refuse":
		w.WriteHeader(http.StatusUnauthorized)
		return
	case !conn.Begin():
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case r.URL.Path == "/large":
		w.Header().Set("Content-Length", fmt.Sprint(largeAnswer))
		// The client may leave the answer unread.
		_, _ = w.Write(make([]byte, largeAnswer))
		return
	case r.URL.Path == "/wait":
		s.running <- struct{}{}
		<-s.release
	}
	if r.ContentLength > 64<<10 {
		if !conn.ChargeBody(r.ContentLength) {
			w.WriteHeader(http.StatusInsufficientStorage)
			return
		}
		defer conn.ChargeBody(-r.ContentLength)
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
	}
}

// client is a connection to a server.
type client struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
}

func (s *server) dial() *client {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.addr)
	for n := 0; errors.Is(err, syscall.ECONNRESET) && n < 10; n++ {
		// A full server resets connections that it does not accept.
		time.Sleep(time.Millisecond)
		conn, err = net.Dial("tcp", s.addr)
	}
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		s.t.Fatal(err)
	}
	return &client{s.t, conn, bufio.NewReader(conn)}
}

// send sends text; the server may close the connection meanwhile.
func (c *client) send(text string) { _, _ = io.WriteString(c, text) }

func (c *client) get(path string) { c.send("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n") }

// status returns the status of the next answer, 0 if the connection ends without one.
func (c *client) status() int {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

func (s *server) await(what string, done func() bool) {
	s.t.Helper()
	for end := time.Now().Add(testTimeout); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("timed out waiting for: %s; %d connections, %+v", what, s.port.Conns(), s.pool.Stats())
		}
	}
}

func post(path, framing string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: h\r\n" + framing + "\r\n\r\n"
}

// Guards against connections that wait for their clients and keep others out.
func TestUnfinishedRequestsAndIdleConnectionsGiveWay(t *testing.T) {
	for _, c := range []struct {
		name string
		hold func(c *client)
	}{
		{"nothing sent", func(*client) {}},
		{"head without end", func(c *client) { c.send("GET / HTTP/1.1\r\nHost:") }},
		{"body without end", func(c *client) { c.send(post("/", "Content-Length: 10") + "x") }},
		{"chunked body without end", func(c *client) { c.send(post("/", "Transfer-Encoding: chunked") + "1\r\nx\r\n") }},
		{"idle", func(c *client) {
			c.get("/")
			if got := c.status(); got != 200 {
				t.Errorf("answered %d, want 200", got)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newServer(t, pomelolistener.Config{}, 2)
			first, second := s.dial(), s.dial()
			for _, held := range []*client{first, second} {
				c.hold(held)
				time.Sleep(20 * time.Millisecond)
			}
			s.await("the third connection to be served", func() bool {
				third := s.dial()
				third.get("/")
				return third.status() == 200
			})
			if got := first.status(); got != 0 {
				t.Errorf("the first connection: answered %d, want it closed", got)
			}
		})
	}
}

// Guards against bodies that give way to each other while they come, so that none is read to its end.
func TestBodyInProgressDoesNotGiveWay(t *testing.T) {
	const size, steps = 200 << 10, 50
	s := newServer(t, pomelolistener.Config{Memory: 4 << 20, BodyMemory: 300 << 10}, 0)
	head := post("/", fmt.Sprintf("Content-Length: %d", size))
	// On a busy machine, the body may stall for so long that it gives way.
	for range 5 {
		first := s.dial()
		first.send(head)
		for range steps - 1 {
			first.send(strings.Repeat("x", size/steps))
			time.Sleep(20 * time.Millisecond)
			second := s.dial()
			second.send(head)
			if got := second.status(); got == 200 {
				t.Fatal("a second body is read beside the first, for which there is no memory")
			}
			second.Close()
		}
		first.send(strings.Repeat("x", size/steps))
		if first.status() == 200 {
			return
		}
	}
	t.Error("no body came to its end beside others that were refused")
}

// Guards against a request that is given up for another after it has been read.
func TestRunningRequestDoesNotGiveWay(t *testing.T) {
	s := newServer(t, pomelolistener.Config{Memory: pomelolistener.ConnMemory + pomelolistener.RequestMemory + 4096}, 0)
	running := s.dial()
	running.get("/wait")
	<-s.running
	other := s.dial()
	other.get("/")
	if got := other.status(); got != 0 {
		t.Errorf("a connection without memory: answered %d, want it closed", got)
	}
	close(s.release)
	if got := running.status(); got != 200 {
		t.Errorf("the running request: answered %d, want 200", got)
	}
}

// Guards against a connection that ends after its answer because memory is short while the answer is on its way.
func TestConnectionIsKeptAfterLargeAnswer(t *testing.T) {
	s := newServer(t, pomelolistener.Config{Memory: 2*pomelolistener.ConnMemory + pomelolistener.RequestMemory + 64<<10}, 0)
	s.dial().send("GET")
	c := s.dial()
	if err := c.Conn.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		c.get("/large")
		s.await("the answer to be on its way", func() bool { return s.port.InPhase(pomelolistener.PhaseServing) == 0 })
		if got := c.status(); got != 200 {
			t.Fatalf("answered %d, want 200", got)
		}
	}
}

// Guards against memory that stays charged, or is released twice, for whatever a client does.
func TestAccountReturnsToZero(t *testing.T) {
	s := newServer(t, pomelolistener.Config{Memory: 4 << 20, BodyMemory: 1 << 20}, 6)
	body := strings.Repeat("x", 200<<10)
	sized := fmt.Sprintf("Content-Length: %d", len(body))
	var clients []*client
	for n := range 200 {
		c := s.dial()
		switch n % 10 {
		case 0:
			c.get("/")
			c.get("/")
		case 1:
			c.send(post("/", sized) + body)
		case 2:
			c.send(post("/", sized) + body[1:])
		case 3:
			c.send(post("/refuse", sized) + body)
		case 4:
			c.send("GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 3000))
		case 5:
			c.send("GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 30_000))
		case 6:
			go c.send(strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 5000))
		case 7:
			c.send(post("/", "Transfer-Encoding: chunked") + strings.Repeat("1\r\nx\r\n", 1000))
		case 8:
			c.send("GET")
		}
		if n%2 == 0 {
			c.Close()
		}
		clients = append(clients, c)
	}
	if n := s.port.Conns(); n > 6 {
		t.Errorf("%d connections, over the limit of 6", n)
	}
	for _, c := range clients {
		c.Close()
	}
	s.await("all connections to close", func() bool { return s.port.Conns() == 0 })
	if got := s.pool.Stats().Memory; got != 0 {
		t.Errorf("%d bytes are charged without a connection", got)
	}
}

// Guards against a refusal that its client does not receive because it is still sending, and against waiting for a client that is not.
func TestRefusalReachesClient(t *testing.T) {
	const size = 512 << 10
	for _, c := range []struct {
		name, text string
		want       int
	}{
		{"body sent to its end", post("/refuse", fmt.Sprintf("Content-Length: %d", size)) + strings.Repeat("x", size), 401},
		{"body without its end", post("/refuse", fmt.Sprintf("Content-Length: %d", size)) + "x", 401},
		{"short body without its end", post("/refuse", "Content-Length: 10") + "x", 401},
		{"chunked body without its end", post("/refuse", "Transfer-Encoding: chunked") + "5\r\nab", 401},
		{"body over the memory", post("/", fmt.Sprintf("Content-Length: %d", 2<<20)) + strings.Repeat("x", size), 507},
		{"head over the limit", "GET / HTTP/1.1\r\n" + strings.Repeat("Field: value\r\n", 10_000), 431},
		{"head without memory", "GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 4000), 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newServer(t, pomelolistener.Config{Memory: 512 << 10, BodyMemory: 256 << 10}, 0)
			client := s.dial()
			go client.send(c.text)
			if got := client.status(); got != c.want {
				t.Errorf("answered %d, want %d", got, c.want)
			}
			if _, err := client.reader.ReadByte(); err == nil {
				t.Error("the connection is used on after its request was not read")
			}
			s.await("the connection to close", func() bool { return s.port.Conns() == 0 && s.pool.Stats().Memory == 0 })
		})
	}
}

// Guards against a connection that is kept from its next request by a refusal whose body came with it.
func TestConnectionIsKeptAfterRefusalOfCompleteRequest(t *testing.T) {
	s := newServer(t, pomelolistener.Config{}, 0)
	c := s.dial()
	for range 20 {
		c.send(post("/refuse", "Content-Length: 4") + "body")
		if got := c.status(); got != 401 {
			t.Fatalf("answered %d, want 401", got)
		}
		c.get("/")
		if got := c.status(); got != 200 {
			t.Fatalf("answered %d after a refusal, want 200", got)
		}
	}
}

// Guards against answers that wait for good for a client that reads nothing.
func TestUnreadAnswersEndTheConnection(t *testing.T) {
	s := newServer(t, pomelolistener.Config{}, 0)
	c := s.dial()
	go c.send(strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 200_000))
	s.await("the connection to close", func() bool { return s.port.Conns() == 0 && s.pool.Stats().UnreadAnswers == 1 })
	if got := s.pool.Stats().Memory; got != 0 {
		t.Errorf("%d bytes are charged without a connection", got)
	}
}

// Guards against a backlog of the system's size, for whose connections the kernel receives unaccounted.
func TestBacklogIsBounded(t *testing.T) {
	const size = 7
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if err := pomelolistener.SetBacklog(l, size); err != nil {
		t.Fatal(err)
	}
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var info *unix.TCPInfo
	var failed error
	if err := raw.Control(func(fd uintptr) { info, failed = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); err != nil {
		t.Fatal(err)
	}
	// For a listening socket, the kernel tells the backlog in this field.
	if failed != nil || info.Sacked != size {
		t.Errorf("%+v, %v, want a backlog of %d", info, failed, size)
	}
}
