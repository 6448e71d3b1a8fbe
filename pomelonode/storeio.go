package pomelonode

import (
	"context"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloclaim"
	"github.com/pomelorelay/pomelorelay/pomeloconfig"
)

const (
	// storeTimeout limits one call to the store.
	storeTimeout = 2 * time.Second
	// watchRetryDelay is the delay after a failed watch, so that an outage does not cause a burst of calls.
	watchRetryDelay = 500 * time.Millisecond
	// watcherCheckInterval is how often a router that does not watch the configuration checks whether it has been chosen to.
	watcherCheckInterval = 250 * time.Millisecond
)

// storeOp executes a store operation of the claim keeper and posts its result.
func (n *Node) storeOp(op pomeloclaim.StoreOp) {
	n.start(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		result := pomeloclaim.StoreResult{ID: op.ID}
		if op.Value == nil {
			result.Record, result.Err = n.cfg.Store.Get(ctx, op.Key)
		} else {
			result.Revision, result.Err = n.cfg.Store.CompareAndSwap(ctx, op.Key, op.Value, op.ExpectedRevision, 0)
		}
		n.mail.post(storeOpDone{result})
	})
}

func (n *Node) readRoot() {
	n.start(func(ctx context.Context) {
		record, err := n.get(ctx, pomeloconfig.RootKey)
		if err == nil {
			n.mail.post(rootRead{record.Value})
		}
	})
}

func (n *Node) readPart(hash pomelorelay.Hash) {
	n.start(func(ctx context.Context) {
		record, err := n.get(ctx, pomeloconfig.PartKey(hash))
		if err == nil && record.Revision != 0 {
			n.mail.post(partRead{record.Value})
		}
	})
}

func (n *Node) get(ctx context.Context, key pomelorelay.StoreKey) (pomelorelay.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return n.cfg.Store.Get(ctx, key)
}

// watchRoot watches the configuration root while this router is among the routers of its failure domain that are chosen to do so.
func (n *Node) watchRoot(ctx context.Context) {
	var seen pomelorelay.Revision
	for ctx.Err() == nil {
		if !n.watchingConfig.Load() {
			sleep(ctx, watcherCheckInterval)
			continue
		}
		record, err := n.cfg.Store.Watch(ctx, pomeloconfig.RootKey, seen)
		if err != nil {
			sleep(ctx, watchRetryDelay)
			continue
		}
		seen = record.Revision
		n.mail.post(rootRead{record.Value})
	}
}
