package pomeloconfig

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Defaults of SpreaderConfig.
const (
	DefaultMaxPush   = pomelorelay.Bytes(128 << 10)
	DefaultPullWait  = 500 * time.Millisecond
	DefaultStoreWait = time.Second
	DefaultMaxServes = 4
	maxPullHashes    = 256
	pullsBeforeStore = 2
	waitsBeforeDrop  = 12
)

// SyncerConfig is what a Spreader is made of; a zero field takes its default.
type SyncerConfig struct {
	// MaxPush bounds the parts of one push message; a single larger part goes alone.
	MaxPush pomelorelay.Bytes
	// PullTimeout is how long a pull may be without progress before another source is asked.
	PullTimeout time.Duration
	// StoreWait is how long the node is given for a store read before it is asked again.
	StoreWait time.Duration
	// MaxServes is how many peers are answered within PullWait; the others ask someone else. Without it every router of a failure
	// domain would pull from the one that first has a new generation, and its queue would fill with answers that come too late.
	MaxServes int
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

// StoreWants is what the node is asked to read from the store, and to hand back by Stored and StoredPart.
type StoreWants struct {
	Root  bool
	Parts []pomelorelay.Hash
}

// Syncer decides how a router comes to the newest configuration: from the peer that told of it, then from the store. It never
// goes to a lower generation. It makes no calls and is not safe for concurrent use.
type Syncer struct {
	cfg    SyncerConfig
	random *rand.Rand
	peers  []pomelorelay.NodeID
	// told is the generation that each peer last had in force; a peer that started anew may have less than before.
	told map[pomelorelay.NodeID]pomelorelay.Generation

	inForce heldRoot
	refused heldRoot
	// target is the newest root known above the one in force; its parts are gathered in fresh.
	target heldRoot
	fresh  map[pomelorelay.Hash][]byte
	// progressed tells that a root or part came since the last tick, progressAt when one last did.
	progressed bool
	progressAt time.Time

	pull      pullState
	store     storeState
	served    map[pomelorelay.NodeID]time.Time
	refusals  map[pomelorelay.NodeID]pomelorelay.ConfigApplied
	alarmedAt pomelorelay.Hash
}

// heldRoot is a root with its bytes and parts; the zero value is none.
type heldRoot struct {
	root  Root
	hash  pomelorelay.Hash
	data  []byte
	parts map[pomelorelay.Hash][]byte
}

func (h heldRoot) generation() pomelorelay.Generation { return h.root.Generation }

// pullState is the pull from a peer that is in progress.
type pullState struct {
	from     pomelorelay.NodeID
	parts    []pomelorelay.Hash
	deadline time.Time
	failures int
}

// storeState is the read from the store that the node was asked for.
type storeState struct {
	rootAsked  time.Time
	partsAsked time.Time
	wantRoot   bool
}

// NewSyncer returns a Spreader without a configuration.
func NewSyncer(cfg SyncerConfig) *Syncer {
	if cfg.MaxPush == 0 {
		cfg.MaxPush = DefaultMaxPush
	}
	if cfg.PullTimeout == 0 {
		cfg.PullTimeout = DefaultPullWait
	}
	if cfg.StoreWait == 0 {
		cfg.StoreWait = DefaultStoreWait
	}
	if cfg.MaxServes == 0 {
		cfg.MaxServes = DefaultMaxServes
	}
	if cfg.Logger == nil {
		cfg.Logger = pomelorelay.NopLogger{}
	}
	return &Syncer{
		cfg:      cfg,
		random:   rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		told:     make(map[pomelorelay.NodeID]pomelorelay.Generation),
		fresh:    make(map[pomelorelay.Hash][]byte),
		served:   make(map[pomelorelay.NodeID]time.Time),
		refusals: make(map[pomelorelay.NodeID]pomelorelay.ConfigApplied),
	}
}

// SetPeers replaces the routers that may be asked; what a router that is gone had told is forgotten.
func (s *Syncer) SetPeers(peers []pomelorelay.NodeID) {
	s.peers = slices.Clone(peers)
	slices.Sort(s.peers)
	for node := range s.told {
		if _, ok := slices.BinarySearch(s.peers, node); !ok {
			delete(s.told, node)
			delete(s.refusals, node)
		}
	}
}

// Generation returns the generation in force, zero when there is none: the router is then not ready.
func (s *Syncer) Generation() pomelorelay.Generation { return s.inForce.generation() }

// Newest returns the highest generation heard of.
func (s *Syncer) Newest() pomelorelay.Generation {
	newest := max(s.inForce.generation(), s.target.generation())
	for _, generation := range s.told {
		newest = max(newest, generation)
	}
	return newest
}

// HandleGeneration takes the generation that rode on a peer's envelope.
func (s *Syncer) HandleGeneration(now time.Time, from pomelorelay.NodeID, generation pomelorelay.Generation, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	if s.told[from] == generation {
		return out
	}
	if _, ok := slices.BinarySearch(s.peers, from); !ok {
		return out
	}
	s.told[from] = generation
	if generation <= s.known() || s.pull.from != "" {
		return out
	}
	return s.ask(now, from, out)
}

// known is the generation above which a peer's is worth a pull.
func (s *Syncer) known() pomelorelay.Generation {
	return max(s.inForce.generation(), s.target.generation(), s.refused.generation())
}

// ask sends a pull for the root, or for the next of the missing parts.
func (s *Syncer) ask(now time.Time, from pomelorelay.NodeID, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	pull := &pomelorelay.ConfigPull{Above: s.known(), Parts: s.missing(maxPullHashes)}
	s.pull.from = from
	s.pull.parts = pull.Parts
	s.pull.deadline = now.Add(s.cfg.PullTimeout)
	return append(out, pomelorelay.Outgoing{To: from, Message: pull})
}

// missing returns the hashes of the target's parts that are not here, at most limit of them.
func (s *Syncer) missing(limit int) []pomelorelay.Hash {
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
func (s *Syncer) part(hash pomelorelay.Hash) []byte {
	if data, ok := s.fresh[hash]; ok {
		return data
	}
	return s.inForce.parts[hash]
}

// Tick turns to another source when a pull makes no progress, and keeps a cold router asking.
func (s *Syncer) Tick(now time.Time, out []pomelorelay.Outgoing) []pomelorelay.Outgoing {
	if s.pull.from != "" {
		if now.Before(s.pull.deadline) {
			return out
		}
		s.pull.from = ""
		s.pull.failures++
	}
	s.giveUp(now)
	if !s.behind() {
		return out
	}
	peer, ok := s.choose()
	if !ok {
		return out
	}
	return s.ask(now, peer, out)
}

// giveUp turns to the store after a few pulls without progress, and drops a target whose missing parts nobody has brought for a
// long time. A root that was damaged into a high generation would else keep the router from every true one below it, for good.
func (s *Syncer) giveUp(now time.Time) {
	if s.pull.failures >= pullsBeforeStore {
		s.store.wantRoot = true
	}
	if s.progressed {
		s.progressed = false
		s.progressAt = now
	}
	if len(s.missing(1)) > 0 && now.Sub(s.progressAt) >= waitsBeforeDrop*s.cfg.PullTimeout {
		s.clearTarget()
		s.store.wantRoot = true
	}
}

// behind tells whether something newer is known or, on a cold router, may be anywhere.
func (s *Syncer) behind() bool {
	return s.inForce.generation() == 0 || s.target.generation() > 0 || s.Newest() > s.known()
}

// choose returns a peer that has what is wanted: for the target's parts one that has at least its generation in force, else one
// that told of a higher generation than is known; a cold router that was told nothing asks anyone.
func (s *Syncer) choose() (pomelorelay.NodeID, bool) {
	least := s.target.generation()
	if least == 0 {
		least = s.known() + 1
	}
	var able []pomelorelay.NodeID
	for _, peer := range s.peers {
		if s.told[peer] >= least {
			able = append(able, peer)
		}
	}
	if len(able) == 0 && s.inForce.generation() == 0 {
		able = s.peers
	}
	if len(able) == 0 {
		return "", false
	}
	return able[s.random.IntN(len(able))], true
}

// PendingStoreReads returns what the node should now read from the store; it is asked again after StoreWait when nothing came. A cold
// router wants the root at once, every other one only when its peers failed it.
func (s *Syncer) PendingStoreReads(now time.Time) StoreWants {
	var wants StoreWants
	cold := s.inForce.generation() == 0 && s.target.generation() == 0
	if (cold || s.store.wantRoot && s.behind()) && s.due(now, s.store.rootAsked) {
		wants.Root = true
		s.store.rootAsked = now
	}
	fromStore := s.pull.from == "" || s.pull.failures >= pullsBeforeStore
	if s.target.generation() > 0 && fromStore && s.due(now, s.store.partsAsked) {
		wants.Parts = s.missing(maxPullHashes)
		s.store.partsAsked = now
	}
	return wants
}

func (s *Syncer) due(now, asked time.Time) bool {
	return asked.IsZero() || now.Sub(asked) >= s.cfg.StoreWait
}
