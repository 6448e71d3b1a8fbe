package pomelowarmup_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelowarmup"
)

var start = time.Unix(1000, 0)

const (
	coldFor  = 3 * time.Second
	coldRate = 15.0
	// bound is the maximum number of requests that the fleet may send to a cold upstream in any second.
	bound = coldRate*1.5 + 5
)

var regions = map[pomelorelay.DomainID]pomelorelay.RegionID{"a": "r1", "b": "r1", "c": "r2", "d": "r2", "e": "r3", "f": "r3"}

var services = []pomelorelay.ServiceSpec{{Name: "s", ColdPeriod: coldFor, ColdRate: coldRate}, {Name: "never cold"}}

func upstreamEntry(id pomelorelay.UpstreamID) pomelorelay.FleetUpstream {
	return pomelorelay.FleetUpstream{ID: id, Service: "s", Domain: "a", StartUnixMilli: 1}
}

// newPeers returns n routers, spread over all failure domains.
func newPeers(n int) []pomelorelay.Peer {
	var peers []pomelorelay.Peer
	for i := range n {
		domain := pomelorelay.DomainID(rune('a' + i%len(regions)))
		peers = append(peers, pomelorelay.Peer{Node: pomelorelay.NodeID(fmt.Sprintf("%s-%d", domain, i)), Domain: domain, Region: regions[domain]})
	}
	return peers
}

func newGate(self pomelorelay.Peer, others []pomelorelay.Peer, holders int) *pomelowarmup.Gate {
	g := pomelowarmup.New(pomelowarmup.Config{
		Self: self, Regions: regions, Bounds: pomelorelay.ColdBounds{Ratio: 1.5, Slack: 5}, Holders: holders,
	})
	g.SetServices(services)
	g.SetRouters(others)
	return g
}

// fleet is a number of routers that all try to send to one cold upstream continuously.
type fleet struct {
	rng     *rand.Rand
	peers   []pomelorelay.Peer
	holders int
	gates   []*pomelowarmup.Gate
	states  []*pomelowarmup.Upstream
	sent    []time.Time
}

func newFleet(seed uint64, routers, holders int) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), peers: newPeers(routers), holders: holders}
	f.gates, f.states = make([]*pomelowarmup.Gate, routers), make([]*pomelowarmup.Upstream, routers)
	for i := range f.peers {
		f.restart(start, i, 0)
	}
	return f
}

// restart replaces a router by a new one that knows the remaining cold time of the upstream.
func (f *fleet) restart(now time.Time, i int, remaining time.Duration) {
	others := append(append([]pomelorelay.Peer(nil), f.peers[:i]...), f.peers[i+1:]...)
	f.gates[i] = newGate(f.peers[i], others, f.holders)
	u := upstreamEntry("u")
	u.ColdRemaining = remaining
	f.states[i] = f.gates[i].NewUpstream(now, u)
}

// send lets every router send a request if it may, in random order.
func (f *fleet) send(now time.Time) {
	for _, i := range f.rng.Perm(len(f.states)) {
		if f.states[i].Cold(now) && f.states[i].Admission(now) != pomelowarmup.AdmissionClosed {
			f.states[i].RecordSend(now)
			f.sent = append(f.sent, now)
		}
	}
}

// peakPerSecond returns the maximum number of requests that were sent in any second.
func (f *fleet) peakPerSecond() int {
	peak, first := 0, 0
	for i, at := range f.sent {
		for at.Sub(f.sent[first]) >= time.Second {
			first++
		}
		peak = max(peak, i-first+1)
	}
	return peak
}
