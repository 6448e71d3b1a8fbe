package pomelomesh_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelomesh"
)

func digest() *pomelorelay.Digest {
	return &pomelorelay.Digest{
		Seq: 1234, Members: []pomelorelay.MemberState{{Node: "router-a-17", Incarnation: 1_800_000_000_000_000_000, Status: pomelorelay.MemberAlive}},
		Slots: []pomelorelay.SlotDigest{
			{Upstream: "engine-a-031", Pool: "assistant/small", Owner: "router-a-17", Domain: "domain-a", LastTag: 12345.5, Idle: 1, Limit: 8},
			{Upstream: "engine-a-032", Pool: "assistant/large", Owner: "router-a-17", Domain: "domain-a", LastTag: 12345.5, Limit: 8},
		},
	}
}

func BenchmarkEncodeDigest(b *testing.B) {
	m := digest()
	b.ReportAllocs()
	for b.Loop() {
		data, err := pomelomesh.EncodeMessage(m)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(data)), "B/message")
	}
}

func BenchmarkDecodeDigest(b *testing.B) {
	data, err := pomelomesh.EncodeMessage(digest())
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := pomelomesh.DecodeMessage(data); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkJourney sends one message at a time and waits for it, both ends in this process.
func BenchmarkJourney(b *testing.B) {
	b.Run("Plain", func(b *testing.B) { journey(b, config("r1", 1), config("r2", 1)) })
	b.Run("TLS", func(b *testing.B) {
		ca := newAuthority(b)
		journey(b, secure("r1", ca.issue(b, b.TempDir(), "r1")), secure("r2", ca.issue(b, b.TempDir(), "r2")))
	})
}

func journey(b *testing.B, nearConfig, farConfig pomelomesh.Config) {
	near, err := pomelomesh.New(nearConfig)
	if err != nil {
		b.Fatal(err)
	}
	defer near.Close()
	far, err := pomelomesh.New(farConfig)
	if err != nil {
		b.Fatal(err)
	}
	defer far.Close()
	near.SetPeers([]pomelorelay.Peer{peerOf("r2", far.Addr())})
	m := digest()
	n := 0
	for b.Loop() {
		if err := near.Send("r2", m); err != nil {
			b.Fatal(err)
		}
		<-far.Receive()
		n++
	}
	b.ReportMetric(float64(near.Traffic()[pomelorelay.LinkSameDomain].Sent)/float64(n), "wire-B/message")
}

// BenchmarkLinkMemory opens 59 links from one router and reports what a link takes at both ends together.
func BenchmarkLinkMemory(b *testing.B) {
	const links = 59
	for b.Loop() {
		before := memory()
		hub, err := pomelomesh.New(config("hub", 1))
		if err != nil {
			b.Fatal(err)
		}
		var peers []pomelorelay.Peer
		var far []*pomelomesh.Mesh
		for i := range links {
			m, err := pomelomesh.New(config(pomelorelay.NodeID(fmt.Sprintf("r%d", i)), 1))
			if err != nil {
				b.Fatal(err)
			}
			far = append(far, m)
			peers = append(peers, peerOf(pomelorelay.NodeID(fmt.Sprintf("r%d", i)), m.Addr()))
		}
		hub.SetPeers(peers)
		for i, peer := range peers {
			if err := hub.Send(peer.Node, digest()); err != nil {
				b.Fatal(err)
			}
			<-far[i].Receive()
		}
		b.ReportMetric(float64(memory()-before)/links/1024, "KiB/link-both-ends")
		hub.Close()
		for _, m := range far {
			m.Close()
		}
	}
}

func memory() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}
