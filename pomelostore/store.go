package pomelostore

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

type revisionAnswer struct {
	Revision pomelorelay.Revision
}

type leaseAnswer struct {
	Lease pomelorelay.LeaseID
}

func keyPath(prefix string, key pomelorelay.StoreKey) string {
	return prefix + url.PathEscape(string(key))
}

// Get returns the record, or one of revision zero when there is none; it fails with CodeStoreUnavailable or CodeStoreThrottled.
func (c *Client) Get(ctx context.Context, key pomelorelay.StoreKey) (pomelorelay.Record, error) {
	one := Call{Method: http.MethodGet, Path: keyPath("/v1/kv/", key), Timeout: c.cfg.Timeout, Count: &c.stats.Gets}
	got, err := c.Do(ctx, one)
	if err != nil {
		return pomelorelay.Record{}, err
	}
	return c.record(one, got, key)
}

func (c *Client) record(one Call, got Reply, key pomelorelay.StoreKey) (pomelorelay.Record, error) {
	if got.Status == http.StatusNotFound {
		return pomelorelay.Record{Key: key}, nil
	}
	var record pomelorelay.Record
	if err := c.Decode(one, got, &record); err != nil {
		return pomelorelay.Record{}, err
	}
	// An answer to another caller's question, crossed on its way, would else be taken for this record.
	if record.Key != key {
		return pomelorelay.Record{}, pomelorelay.NewError(pomelorelay.CodeStoreUnavailable, "the answer is of key "+string(record.Key), nil)
	}
	return record, nil
}

// CompareAndSwap writes the value once if the record is at revision old; it fails with CodeStoreConflict when it is not, with
// CodeStoreUnknown when the answer was lost after the write may have left, and else with a code that says that it had no effect.
func (c *Client) CompareAndSwap(ctx context.Context, key pomelorelay.StoreKey, value []byte, old pomelorelay.Revision, lease pomelorelay.LeaseID) (pomelorelay.Revision, error) {
	if pomelorelay.Bytes(len(value)) > c.cfg.MaxValue {
		return 0, pomelorelay.NewError(pomelorelay.CodeStoreTooLarge, string(key)+" has "+strconv.Itoa(len(value))+" bytes", nil)
	}
	query := url.Values{"old": {strconv.FormatUint(uint64(old), 10)}}
	if lease != 0 {
		query.Set("lease", strconv.FormatUint(uint64(lease), 10))
	}
	one := Call{
		Method: http.MethodPut, Path: keyPath("/v1/kv/", key), Query: query, Body: value,
		Timeout: c.cfg.Timeout, Count: &c.stats.Writes, Changes: true,
	}
	got, err := c.Do(ctx, one)
	if err != nil {
		return 0, err
	}
	var answer revisionAnswer
	if err := c.Decode(one, got, &answer); err != nil {
		return 0, err
	}
	return answer.Revision, nil
}

// Watch waits until the record's revision differs from after and returns it; it fails when ctx ends and, as Get does, when
// the store does not answer, so that its caller decides how long to pause.
func (c *Client) Watch(ctx context.Context, key pomelorelay.StoreKey, after pomelorelay.Revision) (pomelorelay.Record, error) {
	for {
		one := c.watchCall(key, after)
		got, err := c.Do(ctx, one)
		if err != nil {
			return pomelorelay.Record{}, err
		}
		if got.Status != http.StatusNoContent {
			return c.record(one, got, key)
		}
	}
}

// WatchWait returns how long a watch may wait now: not at all while the breaker is open. As the breaker's one probe, a watch that waited
// for a change would keep it open for half a minute after the store is back; one would notice claims refused long after an outage.
func (c *Client) WatchWait(wait time.Duration) time.Duration {
	if c.breaker.isOpen() {
		return 0
	}
	return wait
}

func (c *Client) watchCall(key pomelorelay.StoreKey, after pomelorelay.Revision) Call {
	wait := c.WatchWait(c.cfg.WatchWait)
	query := url.Values{"after": {strconv.FormatUint(uint64(after), 10)}, "wait": {wait.String()}}
	return Call{
		Method: http.MethodGet, Path: keyPath("/v1/watch/", key), Query: query,
		Timeout: wait + c.cfg.Timeout, Count: &c.stats.Watches,
	}
}

// OpenLease opens a lease that lapses when it is not renewed within the time to live; it fails as CompareAndSwap does.
func (c *Client) OpenLease(ctx context.Context, ttl time.Duration) (pomelorelay.LeaseID, error) {
	one := Call{
		Method: http.MethodPost, Path: "/v1/lease", Query: url.Values{"ttl": {ttl.String()}},
		Timeout: c.cfg.Timeout, Count: &c.stats.Leases, Changes: true,
	}
	got, err := c.Do(ctx, one)
	if err != nil {
		return 0, err
	}
	var answer leaseAnswer
	if err := c.Decode(one, got, &answer); err != nil {
		return 0, err
	}
	return answer.Lease, nil
}

// RenewLease renews a lease; it fails with CodeStoreLeaseLapsed when it has lapsed.
func (c *Client) RenewLease(ctx context.Context, lease pomelorelay.LeaseID) error {
	return c.leaseCall(ctx, http.MethodPost, leasePath(lease)+"/renew")
}

// CloseLease ends a lease and removes the records written under it.
func (c *Client) CloseLease(ctx context.Context, lease pomelorelay.LeaseID) error {
	return c.leaseCall(ctx, http.MethodDelete, leasePath(lease))
}

func leasePath(lease pomelorelay.LeaseID) string {
	return "/v1/lease/" + strconv.FormatUint(uint64(lease), 10)
}

func (c *Client) leaseCall(ctx context.Context, method, path string) error {
	got, err := c.Do(ctx, Call{Method: method, Path: path, Timeout: c.cfg.Timeout, Count: &c.stats.Leases, Changes: true})
	if err != nil {
		return err
	}
	if got.Status == http.StatusNotFound {
		return pomelorelay.NewError(pomelorelay.CodeStoreLeaseLapsed, path, nil)
	}
	return nil
}

// Hosts returns the list as it is now known; it fails with CodeStoreUnavailable or CodeStoreThrottled.
func (c *Client) Hosts(ctx context.Context) ([]pomelorelay.Host, error) {
	one := Call{Method: http.MethodGet, Path: "/v1/hosts", Timeout: c.cfg.Timeout, Count: &c.stats.HostLists}
	got, err := c.Do(ctx, one)
	if err != nil {
		return nil, err
	}
	// An empty list read out of a failure would send every upstream away.
	if got.Status != http.StatusOK {
		return nil, pomelorelay.NewError(pomelorelay.CodeStoreUnavailable, "the host list is not there", nil)
	}
	var hosts []pomelorelay.Host
	if err := c.Decode(one, got, &hosts); err != nil {
		return nil, err
	}
	return hosts, nil
}
