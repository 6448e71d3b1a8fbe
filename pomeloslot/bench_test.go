package pomeloslot_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloslot"
)

// BenchmarkGrant measures a grant's life cycle (issued, used, finished) at an owner with 60 waiting routers.
func BenchmarkGrant(b *testing.B) {
	o := newOwnerOfUpstream(8)
	var out []pomelorelay.Outgoing
	for i := range 60 {
		out = o.HandleDemand(start, pomelorelay.NodeID(fmt.Sprintf("r%02d", i)), demand(1, pomelorelay.Tag(i), 1<<30), out)
	}
	first, to := grantsIn(out)
	out = make([]pomelorelay.Outgoing, 0, 16)
	m := pomelorelay.GrantReply{Upstream: "u", Head: 1, Waiting: 1 << 30}
	id, node, seq := first[0], to[0], uint64(10)
	b.ReportAllocs()
	for b.Loop() {
		seq++
		m.ID, m.Seq, m.State = id, seq, pomelorelay.GrantUsed
		out = o.HandleReply(start, node, &m, out[:0])
		seq++
		m.Seq, m.State, m.Head = seq, pomelorelay.GrantFinished, pomelorelay.Tag(seq)
		out = o.HandleReply(start, node, &m, out[:0])
		if len(out) != 1 {
			b.Fatalf("%d grants, want 1", len(out))
		}
		id, node = out[0].Message.(*pomelorelay.Grant).ID, out[0].To
	}
}

// BenchmarkDemand measures the refresh of a registration at an owner.
func BenchmarkDemand(b *testing.B) {
	o := newOwnerOfUpstream(8)
	o.HandleDemand(start, "a", demand(1, 1, 100), nil)
	m := demand(2, 5, 100)
	out := make([]pomelorelay.Outgoing, 0, 16)
	b.ReportAllocs()
	for b.Loop() {
		m.Seq++
		out = o.HandleDemand(start, "a", m, out[:0])
	}
}

// BenchmarkRegister measures how long a requester takes to select, among 100 upstreams, those to register for.
func BenchmarkRegister(b *testing.B) {
	r := newRequester()
	var digests []pomelorelay.SlotDigest
	for i := range 100 {
		digests = append(digests, digest(pomelorelay.UpstreamID(fmt.Sprintf("u%03d", i)), "a", pomelorelay.Tag(i*7%31), 0))
	}
	r.UpdateDigests(start, digests)
	h := []pomeloslot.PoolDemand{{Pool: testPool, Head: 5, Waiting: 40}}
	out := make([]pomelorelay.Outgoing, 0, 128)
	now := start.Add(time.Millisecond)
	b.ReportAllocs()
	for b.Loop() {
		out = r.UpdateDemand(now, h, out[:0])
	}
}

// BenchmarkTable simulates the reference configuration and reports, for each seed, the gap in normalised service
// between accounts, the utilisation and the control bytes.
func BenchmarkTable(b *testing.B) {
	for seed := range uint64(referenceSeeds) {
		b.Run(fmt.Sprintf("Seed%d", seed+1), func(b *testing.B) {
			for b.Loop() {
				f := newFleet(referenceConfig(seed + 1))
				reportFleet(b, f, f.measure(warmUp, referenceSpan, nil))
			}
		})
	}
	b.Run("FixedShares", func(b *testing.B) {
		for b.Loop() {
			cfg := referenceConfig(1)
			cfg.fixedShares = true
			f := newFleet(cfg)
			reportFleet(b, f, f.measure(warmUp, referenceSpan, nil))
		}
	})
}
