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
	// bound is the most requests that the fleet may send to a cold upstream in any second.
	bound = coldRate*1.5 + 5
)

var regions = map[pomelorelay.DomainID]pomelorelay.RegionID{"a": "r1", "b": "r1", "c": "r2", "d": "r2", "e": "r3", "f": "r3"}

var services = []pomelorelay.ServiceSpec{{Name: "s", ColdFor: coldFor, ColdRate: coldRate}, {Name: "never cold"}}

func listed(id pomelorelay.UpstreamID) pomelorelay.FleetUpstream {
	return pomelorelay.FleetUpstream{ID: id, Service: "s", Domain: "a", Born: 1}
}

// routersOf returns so many routers, spread over all failure domains.
func routersOf(n int) []pomelorelay.Peer {
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

// fleet is routers that each want to send to one cold upstream all the time.
type fleet struct {
	random  *rand.Rand
	peers   []pomelorelay.Peer
	holders int
	gates   []*pomelowarmup.Gate
	states  []*pomelowarmup.Upstream
	sent    []time.Time
}

func newFleet(seed uint64, routers, holders int) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), peers: routersOf(routers), holders: holders}
	f.gates, f.states = make([]*pomelowarmup.Gate, routers), make([]*pomelowarmup.Upstream, routers)
	for i := range f.peers {
		f.restart(start, i, 0)
	}
	return f
}

// restart starts a router that is told how much longer the upstream is cold.
func (f *fleet) restart(now time.Time, i int, left time.Duration) {
	others := append(append([]pomelorelay.Peer(nil), f.peers[:i]...), f.peers[i+1:]...)
	f.gates[i] = newGate(f.peers[i], others, f.holders)
	u := listed("u")
	u.ColdFor = left
	f.states[i] = f.gates[i].NewUpstream(now, u)
}

// send lets every router send a request if it may, in any order.
func (f *fleet) send(now time.Time) {
	for _, i := range f.random.Perm(len(f.states)) {
		if f.states[i].Cold(now) && f.states[i].Admission(now) != pomelowarmup.Closed {
			f.states[i].RecordSend(now)
			f.sent = append(f.sent, now)
		}
	}
}

// busiest returns the most requests that were sent in any second.
func (f *fleet) busiest() int {
	most, first := 0, 0
	for i, at := range f.sent {
		for at.Sub(f.sent[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
