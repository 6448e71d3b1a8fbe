package pomelomember

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// probe is a probe sent by this router and not yet answered.
type probe struct {
	node     pomelorelay.NodeID
	seq      uint64
	sentAt   time.Time
	indirect bool
}

// relayedProbe is an indirect probe sent on behalf of another router.
type relayedProbe struct {
	seq          uint64
	requester    pomelorelay.NodeID
	requesterSeq uint64
	sentAt       time.Time
}

// maxRelayedProbes limits the number of unanswered indirect probes sent on behalf of other routers.
const maxRelayedProbes = 256

// HandleProbe processes a received probe: it appends the answer or, if the probe names another router as its target, an indirect probe to
// that router.
func (v *View) HandleProbe(now time.Time, from pomelorelay.NodeID, incarnation pomelorelay.Incarnation, p *pomelorelay.Probe, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	v.RecordMessage(now, from, incarnation)
	if p.Target == "" || p.Target == v.cfg.Self.Node {
		return append(out, pomelorelay.Outgoing{To: from, Message: &pomelorelay.ProbeAck{Seq: p.Seq}})
	}
	if len(v.relayedProbes) >= maxRelayedProbes {
		return out
	}
	v.probeSeq++
	v.relayedProbes = append(v.relayedProbes, relayedProbe{seq: v.probeSeq, requester: from, requesterSeq: p.Seq, sentAt: now})
	return append(out, pomelorelay.Outgoing{To: p.Target, Message: &pomelorelay.Probe{Seq: v.probeSeq}})
}

// HandleProbeAck processes the answer to a probe and, if the probe was sent on behalf of another router, forwards the answer.
func (v *View) HandleProbeAck(now time.Time, from pomelorelay.NodeID, incarnation pomelorelay.Incarnation, a *pomelorelay.ProbeAck, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	v.RecordMessage(now, from, incarnation)
	if a.Target != "" {
		v.recordIndirectAck(now, a)
		return out
	}
	for i, r := range v.relayedProbes {
		if r.seq != a.Seq {
			continue
		}
		v.relayedProbes = append(v.relayedProbes[:i], v.relayedProbes[i+1:]...)
		return append(out, pomelorelay.Outgoing{To: r.requester, Message: &pomelorelay.ProbeAck{Seq: r.requesterSeq, Target: from}})
	}
	return out
}

// recordIndirectAck records that a probed router answered an indirect probe, so that a working router is not declared dead when the path to
// it is broken in one direction only.
func (v *View) recordIndirectAck(now time.Time, a *pomelorelay.ProbeAck) {
	for _, p := range v.pendingProbes {
		if p.seq != a.Seq || p.node != a.Target {
			continue
		}
		if m := v.lookup(a.Target); m != nil {
			m.lastSeen = now
		}
	}
}

// probeNext probes the next router of the failure domain; each round covers all routers of the domain in random order.
func (v *View) probeNext(now time.Time, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	if now.Before(v.nextProbe) {
		return out
	}
	v.nextProbe = now.Add(v.cfg.Options.ProbeInterval)
	for range 2 {
		if len(v.probeOrder) == 0 {
			v.probeOrder = v.shuffledDomain()
		}
		for len(v.probeOrder) > 0 {
			node := v.probeOrder[0]
			v.probeOrder = v.probeOrder[1:]
			if m := v.lookup(node); m != nil && m.addressKnown && m.live() {
				return v.sendProbe(now, node, out)
			}
		}
	}
	return out
}

func (v *View) shuffledDomain() []pomelorelay.NodeID {
	var nodes []pomelorelay.NodeID
	for _, m := range v.members {
		if m.addressKnown && m.live() && m.peer.Domain == v.cfg.Self.Domain {
			nodes = append(nodes, m.peer.Node)
		}
	}
	v.random.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	return nodes
}

func (v *View) sendProbe(now time.Time, node pomelorelay.NodeID, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	for _, p := range v.pendingProbes {
		if p.node == node {
			return out
		}
	}
	v.probeSeq++
	v.pendingProbes = append(v.pendingProbes, probe{node: node, seq: v.probeSeq, sentAt: now})
	return append(out, pomelorelay.Outgoing{To: node, Message: &pomelorelay.Probe{Seq: v.probeSeq}})
}

// checkProbes sends indirect probes for a router that did not answer, and marks the router as suspect if the indirect probes get no answer
// either.
func (v *View) checkProbes(now time.Time, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	kept := v.pendingProbes[:0]
	for _, p := range v.pendingProbes {
		m := v.lookup(p.node)
		wait := now.Sub(p.sentAt)
		switch {
		case m == nil || !m.live() || !m.lastSeen.Before(p.sentAt):
			continue
		case wait >= 2*v.cfg.Options.ProbeTimeout:
			if m.status == pomelorelay.MemberAlive {
				v.setStatus(now, m, m.incarnation, pomelorelay.MemberSuspect)
			}
			continue
		case wait >= v.cfg.Options.ProbeTimeout && !p.indirect:
			p.indirect = true
			out = v.sendIndirectProbes(p, out)
		}
		kept = append(kept, p)
	}
	v.pendingProbes = kept
	v.expireRelayed(now)
	return out
}

func (v *View) sendIndirectProbes(p probe, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	sent := 0
	for _, node := range v.shuffledDomain() {
		if sent == v.cfg.Options.Helpers {
			break
		}
		if node == p.node {
			continue
		}
		sent++
		out = append(out, pomelorelay.Outgoing{To: node, Message: &pomelorelay.Probe{Seq: p.seq, Target: p.node}})
	}
	return out
}

func (v *View) expireRelayed(now time.Time) {
	kept := v.relayedProbes[:0]
	for _, r := range v.relayedProbes {
		if now.Sub(r.sentAt) < 4*v.cfg.Options.ProbeTimeout {
			kept = append(kept, r)
		}
	}
	v.relayedProbes = kept
}

// confirmSuspects ends suspicions after SuspicionTimeout: a router from which a message arrived in that time is alive, any other is
// declared dead.
func (v *View) confirmSuspects(now time.Time) {
	for _, m := range v.members {
		if m.status != pomelorelay.MemberSuspect || now.Sub(m.suspectedAt) < v.cfg.Options.SuspicionTimeout {
			continue
		}
		if m.lastSeen.After(m.suspectedAt) {
			m.status = pomelorelay.MemberAlive
			continue
		}
		v.setStatus(now, m, m.incarnation, pomelorelay.MemberDead)
	}
}
