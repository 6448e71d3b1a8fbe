package pomelostore_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelostore"
)

// cuttingServer answers the first request of a connection and closes it within the second, once it has read that one whole.
func cuttingServer(t *testing.T, writes *atomic.Int64) netip.AddrPort {
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
			go cutSecond(conn, writes)
		}
	}()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

func cutSecond(conn net.Conn, writes *atomic.Int64) {
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

// The store closes a reused connection after it read a write and before it answers. net/http may take the connection for one
// that was closed while idle and send the write again by itself; the second write then meets its own first one, and a user sees
// a conflict with nobody.
func TestWriteOnAReusedConnectionIsSentOnce(t *testing.T) {
	ctx := context.Background()
	var writes atomic.Int64
	client := newClient(t, pomelostore.Config{Addresses: []netip.AddrPort{cuttingServer(t, &writes)}})
	if _, err := client.CompareAndSwap(ctx, "k", []byte("a"), 0, 0); err != nil {
		t.Fatal(err)
	}
	_, err := client.CompareAndSwap(ctx, "k", []byte("b"), 1, 0)
	if got := writes.Load(); got != 2 {
		t.Errorf("the store read %d writes for 2 calls", got)
	}
	wantCode(t, err, pomelorelay.CodeStoreUnknown)
}

// Something before the store takes a write, hands it on and then answers with a redirect. net/http follows a 307 with the same
// body; the store then counts two writes for one call.
func TestWriteIsNotSentAgainAfterARedirect(t *testing.T) {
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
		t.Errorf("the store read %d writes for one call", got)
	}
	wantCode(t, err, pomelorelay.CodeStoreUnavailable)
}

// Nothing listens at the store's address. The write surely never left, and saying unknown would make an operator search.
func TestWriteThatNeverLeftIsUnavailable(t *testing.T) {
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

// lossyStore loses the answer of a write, after it took effect or before, or after another writer's came in between.
type lossyStore struct {
	pomelorelay.Store
	record pomelorelay.Record
}

func (s *lossyStore) Get(context.Context, pomelorelay.StoreKey) (pomelorelay.Record, error) {
	return s.record, nil
}

// A write's answer was lost. Its writer must find out by its nonce whether the write is there, without a second one.
func TestLostWritesAreSettled(t *testing.T) {
	mine := func(value []byte) bool { return string(value) == "nonce" }
	for _, c := range []struct {
		record pomelorelay.Record
		want   pomelostore.Settlement
	}{
		{pomelorelay.Record{Value: []byte("nonce"), Revision: 4}, pomelostore.WriteApplied},
		{pomelorelay.Record{Value: []byte("before"), Revision: 3}, pomelostore.WritePending},
		{pomelorelay.Record{Value: []byte("other"), Revision: 4}, pomelostore.SettledOther},
	} {
		got, _, err := pomelostore.ResolveWrite(context.Background(), &lossyStore{record: c.record}, "k", 3, mine)
		if err != nil || got != c.want {
			t.Errorf("%q: got %d %v, want %d", c.record.Value, got, err, c.want)
		}
	}
}
