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

// envelopeBytes is what grpc, HTTP/2 and TLS add to a message that travels alone, as the mesh's BenchmarkJourney counts it.
const envelopeBytes = 59

const tick = 50 * time.Millisecond

var epoch = time.Unix(1_800_000_000, 0)

// delivery is a message on its way in virtual time.
type delivery struct {
	at    time.Time
	seq   int
	from  *router
	to    pomelorelay.NodeID
	inc   pomelorelay.Incarnation
	value pomelorelay.Message
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
	peer   pomelorelay.Peer
	view   *pomelomember.View
	inc    pomelorelay.Incarnation
	up     bool
	paused time.Time
	sent   int
}

// fleet runs views on virtual time with a seed.
type fleet struct {
	t       *testing.T
	now     time.Time
	random  *rand.Rand
	routers []*router
	byName  map[pomelorelay.NodeID]*router
	flying  deliveries
	seq     int
	loss    float64
	cut     func(from, to pomelorelay.Peer) bool
	deaths  map[pomelorelay.NodeID]time.Time // the first time that a router was declared dead
	options pomelomember.Options

	suspicions int // digests that called a router suspect
	foreign    int // slots of another failure domain in digests that routers got from their own

	measured     pomelorelay.Message
	measuredSize int
}

func newFleet(t *testing.T, domains, each int, seed uint64) *fleet {
	f := &fleet{t: t, now: epoch, random: rand.New(rand.NewPCG(seed, 1)), byName: make(map[pomelorelay.NodeID]*router), deaths: make(map[pomelorelay.NodeID]time.Time)}
	for d := range domains {
		for i := range each {
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

// start gives a router a fresh process; seeds stand in for the host list when it is gone.
func (f *fleet) start(r *router, hosts []pomelorelay.Host, seeds ...pomelorelay.Peer) {
	r.inc = pomelorelay.Incarnation(f.now.UnixNano())
	r.up = true
	r.view = pomelomember.New(pomelomember.Config{Self: r.peer, Incarnation: r.inc, Seeds: seeds, Seed: f.random.Uint64(), Options: f.options})
	f.send(r, r.view.SetHosts(f.now, hosts, nil))
}

func (f *fleet) startAll() {
	for _, r := range f.routers {
		f.start(r, f.hosts())
	}
}

func (f *fleet) send(r *router, out []pomelorelay.Outgoing) {
	for _, o := range out {
		r.sent += f.size(o.Message)
		to, ok := f.byName[o.To]
		if !ok || f.random.Float64() < f.loss || f.cut != nil && f.cut(r.peer, to.peer) {
			continue
		}
		latency := 500 * time.Microsecond
		if to.peer.Region != r.peer.Region {
			latency = 12 * time.Millisecond
		}
		f.seq++
		heap.Push(&f.flying, delivery{at: f.now.Add(latency), seq: f.seq, from: r, to: o.To, inc: r.inc, value: o.Message})
	}
}

// size returns what a message takes on the way; one digest goes to many routers in a row.
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
		for len(f.flying) > 0 && !f.flying[0].at.After(next) {
			m := heap.Pop(&f.flying).(delivery)
			f.now = m.at
			f.deliver(m)
		}
		f.now = next
		for _, r := range f.routers {
			if r.up && !f.now.Before(r.paused) {
				f.send(r, r.view.Tick(f.now, nil))
				f.watch(r)
			}
		}
	}
}

func (f *fleet) watch(r *router) {
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
	if f.now.Before(r.paused) {
		m.at = r.paused
		heap.Push(&f.flying, m)
		return
	}
	from := m.from.peer.Node
	switch value := m.value.(type) {
	case *pomelorelay.Digest:
		f.count(m.from.peer.Domain, r.peer.Domain, value)
		f.send(r, r.view.HandleDigest(f.now, from, m.inc, value, nil))
	case *pomelorelay.Probe:
		f.send(r, r.view.HandleProbe(f.now, from, m.inc, value, nil))
	case *pomelorelay.ProbeAck:
		f.send(r, r.view.HandleProbeAck(f.now, from, m.inc, value, nil))
	case *pomelorelay.Farewell:
		f.send(r, r.view.HandleFarewell(f.now, from, m.inc, value, nil))
	}
	f.watch(r)
}

func (f *fleet) count(from, to pomelorelay.DomainID, d *pomelorelay.Digest) {
	for _, state := range d.Members {
		if state.Status == pomelorelay.MemberSuspect {
			f.suspicions++
		}
	}
	for i := range d.Slots {
		if from == to && d.Slots[i].Domain != to {
			f.foreign++
		}
	}
}

// agreed returns whether every running router of a domain sees just the running ones of the observed domain.
func (f *fleet) agreed(viewers, observed pomelorelay.DomainID) bool {
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

func (f *fleet) allAgreed() bool {
	for _, viewer := range f.routers {
		for _, observed := range f.routers {
			if observed.peer.Node[3:] == "00" && viewer.peer.Node[3:] == "00" && !f.agreed(viewer.peer.Domain, observed.peer.Domain) {
				return false
			}
		}
	}
	return true
}

// settle runs until all agree and returns how long that took.
func (f *fleet) settle(limit time.Duration) time.Duration {
	f.t.Helper()
	begin := f.now
	for !f.allAgreed() {
		if f.now.Sub(begin) > limit {
			f.t.Fatalf("views differ after %v", limit)
		}
		f.run(tick)
	}
	return f.now.Sub(begin)
}

func TestDigestsKeepToTheirRateInALargeDomain(t *testing.T) {
	// A failure domain of 60 routers is set to a digest each 250 ms. Were that kept, each router would send 236 digests a second, more
	// than a node's whole control budget in bytes.
	for _, c := range []struct{ routers, least, most int }{{8, 28, 36}, {60, 59, 72}} {
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
				r.view.RecordMessage(f.now, other.peer.Node, other.inc)
			}
		}
		if rate := digests / span; rate < c.least || rate > c.most {
			t.Errorf("%d routers: %d digests a second, want %d to %d", c.routers, rate, c.least, c.most)
		}
	}
}
