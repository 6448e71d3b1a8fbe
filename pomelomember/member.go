package pomelomember

import (
	"slices"
	"strings"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// member is the record of one router.
type member struct {
	peer               pomelorelay.Peer
	incarnation        pomelorelay.Incarnation // incarnation that status applies to; refutations raise it
	processIncarnation pomelorelay.Incarnation // incarnation at the start of the process, from the envelopes of its messages
	status             pomelorelay.MemberStatus
	addressKnown       bool // domain and address are known
	listed             bool // on the last host list or among the seeds
	draining           bool // leaving according to the host list
	lastSeen           time.Time
	suspectedAt        time.Time
	goneAt             time.Time
	lastNotified       time.Time // when this router last sent the member its status
	retransmits        int       // remaining digests that carry the status
}

// live reports whether the router counts as alive; a suspected one does until the suspicion is confirmed.
func (m *member) live() bool {
	return m.status == pomelorelay.MemberAlive || m.status == pomelorelay.MemberSuspect
}

// receivesDigests reports whether digests are sent to the router. A stopping router gets digests until it has been silent for maxSilence,
// because it still has to report the outcomes of claimed requests. Without digests it would report the outcomes to routers that are gone
// and never finish stopping.
func (m *member) receivesDigests(now time.Time, maxSilence time.Duration) bool {
	stopping := m.status == pomelorelay.MemberLeaving && now.Sub(m.lastSeen) < maxSilence
	return m.addressKnown && (m.live() || stopping)
}

// assignable reports whether fleet-wide jobs (slot ownership, ledger and claim shards) may be assigned to the router.
func (m *member) assignable() bool { return m.addressKnown && m.live() && !m.draining }

func (m *member) state() pomelorelay.MemberState {
	return pomelorelay.MemberState{Node: m.peer.Node, Incarnation: m.incarnation, Status: m.status}
}

// member returns the record of a router, which it creates if there is none.
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

// lookup returns the record of a router, or nil if there is none.
func (v *View) lookup(node pomelorelay.NodeID) *member { return v.byNode[node] }

// setStatus sets a member's status, schedules the status for digests and invalidates the snapshot. It adds a Change if the member's
// liveness changed or its process restarted.
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

// maxRefutations is the maximum difference between incarnations of the same process: refutations add one each, while the start times
// of two processes are many more nanoseconds apart.
const maxRefutations = 1 << 20
