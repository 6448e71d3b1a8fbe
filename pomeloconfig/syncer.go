package pomeloconfig

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Defaults for the zero fields of SyncerConfig, and fixed limits.
const (
	DefaultMaxPushBytes     = pomelorelay.Bytes(128 << 10)
	DefaultPullTimeout      = 500 * time.Millisecond
	DefaultStoreReadTimeout = time.Second
	DefaultMaxServedPeers   = 4
	maxPullHashes           = 256
	failedPullsBeforeStore  = 2
	pullTimeoutsBeforeDrop  = 12
)

// SyncerConfig sets limits, timeouts and dependencies; zero fields take their defaults.
type SyncerConfig struct {
	// MaxPushBytes is the maximum size of the parts in one push message; a larger part is sent in a message of its own.
	MaxPushBytes pomelorelay.Bytes
	// PullTimeout is how long a pull may make no progress before another source is asked.
	PullTimeout time.Duration
	// StoreReadTimeout is how long to wait for a store read before it is requested again.
	StoreReadTimeout time.Duration
	// MaxServedPeers is the maximum number of peers whose pulls are answered within one PullTimeout; pulls of other peers get no answer, so
	// that those peers ask another router. Without the limit every router of a failure domain would pull from the first router that has a
	// new generation, and the send queue of that router would fill with answers that arrive too late.
	MaxServedPeers int
	// Seed seeds the random choice of peers.
	Seed uint64
	// Logger receives events; nil discards them.
	Logger pomelorelay.Logger
}

// Candidate is a complete configuration above the generation in force, with verified hashes, that has not been validated yet.
type Candidate struct {
	Root  Root
	Parts map[pomelorelay.Hash][]byte
}

// StoreReads lists the records that the caller must read from the store and pass to HandleStoredRoot and HandleStoredPart.
type StoreReads struct {
	Root  bool
	Parts []pomelorelay.Hash
}

// Syncer is the state machine by which a router gets the newest configuration: from a peer that announced it, otherwise from
// the store. It never goes to a lower generation. It performs no I/O and is not safe for concurrent use.
type Syncer struct {
	cfg    SyncerConfig
	random *rand.Rand
	peers  []pomelorelay.NodeID
	// peerGenerations holds the generation last announced by each peer, which is lower after a restart of the peer.
	peerGenerations map[pomelorelay.NodeID]pomelorelay.Generation

	inForce     rootWithParts
	refusedRoot rootWithParts
	// target is the newest known root above the one in force; fetched collects its parts that are not yet in force.
	target  rootWithParts
	fetched map[pomelorelay.Hash][]byte
	// progressed is set when a root or part arrives, and cleared by the next tick, which sets lastProgress.
	progressed   bool
	lastProgress time.Time

	pull         pullState
	storeRead    storeReadState
	servedUntil  map[pomelorelay.NodeID]time.Time
	refusals     map[pomelorelay.NodeID]pomelorelay.ConfigApplied
	reportedHash pomelorelay.Hash
}

// rootWithParts is a root with its encoding and parts; the zero value means none.
type rootWithParts struct {
	root  Root
	hash  pomelorelay.Hash
	data  []byte
	parts map[pomelorelay.Hash][]byte
}

func (r rootWithParts) generation() pomelorelay.Generation { return r.root.Generation }

// pullState is the state of the pull in progress; peer is empty when there is none.
type pullState struct {
	peer     pomelorelay.NodeID
	parts    []pomelorelay.Hash
	deadline time.Time
	failures int
}

// storeReadState records the store reads that were requested.
type storeReadState struct {
	rootRequestedAt  time.Time
	partsRequestedAt time.Time
	rootNeeded       bool
}

// NewSyncer returns the Syncer of a router that has no configuration yet.
func NewSyncer(cfg SyncerConfig) *Syncer {
	if cfg.MaxPushBytes == 0 {
		cfg.MaxPushBytes = DefaultMaxPushBytes
	}
	if cfg.PullTimeout == 0 {
		cfg.PullTimeout = DefaultPullTimeout
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
	return &Syncer{
		cfg:             cfg,
		random:          rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		peerGenerations: make(map[pomelorelay.NodeID]pomelorelay.Generation),
		fetched:         make(map[pomelorelay.Hash][]byte),
		servedUntil:     make(map[pomelorelay.NodeID]time.Time),
		refusals:        make(map[pomelorelay.NodeID]pomelorelay.ConfigApplied),
	}
}

// SetPeers replaces the routers from which configurations can be pulled, and drops the generations and refusals of removed ones.
func (s *Syncer) SetPeers(peers []pomelorelay.NodeID) {
	s.peers = slices.Clone(peers)
	slices.Sort(s.peers)
	for node := range s.peerGenerations {
		if _, ok := slices.BinarySearch(s.peers, node); !ok {
			delete(s.peerGenerations, node)
			delete(s.refusals, node)
		}
	}
}

// Generation returns the generation in force; it is zero when there is none, and the router is then not ready.
func (s *Syncer) Generation() pomelorelay.Generation { return s.inForce.generation() }

// NewestGeneration returns the highest generation known: in force here, known here but not yet in force, or announced by a peer.
func (s *Syncer) NewestGeneration() pomelorelay.Generation {
	newest := max(s.inForce.generation(), s.target.generation())
	for _, generation := range s.peerGenerations {
		newest = max(newest, generation)
	}
	return newest
}

// HandleGeneration records the generation from the envelope of a peer's message, and starts a pull if that generation is newer than any
// known one.
func (s *Syncer) HandleGeneration(now time.Time, from pomelorelay.NodeID, generation pomelorelay.Generation, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
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

// highestKnown returns the generation above which a root is useful; refused generations count as known.
func (s *Syncer) highestKnown() pomelorelay.Generation {
	return max(s.inForce.generation(), s.target.generation(), s.refusedRoot.generation())
}

// sendPull requests a root above all known generations and the next missing parts of the target, the newest known root.
func (s *Syncer) sendPull(now time.Time, to pomelorelay.NodeID, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	pull := &pomelorelay.ConfigPull{AboveGeneration: s.highestKnown(), Parts: s.missingParts(maxPullHashes)}
	s.pull.peer = to
	s.pull.parts = pull.Parts
	s.pull.deadline = now.Add(s.cfg.PullTimeout)
	return append(out, pomelorelay.Outgoing{To: to, Message: pull})
}

// missingParts returns the hashes of parts of the target, the newest known root, that this router does not have, up to limit.
func (s *Syncer) missingParts(limit int) []pomelorelay.Hash {
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

// part returns a part from the fetched ones or from the configuration in force, which shares most parts with the newer one that is being
// fetched.
func (s *Syncer) part(hash pomelorelay.Hash) []byte {
	if data, ok := s.fetched[hash]; ok {
		return data
	}
	return s.inForce.parts[hash]
}

// Tick switches to another source when a pull times out, and sends pulls as long as a newer configuration is missing.
func (s *Syncer) Tick(now time.Time, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
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

// handleStall requests the root from the store after repeated failed pulls, and drops a target root whose missing parts have not
// arrived for a long time. Otherwise a corrupt root with a high generation would block every valid one below it forever.
func (s *Syncer) handleStall(now time.Time) {
	if s.pull.failures >= failedPullsBeforeStore {
		s.storeRead.rootNeeded = true
	}
	if s.progressed {
		s.progressed = false
		s.lastProgress = now
	}
	if len(s.missingParts(1)) > 0 && now.Sub(s.lastProgress) >= pullTimeoutsBeforeDrop*s.cfg.PullTimeout {
		s.clearTarget()
		s.storeRead.rootNeeded = true
	}
}

// needsUpdate reports whether a newer configuration is known, or the router has none.
func (s *Syncer) needsUpdate() bool {
	return s.inForce.generation() == 0 || s.target.generation() > 0 || s.NewestGeneration() > s.highestKnown()
}

// choosePeer returns a random peer that announced at least the generation of the target root or, without a target root, a
// generation above all known ones. If there is no such peer, a router without a configuration asks any peer.
func (s *Syncer) choosePeer() (pomelorelay.NodeID, bool) {
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

// PendingStoreReads returns the store reads to perform now; a read without result is requested again after StoreReadTimeout. A router
// without a configuration reads the root at once, others only after pulls from peers have failed.
func (s *Syncer) PendingStoreReads(now time.Time) StoreReads {
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

func (s *Syncer) storeReadDue(now, requestedAt time.Time) bool {
	return requestedAt.IsZero() || now.Sub(requestedAt) >= s.cfg.StoreReadTimeout
}
