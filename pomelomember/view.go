package pomelomember

import (
	"math/rand/v2"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// View is one router's view of the fleet's membership.
type View struct {
	cfg         Config
	incarnation pomelorelay.Incarnation
	leaving     bool
	members     []*member // sorted by name, without this router
	byNode      map[pomelorelay.NodeID]*member
	changes     []Change
	snapshot    *Snapshot
	random      *rand.Rand

	startedAt         time.Time
	lastTick          time.Time
	nextDigest        time.Time
	lastDigest        time.Time
	nextProbe         time.Time
	nextSync          time.Time
	nextJoin          time.Time
	digestPending     bool
	digestSeq         uint64
	domainDigestCount int
	probeSeq          uint64
	pendingProbes     []probe
	relayedProbes     []relayedProbe
	probeOrder        []pomelorelay.NodeID
	domainSeen        map[pomelorelay.DomainID]time.Time
	slots             slotTable
}

// Change is a change of a router's liveness: it joined, left, died or restarted.
type Change struct {
	Peer        pomelorelay.Peer
	Incarnation pomelorelay.Incarnation
	Status      pomelorelay.MemberStatus
}

// New returns a View that contains this router and the seeds.
func New(cfg Config) *View {
	cfg.Options = cfg.Options.withDefaults()
	v := &View{cfg: cfg, incarnation: cfg.Incarnation, byNode: make(map[pomelorelay.NodeID]*member), domainSeen: make(map[pomelorelay.DomainID]time.Time)}
	v.random = rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Incarnation)))
	v.slots.init()
	for _, seed := range cfg.Seeds {
		if seed.Node == cfg.Self.Node {
			continue
		}
		m := v.member(seed.Node)
		m.peer = seed
		m.addressKnown = true
		m.listed = true
	}
	return v
}

// SetHosts applies the platform's host list, which may be out of date. A list without other routers is ignored, since it is more likely
// a fault of the platform than the loss of all hosts. An unlisted router stays a member while it responds.
func (v *View) SetHosts(now time.Time, hosts []pomelorelay.Host, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	listed := make(map[pomelorelay.NodeID]bool)
	for i := range hosts {
		node := pomelorelay.NodeID(hosts[i].Name)
		if hosts[i].Kind != pomelorelay.HostRouter || node == v.cfg.Self.Node {
			continue
		}
		listed[node] = true
		v.setLocation(node, &hosts[i])
	}
	if len(listed) == 0 {
		return out
	}
	for _, m := range v.members {
		m.listed = listed[m.peer.Node]
	}
	return out
}

// AddressKnown reports whether a router's address and failure domain are known from the host list or the seeds.
func (v *View) AddressKnown(node pomelorelay.NodeID) bool {
	m := v.lookup(node)
	return node == v.cfg.Self.Node || m != nil && m.addressKnown
}

func (v *View) setLocation(node pomelorelay.NodeID, host *pomelorelay.Host) {
	m := v.member(node)
	peer := pomelorelay.Peer{Node: node, Addr: host.Addr, Domain: host.Domain, Region: host.Region}
	if m.peer == peer && m.addressKnown && m.draining == host.Leaving {
		return
	}
	joined := !m.addressKnown && m.live()
	m.peer = peer
	m.addressKnown = true
	m.draining = host.Leaving
	v.snapshot = nil
	if joined {
		v.changes = append(v.changes, Change{Peer: peer, Incarnation: m.incarnation, Status: m.status})
	}
}

// RecordMessage records that a message of any type arrived from a router; incarnation is that of the message's envelope.
func (v *View) RecordMessage(now time.Time, from pomelorelay.NodeID, incarnation pomelorelay.Incarnation) {
	if from == v.cfg.Self.Node {
		return
	}
	m := v.member(from)
	if incarnation < m.processIncarnation || m.processIncarnation == 0 && incarnation+maxRefutations < m.incarnation {
		return
	}
	if incarnation > m.processIncarnation {
		m.processIncarnation = incarnation
	}
	m.lastSeen = now
	if m.addressKnown && m.peer.Domain != v.cfg.Self.Domain {
		v.domainSeen[m.peer.Domain] = now
	}
	if incarnation > m.incarnation || m.status == 0 {
		v.setStatus(now, m, max(incarnation, m.incarnation), pomelorelay.MemberAlive)
	}
}

// HandleFarewell processes a router's announcement that it is stopping.
func (v *View) HandleFarewell(now time.Time, from pomelorelay.NodeID, incarnation pomelorelay.Incarnation, f *pomelorelay.Farewell, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	v.RecordMessage(now, from, incarnation)
	v.merge(now, pomelorelay.MemberState{Node: from, Incarnation: max(incarnation, f.Incarnation), Status: pomelorelay.MemberLeaving})
	return out
}

// Leave marks this router as leaving and appends the messages that announce it.
func (v *View) Leave(now time.Time, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	v.leaving = true
	v.snapshot = nil
	for _, m := range v.members {
		if m.addressKnown && m.live() && m.peer.Domain == v.cfg.Self.Domain {
			out = append(out, pomelorelay.Outgoing{To: m.peer.Node, Message: &pomelorelay.Farewell{Incarnation: v.incarnation}})
		}
	}
	return v.sendGatewayDigests(now, out)
}

// Tick runs the timers and appends the messages that are due; it must be called at least every 100 ms.
func (v *View) Tick(now time.Time, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	if v.startedAt.IsZero() {
		v.startTimers(now)
	}
	v.resetAfterPause(now)
	v.lastTick = now
	out = v.checkProbes(now, out)
	v.confirmSuspects(now)
	v.purgeDead(now)
	out = v.probeNext(now, out)
	if !v.leaving {
		out = v.join(now, out)
	}
	out = v.sendDigests(now, out)
	return v.sync(now, out)
}

func (v *View) startTimers(now time.Time) {
	v.startedAt = now
	v.lastTick = now
	v.nextDigest = now
	v.nextProbe = now.Add(v.jitter(v.cfg.Options.ProbeInterval))
	v.nextSync = now.Add(v.jitter(v.cfg.Options.SyncInterval))
	v.nextJoin = now
}

func (v *View) jitter(d time.Duration) time.Duration { return time.Duration(v.random.Int64N(int64(d))) }

// resetAfterPause restarts the timeouts if this router itself was paused. Otherwise a router that resumes after a pause of seconds
// would find all its probes unanswered and report every other router as suspect.
func (v *View) resetAfterPause(now time.Time) {
	if now.Sub(v.lastTick) < 2*v.cfg.Options.ProbeTimeout {
		return
	}
	v.pendingProbes = v.pendingProbes[:0]
	for _, m := range v.members {
		if m.status == pomelorelay.MemberSuspect {
			m.suspectedAt = now
		}
	}
}

// TakeChanges appends the changes since the last call.
func (v *View) TakeChanges(out []Change) []Change {
	out = append(out, v.changes...)
	v.changes = v.changes[:0]
	return out
}

// Alive appends the live routers whose address is known, including this one.
func (v *View) Alive(out []pomelorelay.Peer) []pomelorelay.Peer {
	out = append(out, v.cfg.Self)
	for _, m := range v.members {
		if m.addressKnown && m.live() {
			out = append(out, m.peer)
		}
	}
	return out
}

// Peers appends the routers that the mesh may connect to: those with a known address that are on the host list, seeds or alive.
func (v *View) Peers(out []pomelorelay.Peer) []pomelorelay.Peer {
	for _, m := range v.members {
		if m.addressKnown && (m.listed || m.live()) {
			out = append(out, m.peer)
		}
	}
	return out
}

func (v *View) purgeDead(now time.Time) {
	kept := v.members[:0]
	for _, m := range v.members {
		if m.listed || m.live() || m.status == 0 || now.Sub(m.goneAt) < v.cfg.Options.DeadRetention {
			kept = append(kept, m)
			continue
		}
		delete(v.byNode, m.peer.Node)
	}
	clear(v.members[len(kept):])
	v.members = kept
}
