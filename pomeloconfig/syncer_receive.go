package pomeloconfig

import (
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// HandlePull handles a peer's pull. It sends the root of the configuration in force if its generation is above the peer's, and those
// requested parts that belong to the configuration in force, in messages of bounded size.
func (s *Syncer) HandlePull(now time.Time, from pomelorelay.NodeID, m *pomelorelay.ConfigPull, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	if !s.admitPull(now, from) {
		return out
	}
	if s.inForce.generation() > m.AboveGeneration {
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
		if size > 0 && size+pomelorelay.Bytes(len(data)) > s.cfg.MaxPushBytes {
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

// admitPull reports whether the peer's pull may be answered: the peer is already being served, or fewer than MaxServedPeers peers are.
func (s *Syncer) admitPull(now time.Time, from pomelorelay.NodeID) bool {
	for peer, until := range s.servedUntil {
		if !now.Before(until) {
			delete(s.servedUntil, peer)
		}
	}
	if _, ok := s.servedUntil[from]; !ok && len(s.servedUntil) >= s.cfg.MaxServedPeers {
		return false
	}
	s.servedUntil[from] = now.Add(s.cfg.PullTimeout)
	return true
}

// HandlePush handles a root and parts from a peer. It makes the root the target only if its generation is above all known ones, and
// keeps a part only if the target root lists its hash.
func (s *Syncer) HandlePush(now time.Time, from pomelorelay.NodeID, m *pomelorelay.ConfigPush, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	progress := false
	if len(m.Root) > 0 {
		progress = s.acceptRoot(m.Root)
	}
	for _, data := range m.Parts {
		progress = s.acceptPart(data) || progress
	}
	if !progress {
		return out
	}
	s.pull.failures = 0
	if s.target.generation() == 0 || len(s.missingParts(1)) == 0 {
		s.pull.peer = ""
		return out
	}
	// The parts of one answer arrive in several messages; the next pull is sent after the last of them or at the deadline.
	if s.pull.peer == from && s.awaitingParts() {
		s.pull.deadline = now.Add(s.cfg.PullTimeout)
		return out
	}
	return s.sendPull(now, from, out)
}

// awaitingParts reports whether a part requested by the pull in progress is missing.
func (s *Syncer) awaitingParts() bool {
	for _, hash := range s.pull.parts {
		if s.part(hash) == nil {
			return true
		}
	}
	return false
}

// HandleStoredRoot handles the root read from the store or reported by a watch; nil means that the store has none.
func (s *Syncer) HandleStoredRoot(_ time.Time, data []byte) {
	s.storeRead.rootNeeded = false
	if len(data) == 0 {
		return
	}
	if s.reportStaleStore(data) {
		return
	}
	s.acceptRoot(data)
}

// reportStaleStore logs, once per root, that the store holds an older root than the one in force or a different one of the same
// generation, which happens after a restore from an old copy. Such a root is not applied: that would revert accepted changes.
// It reports whether the root needs no further handling.
func (s *Syncer) reportStaleStore(data []byte) bool {
	root, err := DecodeRoot(data)
	if err != nil || s.inForce.generation() == 0 || root.Generation > s.inForce.generation() {
		return false
	}
	hash := HashOf(data)
	if hash == s.inForce.hash || hash == s.reportedHash {
		return true
	}
	s.reportedHash = hash
	event := pomelorelay.EventConfigStoreOlder
	if root.Generation == s.inForce.generation() {
		event = pomelorelay.EventConfigForked
	}
	s.cfg.Logger.Log(event,
		pomelorelay.Field{Key: "Stored", Value: root.Generation}, pomelorelay.Field{Key: "InForce", Value: s.inForce.generation()})
	return true
}

// HandleStoredPart handles a part read from the store. While parts arrive, the missing ones are not requested again: within the
// router's rate limit for store calls, reading all parts takes longer than StoreReadTimeout.
func (s *Syncer) HandleStoredPart(now time.Time, data []byte) {
	if len(data) > 0 && s.acceptPart(data) {
		s.storeRead.partsRequestedAt = now
	}
}

// acceptRoot makes a root whose generation is above all known ones the target root, whose parts are then fetched. It reports whether the
// root became the target.
func (s *Syncer) acceptRoot(data []byte) bool {
	root, err := DecodeRoot(data)
	if err != nil {
		s.cfg.Logger.Log(pomelorelay.EventConfigBadRoot, pomelorelay.Field{Key: "Error", Value: err.Error()})
		return false
	}
	if root.Generation <= s.highestKnown() {
		return false
	}
	s.target = rootWithParts{root: root, hash: HashOf(data), data: data}
	s.pull.parts = nil
	s.progressed = true
	s.storeRead.partsRequestedAt = time.Time{}
	s.dropUnneededParts()
	return true
}

// dropUnneededParts drops fetched parts that are not in the new target root; otherwise parts of superseded roots would accumulate.
func (s *Syncer) dropUnneededParts() {
	wanted := make(map[pomelorelay.Hash]bool, len(s.target.root.Parts))
	for _, hash := range s.target.root.Parts {
		wanted[hash] = true
	}
	for hash := range s.fetched {
		if !wanted[hash] {
			delete(s.fetched, hash)
		}
	}
}

// acceptPart keeps a missing part of the target root, and reports whether it did. The hash is computed from the data, so a corrupt
// part appears as one that was not requested.
func (s *Syncer) acceptPart(data []byte) bool {
	hash := HashOf(data)
	for _, wanted := range s.target.root.Parts {
		if wanted != hash {
			continue
		}
		if s.part(hash) != nil {
			return false
		}
		s.fetched[hash] = data
		s.progressed = true
		return true
	}
	// A part that is already in force was requested from several sources and arrived late; this is not an error.
	if s.inForce.parts[hash] == nil {
		s.cfg.Logger.Log(pomelorelay.EventConfigBadPart, pomelorelay.Field{Key: "Hash", Value: hashHex(hash)})
	}
	return false
}

// Candidate returns the target root with its parts once all have been fetched. The caller assembles and compiles the configuration
// outside the router's control loop, and then calls MarkInForce or MarkRefused.
func (s *Syncer) Candidate() (Candidate, bool) {
	if s.target.generation() == 0 || len(s.missingParts(1)) > 0 {
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

// MarkInForce records that the candidate of the generation has been put in force. The call is ignored if a newer root has
// replaced the candidate meanwhile; the newer root becomes the next candidate.
func (s *Syncer) MarkInForce(generation pomelorelay.Generation) {
	if generation != s.target.generation() || generation <= s.inForce.generation() || len(s.missingParts(1)) > 0 {
		return
	}
	s.target.parts = s.targetParts()
	s.inForce = s.target
	s.clearTarget()
	s.cfg.Logger.Log(pomelorelay.EventConfigInForce, pomelorelay.Field{Key: "Generation", Value: generation})
}

// MarkRefused records that the candidate of the generation cannot be applied, and notifies the peers. The previous configuration
// stays in force, and from then on only higher generations are accepted.
func (s *Syncer) MarkRefused(generation pomelorelay.Generation, code pomelorelay.ResultCode, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	if generation != s.target.generation() {
		return out
	}
	s.refusedRoot = rootWithParts{root: Root{Generation: generation}, hash: s.target.hash}
	s.clearTarget()
	s.cfg.Logger.Log(pomelorelay.EventConfigRefused,
		pomelorelay.Field{Key: "Generation", Value: generation}, pomelorelay.Field{Key: "Code", Value: code})
	m := &pomelorelay.ConfigApplied{Generation: s.inForce.generation(), RefusedGeneration: generation, RefusalCode: code}
	for _, peer := range s.peers {
		out = append(out, pomelorelay.Outgoing{To: peer, Message: m})
	}
	return out
}

// HandleApplied records a peer's report that it cannot apply a generation.
func (s *Syncer) HandleApplied(_ time.Time, from pomelorelay.NodeID, m *pomelorelay.ConfigApplied) {
	if _, ok := slices.BinarySearch(s.peers, from); ok && m.RefusedGeneration > 0 {
		s.refusals[from] = *m
	}
}

// Refusals returns the reports of the peers that could not apply a generation above the one that they have in force.
func (s *Syncer) Refusals() map[pomelorelay.NodeID]pomelorelay.ConfigApplied {
	refusals := make(map[pomelorelay.NodeID]pomelorelay.ConfigApplied, len(s.refusals))
	for node, m := range s.refusals {
		if s.peerGenerations[node] < m.RefusedGeneration {
			refusals[node] = m
		}
	}
	return refusals
}

func (s *Syncer) clearTarget() {
	s.target = rootWithParts{}
	s.pull = pullState{}
	s.fetched = make(map[pomelorelay.Hash][]byte)
}
