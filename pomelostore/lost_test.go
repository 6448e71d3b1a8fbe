package pomelostore_test

import (
	"bufio"
	"context"
	"expvar"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelostore"
)

// closingServer answers the first request of a connection and closes the connection after it has read the second request completely.
func closingServer(t *testing.T, writes *atomic.Int64) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go closeOnSecondRequest(conn, writes)
		}
	}()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

func closeOnSecondRequest(conn net.Conn, writes *atomic.Int64) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for answered := false; ; answered = true {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		writes.Add(1)
		if answered {
			return
		}
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{\"Revision\":1}")
	}
}

// The store closes a reused connection after it has read a write and before it answers. Guards against net/http treating the connection as
// closed while idle and resending the write, which would then conflict with its own first copy.
func TestWriteOnReusedConnectionIsSentOnce(t *testing.T) {
	ctx := context.Background()
	var writes atomic.Int64
	client := newClient(t, pomelostore.Config{Addresses: []netip.AddrPort{closingServer(t, &writes)}})
	if _, err := client.CompareAndSwap(ctx, "k", []byte("a"), 0, 0); err != nil {
		t.Fatal(err)
	}
	_, err := client.CompareAndSwap(ctx, "k", []byte("b"), 1, 0)
	if got := writes.Load(); got != 2 {
		t.Errorf("store received %d writes for 2 calls", got)
	}
	wantCode(t, err, pomelorelay.CodeStoreUnknown)
}

// A proxy in front of the store forwards a write and answers with a redirect. Guards against net/http following the 307 with the same
// body, so that the store receives two writes for one call.
func TestWriteIsNotResentAfterRedirect(t *testing.T) {
	var writes atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if writes.Add(1) == 1 {
			http.Redirect(w, r, r.URL.Path, http.StatusTemporaryRedirect)
			return
		}
		io.WriteString(w, `{"Revision":1}`)
	}))
	defer server.Close()
	client := newClient(t, pomelostore.Config{Addresses: []netip.AddrPort{addressOf(t, server)}})
	_, err := client.CompareAndSwap(context.Background(), "k", []byte("v"), 0, 0)
	if got := writes.Load(); got != 1 {
		t.Errorf("store received %d writes for one call", got)
	}
	wantCode(t, err, pomelorelay.CodeStoreUnavailable)
}

// Nothing listens at the store's address. Guards against an unsent write that is reported as unknown, which would make an operator look
// for its effect.
func TestUnsentWriteIsUnavailable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	listener.Close()
	client := newClient(t, pomelostore.Config{Addresses: []netip.AddrPort{address}})
	_, err = client.CompareAndSwap(context.Background(), "k", []byte("v"), 0, 0)
	wantCode(t, err, pomelorelay.CodeStoreUnavailable)
}

// readBackStore returns a fixed record, as found after a write whose response was lost.
type readBackStore struct {
	pomelorelay.Store
	record pomelorelay.Record
}

func (s *readBackStore) Get(context.Context, pomelorelay.StoreKey) (pomelorelay.Record, error) {
	return s.record, nil
}

// Guards against a writer that sends a second write after a lost response instead of finding its nonce in the record.
func TestLostWriteIsResolvedByReadBack(t *testing.T) {
	isOwn := func(value []byte) bool { return string(value) == "nonce" }
	for _, c := range []struct {
		record pomelorelay.Record
		want   pomelostore.WriteOutcome
	}{
		{pomelorelay.Record{Value: []byte("nonce"), Revision: 4}, pomelostore.WriteApplied},
		{pomelorelay.Record{Value: []byte("before"), Revision: 3}, pomelostore.WritePending},
		{pomelorelay.Record{Value: []byte("other"), Revision: 4}, pomelostore.WriteSuperseded},
	} {
		got, _, err := pomelostore.ResolveWrite(context.Background(), &readBackStore{record: c.record}, "k", 3, isOwn)
		if err != nil || got != c.want {
			t.Errorf("%q: got %d %v, want %d", c.record.Value, got, err, c.want)
		}
	}
}

// Guards against a connection to the store that has gone silent and fails one call after the other.
func TestSilentStoreConnectionIsReplaced(t *testing.T) {
	var connections atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if connections.Load() == 1 && r.URL.Query().Get("again") != "" {
			<-r.Context().Done()
			return
		}
		io.WriteString(w, "{}")
	}))
	server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	client := newClient(t, pomelostore.Config{Addresses: []netip.AddrPort{server.Listener.Addr().(*net.TCPAddr).AddrPort()}})
	call := func(query url.Values) error {
		_, err := client.Do(context.Background(), pomelostore.Call{Method: http.MethodGet, Path: "/", Query: query, Timeout: 200 * time.Millisecond, Counter: new(expvar.Int)})
		return err
	}
	again := url.Values{"again": {"1"}}
	if err := call(nil); err != nil {
		t.Fatal(err)
	}
	wantCode(t, call(again), pomelorelay.CodeStoreUnavailable)
	if err := call(again); err != nil {
		t.Errorf("the call after the silent one fails: %v", err)
	}
}
