package pomelomember

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// probe is a question that waits for an answer.
type probe struct {
	node   pomelorelay.NodeID
	seq    uint64
	sent   time.Time
	helped bool
}

// relayedProbe is a question asked for another router.
type relayedProbe struct {
	seq     uint64
	forNode pomelorelay.NodeID
	forSeq  uint64
	sent    time.Time
}

// maxRelayed bounds the questions asked for others at once.
const maxRelayed = 256

// HandleProbe answers a probe or passes it on.
func (v *View) HandleProbe(now time.Time, from pomelorelay.NodeID, incarnation pomelorelay.Incarnation, p *pomelorelay.Probe, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	v.RecordMessage(now, from, incarnation)
	if p.Target == "" || p.Target == v.cfg.Self.Node {
		return append(out, pomelorelay.Outgoing{To: from, Message: &pomelorelay.ProbeAck{Seq: p.Seq}})
	}
	if len(v.relayed) >= maxRelayed {
		return out
	}
	v.probeSeq++
	v.relayed = append(v.relayed, relayedProbe{seq: v.probeSeq, forNode: from, forSeq: p.Seq, sent: now})
	return append(out, pomelorelay.Outgoing{To: p.Target, Message: &pomelorelay.Probe{Seq: v.probeSeq}})
}

// HandleProbeAck takes the answer to a probe.
func (v *View) HandleProbeAck(now time.Time, from pomelorelay.NodeID, incarnation pomelorelay.Incarnation, a *pomelorelay.ProbeAck, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	v.RecordMessage(now, from, incarnation)
	if a.Target != "" {
		v.vouched(now, a)
		return out
	}
	for i, r := range v.relayed {
		if r.seq != a.Seq {
			continue
		}
		v.relayed = append(v.relayed[:i], v.relayed[i+1:]...)
		return append(out, pomelorelay.Outgoing{To: r.forNode, Message: &pomelorelay.ProbeAck{Seq: r.forSeq, Target: from}})
	}
	return out
}

// vouched takes another router's word that a probed one answered it. So a path that is cut in one direction only does
// not make a working router dead.
func (v *View) vouched(now time.Time, a *pomelorelay.ProbeAck) {
	for _, p := range v.probes {
		if p.seq != a.Seq || p.node != a.Target {
			continue
		}
		if m := v.lookup(a.Target); m != nil {
			m.heard = now
		}
	}
}

// probeNext asks the next router of the failure domain, in rounds of random order.
func (v *View) probeNext(now time.Time, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	if now.Before(v.nextProbe) {
		return out
	}
	v.nextProbe = now.Add(v.cfg.Options.ProbeEvery)
	for range 2 {
		if len(v.round) == 0 {
			v.round = v.shuffledDomain()
		}
		for len(v.round) > 0 {
			node := v.round[0]
			v.round = v.round[1:]
			if m := v.lookup(node); m != nil && m.located && m.live() {
				return v.ask(now, node, out)
			}
		}
	}
	return out
}

func (v *View) shuffledDomain() []pomelorelay.NodeID {
	var nodes []pomelorelay.NodeID
	for _, m := range v.members {
		if m.located && m.live() && m.peer.Domain == v.cfg.Self.Domain {
			nodes = append(nodes, m.peer.Node)
		}
	}
	v.random.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	return nodes
}

func (v *View) ask(now time.Time, node pomelorelay.NodeID, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	for _, p := range v.probes {
		if p.node == node {
			return out
		}
	}
	v.probeSeq++
	v.probes = append(v.probes, probe{node: node, seq: v.probeSeq, sent: now})
	return append(out, pomelorelay.Outgoing{To: node, Message: &pomelorelay.Probe{Seq: v.probeSeq}})
}

// checkProbes asks others to probe a router that did not answer, and suspects it when they get no answer either.
func (v *View) checkProbes(now time.Time, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	kept := v.probes[:0]
	for _, p := range v.probes {
		m := v.lookup(p.node)
		wait := now.Sub(p.sent)
		switch {
		case m == nil || !m.live() || !m.heard.Before(p.sent):
			continue
		case wait >= 2*v.cfg.Options.ProbeTimeout:
			if m.status == pomelorelay.MemberAlive {
				v.believe(now, m, m.incarnation, pomelorelay.MemberSuspect)
			}
			continue
		case wait >= v.cfg.Options.ProbeTimeout && !p.helped:
			p.helped = true
			out = v.askHelpers(p, out)
		}
		kept = append(kept, p)
	}
	v.probes = kept
	v.expireRelayed(now)
	return out
}

func (v *View) askHelpers(p probe, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	asked := 0
	for _, node := range v.shuffledDomain() {
		if asked == v.cfg.Options.Helpers {
			break
		}
		if node == p.node {
			continue
		}
		asked++
		out = append(out, pomelorelay.Outgoing{To: node, Message: &pomelorelay.Probe{Seq: p.seq, Target: p.node}})
	}
	return out
}

func (v *View) expireRelayed(now time.Time) {
	kept := v.relayed[:0]
	for _, r := range v.relayed {
		if now.Sub(r.sent) < 4*v.cfg.Options.ProbeTimeout {
			kept = append(kept, r)
		}
	}
	v.relayed = kept
}

// confirmSuspects declares suspected routers dead that neither refuted nor were heard here since.
func (v *View) confirmSuspects(now time.Time) {
	for _, m := range v.members {
		if m.status != pomelorelay.MemberSuspect || now.Sub(m.suspected) < v.cfg.Options.SuspicionTimeout {
			continue
		}
		if m.heard.After(m.suspected) {
			m.status = pomelorelay.MemberAlive
			continue
		}
		v.believe(now, m, m.incarnation, pomelorelay.MemberDead)
	}
}
