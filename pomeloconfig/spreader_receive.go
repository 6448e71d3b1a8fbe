package pomeloconfig

import (
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// HandlePull answers a peer with the root in force, when it is above the peer's, and with the parts that it asked for, in messages of
// bounded size. A router that is itself behind answers with what it has.
func (s *Syncer) HandlePull(now time.Time, from pomelorelay.NodeID, m *pomelorelay.ConfigPull, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	if !s.serve(now, from) {
		return out
	}
	if s.inForce.generation() > m.Above {
		push := &pomelorelay.ConfigPush{Root: s.inForce.data}
		out = append(out, pomelorelay.Outgoing{To: from, Message: push})
	}
	var parts [][]byte
	size := pomelorelay.Bytes(0)
	for i, hash := range m.Parts {
		data := s.inForce.parts[hash]
		if data == nil || i >= maxPullHashes {
			continue
		}
		if size > 0 && size+pomelorelay.Bytes(len(data)) > s.cfg.MaxPush {
			out = append(out, pomelorelay.Outgoing{To: from, Message: &pomelorelay.ConfigPush{Parts: parts}})
			parts, size = nil, 0
		}
		parts = append(parts, data)
		size += pomelorelay.Bytes(len(data))
	}
	if len(parts) == 0 {
		return out
	}
	return append(out, pomelorelay.Outgoing{To: from, Message: &pomelorelay.ConfigPush{Parts: parts}})
}

// serve admits a peer that is being served already, or while fewer than MaxServes are.
func (s *Syncer) serve(now time.Time, from pomelorelay.NodeID) bool {
	for peer, until := range s.served {
		if !now.Before(until) {
			delete(s.served, peer)
		}
	}
	if _, ok := s.served[from]; !ok && len(s.served) >= s.cfg.MaxServes {
		return false
	}
	s.served[from] = now.Add(s.cfg.PullTimeout)
	return true
}

// HandlePush takes a root and parts from a peer. It keeps only a root above the one in force and parts that its target names.
func (s *Syncer) HandlePush(now time.Time, from pomelorelay.NodeID, m *pomelorelay.ConfigPush, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	progress := false
	if len(m.Root) > 0 {
		progress = s.takeRoot(m.Root)
	}
	for _, data := range m.Parts {
		progress = s.takePart(data) || progress
	}
	if !progress {
		return out
	}
	s.pull.failures = 0
	if s.target.generation() == 0 || len(s.missing(1)) == 0 {
		s.pull.from = ""
		return out
	}
	// Parts of one answer arrive in several messages; the next pull waits for the last of them, or for the deadline.
	if s.pull.from == from && s.awaited() {
		s.pull.deadline = now.Add(s.cfg.PullTimeout)
		return out
	}
	return s.ask(now, from, out)
}

// awaited tells whether a part of the pull in progress is still to come.
func (s *Syncer) awaited() bool {
	for _, hash := range s.pull.parts {
		if s.part(hash) == nil {
			return true
		}
	}
	return false
}

// HandleStoredRoot takes the root as the node read it from the store, or as a watch reported it; nil means that the store has none.
func (s *Syncer) HandleStoredRoot(_ time.Time, data []byte) {
	s.store.wantRoot = false
	if len(data) == 0 {
		return
	}
	if s.alarm(data) {
		return
	}
	s.takeRoot(data)
}

// alarm tells when the store holds an older root than the one in force, or another of its generation. That comes about when the
// store is restored from an old copy. Followed, it would take accepted changes back; so the router stays and says so, once for
// each such root.
func (s *Syncer) alarm(data []byte) bool {
	root, err := DecodeRoot(data)
	if err != nil || s.inForce.generation() == 0 || root.Generation > s.inForce.generation() {
		return false
	}
	hash := HashOf(data)
	if hash == s.inForce.hash || hash == s.alarmedAt {
		return true
	}
	s.alarmedAt = hash
	event := pomelorelay.EventConfigStoreOlder
	if root.Generation == s.inForce.generation() {
		event = pomelorelay.EventConfigForked
	}
	s.cfg.Logger.Log(event,
		pomelorelay.Field{Key: "Stored", Value: root.Generation}, pomelorelay.Field{Key: "InForce", Value: s.inForce.generation()})
	return true
}

// HandleStoredPart takes a part as the node read it from the store. While parts come, the node is not asked for the same ones again:
// reading all of them within its call budget takes longer than StoreWait.
func (s *Syncer) HandleStoredPart(now time.Time, data []byte) {
	if len(data) > 0 && s.takePart(data) {
		s.store.partsAsked = now
	}
}

// takeRoot makes a root the target when it is above everything known, and returns whether it did.
func (s *Syncer) takeRoot(data []byte) bool {
	root, err := DecodeRoot(data)
	if err != nil {
		s.cfg.Logger.Log(pomelorelay.EventConfigBadRoot, pomelorelay.Field{Key: "Error", Value: err.Error()})
		return false
	}
	if root.Generation <= s.known() {
		return false
	}
	s.target = heldRoot{root: root, hash: HashOf(data), data: data}
	s.pull.parts = nil
	s.progressed = true
	s.store.partsAsked = time.Time{}
	s.keepWanted()
	return true
}

// keepWanted drops fetched parts that the new target does not name; an overtaken target's parts would else add up.
func (s *Syncer) keepWanted() {
	wanted := make(map[pomelorelay.Hash]bool, len(s.target.root.Parts))
	for _, hash := range s.target.root.Parts {
		wanted[hash] = true
	}
	for hash := range s.fresh {
		if !wanted[hash] {
			delete(s.fresh, hash)
		}
	}
}

// takePart keeps a part that the target lacks, and returns whether it did. The part's own bytes give its hash, so a damaged one
// is one that nobody asked for.
func (s *Syncer) takePart(data []byte) bool {
	hash := HashOf(data)
	for _, wanted := range s.target.root.Parts {
		if wanted != hash {
			continue
		}
		if s.part(hash) != nil {
			return false
		}
		s.fresh[hash] = data
		s.progressed = true
		return true
	}
	// A part that another peer or the store was also asked for arrives late; that is no fault.
	if s.inForce.parts[hash] == nil {
		s.cfg.Logger.Log(pomelorelay.EventConfigBadPart, pomelorelay.Field{Key: "Hash", Value: hashText(hash)})
	}
	return false
}

// Candidate returns the target once all its parts are here; the node assembles and compiles it outside its control thread, and
// then calls InForce or Refused.
func (s *Syncer) Candidate() (Candidate, bool) {
	if s.target.generation() == 0 || len(s.missing(1)) > 0 {
		return Candidate{}, false
	}
	return Candidate{Root: s.target.root, Parts: s.targetParts()}, true
}

func (s *Syncer) targetParts() map[pomelorelay.Hash][]byte {
	parts := make(map[pomelorelay.Hash][]byte, len(s.target.root.Parts))
	for _, hash := range s.target.root.Parts {
		parts[hash] = s.part(hash)
	}
	return parts
}

// MarkInForce tells that the node has put the candidate of the generation in force. A candidate that was overtaken meanwhile is
// passed over; its successor comes by itself.
func (s *Syncer) MarkInForce(generation pomelorelay.Generation) {
	if generation != s.target.generation() || generation <= s.inForce.generation() || len(s.missing(1)) > 0 {
		return
	}
	s.target.parts = s.targetParts()
	s.inForce = s.target
	s.clearTarget()
	s.cfg.Logger.Log(pomelorelay.EventConfigInForce, pomelorelay.Field{Key: "Generation", Value: generation})
}

// MarkRefused tells that the node cannot apply the candidate of the generation. The last one stays in force, and only a higher
// generation is taken from now on.
func (s *Syncer) MarkRefused(generation pomelorelay.Generation, code pomelorelay.ResultCode, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	if generation != s.target.generation() {
		return out
	}
	s.refused = heldRoot{root: Root{Generation: generation}, hash: s.target.hash}
	s.clearTarget()
	s.cfg.Logger.Log(pomelorelay.EventConfigRefused,
		pomelorelay.Field{Key: "Generation", Value: generation}, pomelorelay.Field{Key: "Code", Value: code})
	m := &pomelorelay.ConfigApplied{Generation: s.inForce.generation(), Refused: generation, Code: code}
	for _, peer := range s.peers {
		out = append(out, pomelorelay.Outgoing{To: peer, Message: m})
	}
	return out
}

// HandleApplied takes a peer's word that it cannot apply a generation.
func (s *Syncer) HandleApplied(_ time.Time, from pomelorelay.NodeID, m *pomelorelay.ConfigApplied) {
	if _, ok := slices.BinarySearch(s.peers, from); ok && m.Refused > 0 {
		s.refusals[from] = *m
	}
}

// Refusals returns the peers that said that they cannot apply a generation above the one that they now have.
func (s *Syncer) Refusals() map[pomelorelay.NodeID]pomelorelay.ConfigApplied {
	refusals := make(map[pomelorelay.NodeID]pomelorelay.ConfigApplied, len(s.refusals))
	for node, m := range s.refusals {
		if s.told[node] < m.Refused {
			refusals[node] = m
		}
	}
	return refusals
}

func (s *Syncer) clearTarget() {
	s.target = heldRoot{}
	s.pull = pullState{}
	s.fresh = make(map[pomelorelay.Hash][]byte)
}
