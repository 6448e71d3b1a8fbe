package pomeloentry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloentry"
	"github.com/pomelorelay/pomelorelay/pomelomesh"
)

func manyUpstreams(n int) []pomelorelay.FleetUpstream {
	list := make([]pomelorelay.FleetUpstream, n)
	for i := range list {
		list[i] = pomelorelay.FleetUpstream{ID: pomelorelay.UpstreamID(fmt.Sprintf("i-%010x", i*7919)), Service: "s", Domain: pomelorelay.DomainID(rune('a' + i%6)), Slots: 32, StartUnixMilli: 1}
	}
	return list
}

// BenchmarkReceiveSummary decodes and applies a summary of the other routers' reports in which a quarter of the upstreams changed.
func BenchmarkReceiveSummary(b *testing.B) {
	for _, n := range []int{60, 600, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := time.Now()
			peers := peersOf(6, 50)
			f := pomeloentry.NewUpdateControl("a-1", 4*time.Second, peers)
			ups := manyUpstreams(n)
			f.Receive(now, "a-0", &pomelorelay.FleetUpdate{Revision: 1, Full: true, Upstreams: ups, Peers: peers})
			seq := uint64(0)
			for b.Loop() {
				seq++
				m := &pomelorelay.LoadSummary{Report: &pomelorelay.LoadReport{Seq: seq, Full: seq == 1}}
				for i := int(seq) % 4; i < n; i += 4 {
					m.Report.Upstreams = append(m.Report.Upstreams, pomelorelay.UpstreamLoad{
						Upstream: ups[i].ID, Running: uint32(seq % 20), PendingPrefill: 5000, KVTokens: 90000, PromptTokensSent: pomelorelay.Tokens(seq * 5000),
						FirstTokenExpected: time.Duration(seq) * 50 * time.Millisecond, FirstTokenMeasured: time.Duration(seq) * 52 * time.Millisecond,
					})
				}
				data, err := pomelomesh.EncodeMessage(m)
				if err != nil {
					b.Fatal(err)
				}
				got, err := pomelomesh.DecodeMessage(data)
				if err != nil {
					b.Fatal(err)
				}
				now = now.Add(40 * time.Millisecond)
				f.ReceiveSummary(now, "a-0", got.(*pomelorelay.LoadSummary))
				if f.AppliedSummary() != seq {
					b.Fatalf("summary %d was not applied", seq)
				}
			}
		})
	}
}

// BenchmarkListUpstreams applies the first full update to a starting router.
func BenchmarkListUpstreams(b *testing.B) {
	for _, n := range []int{60, 600, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			peers := peersOf(6, 50)
			ups := manyUpstreams(n)
			for b.Loop() {
				f := pomeloentry.NewUpdateControl("a-1", 4*time.Second, peers)
				f.Receive(time.Now(), "a-0", &pomelorelay.FleetUpdate{Revision: 1, Full: true, Upstreams: ups, Peers: peers})
			}
		})
	}
}

// BenchmarkAdjust runs the periodic updates of an idle router among 90 others and 90 upstreams.
func BenchmarkAdjust(b *testing.B) {
	now := time.Now()
	peers := peersOf(6, 15)
	f := pomeloentry.NewUpdateControl("a-1", 4*time.Second, peers)
	f.Receive(now, "a-0", &pomelorelay.FleetUpdate{Revision: 1, Full: true, Upstreams: manyUpstreams(90), Peers: peers})
	for b.Loop() {
		now = now.Add(50 * time.Millisecond)
		for _, p := range peers {
			f.RecordMessage(now, p.Node)
		}
		f.Adjust(now)
	}
}
