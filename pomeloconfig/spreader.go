package pomeloconfig

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Defaults of SpreaderConfig.
const (
	DefaultMaxPushBytes     = pomelorelay.Bytes(128 << 10)
	DefaultPullTimeout      = 500 * time.Millisecond
	DefaultStoreReadTimeout = time.Second
	DefaultMaxServedPeers   = 4
	maxPullHashes           = 256
	failedPullsBeforeStore  = 2
	pullTimeoutsBeforeDrop  = 12
)

// SpreaderConfig is what a Spreader is made of; a zero field takes its default.
type SpreaderConfig struct {
	// MaxPushBytes bounds the parts of one push message; a single larger part goes alone.
	MaxPushBytes pomelorelay.Bytes
	// PullWait is how long a pull may be without progress before another source is asked.
	PullWait time.Duration
	// StoreReadTimeout is how long the node is given for a store read before it is asked again.
	StoreReadTimeout time.Duration
	// MaxServedPeers is how many peers are answered within PullWait; the others ask someone else. Without it every router of a failure
	// domain would pull from the one that first has a new generation, and its queue would fill with answers that come too late.
	MaxServedPeers int
	// Seed starts the choice of peers.
	Seed uint64
	// Logger takes the events.
	Logger pomelorelay.Logger
}

// Candidate is a whole configuration, newer than the one in force, whose hashes match.
type Candidate struct {
	Root  Root
	Parts map[pomelorelay.Hash][]byte
}

// StoreReads is what the node is asked to read from the store, and to hand back by Stored and StoredPart.
type StoreReads struct {
	Root  bool
	Parts []pomelorelay.Hash
}

// Spreader decides how a router comes to the newest configuration: from the peer that told of it, then from the store. It never
// goes to a lower generation. It makes no calls and is not safe for concurrent use.
type Spreader struct {
	cfg    SpreaderConfig
	random *rand.Rand
	peers  []pomelorelay.NodeID
	// peerGenerations is the generation that each peer last had in force; a peer that started anew may have less than before.
	peerGenerations map[pomelorelay.NodeID]pomelorelay.Generation

	inForce     rootWithParts
	refusedRoot rootWithParts
	// target is the newest root known above the one in force; its parts are gathered in fresh.
	target  rootWithParts
	fetched map[pomelorelay.Hash][]byte
	// progressed tells that a root or part came since the last tick, progressAt when one last did.
	progressed   bool
	lastProgress time.Time

	pull         pullState
	storeRead    storeReadState
	servedUntil  map[pomelorelay.NodeID]time.Time
	refusals     map[pomelorelay.NodeID]pomelorelay.ConfigApplied
	reportedHash pomelorelay.Hash
}

// rootWithParts is a root with its bytes and parts; the zero value is none.
type rootWithParts struct {
	root  Root
	hash  pomelorelay.Hash
	data  []byte
	parts map[pomelorelay.Hash][]byte
}

func (h rootWithParts) generation() pomelorelay.Generation { return h.root.Generation }

// pullState is the pull from a peer that is in progress.
type pullState struct {
	peer     pomelorelay.NodeID
	parts    []pomelorelay.Hash
	deadline time.Time
	failures int
}

// storeReadState is the read from the store that the node was asked for.
type storeReadState struct {
	rootRequestedAt  time.Time
	partsRequestedAt time.Time
	rootNeeded       bool
}

// NewSpreader returns a Spreader without a configuration.
func NewSpreader(cfg SpreaderConfig) *Spreader {
	if cfg.MaxPushBytes == 0 {
		cfg.MaxPushBytes = DefaultMaxPushBytes
	}
	if cfg.PullWait == 0 {
		cfg.PullWait = DefaultPullTimeout
	}
	if cfg.StoreReadTimeout == 0 {
		cfg.StoreReadTimeout = DefaultStoreReadTimeout
	}
	if cfg.MaxServedPeers == 0 {
		cfg.MaxServedPeers = DefaultMaxServedPeers
	}
	if cfg.Logger == nil {
		cfg.Logger = pomelorelay.NopLogger{}
	}
	return &Spreader{
		cfg:             cfg,
		random:          rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		peerGenerations: make(map[pomelorelay.NodeID]pomelorelay.Generation),
		fetched:         make(map[pomelorelay.Hash][]byte),
		servedUntil:     make(map[pomelorelay.NodeID]time.Time),
		refusals:        make(map[pomelorelay.NodeID]pomelorelay.ConfigApplied),
	}
}

// SetPeers replaces the routers that may be asked; what a router that is gone had told is forgotten.
func (s *Spreader) SetPeers(peers []pomelorelay.NodeID) {
	s.peers = slices.Clone(peers)
	slices.Sort(s.peers)
	for node := range s.peerGenerations {
		if _, ok := slices.BinarySearch(s.peers, node); !ok {
			delete(s.peerGenerations, node)
			delete(s.refusals, node)
		}
	}
}

// Generation returns the generation in force, zero when there is none: the router is then not ready.
func (s *Spreader) Generation() pomelorelay.Generation { return s.inForce.generation() }

// NewestGeneration returns the highest generation heard of.
func (s *Spreader) NewestGeneration() pomelorelay.Generation {
	newest := max(s.inForce.generation(), s.target.generation())
	for _, generation := range s.peerGenerations {
		newest = max(newest, generation)
	}
	return newest
}

// Seen takes the generation that rode on a peer's envelope.
func (s *Spreader) Seen(now time.Time, from pomelorelay.NodeID, generation pomelorelay.Generation, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	if s.peerGenerations[from] == generation {
		return out
	}
	if _, ok := slices.BinarySearch(s.peers, from); !ok {
		return out
	}
	s.peerGenerations[from] = generation
	if generation <= s.highestKnown() || s.pull.peer != "" {
		return out
	}
	return s.sendPull(now, from, out)
}

// highestKnown is the generation above which a peer's is worth a pull.
func (s *Spreader) highestKnown() pomelorelay.Generation {
	return max(s.inForce.generation(), s.target.generation(), s.refusedRoot.generation())
}

// sendPull sends a pull for the root, or for the next of the missing parts.
func (s *Spreader) sendPull(now time.Time, to pomelorelay.NodeID, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	pull := &pomelorelay.ConfigPull{Above: s.highestKnown(), Parts: s.missingParts(maxPullHashes)}
	s.pull.peer = to
	s.pull.parts = pull.Parts
	s.pull.deadline = now.Add(s.cfg.PullWait)
	return append(out, pomelorelay.Outgoing{To: to, Message: pull})
}

// missingParts returns the hashes of the target's parts that are not here, at most limit of them.
func (s *Spreader) missingParts(limit int) []pomelorelay.Hash {
	var missing []pomelorelay.Hash
	for _, hash := range s.target.root.Parts {
		if len(missing) == limit {
			break
		}
		if s.part(hash) == nil {
			missing = append(missing, hash)
		}
	}
	return missing
}

// part returns a part of the target from what was fetched or from the configuration in force, which shares most of its parts.
func (s *Spreader) part(hash pomelorelay.Hash) []byte {
	if data, ok := s.fetched[hash]; ok {
		return data
	}
	return s.inForce.parts[hash]
}

// Tick turns to another source when a pull makes no progress, and keeps a cold router asking.
func (s *Spreader) Tick(now time.Time, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	if s.pull.peer != "" {
		if now.Before(s.pull.deadline) {
			return out
		}
		s.pull.peer = ""
		s.pull.failures++
	}
	s.handleStall(now)
	if !s.needsUpdate() {
		return out
	}
	peer, ok := s.choosePeer()
	if !ok {
		return out
	}
	return s.sendPull(now, peer, out)
}

// handleStall turns to the store after a few pulls without progress, and drops a target whose missing parts nobody has brought for a
// long time. A root that was damaged into a high generation would else keep the router from every true one below it, for good.
func (s *Spreader) handleStall(now time.Time) {
	if s.pull.failures >= failedPullsBeforeStore {
		s.storeRead.rootNeeded = true
	}
	if s.progressed {
		s.progressed = false
		s.lastProgress = now
	}
	if len(s.missingParts(1)) > 0 && now.Sub(s.lastProgress) >= pullTimeoutsBeforeDrop*s.cfg.PullWait {
		s.clearTarget()
		s.storeRead.rootNeeded = true
	}
}

// needsUpdate tells whether something newer is known or, on a cold router, may be anywhere.
func (s *Spreader) needsUpdate() bool {
	return s.inForce.generation() == 0 || s.target.generation() > 0 || s.NewestGeneration() > s.highestKnown()
}

// choosePeer returns a peer that has what is wanted: for the target's parts one that has at least its generation in force, else one
// that told of a higher generation than is known; a cold router that was told nothing asks anyone.
func (s *Spreader) choosePeer() (pomelorelay.NodeID, bool) {
	minGeneration := s.target.generation()
	if minGeneration == 0 {
		minGeneration = s.highestKnown() + 1
	}
	var eligible []pomelorelay.NodeID
	for _, peer := range s.peers {
		if s.peerGenerations[peer] >= minGeneration {
			eligible = append(eligible, peer)
		}
	}
	if len(eligible) == 0 && s.inForce.generation() == 0 {
		eligible = s.peers
	}
	if len(eligible) == 0 {
		return "", false
	}
	return eligible[s.random.IntN(len(eligible))], true
}

// StoreWants returns what the node should now read from the store; it is asked again after StoreWait when nothing came. A cold
// router wants the root at once, every other one only when its peers failed it.
func (s *Spreader) StoreWants(now time.Time) StoreReads {
	var reads StoreReads
	withoutRoot := s.inForce.generation() == 0 && s.target.generation() == 0
	if (withoutRoot || s.storeRead.rootNeeded && s.needsUpdate()) && s.storeReadDue(now, s.storeRead.rootRequestedAt) {
		reads.Root = true
		s.storeRead.rootRequestedAt = now
	}
	fromStore := s.pull.peer == "" || s.pull.failures >= failedPullsBeforeStore
	if s.target.generation() > 0 && fromStore && s.storeReadDue(now, s.storeRead.partsRequestedAt) {
		reads.Parts = s.missingParts(maxPullHashes)
		s.storeRead.partsRequestedAt = now
	}
	return reads
}

func (s *Spreader) storeReadDue(now, requestedAt time.Time) bool {
	return requestedAt.IsZero() || now.Sub(requestedAt) >= s.cfg.StoreReadTimeout
}
