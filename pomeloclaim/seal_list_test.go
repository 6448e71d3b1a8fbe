package pomeloclaim_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloclaim"
)

func TestSegmentListDoesNotFillHead(t *testing.T) {
	// A shard receives many claims within the retention, until its list of segments (records of settled claims) alone
	// reaches SealBytes. If the list counted towards that limit, segments of a few claims each would fill the head
	// record, and the shard would refuse all claims until segments expire.
	f := newFleet(1, 0, pomeloclaim.KeeperConfig{}, 1)
	k := pomeloclaim.NewKeeper(pomeloclaim.KeeperConfig{CommitsPerSecond: 1e9, SealBytes: 4 << 10, MaxHeadBytes: 16 << 10})
	var out pomeloclaim.Output
	now := f.now
	refused := 0
	serve := func() {
		for len(out.StoreOps) > 0 {
			op := out.StoreOps[0]
			out.StoreOps = out.StoreOps[1:]
			k.HandleStoreResult(now, f.apply(op), &out)
		}
		for _, o := range out.Messages {
			if m, ok := o.Message.(*pomelorelay.ClaimAnswer); ok && m.State == pomelorelay.ClaimRefused {
				refused++
			}
		}
		out.Messages = nil
	}
	k.AddShard(now, 0, &out)
	serve()
	const claims = 4000
	for n := range claims {
		now = now.Add(time.Second)
		m := pomelorelay.ClaimAsk{Key: keyOf(fmt.Sprint(n)), Nonce: nonceOf(n + 1), Content: 1}
		k.HandleAsk(now, "router-1", &m, &out)
		serve()
		s := doneSettlement("booked")
		s.Key, s.Nonce = m.Key, m.Nonce
		k.HandleSettle(now, "router-1", &s, &out)
		now = now.Add(time.Second)
		k.Tick(now, &out)
		serve()
	}
	if refused > 0 {
		t.Errorf("%d of %d claims were refused", refused, claims)
	}
	if records := len(f.records); records > claims/8 {
		t.Errorf("%d records for %d claims: segments hold too few claims", records, claims)
	}
}
