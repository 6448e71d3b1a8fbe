package pomelostore_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelostore"
)

// mapStore serves the store's HTTP API from a map.
type mapStore struct {
	mu          sync.Mutex
	records     map[pomelorelay.StoreKey]pomelorelay.Record
	leaseClosed bool
}

func newMapStore(t *testing.T) *httptest.Server {
	s := &mapStore{records: make(map[pomelorelay.StoreKey]pomelorelay.Record)}
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return server
}

func (s *mapStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case strings.HasPrefix(r.URL.Path, "/v1/kv/"):
		s.serveRecord(w, r, pomelorelay.StoreKey(strings.TrimPrefix(r.URL.Path, "/v1/kv/")))
	case strings.HasPrefix(r.URL.Path, "/v1/watch/"):
		s.serveWatch(w, r, pomelorelay.StoreKey(strings.TrimPrefix(r.URL.Path, "/v1/watch/")))
	case r.URL.Path == "/v1/hosts":
		io.WriteString(w, `[{"Name":"u1","Kind":"Upstream","Addr":"10.0.0.1:80","Domain":"a","Region":"r","Leaving":true}]`)
	case r.URL.Path == "/v1/lease":
		io.WriteString(w, `{"Lease":7}`)
	case s.leaseClosed:
		w.WriteHeader(http.StatusGone)
	case r.Method == http.MethodDelete:
		s.leaseClosed = true
	}
}

func (s *mapStore) serveRecord(w http.ResponseWriter, r *http.Request, key pomelorelay.StoreKey) {
	record := s.records[key]
	if r.Method == http.MethodGet {
		writeRecord(w, record)
		return
	}
	if r.URL.Query().Get("old") != strconv.FormatUint(uint64(record.Revision), 10) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	value, _ := io.ReadAll(r.Body)
	record = pomelorelay.Record{Key: key, Value: value, Revision: record.Revision + 1}
	s.records[key] = record
	json.NewEncoder(w).Encode(map[string]pomelorelay.Revision{"Revision": record.Revision})
}

// serveWatch answers without waiting: an unchanged record gets 204 and a new revision, so that the client's next watch call returns.
func (s *mapStore) serveWatch(w http.ResponseWriter, r *http.Request, key pomelorelay.StoreKey) {
	record := s.records[key]
	if r.URL.Query().Get("after") == strconv.FormatUint(uint64(record.Revision), 10) {
		record.Revision++
		s.records[key] = record
		w.WriteHeader(http.StatusNoContent)
		return
	}
	writeRecord(w, record)
}

func writeRecord(w http.ResponseWriter, record pomelorelay.Record) {
	if record.Revision == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	json.NewEncoder(w).Encode(record)
}

func TestRecordReadWriteWatch(t *testing.T) {
	ctx := context.Background()
	client := newClient(t, pomelostore.Config{Addresses: []netip.AddrPort{addressOf(t, newMapStore(t))}})
	key := pomelorelay.StoreKey("config/part/a b%")
	if record, err := client.Get(ctx, key); err != nil || record.Revision != 0 {
		t.Fatalf("got %v %v, want no record", record, err)
	}
	if revision, err := client.CompareAndSwap(ctx, key, []byte("one"), 0, 0); err != nil || revision != 1 {
		t.Fatalf("first write: got revision %d, %v, want 1", revision, err)
	}
	_, err := client.CompareAndSwap(ctx, key, []byte("two"), 0, 0)
	wantCode(t, err, pomelorelay.CodeStoreConflict)
	if record, err := client.Get(ctx, key); err != nil || string(record.Value) != "one" || record.Key != key {
		t.Fatalf("read after the conflict: got %v %v", record, err)
	}
	if record, err := client.Watch(ctx, key, 1); err != nil || record.Revision != 2 {
		t.Fatalf("watch after revision 1: got %v %v", record, err)
	}
	if got := client.Stats().Writes.Value(); got != 2 {
		t.Fatalf("%d writes counted, want 2", got)
	}
	t.Log(client.Stats().Var())
}

func TestClosedLeaseIsNotRenewed(t *testing.T) {
	ctx := context.Background()
	client := newClient(t, pomelostore.Config{Addresses: []netip.AddrPort{addressOf(t, newMapStore(t))}})
	lease, err := client.OpenLease(ctx, time.Second)
	if err != nil || lease != 7 {
		t.Fatalf("got lease %d, %v, want 7", lease, err)
	}
	if err := client.RenewLease(ctx, lease); err != nil {
		t.Fatal(err)
	}
	if err := client.CloseLease(ctx, lease); err != nil {
		t.Fatal(err)
	}
	wantCode(t, client.RenewLease(ctx, lease), pomelorelay.CodeStoreLeaseLapsed)
}

func TestHostListIsDecoded(t *testing.T) {
	client := newClient(t, pomelostore.Config{Addresses: []netip.AddrPort{addressOf(t, newMapStore(t))}})
	hosts, err := client.Hosts(context.Background())
	if err != nil || len(hosts) != 1 || !hosts[0].Leaving || hosts[0].Addr != netip.MustParseAddrPort("10.0.0.1:80") {
		t.Fatalf("got hosts %v, %v", hosts, err)
	}
}

// Guards against mapping an HTTP status to a result code that is wrong about whether the write may have taken effect: a change that is in
// force would be reported as refused.
func TestWriteStatusesMapToResultCodes(t *testing.T) {
	for _, c := range []struct {
		status int
		body   string
		code   pomelorelay.ResultCode
	}{
		{http.StatusOK, `{"Revision":`, pomelorelay.CodeStoreUnknown},
		{http.StatusTemporaryRedirect, "", pomelorelay.CodeStoreUnavailable},
		{http.StatusConflict, "", pomelorelay.CodeStoreConflict},
		{http.StatusGone, "", pomelorelay.CodeStoreLeaseLapsed},
		{http.StatusRequestEntityTooLarge, "", pomelorelay.CodeStoreValueTooLarge},
		{http.StatusTooManyRequests, "", pomelorelay.CodeStoreThrottled},
		{http.StatusInternalServerError, "", pomelorelay.CodeStoreUnknown},
		{http.StatusBadGateway, "", pomelorelay.CodeStoreUnknown},
		{http.StatusServiceUnavailable, "", pomelorelay.CodeStoreUnavailable},
		{http.StatusGatewayTimeout, "", pomelorelay.CodeStoreUnknown},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(c.status)
			io.WriteString(w, c.body)
		}))
		client := newClient(t, pomelostore.Config{Addresses: []netip.AddrPort{addressOf(t, server)}})
		_, err := client.CompareAndSwap(context.Background(), "k", []byte("v"), 0, 0)
		if !pomelorelay.IsErrCode(err, c.code) {
			t.Errorf("status %d: got %v, want code %d", c.status, err, c.code)
		}
		server.Close()
	}
}

// Guards against accepting a response for another key, whose record would be taken for the requested one.
func TestResponseForOtherKeyIsRejected(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		json.NewEncoder(w).Encode(pomelorelay.Record{Key: "other", Value: []byte("x"), Revision: 1})
	}))
	defer server.Close()
	client := newClient(t, pomelostore.Config{Addresses: []netip.AddrPort{addressOf(t, server)}})
	_, err := client.Get(context.Background(), "mine")
	wantCode(t, err, pomelorelay.CodeStoreUnavailable)
}

func TestOversizedValueIsNotSent(t *testing.T) {
	client := newClient(t, pomelostore.Config{Addresses: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}, MaxValue: 4})
	_, err := client.CompareAndSwap(context.Background(), "k", []byte("12345"), 0, 0)
	wantCode(t, err, pomelorelay.CodeStoreValueTooLarge)
	if got := client.Stats().Writes.Value(); got != 0 {
		t.Fatalf("%d writes sent, want 0", got)
	}
}
