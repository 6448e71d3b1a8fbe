package pomelomember

import (
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// maxReachedDomains limits the number of failure domains that are accepted from the Reached list of one Digest.
const maxReachedDomains = 64

// relayInterval is the number of digests to this failure domain of which one also carries SlotDigests (the slot state of one upstream) from
// other failure domains. These SlotDigests go to every router of the domain, so they make up most of a gateway's traffic.
const relayInterval = 4

// joinFanout is the number of routers that are contacted per JoinInterval, out of those not known to be alive. coldJoinFanout is used
// instead while no other live router of the failure domain is known.
const (
	joinFanout     = 3
	coldJoinFanout = 16
)

// HandleDigest processes a digest received from a router and appends the replies.
func (v *View) HandleDigest(now time.Time, from pomelorelay.NodeID, incarnation pomelorelay.Incarnation, d *pomelorelay.Digest, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	known := v.lookup(from)
	newProcess := known == nil || known.processIncarnation < incarnation
	v.RecordMessage(now, from, incarnation)
	for _, state := range d.Members {
		v.merge(now, state)
	}
	sender := v.lookup(from)
	if sender == nil || !sender.addressKnown {
		return v.acknowledge(now, sender, out)
	}
	v.slots.record(now, sender.peer.Domain, d.Slots)
	if sender.peer.Domain == v.cfg.Self.Domain {
		v.recordReached(now, d.Reached)
	}
	if newProcess && v.sendsFullStateTo(from) {
		out = append(out, pomelorelay.Outgoing{To: from, Message: v.fullDigest()})
	}
	return v.sendCorrection(now, sender, out)
}

// acknowledge replies to a router that is listed neither on the host list nor in the settings. While there is no host list, such a router
// knows only the seeds in its own settings, and would declare a seed that does not reply dead.
func (v *View) acknowledge(now time.Time, m *member, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	if m == nil || now.Sub(m.lastNotified) < v.digestInterval()/2 {
		return out
	}
	m.lastNotified = now
	v.digestSeq++
	return append(out, pomelorelay.Outgoing{To: m.peer.Node, Message: &pomelorelay.Digest{Seq: v.digestSeq, Members: []pomelorelay.MemberState{v.selfState(), m.state()}}})
}

// recordReached records the failure domains from which another router of this domain recently received messages.
func (v *View) recordReached(now time.Time, domains []pomelorelay.DomainID) {
	for _, domain := range domains[:min(len(domains), maxReachedDomains)] {
		if domain != v.cfg.Self.Domain {
			v.domainSeen[domain] = now
		}
	}
}

// sendsFullStateTo reports whether this router is one of the Helpers that send the status of all routers to a new router.
func (v *View) sendsFullStateTo(node pomelorelay.NodeID) bool {
	ranked := Rank("greet/"+string(node), v.domainMembers(v.cfg.Self.Domain))
	for _, sender := range ranked[:min(len(ranked), v.cfg.Options.Helpers)] {
		if sender == v.cfg.Self.Node {
			return true
		}
	}
	return false
}

// sendCorrection sends a router the status that it has in this view, if this status is suspect or dead although messages from the router
// still arrive, so that the router can refute it. Without these corrections, the two sides of a healed partition would keep considering
// each other dead.
func (v *View) sendCorrection(now time.Time, m *member, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	if m.status == pomelorelay.MemberAlive || m.status == pomelorelay.MemberLeaving || now.Sub(m.lastNotified) < v.cfg.Options.MinDigestInterval {
		return out
	}
	m.lastNotified = now
	v.digestSeq++
	return append(out, pomelorelay.Outgoing{To: m.peer.Node, Message: &pomelorelay.Digest{Seq: v.digestSeq, Members: []pomelorelay.MemberState{v.selfState(), m.state()}}})
}

// merge applies a status received from another router: the higher incarnation wins, then the later status in the order of
// MemberStatus. A router reported dead becomes suspect instead if a message from it arrived within MinDigestInterval.
func (v *View) merge(now time.Time, s pomelorelay.MemberState) {
	if s.Node == v.cfg.Self.Node {
		v.refute(s)
		return
	}
	m := v.member(s.Node)
	if s.Incarnation < m.incarnation || s.Incarnation == m.incarnation && s.Status <= m.status {
		return
	}
	if s.Status == pomelorelay.MemberDead && m.live() && now.Sub(m.lastSeen) < v.cfg.Options.MinDigestInterval {
		s.Status = pomelorelay.MemberSuspect
		if s.Incarnation == m.incarnation && m.status == pomelorelay.MemberSuspect {
			return
		}
	}
	v.setStatus(now, m, s.Incarnation, s.Status)
}

// refute raises this router's incarnation above that of a received status that declares this router suspect, leaving or dead. After a
// restart with a clock set back, the incarnation is also raised above that of the former process.
func (v *View) refute(s pomelorelay.MemberState) {
	if s.Incarnation < v.incarnation || s.Incarnation == v.incarnation && s.Status == pomelorelay.MemberAlive || v.leaving {
		return
	}
	v.incarnation = s.Incarnation + 1
	v.digestPending = true
}

func (v *View) selfState() pomelorelay.MemberState {
	status := pomelorelay.MemberAlive
	if v.leaving {
		status = pomelorelay.MemberLeaving
	}
	return pomelorelay.MemberState{Node: v.cfg.Self.Node, Incarnation: v.incarnation, Status: status}
}

// sendDigests sends the digests of this router that are due: to its failure domain and, if it is a gateway, to other domains.
func (v *View) sendDigests(now time.Time, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	due := !now.Before(v.nextDigest)
	immediate := v.digestPending && now.Sub(v.lastDigest) >= v.cfg.Options.MinDigestInterval
	if !due && !immediate {
		return out
	}
	v.lastDigest = now
	v.digestPending = false
	if due {
		interval := v.digestInterval()
		v.nextDigest = now.Add(interval - v.jitter(interval/8))
	}
	states := v.changedStates()
	out = v.sendDomainDigests(now, states, out)
	out = v.sendGatewayStates(now, states, out)
	return out
}

// digestInterval returns the interval between digests, which grows with the size of the failure domain. At a fixed interval, 60 routers
// that each send digests to 59 others four times a second would use twice a node's byte budget for control messages.
func (v *View) digestInterval() time.Duration {
	routers := len(v.domainMembers(v.cfg.Self.Domain))
	return max(v.cfg.Options.DigestInterval, time.Duration(routers)*time.Second/time.Duration(v.cfg.Options.MaxDigestsPerSecond))
}

// changedStates returns this router's own status and the recent status changes, and uses up one retransmit of each change.
func (v *View) changedStates() []pomelorelay.MemberState {
	states := []pomelorelay.MemberState{v.selfState()}
	for _, m := range v.members {
		if m.retransmits > 0 {
			m.retransmits--
			states = append(states, m.state())
		}
	}
	return states
}

func (v *View) sendDomainDigests(now time.Time, states []pomelorelay.MemberState, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	v.digestSeq++
	digest := &pomelorelay.Digest{Seq: v.digestSeq, Members: states, Reached: v.recentlySeenDomains(now)}
	digest.Slots = v.slots.appendOwned(digest.Slots)
	v.domainDigestCount++
	if v.domainDigestCount%relayInterval == 0 {
		digest.Slots = v.slots.appendBest(v.cfg.Self.Domain, false, v.cfg.Options.MaxRelayedSlots, digest.Slots)
	}
	for _, m := range v.members {
		if m.peer.Domain == v.cfg.Self.Domain && m.receivesDigests(now, v.cfg.Options.DomainSilent) {
			out = append(out, pomelorelay.Outgoing{To: m.peer.Node, Message: digest})
		}
	}
	return out
}

// recentlySeenDomains returns the other failure domains from which this router recently received a message.
func (v *View) recentlySeenDomains(now time.Time) []pomelorelay.DomainID {
	var domains []pomelorelay.DomainID
	maxAge := 2 * v.digestInterval()
	for _, m := range v.members {
		if !m.addressKnown || m.peer.Domain == v.cfg.Self.Domain || now.Sub(m.lastSeen) >= maxAge || m.lastSeen.IsZero() {
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

// join contacts routers that are on the host list but not known to be alive: new ones, those beyond a healed partition and, when this
// router starts, all others.
func (v *View) join(now time.Time, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	if now.Before(v.nextJoin) {
		return out
	}
	v.nextJoin = now.Add(v.cfg.Options.JoinInterval)
	var absent []*member
	for _, m := range v.members {
		if m.addressKnown && m.listed && !m.live() && m.peer.Domain == v.cfg.Self.Domain {
			absent = append(absent, m)
		}
	}
	v.random.Shuffle(len(absent), func(i, j int) { absent[i], absent[j] = absent[j], absent[i] })
	limit := joinFanout
	if len(v.domainMembers(v.cfg.Self.Domain)) == 1 {
		limit = coldJoinFanout
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

// sync sends the status of all routers to one router per SyncInterval, which repairs differences caused by lost digests.
func (v *View) sync(now time.Time, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	if now.Before(v.nextSync) {
		return out
	}
	v.nextSync = now.Add(v.cfg.Options.SyncInterval)
	nodes := v.shuffledDomain()
	if len(nodes) == 0 {
		return out
	}
	return append(out, pomelorelay.Outgoing{To: nodes[0], Message: v.fullDigest()})
}

func (v *View) fullDigest() *pomelorelay.Digest {
	v.digestSeq++
	digest := &pomelorelay.Digest{Seq: v.digestSeq, Members: []pomelorelay.MemberState{v.selfState()}}
	for _, m := range v.members {
		if m.status != 0 {
			digest.Members = append(digest.Members, m.state())
		}
	}
	return digest
}
