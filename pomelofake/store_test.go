package pomelofake_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelofake"
)

func newTestStore(t *testing.T, cfg pomelofake.StoreConfig) (*pomelofake.Store, *http.Client) {
	t.Helper()
	store := pomelofake.NewStore(cfg)
	t.Cleanup(func() { _ = store.Close() })
	client, _ := serve(t, store)
	return store, client
}

// expect sends a request and fails the test unless the answer has the status and contains the substring.
func expect(t *testing.T, client *http.Client, method, path, body string, status int, substring string) {
	t.Helper()
	got, text, _ := call(t, client, method, path, body)
	if got != status || !strings.Contains(text, substring) {
		t.Errorf("%s %s: got %d %s, want %d %s", method, path, got, text, status, substring)
	}
}

func TestStoreCompareAndSwapChecksRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, client := newTestStore(t, pomelofake.StoreConfig{MaxValue: 10})
		expect(t, client, http.MethodGet, "/v1/kv/config%2Froot", "", 404, "")
		expect(t, client, http.MethodPut, "/v1/kv/config%2Froot?old=0", "one", 200, `"Revision":1`)
		expect(t, client, http.MethodPut, "/v1/kv/config%2Froot?old=0", "two", 409, `"Revision":1`)
		expect(t, client, http.MethodPut, "/v1/kv/config%2Froot?old=1", "two", 200, `"Revision":2`)
		expect(t, client, http.MethodGet, "/v1/kv/config%2Froot", "", 200, `{"Key":"config/root","Value":"dHdv","Revision":2}`)
		expect(t, client, http.MethodPut, "/v1/kv/big?old=0", "more than ten bytes", 413, "")
		expect(t, client, http.MethodPut, "/v1/kv/x?old=abc", "x", 400, "")
	})
}

func TestStoreLeaseExpiryDeletesItsRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, client := newTestStore(t, pomelofake.StoreConfig{})
		expect(t, client, http.MethodPost, "/v1/lease?ttl=10s", "", 200, `"Lease":1`)
		expect(t, client, http.MethodPut, "/v1/kv/k?old=0&lease=1", "v", 200, "")
		time.Sleep(8 * time.Second)
		expect(t, client, http.MethodPost, "/v1/lease/1/renew", "", 200, "")
		time.Sleep(8 * time.Second)
		expect(t, client, http.MethodGet, "/v1/kv/k", "", 200, "")
		time.Sleep(3 * time.Second)
		expect(t, client, http.MethodGet, "/v1/kv/k", "", 404, "")
		expect(t, client, http.MethodPost, "/v1/lease/1/renew", "", 410, "")
		expect(t, client, http.MethodPut, "/v1/kv/k?old=0&lease=1", "v", 410, "")
		expect(t, client, http.MethodDelete, "/v1/lease/1", "", 410, "")
	})
}

func TestStoreWatchWaitsAndCountsAsOneCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, client := newTestStore(t, pomelofake.StoreConfig{})
		expect(t, client, http.MethodGet, "/v1/watch/k?after=0&wait=1s", "", 204, "")
		began := time.Now()
		done := make(chan time.Duration)
		go func() {
			expect(t, client, http.MethodGet, "/v1/watch/k?after=0&wait=30s", "", 200, `"Revision":1`)
			done <- time.Since(began)
		}()
		time.Sleep(5 * time.Second)
		expect(t, client, http.MethodPut, "/v1/kv/k?old=0", "v", 200, "")
		if took := <-done; took < 5*time.Second || took > 6*time.Second {
			t.Errorf("the watch took %s, want 5s to 6s", took)
		}
		if counts := store.Counts(); counts.Watches != 2 || counts.Writes != 1 || counts.Reads != 0 {
			t.Errorf("counted %+v, want 2 watches, 1 write and no reads", counts)
		}
	})
}

// The store is down, throttles, or loses the answer to a write that took effect. A client that treats the lost answer as a
// failed write would write again, or give up a claim or lock that the write obtained.
func TestStoreFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, client := newTestStore(t, pomelofake.StoreConfig{})
		store.SetFaults(pomelofake.StoreFaults{Outage: true})
		expect(t, client, http.MethodPut, "/v1/kv/k?old=0", "v", 503, "")
		store.SetFaults(pomelofake.StoreFaults{Throttle: true})
		expect(t, client, http.MethodPut, "/v1/kv/k?old=0", "v", 429, "")
		store.SetFaults(pomelofake.StoreFaults{LoseAnswers: 1})
		expect(t, client, http.MethodPut, "/v1/kv/k?old=0", "v", 0, "")
		expect(t, client, http.MethodGet, "/v1/kv/k", "", 200, `"Revision":1`)
		expect(t, client, http.MethodPut, "/v1/kv/k?old=0", "v", 409, "")
		old := store.Snapshot()
		expect(t, client, http.MethodPut, "/v1/kv/k?old=1", "w", 200, `"Revision":2`)
		store.Restore(old)
		expect(t, client, http.MethodGet, "/v1/kv/k", "", 200, `"Value":"dg==","Revision":1`)
		store.SetFaults(pomelofake.StoreFaults{Slow: time.Minute})
		began := time.Now()
		expect(t, client, http.MethodGet, "/v1/kv/k", "", 200, "")
		if time.Since(began) < time.Minute {
			t.Errorf("a slow call took %s, want at least 1m", time.Since(began))
		}
	})
}

func TestStoreEnforcesRateLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, client := newTestStore(t, pomelofake.StoreConfig{WriteRate: 10, ReadRate: 20, Latency: time.Nanosecond})
		statuses := make(map[int]int)
		for i := range 30 {
			status, _, _ := call(t, client, http.MethodPut, fmt.Sprintf("/v1/kv/k%d?old=0", i), "v")
			statuses[status]++
		}
		if statuses[200] != 10 || statuses[429] != 20 || store.Counts().Throttled != 20 {
			t.Errorf("answered %v, counted %+v, want 10 writes and 20 throttled", statuses, store.Counts())
		}
		time.Sleep(time.Second)
		expect(t, client, http.MethodPut, "/v1/kv/later?old=0", "v", 200, "")
	})
}

func TestHostListDelaysChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := pomelofake.NewHostList(pomelofake.HostListConfig{
			Hosts: []pomelorelay.Host{{Name: "u1", Kind: pomelorelay.HostUpstream}}, Lag: 2 * time.Second,
		})
		client, _ := serve(t, list)
		expect(t, client, http.MethodGet, "/v1/hosts", "", 200, `"Leaving":false`)
		visibleAt, ok := list.MarkLeaving("u1")
		if !ok || time.Until(visibleAt) != 2*time.Second {
			t.Errorf("MarkLeaving returned visible in %s, found %v, want 2s and true", time.Until(visibleAt), ok)
		}
		expect(t, client, http.MethodGet, "/v1/hosts", "", 200, `"Leaving":false`)
		time.Sleep(2 * time.Second)
		expect(t, client, http.MethodGet, "/v1/hosts", "", 200, `"Leaving":true`)
		if _, ok := list.MarkLeaving("u2"); ok {
			t.Error("an unknown host was marked as leaving")
		}
		list.Remove("u1")
		time.Sleep(2 * time.Second)
		expect(t, client, http.MethodGet, "/v1/hosts", "", 200, "[]")
		list.SetFaults(pomelofake.HostListFaults{Outage: true})
		expect(t, client, http.MethodGet, "/v1/hosts", "", 503, "")
	})
}

func TestAdminSetsFaultsAndRejectsUnknownTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		plain := pomelofake.NewPlainService(pomelofake.PlainConfig{})
		list := pomelofake.NewHostList(pomelofake.HostListConfig{Hosts: []pomelorelay.Host{{Name: "p1"}}})
		admin := pomelofake.NewAdmin(pomelofake.AdminConfig{
			PlainServices: map[pomelorelay.UpstreamID]*pomelofake.PlainService{"p1": plain},
			HostList:      list,
		})
		client, _ := serve(t, admin)
		expect(t, client, http.MethodPost, "/fault", `{"Target":"p1","Plain":{"Refuse":true}}`, 200, "")
		if !plain.Faults().Refuse {
			t.Error("the fault was not set")
		}
		expect(t, client, http.MethodPost, "/fault", `{"Target":"p2","Plain":{"Refuse":true}}`, 404, "no plain service p2")
		expect(t, client, http.MethodPost, "/fault", `{"Store":{"Outage":true}}`, 404, "no store")
		expect(t, client, http.MethodPost, "/fault", `{"Leave":"p2"}`, 404, "no host p2")
		expect(t, client, http.MethodPost, "/fault", `{"Leaves":"p1"}`, 400, "Leaves")
		expect(t, client, http.MethodPost, "/fault", `{"Leave":"p1"}`, 200, "Shows")
		if !list.Visible()[0].Leaving {
			t.Error("the host is not marked as leaving")
		}
		plainClient, _ := serve(t, plain)
		plain.SetFaults(pomelofake.PlainFaults{})
		postBooking(t, plainClient, "k1", "x")
		expect(t, client, http.MethodGet, "/runs/p1?after=0", "", 200, `"Seq":1,"Key":"k1"`)
		expect(t, client, http.MethodGet, "/runs/p1?after=1", "", 200, "null")
		expect(t, client, http.MethodGet, "/counts", "", 200, "Store")
	})
}
