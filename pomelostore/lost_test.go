package pomelostore_test

import (
	"bufio"
	"context"
	"expvar"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
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

// Guards against connections to the store that have gone silent while idle and cost one timeout each, one after the other.
func TestSilentStoreConnectionsCostOneTimeout(t *testing.T) {
	for _, idle := range []int{1, 4} {
		t.Run(fmt.Sprint(idle, " idle connections"), func(t *testing.T) {
			server := newSilentServer(t)
			client := newClient(t, pomelostore.Config{Addresses: []netip.AddrPort{addressOf(t, server.Server)}})
			call := func() error {
				_, err := client.Do(context.Background(), pomelostore.Call{Method: http.MethodGet, Path: "/", Timeout: 300 * time.Millisecond, Counter: new(expvar.Int)})
				return err
			}
			var calls sync.WaitGroup
			server.together.Add(idle)
			for range idle {
				calls.Go(func() {
					if err := call(); err != nil {
						t.Error(err)
					}
				})
			}
			calls.Wait()
			server.silence()
			wantCode(t, call(), pomelorelay.CodeStoreUnavailable)
			if err := call(); err != nil {
				t.Errorf("the call after the one that timed out fails: %v", err)
			}
		})
	}
}

// silentServer is a server whose open connections can go silent, while new ones are served.
type silentServer struct {
	*httptest.Server
	// together holds the first calls back until all of them have arrived, each on its own connection.
	together sync.WaitGroup
	mu       sync.Mutex
	open     map[string]bool
	silent   map[string]bool
}

func newSilentServer(t *testing.T) *silentServer {
	s := &silentServer{open: make(map[string]bool), silent: make(map[string]bool)}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isSilent(r.RemoteAddr) {
			<-r.Context().Done()
			return
		}
		io.WriteString(w, "{}")
	}))
	t.Cleanup(s.Close)
	return s
}

// isSilent reports whether a connection has gone silent, and otherwise records that it is open.
func (s *silentServer) isSilent(addr string) bool {
	s.mu.Lock()
	known, silent := s.open[addr], s.silent[addr]
	s.open[addr] = true
	anySilent := len(s.silent) > 0
	s.mu.Unlock()
	if !known && !anySilent {
		s.together.Done()
		s.together.Wait()
	}
	return silent
}

// silence makes all open connections silent.
func (s *silentServer) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.Copy(s.silent, s.open)
}
