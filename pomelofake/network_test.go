package pomelofake_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay/pomelofake"
)

// memoryNetwork is an in-memory network, so that tests run on virtual time.
type memoryNetwork struct {
	mu       sync.Mutex
	listener *pipeListener
}

type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

type pipeAddr struct{}

func (pipeAddr) Network() string { return "pipe" }
func (pipeAddr) String() string  { return "pipe" }

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return pipeAddr{} }

func (n *memoryNetwork) listen() (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listener = &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	return n.listener, nil
}

var errRefused = errors.New("connection refused")

func (n *memoryNetwork) dial() (net.Conn, error) {
	n.mu.Lock()
	l := n.listener
	n.mu.Unlock()
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, errRefused
	}
}

// serve hosts the handler on a memoryNetwork and returns a client for it; both are closed at the end of the test.
func serve(t *testing.T, handler http.Handler) (*http.Client, *pomelofake.Host) {
	t.Helper()
	n := &memoryNetwork{}
	host, err := pomelofake.NewHost(pomelofake.HostConfig{Listen: n.listen, Handler: handler})
	if err != nil {
		t.Fatal(err)
	}
	transport := &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) { return n.dial() }}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		_ = host.Close()
		// net/http closes a connection with an unread request body only after half a second.
		time.Sleep(time.Second)
	})
	return &http.Client{Transport: transport}, host
}

// call sends a request and returns status, body and headers; status 0 means that there was no complete answer.
func call(t *testing.T, client *http.Client, method, path, body string, headers ...string) (int, string, http.Header) {
	t.Helper()
	r, err := http.NewRequest(method, "http://stand.in"+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	resp, err := client.Do(r)
	if err != nil {
		return 0, err.Error(), nil
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, string(text), resp.Header
	}
	return resp.StatusCode, string(text), resp.Header
}
