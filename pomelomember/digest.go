package pomelomember

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// maxReached bounds the failure domains that one digest names.
const maxReached = 64

// relayEach is the number of digests of which one carries slots of other failure domains: they go to every router of
// the domain, so they are most of what a gateway sends.
const relayEach = 4

// joinsEach is the number of routers not heard that are asked at each JoinEvery; a cold router asks more.
const (
	joinsEach = 3
	joinsCold = 16
)

// HandleDigest takes a router's digest.
func (v *View) HandleDigest(now time.Time, from pomelorelay.NodeID, incarnation pomelorelay.Incarnation, d *pomelorelay.Digest, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	known := v.lookup(from)
	news := known == nil || known.started < incarnation
	v.RecordMessage(now, from, incarnation)
	for _, state := range d.Members {
		v.merge(now, state)
	}
	sender := v.lookup(from)
	if sender == nil || !sender.located {
		return v.acknowledge(now, sender, out)
	}
	v.slots.take(now, sender.peer.Domain, d.Slots)
	if sender.peer.Domain == v.cfg.Self.Domain {
		v.takeReached(now, d.Reached)
	}
	if news && v.greets(from) {
		out = append(out, pomelorelay.Outgoing{To: from, Message: v.full()})
	}
	return v.correct(now, sender, out)
}

// acknowledge shows a router without a known address that it is heard. Only routers named by the settings are known
// while there is no host list; without this they would hear the others and seem dead to them.
func (v *View) acknowledge(now time.Time, m *member, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	if m == nil || now.Sub(m.told) < v.digestEvery()/2 {
		return out
	}
	m.told = now
	v.digestSeq++
	return append(out, pomelorelay.Outgoing{To: m.peer.Node, Message: &pomelorelay.Digest{Seq: v.digestSeq, Members: []pomelorelay.MemberState{v.selfState(), m.state()}}})
}

// takeReached notes which failure domains a router of this one heard.
func (v *View) takeReached(now time.Time, domains []pomelorelay.DomainID) {
	for _, domain := range domains[:min(len(domains), maxReached)] {
		if domain != v.cfg.Self.Domain {
			v.reached[domain] = now
		}
	}
}

// greets reports whether this router is among the few that tell a newcomer everything.
func (v *View) greets(node pomelorelay.NodeID) bool {
	ranked := Rank("greet/"+string(node), v.domainMembers(v.cfg.Self.Domain))
	for _, greeter := range ranked[:min(len(ranked), v.cfg.Options.Helpers)] {
		if greeter == v.cfg.Self.Node {
			return true
		}
	}
	return false
}

// correct tells a router that is heard what is believed of it when that is not alive, so that it can refute; without
// it two sides of a healed partition would keep each other for dead.
func (v *View) correct(now time.Time, m *member, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	if m.status == pomelorelay.MemberAlive || m.status == pomelorelay.MemberLeaving || now.Sub(m.told) < v.cfg.Options.EarlyDigest {
		return out
	}
	m.told = now
	v.digestSeq++
	return append(out, pomelorelay.Outgoing{To: m.peer.Node, Message: &pomelorelay.Digest{Seq: v.digestSeq, Members: []pomelorelay.MemberState{v.selfState(), m.state()}}})
}

// merge takes another router's belief: the higher incarnation wins, then the worse status.
func (v *View) merge(now time.Time, s pomelorelay.MemberState) {
	if s.Node == v.cfg.Self.Node {
		v.refute(s)
		return
	}
	m := v.member(s.Node)
	if s.Incarnation < m.incarnation || s.Incarnation == m.incarnation && s.Status <= m.status {
		return
	}
	if s.Status == pomelorelay.MemberDead && m.live() && now.Sub(m.heard) < v.cfg.Options.EarlyDigest {
		s.Status = pomelorelay.MemberSuspect
		if s.Incarnation == m.incarnation && m.status == pomelorelay.MemberSuspect {
			return
		}
	}
	v.believe(now, m, s.Incarnation, s.Status)
}

// refute raises this router's incarnation above a belief that it is not alive. After a restart with a clock that ran
// back, it also lifts it above that of its former process.
func (v *View) refute(s pomelorelay.MemberState) {
	if s.Incarnation < v.incarnation || s.Incarnation == v.incarnation && s.Status == pomelorelay.MemberAlive || v.leaving {
		return
	}
	v.incarnation = s.Incarnation + 1
	v.early = true
}

func (v *View) selfState() pomelorelay.MemberState {
	status := pomelorelay.MemberAlive
	if v.leaving {
		status = pomelorelay.MemberLeaving
	}
	return pomelorelay.MemberState{Node: v.cfg.Self.Node, Incarnation: v.incarnation, Status: status}
}

// digests sends this router's digest to its failure domain and, from gateways, to the others, when it is due.
func (v *View) digests(now time.Time, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	due := !now.Before(v.nextDigest)
	early := v.early && now.Sub(v.lastDigest) >= v.cfg.Options.EarlyDigest
	if !due && !early {
		return out
	}
	v.lastDigest = now
	v.early = false
	if due {
		every := v.digestEvery()
		v.nextDigest = now.Add(every - v.jitter(every/8))
	}
	news := v.news()
	out = v.domainDigests(now, news, out)
	out = v.gatewayDigestsWith(now, news, out)
	return out
}

// digestEvery is the interval of digests. It grows with the failure domain: at a fixed one, 60 routers that each tell 59 others
// four times a second would be seen to spend twice a node's control budget on digests.
func (v *View) digestEvery() time.Duration {
	routers := len(v.domainMembers(v.cfg.Self.Domain))
	return max(v.cfg.Options.DigestInterval, time.Duration(routers)*time.Second/time.Duration(v.cfg.Options.MaxDigestsPerSecond))
}

// news returns this router's own state and the beliefs that changed lately.
func (v *View) news() []pomelorelay.MemberState {
	states := []pomelorelay.MemberState{v.selfState()}
	for _, m := range v.members {
		if m.repeats > 0 {
			m.repeats--
			states = append(states, m.state())
		}
	}
	return states
}

func (v *View) domainDigests(now time.Time, news []pomelorelay.MemberState, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	v.digestSeq++
	digest := &pomelorelay.Digest{Seq: v.digestSeq, Members: news, Reached: v.heardDomains(now)}
	digest.Slots = v.slots.own(digest.Slots)
	v.domainDigestCount++
	if v.domainDigestCount%relayEach == 0 {
		digest.Slots = v.slots.useful(v.cfg.Self.Domain, false, v.cfg.Options.RelayedSlots, digest.Slots)
	}
	for _, m := range v.members {
		if m.peer.Domain == v.cfg.Self.Domain && m.listens(now, v.cfg.Options.DomainSilent) {
			out = append(out, pomelorelay.Outgoing{To: m.peer.Node, Message: digest})
		}
	}
	return out
}

// heardDomains returns the other failure domains from which a message came here lately.
func (v *View) heardDomains(now time.Time) []pomelorelay.DomainID {
	var domains []pomelorelay.DomainID
	lately := 2 * v.digestEvery()
	for _, m := range v.members {
		if !m.located || m.peer.Domain == v.cfg.Self.Domain || now.Sub(m.heard) >= lately || m.heard.IsZero() {
			continue
		}
		if !containsDomain(domains, m.peer.Domain) {
			domains = append(domains, m.peer.Domain)
		}
	}
	return domains
}

func containsDomain(domains []pomelorelay.DomainID, domain pomelorelay.DomainID) bool {
	for _, d := range domains {
		if d == domain {
			return true
		}
	}
	return false
}

// join asks routers that are listed but not believed alive: newcomers, the other side of a healed partition, and
// everybody when this router starts.
func (v *View) join(now time.Time, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	if now.Before(v.nextJoin) {
		return out
	}
	v.nextJoin = now.Add(v.cfg.Options.JoinEvery)
	var absent []*member
	for _, m := range v.members {
		if m.located && m.listed && !m.live() && m.peer.Domain == v.cfg.Self.Domain {
			absent = append(absent, m)
		}
	}
	v.random.Shuffle(len(absent), func(i, j int) { absent[i], absent[j] = absent[j], absent[i] })
	limit := joinsEach
	if len(v.domainMembers(v.cfg.Self.Domain)) == 1 {
		limit = joinsCold
	}
	for _, m := range absent[:min(limit, len(absent))] {
		v.digestSeq++
		states := []pomelorelay.MemberState{v.selfState()}
		if m.status != 0 {
			states = append(states, m.state())
		}
		out = append(out, pomelorelay.Outgoing{To: m.peer.Node, Message: &pomelorelay.Digest{Seq: v.digestSeq, Members: states}})
	}
	return out
}

// sync sends everything known to one router, which mends what lost digests left.
func (v *View) sync(now time.Time, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	if now.Before(v.nextSync) {
		return out
	}
	v.nextSync = now.Add(v.cfg.Options.SyncEvery)
	nodes := v.shuffledDomain()
	if len(nodes) == 0 {
		return out
	}
	return append(out, pomelorelay.Outgoing{To: nodes[0], Message: v.full()})
}

func (v *View) full() *pomelorelay.Digest {
	v.digestSeq++
	digest := &pomelorelay.Digest{Seq: v.digestSeq, Members: []pomelorelay.MemberState{v.selfState()}}
	for _, m := range v.members {
		if m.status != 0 {
			digest.Members = append(digest.Members, m.state())
		}
	}
	return digest
}
