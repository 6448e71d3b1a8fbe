package pomelomember_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelomember"
	"github.com/pomelorelay/pomelorelay/pomelomesh"
)

// envelopeBytes is the overhead of gRPC, HTTP/2 and TLS for a message sent alone, as counted by BenchmarkJourney of pomelomesh.
const envelopeBytes = 59

const tick = 50 * time.Millisecond

var epoch = time.Unix(1_800_000_000, 0)

// delivery is a message in flight in virtual time.
type delivery struct {
	at          time.Time
	seq         int
	from        *router
	to          pomelorelay.NodeID
	incarnation pomelorelay.Incarnation
	value       pomelorelay.Message
}

type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	return d[i].at.Before(d[j].at) || d[i].at.Equal(d[j].at) && d[i].seq < d[j].seq
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

type router struct {
	peer        pomelorelay.Peer
	view        *pomelomember.View
	incarnation pomelorelay.Incarnation
	up          bool
	pausedUntil time.Time
	sentBytes   int
}

// fleet simulates a fleet of Views in virtual time, deterministically for a seed.
type fleet struct {
	t        *testing.T
	now      time.Time
	random   *rand.Rand
	routers  []*router
	byName   map[pomelorelay.NodeID]*router
	inFlight deliveries
	seq      int
	loss     float64
	blocked  func(from, to pomelorelay.Peer) bool
	deaths   map[pomelorelay.NodeID]time.Time // when a router was first declared dead
	options  pomelomember.Options

	suspicions   int // suspect states in received digests
	foreignSlots int // slot digests of other failure domains in digests received within a domain

	measured     pomelorelay.Message
	measuredSize int
}

func newFleet(t *testing.T, domains, perDomain int, seed uint64) *fleet {
	f := &fleet{t: t, now: epoch, random: rand.New(rand.NewPCG(seed, 1)), byName: make(map[pomelorelay.NodeID]*router), deaths: make(map[pomelorelay.NodeID]time.Time)}
	for d := range domains {
		for i := range perDomain {
			peer := pomelorelay.Peer{
				Node: pomelorelay.NodeID(fmt.Sprintf("r%d-%02d", d, i)), Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(d), 0, byte(i)}), 7000),
				Domain: pomelorelay.DomainID(fmt.Sprintf("domain-%d", d)), Region: pomelorelay.RegionID(fmt.Sprintf("region-%d", d%2)),
			}
			r := &router{peer: peer}
			f.routers = append(f.routers, r)
			f.byName[peer.Node] = r
		}
	}
	return f
}

func (f *fleet) hosts() []pomelorelay.Host {
	var hosts []pomelorelay.Host
	for _, r := range f.routers {
		hosts = append(hosts, pomelorelay.Host{Name: string(r.peer.Node), Kind: pomelorelay.HostRouter, Addr: r.peer.Addr, Domain: r.peer.Domain, Region: r.peer.Region})
	}
	return hosts
}

// start starts a new process of a router; hosts is nil if the host list is unavailable, and the router then knows only the seeds.
func (f *fleet) start(r *router, hosts []pomelorelay.Host, seeds ...pomelorelay.Peer) {
	r.incarnation = pomelorelay.Incarnation(f.now.UnixNano())
	r.up = true
	r.view = pomelomember.New(pomelomember.Config{Self: r.peer, Incarnation: r.incarnation, Seeds: seeds, Seed: f.random.Uint64(), Options: f.options})
	f.send(r, r.view.SetHosts(f.now, hosts, nil))
}

func (f *fleet) startAll() {
	for _, r := range f.routers {
		f.start(r, f.hosts())
	}
}

func (f *fleet) send(r *router, out []pomelorelay.Outgoing) {
	for _, o := range out {
		r.sentBytes += f.size(o.Message)
		to, ok := f.byName[o.To]
		if !ok || f.random.Float64() < f.loss || f.blocked != nil && f.blocked(r.peer, to.peer) {
			continue
		}
		latency := 500 * time.Microsecond
		if to.peer.Region != r.peer.Region {
			latency = 12 * time.Millisecond
		}
		f.seq++
		heap.Push(&f.inFlight, delivery{at: f.now.Add(latency), seq: f.seq, from: r, to: o.To, incarnation: r.incarnation, value: o.Message})
	}
}

// size returns the wire size of a message; it caches the last one, since a digest is sent to many routers in succession.
func (f *fleet) size(m pomelorelay.Message) int {
	if m == f.measured {
		return f.measuredSize
	}
	data, err := pomelomesh.EncodeMessage(m)
	if err != nil {
		f.t.Fatal(err)
	}
	f.measured, f.measuredSize = m, len(data)+envelopeBytes
	return f.measuredSize
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		next := f.now.Add(tick)
		for len(f.inFlight) > 0 && !f.inFlight[0].at.After(next) {
			m := heap.Pop(&f.inFlight).(delivery)
			f.now = m.at
			f.deliver(m)
		}
		f.now = next
		for _, r := range f.routers {
			if r.up && !f.now.Before(r.pausedUntil) {
				f.send(r, r.view.Tick(f.now, nil))
				f.recordDeaths(r)
			}
		}
	}
}

func (f *fleet) recordDeaths(r *router) {
	for _, c := range r.view.TakeChanges(nil) {
		if _, known := f.deaths[c.Peer.Node]; c.Status == pomelorelay.MemberDead && !known {
			f.deaths[c.Peer.Node] = f.now
		}
	}
}

func (f *fleet) deliver(m delivery) {
	r := f.byName[m.to]
	if !r.up {
		return
	}
	if f.now.Before(r.pausedUntil) {
		m.at = r.pausedUntil
		heap.Push(&f.inFlight, m)
		return
	}
	from := m.from.peer.Node
	switch value := m.value.(type) {
	case *pomelorelay.Digest:
		f.countDigest(m.from.peer.Domain, r.peer.Domain, value)
		f.send(r, r.view.HandleDigest(f.now, from, m.incarnation, value, nil))
	case *pomelorelay.Probe:
		f.send(r, r.view.HandleProbe(f.now, from, m.incarnation, value, nil))
	case *pomelorelay.ProbeAck:
		f.send(r, r.view.HandleProbeAck(f.now, from, m.incarnation, value, nil))
	case *pomelorelay.Farewell:
		f.send(r, r.view.HandleFarewell(f.now, from, m.incarnation, value, nil))
	}
	f.recordDeaths(r)
}

func (f *fleet) countDigest(from, to pomelorelay.DomainID, d *pomelorelay.Digest) {
	for _, state := range d.Members {
		if state.Status == pomelorelay.MemberSuspect {
			f.suspicions++
		}
	}
	for i := range d.Slots {
		if from == to && d.Slots[i].Domain != to {
			f.foreignSlots++
		}
	}
}

// viewsAgree reports whether every running router of the first domain has exactly the running routers of the second domain as its members
// there.
func (f *fleet) viewsAgree(viewers, observed pomelorelay.DomainID) bool {
	var up []pomelorelay.NodeID
	for _, r := range f.routers {
		if r.up && r.peer.Domain == observed {
			up = append(up, r.peer.Node)
		}
	}
	for _, r := range f.routers {
		if r.up && r.peer.Domain == viewers && fmt.Sprint(r.view.Snapshot().Members(observed)) != fmt.Sprint(up) {
			return false
		}
	}
	return true
}

func (f *fleet) allViewsAgree() bool {
	for _, viewer := range f.routers {
		for _, observed := range f.routers {
			if observed.peer.Node[3:] == "00" && viewer.peer.Node[3:] == "00" && !f.viewsAgree(viewer.peer.Domain, observed.peer.Domain) {
				return false
			}
		}
	}
	return true
}

// converge runs the fleet until all views agree and returns the time that took; it fails the test after the limit.
func (f *fleet) converge(limit time.Duration) time.Duration {
	f.t.Helper()
	start := f.now
	for !f.allViewsAgree() {
		if f.now.Sub(start) > limit {
			f.t.Fatalf("views differ after %v", limit)
		}
		f.run(tick)
	}
	return f.now.Sub(start)
}

func TestDigestRateIsBoundedInLargeDomain(t *testing.T) {
	// A failure domain of 60 routers is configured for a digest every 250 ms. At that interval each router would send 236 digests a
	// second, which exceeds the entire byte budget of a node for control messages.
	for _, c := range []struct{ routers, minRate, maxRate int }{{8, 28, 36}, {60, 59, 72}} {
		f := newFleet(t, 1, c.routers, 1)
		f.options.DigestInterval = 250 * time.Millisecond
		f.startAll()
		f.run(5 * time.Second)
		r := f.routers[0]
		digests := 0
		const span = 10
		for range span * 20 {
			f.now = f.now.Add(tick)
			for _, o := range r.view.Tick(f.now, nil) {
				if _, ok := o.Message.(*pomelorelay.Digest); ok {
					digests++
				}
			}
			for _, other := range f.routers[1:] {
				r.view.RecordMessage(f.now, other.peer.Node, other.incarnation)
			}
		}
		if rate := digests / span; rate < c.minRate || rate > c.maxRate {
			t.Errorf("%d routers: %d digests a second, want %d to %d", c.routers, rate, c.minRate, c.maxRate)
		}
	}
}
