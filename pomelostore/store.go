package pomelostore

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

type revisionResponse struct {
	Revision pomelorelay.Revision
}

type leaseResponse struct {
	Lease pomelorelay.LeaseID
}

func keyPath(prefix string, key pomelorelay.StoreKey) string {
	return prefix + url.PathEscape(string(key))
}

// Get returns the record, with revision zero when it does not exist; it fails with CodeStoreUnavailable or CodeStoreThrottled.
func (c *Client) Get(ctx context.Context, key pomelorelay.StoreKey) (pomelorelay.Record, error) {
	call := Call{Method: http.MethodGet, Path: keyPath("/v1/kv/", key), Timeout: c.cfg.Timeout, Counter: &c.stats.Gets}
	reply, err := c.Do(ctx, call)
	if err != nil {
		return pomelorelay.Record{}, err
	}
	return c.decodeRecord(call, reply, key)
}

func (c *Client) decodeRecord(call Call, reply Reply, key pomelorelay.StoreKey) (pomelorelay.Record, error) {
	if reply.Status == http.StatusNotFound {
		return pomelorelay.Record{Key: key}, nil
	}
	var record pomelorelay.Record
	if err := c.Decode(call, reply, &record); err != nil {
		return pomelorelay.Record{}, err
	}
	// A response to another request, mixed up in transit, must not be taken for this record.
	if record.Key != key {
		return pomelorelay.Record{}, pomelorelay.NewError(pomelorelay.CodeStoreUnavailable, "response is for another key: "+string(record.Key), nil)
	}
	return record, nil
}

// CompareAndSwap sends the write once and returns the new revision. It fails with CodeStoreConflict when the record is not at revision
// old, with CodeStoreUnknown when the write may have taken effect, and otherwise with the code of a write without effect.
func (c *Client) CompareAndSwap(ctx context.Context, key pomelorelay.StoreKey, value []byte, old pomelorelay.Revision, lease pomelorelay.LeaseID) (pomelorelay.Revision, error) {
	if pomelorelay.Bytes(len(value)) > c.cfg.MaxValue {
		return 0, pomelorelay.NewError(pomelorelay.CodeStoreValueTooLarge, "value of "+string(key)+" has "+strconv.Itoa(len(value))+" bytes, over the limit", nil)
	}
	query := url.Values{"old": {strconv.FormatUint(uint64(old), 10)}}
	if lease != 0 {
		query.Set("lease", strconv.FormatUint(uint64(lease), 10))
	}
	call := Call{
		Method: http.MethodPut, Path: keyPath("/v1/kv/", key), Query: query, Body: value,
		Timeout: c.cfg.Timeout, Counter: &c.stats.Writes, Mutates: true,
	}
	reply, err := c.Do(ctx, call)
	if err != nil {
		return 0, err
	}
	var response revisionResponse
	if err := c.Decode(call, reply, &response); err != nil {
		return 0, err
	}
	return response.Revision, nil
}

// Watch waits until the record's revision differs from after and returns the record. It fails when ctx ends or when a call fails as in Get.
// It does not retry a failed call, so that the caller chooses the back-off.
func (c *Client) Watch(ctx context.Context, key pomelorelay.StoreKey, after pomelorelay.Revision) (pomelorelay.Record, error) {
	for {
		call := c.watchCall(key, after)
		reply, err := c.Do(ctx, call)
		if err != nil {
			return pomelorelay.Record{}, err
		}
		if reply.Status != http.StatusNoContent {
			return c.decodeRecord(call, reply, key)
		}
	}
}

// AllowedWatchWait returns wait, or zero while the breaker is open. If the breaker's single probe were a watch that waits for a change, the
// breaker would stay open for half a minute after the store has recovered, and claims would be refused in that time.
func (c *Client) AllowedWatchWait(wait time.Duration) time.Duration {
	if c.breaker.isOpen() {
		return 0
	}
	return wait
}

func (c *Client) watchCall(key pomelorelay.StoreKey, after pomelorelay.Revision) Call {
	wait := c.AllowedWatchWait(c.cfg.WatchWait)
	query := url.Values{"after": {strconv.FormatUint(uint64(after), 10)}, "wait": {wait.String()}}
	return Call{
		Method: http.MethodGet, Path: keyPath("/v1/watch/", key), Query: query,
		Timeout: wait + c.cfg.Timeout, Counter: &c.stats.Watches,
	}
}

// OpenLease opens a lease that expires when it is not renewed within ttl; it fails as CompareAndSwap does.
func (c *Client) OpenLease(ctx context.Context, ttl time.Duration) (pomelorelay.LeaseID, error) {
	call := Call{
		Method: http.MethodPost, Path: "/v1/lease", Query: url.Values{"ttl": {ttl.String()}},
		Timeout: c.cfg.Timeout, Counter: &c.stats.Leases, Mutates: true,
	}
	reply, err := c.Do(ctx, call)
	if err != nil {
		return 0, err
	}
	var response leaseResponse
	if err := c.Decode(call, reply, &response); err != nil {
		return 0, err
	}
	return response.Lease, nil
}

// RenewLease renews a lease; it fails with CodeStoreLeaseLapsed when the lease has expired.
func (c *Client) RenewLease(ctx context.Context, lease pomelorelay.LeaseID) error {
	return c.leaseCall(ctx, http.MethodPost, leasePath(lease)+"/renew")
}

// CloseLease ends a lease and removes the records written under it; it fails as RenewLease does.
func (c *Client) CloseLease(ctx context.Context, lease pomelorelay.LeaseID) error {
	return c.leaseCall(ctx, http.MethodDelete, leasePath(lease))
}

func leasePath(lease pomelorelay.LeaseID) string {
	return "/v1/lease/" + strconv.FormatUint(uint64(lease), 10)
}

func (c *Client) leaseCall(ctx context.Context, method, path string) error {
	reply, err := c.Do(ctx, Call{Method: method, Path: path, Timeout: c.cfg.Timeout, Counter: &c.stats.Leases, Mutates: true})
	if err != nil {
		return err
	}
	if reply.Status == http.StatusNotFound {
		return pomelorelay.NewError(pomelorelay.CodeStoreLeaseLapsed, path, nil)
	}
	return nil
}

// Hosts returns the current host list; it fails with CodeStoreUnavailable or CodeStoreThrottled.
func (c *Client) Hosts(ctx context.Context) ([]pomelorelay.Host, error) {
	call := Call{Method: http.MethodGet, Path: "/v1/hosts", Timeout: c.cfg.Timeout, Counter: &c.stats.HostLists}
	reply, err := c.Do(ctx, call)
	if err != nil {
		return nil, err
	}
	// A failure must not be read as an empty list, which would remove every upstream.
	if reply.Status != http.StatusOK {
		return nil, pomelorelay.NewError(pomelorelay.CodeStoreUnavailable, "host list is not available", nil)
	}
	var hosts []pomelorelay.Host
	if err := c.Decode(call, reply, &hosts); err != nil {
		return nil, err
	}
	return hosts, nil
}
