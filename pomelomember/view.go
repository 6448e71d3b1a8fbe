package pomelomember

import (
	"math/rand/v2"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// View is what one router believes of the fleet.
type View struct {
	cfg         Config
	incarnation pomelorelay.Incarnation
	leaving     bool
	members     []*member // in the order of their names, without this router
	byNode      map[pomelorelay.NodeID]*member
	changes     []Change
	snapshot    *Snapshot
	random      *rand.Rand

	started           time.Time
	lastTick          time.Time
	nextDigest        time.Time
	lastDigest        time.Time
	nextProbe         time.Time
	nextSync          time.Time
	nextJoin          time.Time
	early             bool
	digestSeq         uint64
	domainDigestCount int
	probeSeq          uint64
	probes            []probe
	relayed           []relayedProbe
	round             []pomelorelay.NodeID
	reached           map[pomelorelay.DomainID]time.Time
	slots             slotTable
}

// Change tells that a router came, left, died or restarted.
type Change struct {
	Peer        pomelorelay.Peer
	Incarnation pomelorelay.Incarnation
	Status      pomelorelay.MemberStatus
}

// New returns a View that knows itself and its seeds.
func New(cfg Config) *View {
	cfg.Options = cfg.Options.withDefaults()
	v := &View{cfg: cfg, incarnation: cfg.Incarnation, byNode: make(map[pomelorelay.NodeID]*member), reached: make(map[pomelorelay.DomainID]time.Time)}
	v.random = rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Incarnation)))
	v.slots.init()
	for _, seed := range cfg.Seeds {
		if seed.Node == cfg.Self.Node {
			continue
		}
		m := v.member(seed.Node)
		m.peer = seed
		m.located = true
		m.listed = true
	}
	return v
}

// SetHosts takes the platform's host list, which may lag. An empty list is ignored: the platform has lost it, not the
// fleet its hosts. A router that is missing on the list stays for as long as it is heard.
func (v *View) SetHosts(now time.Time, hosts []pomelorelay.Host, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	listed := make(map[pomelorelay.NodeID]bool)
	for i := range hosts {
		node := pomelorelay.NodeID(hosts[i].Name)
		if hosts[i].Kind != pomelorelay.HostRouter || node == v.cfg.Self.Node {
			continue
		}
		listed[node] = true
		v.locate(node, &hosts[i])
	}
	if len(listed) == 0 {
		return out
	}
	for _, m := range v.members {
		m.listed = listed[m.peer.Node]
	}
	return out
}

// AddressKnown reports whether a router's address is known from the host list or the seeds.
func (v *View) AddressKnown(node pomelorelay.NodeID) bool {
	m := v.lookup(node)
	return node == v.cfg.Self.Node || m != nil && m.located
}

func (v *View) locate(node pomelorelay.NodeID, host *pomelorelay.Host) {
	m := v.member(node)
	peer := pomelorelay.Peer{Node: node, Addr: host.Addr, Domain: host.Domain, Region: host.Region}
	if m.peer == peer && m.located && m.draining == host.Leaving {
		return
	}
	arrives := !m.located && m.live()
	m.peer = peer
	m.located = true
	m.draining = host.Leaving
	v.snapshot = nil
	if arrives {
		v.changes = append(v.changes, Change{Peer: peer, Incarnation: m.incarnation, Status: m.status})
	}
}

// RecordMessage notes that a message of any kind arrived from a router; the incarnation is that of its envelope.
func (v *View) RecordMessage(now time.Time, from pomelorelay.NodeID, incarnation pomelorelay.Incarnation) {
	if from == v.cfg.Self.Node {
		return
	}
	m := v.member(from)
	if incarnation < m.started || m.started == 0 && incarnation+maxRefutations < m.incarnation {
		return
	}
	if incarnation > m.started {
		m.started = incarnation
	}
	m.heard = now
	if m.located && m.peer.Domain != v.cfg.Self.Domain {
		v.reached[m.peer.Domain] = now
	}
	if incarnation > m.incarnation || m.status == 0 {
		v.believe(now, m, max(incarnation, m.incarnation), pomelorelay.MemberAlive)
	}
}

// HandleFarewell takes a router's notice that it stops.
func (v *View) HandleFarewell(now time.Time, from pomelorelay.NodeID, incarnation pomelorelay.Incarnation, f *pomelorelay.Farewell, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	v.RecordMessage(now, from, incarnation)
	v.merge(now, pomelorelay.MemberState{Node: from, Incarnation: max(incarnation, f.Incarnation), Status: pomelorelay.MemberLeaving})
	return out
}

// Leave returns the notices that this router stops.
func (v *View) Leave(now time.Time, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	v.leaving = true
	v.snapshot = nil
	for _, m := range v.members {
		if m.located && m.live() && m.peer.Domain == v.cfg.Self.Domain {
			out = append(out, pomelorelay.Outgoing{To: m.peer.Node, Message: &pomelorelay.Farewell{Incarnation: v.incarnation}})
		}
	}
	return v.gatewayDigests(now, out)
}

// Tick sends what is due; call it every 100 ms or more often.
func (v *View) Tick(now time.Time, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	if v.started.IsZero() {
		v.begin(now)
	}
	v.forgivePause(now)
	v.lastTick = now
	out = v.checkProbes(now, out)
	v.confirmSuspects(now)
	v.forget(now)
	out = v.probeNext(now, out)
	if !v.leaving {
		out = v.join(now, out)
	}
	out = v.digests(now, out)
	return v.sync(now, out)
}

func (v *View) begin(now time.Time) {
	v.started = now
	v.lastTick = now
	v.nextDigest = now
	v.nextProbe = now.Add(v.jitter(v.cfg.Options.ProbeEvery))
	v.nextSync = now.Add(v.jitter(v.cfg.Options.SyncEvery))
	v.nextJoin = now
}

func (v *View) jitter(d time.Duration) time.Duration { return time.Duration(v.random.Int64N(int64(d))) }

// forgivePause starts waits anew when this router itself was paused. Without it a router that stood still for seconds
// finds all its probes unanswered when it goes on, and tells the fleet that everybody is suspect.
func (v *View) forgivePause(now time.Time) {
	if now.Sub(v.lastTick) < 2*v.cfg.Options.ProbeTimeout {
		return
	}
	v.probes = v.probes[:0]
	for _, m := range v.members {
		if m.status == pomelorelay.MemberSuspect {
			m.suspected = now
		}
	}
}

// TakeChanges appends who came and went since the last call.
func (v *View) TakeChanges(out []Change) []Change {
	out = append(out, v.changes...)
	v.changes = v.changes[:0]
	return out
}

// Alive appends the routers that are believed alive and whose address is known, this one included.
func (v *View) Alive(out []pomelorelay.Peer) []pomelorelay.Peer {
	out = append(out, v.cfg.Self)
	for _, m := range v.members {
		if m.located && m.live() {
			out = append(out, m.peer)
		}
	}
	return out
}

// Peers appends every router to which the mesh may connect: those with a known address that are listed or alive.
func (v *View) Peers(out []pomelorelay.Peer) []pomelorelay.Peer {
	for _, m := range v.members {
		if m.located && (m.listed || m.live()) {
			out = append(out, m.peer)
		}
	}
	return out
}

func (v *View) forget(now time.Time) {
	kept := v.members[:0]
	for _, m := range v.members {
		if m.listed || m.live() || m.status == 0 || now.Sub(m.died) < v.cfg.Options.ForgetAfter {
			kept = append(kept, m)
			continue
		}
		delete(v.byNode, m.peer.Node)
	}
	clear(v.members[len(kept):])
	v.members = kept
}
