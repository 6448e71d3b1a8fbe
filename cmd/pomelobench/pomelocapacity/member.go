package pomelocapacity

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelomember"
)

// MemberFigures is what a router's view of the others costs.
type MemberFigures struct {
	Core, Messages, Bytes, Memory Series
	// Sent is what a node sends a second at the target, by link class; most is sent by gateways, so it is their mean.
	Sent classed
	// News is the size of one changed belief in a digest.
	News float64
}

const (
	memberWarm = 4 * time.Second
	memberSpan = 12 * time.Second
	memberTick = 50 * time.Millisecond
)

// viewRun is one real view among routers that do nothing but answer.
type viewRun struct {
	now     time.Time
	self    pomelorelay.Peer
	view    *pomelomember.View
	peers   []pomelorelay.Peer
	digest  time.Duration
	digests map[pomelorelay.NodeID]*pomelorelay.Digest
	sent    classed
	out     []pomelorelay.Outgoing
	class   map[pomelorelay.NodeID]pomelorelay.LinkClass
}

func memberPeer(t Target, domain, i int) pomelorelay.Peer {
	return pomelorelay.Peer{
		Node: routerName(domain, i), Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(domain), 0, byte(i)}), 8081),
		Domain: domainName(domain), Region: regionName(t, domain),
	}
}

func domainName(i int) pomelorelay.DomainID { return pomelorelay.DomainID(fmt.Sprintf("domain-%d", i)) }

func regionName(t Target, domain int) pomelorelay.RegionID {
	return pomelorelay.RegionID(fmt.Sprintf("region-%d", domain*t.Regions/t.Domains))
}

func newViewRun(t Target, routers, self int, digest time.Duration) *viewRun {
	v := &viewRun{
		now: start, self: memberPeer(t, 0, self), digest: digest,
		digests: make(map[pomelorelay.NodeID]*pomelorelay.Digest), class: make(map[pomelorelay.NodeID]pomelorelay.LinkClass),
	}
	var hosts []pomelorelay.Host
	for d := range t.Domains {
		for i := range routers {
			p := memberPeer(t, d, i)
			hosts = append(hosts, pomelorelay.Host{Name: string(p.Node), Kind: pomelorelay.HostRouter, Addr: p.Addr, Domain: p.Domain, Region: p.Region})
			if p.Node == v.self.Node {
				continue
			}
			v.peers = append(v.peers, p)
			v.class[p.Node] = classOf(v.self, p)
		}
	}
	v.view = pomelomember.New(pomelomember.Config{
		Self: v.self, Incarnation: pomelorelay.Incarnation(start.UnixNano()), Seed: uint64(self), Options: pomelomember.Options{DigestEvery: digest},
	})
	v.out = v.view.Hosts(v.now, hosts, nil)
	v.view.SetSlots(slotDigests(t, routers, self))
	v.prepareDigests(t, routers)
	return v
}

func classOf(self, other pomelorelay.Peer) pomelorelay.LinkClass {
	switch {
	case self.Domain == other.Domain:
		return pomelorelay.LinkDomain
	case self.Region == other.Region:
		return pomelorelay.LinkRegion
	}
	return pomelorelay.LinkCross
}

// slotDigests are what one router owns of its domain's upstreams.
func slotDigests(t Target, routers, router int) []pomelorelay.SlotDigest {
	var slots []pomelorelay.SlotDigest
	for i := router; i < t.DomainUpstreams(); i += routers {
		slots = append(slots, pomelorelay.SlotDigest{
			Upstream: upstreamName(0, i), Pool: poolName(i % t.Pools), Owner: routerName(0, router), Domain: domainName(0),
			LastTag: pomelorelay.Tag(12345.5 + float64(i)), Limit: pomelorelay.Slots(t.Slots()),
		})
	}
	return slots
}

// prepareDigests makes what the other routers of the domain say.
func (v *viewRun) prepareDigests(t Target, routers int) {
	for i, p := range v.peers {
		d := &pomelorelay.Digest{Seq: 1, Members: []pomelorelay.MemberState{{Node: p.Node, Incarnation: pomelorelay.Incarnation(start.UnixNano()), Status: pomelorelay.MemberAlive}}}
		if p.Domain == v.self.Domain {
			d.Slots = slotDigests(t, routers, i%routers)
			for other := 1; other < t.Domains; other++ {
				d.Reached = append(d.Reached, domainName(other))
			}
		}
		v.digests[p.Node] = d
	}
}

// run goes on for a time: every router of the domain is heard at its interval, every probe is answered at once.
func (v *viewRun) run(d time.Duration) {
	for end := v.now.Add(d); v.now.Before(end); {
		v.now = v.now.Add(memberTick)
		since := v.now.Sub(start)
		for i, p := range v.peers {
			due := (since+time.Duration(i)*memberTick)%v.digest < memberTick
			if due && (p.Domain == v.self.Domain || since < memberWarm/2) {
				v.out = v.view.Digest(v.now, p.Node, pomelorelay.Incarnation(start.UnixNano()), v.digests[p.Node], v.out)
			}
		}
		v.out = v.view.Tick(v.now, v.out)
		v.send()
	}
}

func (v *viewRun) send() {
	sending := v.out
	v.out = nil
	for _, o := range sending {
		v.sent.add(v.class[o.To], o.Message)
		incarnation := pomelorelay.Incarnation(start.UnixNano())
		switch m := o.Message.(type) {
		case *pomelorelay.Probe:
			v.out = v.view.ProbeAck(v.now, o.To, incarnation, &pomelorelay.ProbeAck{Seq: m.Seq}, v.out)
			// The peers probe too, as often as they are probed.
			v.out = v.view.Probe(v.now, o.To, incarnation, &pomelorelay.Probe{Seq: m.Seq}, v.out)
		case *pomelorelay.Digest:
			if v.class[o.To] != pomelorelay.LinkDomain {
				v.out = v.view.Digest(v.now, o.To, incarnation, v.digests[o.To], v.out)
			}
		}
	}
}

// memberRun returns a view's core in µs a second and what it sends.
func memberRun(t Target, routers, self int, digest time.Duration) (float64, classed) {
	v := newViewRun(t, routers, self, digest)
	v.run(memberWarm)
	spent := timed(func() func() {
		v.sent = classed{}
		return func() { v.run(memberSpan) }
	})
	return micros(spent) / memberSpan.Seconds(), v.sent.per(memberSpan.Seconds())
}

// meanRun averages over some routers of the domain, gateways among them.
func meanRun(t Target, routers int, digest time.Duration) (float64, classed) {
	const step = 5
	var core, n float64
	var sum classed
	for self := 0; self < routers; self += step {
		c, sent := memberRun(t, routers, self, digest)
		core += c
		n++
		for i := range sum {
			sum[i] = sum[i].plus(sent[i])
		}
	}
	return core / n, sum.per(n)
}

func measureMembers(t Target, digest func(routers int) time.Duration) MemberFigures {
	var f MemberFigures
	var core, messages, bytes, memory []Point
	for _, routers := range []int{8, 20, 40, t.Routers()} {
		c, sent := meanRun(t, routers, digest(routers))
		f.Sent = sent
		x := float64(routers)
		core = append(core, Point{x, c})
		all := sent[0].plus(sent[1]).plus(sent[2])
		messages = append(messages, Point{x, all.messages})
		bytes = append(bytes, Point{x, all.bytes})
		memory = append(memory, Point{x, held(func() any {
			v := newViewRun(t, routers, 0, digest(routers))
			v.run(memberWarm)
			return v.view
		})})
	}
	const role, sizes = "Membership view", "routers of each of 6 domains"
	f.Core = Series{role, "processor time", "µs/s a node", sizes, Fit(core)}
	f.Messages = Series{role, "messages sent", "1/s a node", sizes, Fit(messages)}
	f.Bytes = Series{role, "bytes before framing", "B/s a node", sizes, Fit(bytes)}
	f.Memory = Series{role, "memory", "B a node", sizes, Fit(memory)}
	f.News = newsSize()
	return f
}

func newsSize() float64 {
	state := pomelorelay.MemberState{Node: routerName(0, 0), Incarnation: pomelorelay.Incarnation(start.UnixNano()), Status: pomelorelay.MemberAlive}
	return size(&pomelorelay.Digest{Seq: 1, Members: []pomelorelay.MemberState{state, state}}) - size(&pomelorelay.Digest{Seq: 1, Members: []pomelorelay.MemberState{state}})
}
