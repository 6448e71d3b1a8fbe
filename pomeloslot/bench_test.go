package pomeloslot_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloslot"
)

// BenchmarkGrant is a request's whole way through an owner with 60 routers waiting: the grant, its use and its end.
func BenchmarkGrant(b *testing.B) {
	o := owning(8)
	var out []pomelorelay.Outgoing
	for i := range 60 {
		out = o.HandleDemand(start, pomelorelay.NodeID(fmt.Sprintf("r%02d", i)), demand(1, pomelorelay.Tag(i), 1<<30), out)
	}
	first, to := granted(out)
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
			b.Fatalf("%d grants", len(out))
		}
		id, node = out[0].Message.(*pomelorelay.Grant).ID, out[0].To
	}
}

// BenchmarkDemand is a registration's refresh at an owner.
func BenchmarkDemand(b *testing.B) {
	o := owning(8)
	o.HandleDemand(start, "a", demand(1, 1, 100), nil)
	m := demand(2, 5, 100)
	out := make([]pomelorelay.Outgoing, 0, 16)
	b.ReportAllocs()
	for b.Loop() {
		m.Seq++
		out = o.HandleDemand(start, "a", m, out[:0])
	}
}

// BenchmarkRegister is an asker's choice among 100 owners.
func BenchmarkRegister(b *testing.B) {
	a := newAsker()
	var digests []pomelorelay.SlotDigest
	for i := range 100 {
		digests = append(digests, digest(pomelorelay.UpstreamID(fmt.Sprintf("u%03d", i)), "a", pomelorelay.Tag(i*7%31), 0))
	}
	a.UpdateDigests(start, digests)
	h := []pomeloslot.PoolDemand{{Pool: testPool, Head: 5, Waiting: 40}}
	out := make([]pomelorelay.Outgoing, 0, 128)
	now := start.Add(time.Millisecond)
	b.ReportAllocs()
	for b.Loop() {
		out = a.UpdateDemand(now, h, out[:0])
	}
}

// BenchmarkTable runs the design's table on virtual time and reports the gap, the utilisation and the control bytes of each seed.
func BenchmarkTable(b *testing.B) {
	for seed := range uint64(tableSeeds) {
		b.Run(fmt.Sprintf("Seed%d", seed+1), func(b *testing.B) {
			for b.Loop() {
				f := newFleet(tableConfig(seed + 1))
				reportFleet(b, f, f.measure(warm, tableSpan, nil))
			}
		})
	}
	b.Run("FixedShares", func(b *testing.B) {
		for b.Loop() {
			cfg := tableConfig(1)
			cfg.local = true
			f := newFleet(cfg)
			reportFleet(b, f, f.measure(warm, tableSpan, nil))
		}
	})
}
