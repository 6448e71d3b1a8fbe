package pomelomember

import (
	"slices"
	"strings"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// member is what is believed of one router.
type member struct {
	peer               pomelorelay.Peer
	incarnation        pomelorelay.Incarnation // of the belief, raised by refutations
	processIncarnation pomelorelay.Incarnation // of the process, as on its envelopes
	status             pomelorelay.MemberStatus
	addressKnown       bool // domain and address are known
	listed             bool // on the last host list or among the seeds
	draining           bool // leaving by the host list
	lastSeen           time.Time
	suspectedAt        time.Time
	goneAt             time.Time
	lastNotified       time.Time // when it was last told what is believed of it
	retransmits        int       // digests that still carry the belief
}

// live reports whether the router is believed to work; a suspected one is until the suspicion is confirmed.
func (m *member) live() bool {
	return m.status == pomelorelay.MemberAlive || m.status == pomelorelay.MemberSuspect
}

// receivesDigests reports whether the router takes digests: one that stops does until it has ended, which shows as silence. It still has
// claims to settle and must know with whom; without digests it would turn to routers that have gone, and its stop would not end.
func (m *member) receivesDigests(now time.Time, maxSilence time.Duration) bool {
	stopping := m.status == pomelorelay.MemberLeaving && now.Sub(m.lastSeen) < maxSilence
	return m.addressKnown && (m.live() || stopping)
}

// assignable reports whether shared jobs may be given to the router.
func (m *member) assignable() bool { return m.addressKnown && m.live() && !m.draining }

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

// setStatus sets a member's status and notes the change for digests, for Changes and for the next Snapshot.
func (v *View) setStatus(now time.Time, m *member, incarnation pomelorelay.Incarnation, status pomelorelay.MemberStatus) {
	restarted := incarnation > m.incarnation && m.processIncarnation != 0 && incarnation > m.processIncarnation+maxRefutations
	wasLive := m.live()
	m.incarnation = incarnation
	m.status = status
	m.retransmits = v.cfg.Options.Retransmits
	switch status {
	case pomelorelay.MemberSuspect:
		m.suspectedAt = now
	case pomelorelay.MemberDead, pomelorelay.MemberLeaving:
		m.goneAt = now
	}
	if restarted {
		m.processIncarnation = 0
	}
	if wasLive != m.live() || restarted {
		v.changes = append(v.changes, Change{Peer: m.peer, Incarnation: incarnation, Status: status})
	}
	v.snapshot = nil
	v.digestPending = true
}

// maxRefutations separates an incarnation raised by refutations from that of a new process: starts are nanoseconds apart by far more.
const maxRefutations = 1 << 20
