package pomelomember

import (
	"slices"
	"strings"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// member is what is believed of one router.
type member struct {
	peer        pomelorelay.Peer
	incarnation pomelorelay.Incarnation // of the belief, raised by refutations
	started     pomelorelay.Incarnation // of the process, as on its envelopes
	status      pomelorelay.MemberStatus
	located     bool // domain and address are known
	listed      bool // on the last host list or among the seeds
	draining    bool // leaving by the host list
	heard       time.Time
	suspected   time.Time
	died        time.Time
	told        time.Time // when it was last told what is believed of it
	repeats     int       // digests that still carry the belief
}

// live reports whether the router is believed to work; a suspected one is until the suspicion is confirmed.
func (m *member) live() bool {
	return m.status == pomelorelay.MemberAlive || m.status == pomelorelay.MemberSuspect
}

// listens reports whether the router takes digests: one that stops does until it has ended, which shows as silence. It still has
// claims to settle and must know with whom; without digests it would turn to routers that have gone, and its stop would not end.
func (m *member) listens(now time.Time, silence time.Duration) bool {
	stops := m.status == pomelorelay.MemberLeaving && now.Sub(m.heard) < silence
	return m.located && (m.live() || stops)
}

// placed reports whether shared jobs may be given to the router.
func (m *member) placed() bool { return m.located && m.live() && !m.draining }

func (m *member) state() pomelorelay.MemberState {
	return pomelorelay.MemberState{Node: m.peer.Node, Incarnation: m.incarnation, Status: m.status}
}

// member returns the record of a router and makes one when there is none.
func (v *View) member(node pomelorelay.NodeID) *member {
	if m := v.lookup(node); m != nil {
		return m
	}
	m := &member{peer: pomelorelay.Peer{Node: node}}
	at, _ := slices.BinarySearchFunc(v.members, node, func(m *member, node pomelorelay.NodeID) int {
		return strings.Compare(string(m.peer.Node), string(node))
	})
	v.members = slices.Insert(v.members, at, m)
	v.byNode[node] = m
	return m
}

// lookup returns the record of a router, or nil when there is none.
func (v *View) lookup(node pomelorelay.NodeID) *member { return v.byNode[node] }

// believe sets a member's status and notes the change for digests, for Changes and for the next Snapshot.
func (v *View) believe(now time.Time, m *member, incarnation pomelorelay.Incarnation, status pomelorelay.MemberStatus) {
	restarted := incarnation > m.incarnation && m.started != 0 && incarnation > m.started+maxRefutations
	before := m.live()
	m.incarnation = incarnation
	m.status = status
	m.repeats = v.cfg.Options.Repeats
	switch status {
	case pomelorelay.MemberSuspect:
		m.suspected = now
	case pomelorelay.MemberDead, pomelorelay.MemberLeaving:
		m.died = now
	}
	if restarted {
		m.started = 0
	}
	if before != m.live() || restarted {
		v.changes = append(v.changes, Change{Peer: m.peer, Incarnation: incarnation, Status: status})
	}
	v.snapshot = nil
	v.early = true
}

// maxRefutations separates an incarnation raised by refutations from that of a new process: starts are nanoseconds apart by far more.
const maxRefutations = 1 << 20
